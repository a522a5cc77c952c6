package allocator_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
)

// countFree returns how many requests the only endpoint gets now.
func countFree(t *testing.T, a *allocator.Allocator) int {
	t.Helper()
	for count := 0; ; count++ {
		slot, err := a.Acquire(t.Context(), slotRequest(0))
		if errors.Is(err, allocator.ErrFull) {
			return count
		}
		if err != nil {
			t.Fatalf("got error %v, want none", err)
		}
		defer slot.Release()
	}
}

// TestReportIsReconciledWithCounts checks what counts after a report of an endpoint with 8 slots, at which
// this instance has one request, once the messages of the other instances arrive. The requests that
// these count must not count twice, those that nobody counts must count for a while.
func TestReportIsReconciledWithCounts(t *testing.T) {
	const lag = 150 * time.Millisecond
	for _, tt := range []struct {
		name    string
		running int
		// counts are the requests that the other instances count, in messages every 50 ms.
		counts []int
		want   int
	}{
		{"without a message", 6, nil, 3},
		{"requests counted late", 6, []int{0, 5}, 2},
		{"requests counted late that end afterwards", 6, []int{0, 5, 5, 5, 1}, 6},
		{"requests that nobody counts", 8, []int{0, 0, 0, 0, 0}, 1},
		{"half of them counted", 8, []int{0, 3, 3, 3, 4}, 0},
		{"requests that nobody counts, long ago", 8, make([]int, 21), 7},
		{"counts as reported", 5, []int{4, 4, 4, 4, 4}, 3},
		{"fewer reported than counted", 3, []int{4}, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAllocator(1, 8)
				slot := mustAcquire(t, a)
				a.SetPeerStarts(0, lag)
				slot.Observe(fescuebank.EndpointLoad{Running: tt.running, Slots: 8})
				for _, n := range tt.counts {
					time.Sleep(50 * time.Millisecond)
					a.SetPeerCounts(fescuebank.EndpointCounts{slot.Endpoint.ID.Tag(): n}, 0, 0)
				}
				if got := countFree(t, a); got != tt.want {
					t.Errorf("got %d free slots, want %d", got, tt.want)
				}
			})
		})
	}
}

// TestReportOfAnotherInstance checks that a report that another instance passed on counts unless a later
// one is known.
func TestReportOfAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllocator(1, 8)
		id := endpoints(1, 8)[0].ID
		time.Sleep(time.Second)
		a.ObserveReport(id, 8, 200*time.Millisecond)
		if got := countFree(t, a); got != 1 {
			t.Errorf("got %d free slots after a report of 8 requests, want 1", got)
		}
		a.ObserveReport(id, 3, 300*time.Millisecond)
		if got := countFree(t, a); got != 1 {
			t.Errorf("got %d free slots after an older report, want 1", got)
		}
		a.ObserveReport(id, 3, 100*time.Millisecond)
		if got := countFree(t, a); got != 6 {
			t.Errorf("got %d free slots after a later report of 3 requests, want 6", got)
		}
		a.ObserveReport("unknown", 8, 0)
	})
}
