// Package holder holds bytes that others send within a memory budget: whoever sends more than there is room for, or without end, is
// cut off before the memory of the instance is used up.
package holder

import (
	"bytes"
	"errors"
	"io"

	"fescuebank"
)

// partBytes is the memory that is reserved at a time for bytes of unknown length.
const partBytes = 32 * fescuebank.KiB

// ErrNoMemory means that the budget has no room for the rest of the bytes.
var ErrNoMemory = errors.New("no memory left in the budget")

// Holder holds the bytes of one body.
type Holder struct {
	budget fescuebank.MemoryBudget
	bytes  []byte
	// reserved is at least the length of bytes.
	reserved fescuebank.Bytes
}

// New returns a holder without bytes.
func New(budget fescuebank.MemoryBudget) *Holder {
	return &Holder{budget: budget}
}

// ReadAll reads a body of a length, or all there is if the length is negative.
func (h *Holder) ReadAll(from io.Reader, length fescuebank.Bytes) error {
	if length < 0 {
		return h.readToEnd(from)
	}
	if !h.reserve(length) {
		return ErrNoMemory
	}
	h.bytes = make([]byte, length)
	_, err := io.ReadFull(from, h.bytes)
	return err
}

// readToEnd reads parts, which are joined once at the end: a body that grows leaves no former copies behind.
func (h *Holder) readToEnd(from io.Reader) error {
	var parts [][]byte
	for {
		if !h.reserve(partBytes) {
			return ErrNoMemory
		}
		part, err := readPart(from)
		parts = append(parts, part)
		if err == io.EOF {
			h.bytes = bytes.Join(parts, nil)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readPart reads up to partBytes. io.EOF means that the body is complete, unlike io.ErrUnexpectedEOF, which is why this isn't io.ReadFull.
func readPart(from io.Reader) ([]byte, error) {
	part := make([]byte, partBytes)
	for n := 0; ; {
		count, err := from.Read(part[n:])
		n += count
		if err != nil || n == len(part) {
			return part[:n], err
		}
	}
}

// Bytes returns what was read.
func (h *Holder) Bytes() []byte {
	return h.bytes
}

func (h *Holder) reserve(n fescuebank.Bytes) bool {
	if !h.budget.Reserve(n) {
		return false
	}
	h.reserved += n
	return true
}

// Release returns the memory of the bytes, which must not be used any more.
func (h *Holder) Release() {
	h.budget.Release(h.reserved)
	h.bytes, h.reserved = nil, 0
}
