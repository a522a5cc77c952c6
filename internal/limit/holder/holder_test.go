package holder_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"fescuebank"
	"fescuebank/internal/limit/holder"
	"fescuebank/internal/limit/reserver"
)

// endless is a reader without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestBytesWithoutEndStayWithinTheBudget guards against a sender that takes all memory, and against memory that isn't returned.
func TestBytesWithoutEndStayWithinTheBudget(t *testing.T) {
	const budget = fescuebank.MiB
	memory := reserver.New(budget)
	var holders []*holder.Holder
	for range 3 {
		h := holder.New(memory)
		if err := h.ReadAll(endless{}, -1); !errors.Is(err, holder.ErrNoMemory) {
			t.Errorf("got error %v, want %v", err, holder.ErrNoMemory)
		}
		holders = append(holders, h)
	}
	sum := 0
	for _, h := range holders {
		sum += len(h.Bytes())
		h.Release()
	}
	if fescuebank.Bytes(sum) > budget || memory.Status().HeldBytes != 0 {
		t.Errorf("got %d bytes held and %d not returned, want at most %d and none", sum, memory.Status().HeldBytes, budget)
	}
}

// TestBodyIsHeldWhole checks that a body comes whole, whether its length is known or not.
func TestBodyIsHeldWhole(t *testing.T) {
	for _, size := range []int{0, 1, 32 << 10, 32<<10 + 1, 100 << 10} {
		for _, known := range []bool{false, true} {
			want := bytes.Repeat([]byte("x"), size)
			length := fescuebank.Bytes(-1)
			if known {
				length = fescuebank.Bytes(size)
			}
			h := holder.New(reserver.New(fescuebank.MiB))
			if err := h.ReadAll(bytes.NewReader(want), length); err != nil || !bytes.Equal(h.Bytes(), want) {
				t.Errorf("%d bytes, length known %v: got %d bytes, error %v, want all", size, known, len(h.Bytes()), err)
			}
		}
	}
}

// TestBodyThatBreaksOffIsNotWhole guards against a body that counts as complete although its sender broke it off.
func TestBodyThatBreaksOffIsNotWhole(t *testing.T) {
	for _, size := range []int{0, 1, 32 << 10, 100 << 10} {
		for _, length := range []fescuebank.Bytes{-1, 1 << 20} {
			broken := io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(io.ErrUnexpectedEOF))
			if err := holder.New(reserver.New(4*fescuebank.MiB)).ReadAll(broken, length); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%d bytes, length %d: got error %v, want %v", size, length, err, io.ErrUnexpectedEOF)
			}
		}
	}
}
