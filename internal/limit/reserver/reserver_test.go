package reserver_test

import (
	"sync"
	"testing"

	"fescuebank"
	"fescuebank/internal/limit/reserver"
)

func TestReserveKeepsTheBudget(t *testing.T) {
	const budget = 4 * fescuebank.MiB
	for _, tt := range []struct {
		name string
		size fescuebank.Bytes
		// want is the number of reservations until one is refused.
		want int
	}{
		{"half of what is left", 1 * fescuebank.MiB, 3},
		{"more than half", 3 * fescuebank.MiB, 0},
		{"exactly half", 2 * fescuebank.MiB, 1},
		{"small ones use it up", 16 * fescuebank.KiB, 256},
	} {
		r := reserver.New(budget)
		got := 0
		for r.Reserve(tt.size) {
			got++
		}
		if got != tt.want {
			t.Errorf("%s: got %d reservations, want %d", tt.name, got, tt.want)
		}
		if held := r.Status().HeldBytes; held > budget {
			t.Errorf("%s: got %v held, want at most %v", tt.name, held, budget)
		}
	}
}

// TestLargeRequestsLeaveRoomForSmallOnes guards against small requests that are refused because large ones
// hold the whole budget.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	r := reserver.New(16 * fescuebank.MiB)
	for r.Reserve(4 * fescuebank.MiB) {
	}
	for i := range 100 {
		if !r.Reserve(10 * fescuebank.KiB) {
			t.Fatalf("got small request %d refused, want it accepted beside the large ones", i+1)
		}
	}
}

func TestReleaseReturnsMemory(t *testing.T) {
	r := reserver.New(fescuebank.MiB)
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			for range 1000 {
				if r.Reserve(40 * fescuebank.KiB) {
					r.Release(40 * fescuebank.KiB)
				}
			}
		})
	}
	group.Wait()
	if got := r.Status().HeldBytes; got != 0 {
		t.Errorf("got %v held after all were released, want 0", got)
	}
}
