package allocator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
)

// TestWaitIsPredictedFromFewOwnRequests checks the predicted wait of an instance that holds one
// of 600 taken slots, as in a large fleet. One of those slots is released about every
// millisecond, so the request must wait for it, though this instance's own slot was taken
// just now. A request behind 400 others must be refused at once.
func TestWaitIsPredictedFromFewOwnRequests(t *testing.T) {
	for _, tt := range []struct {
		name    string
		waiting int
		refused bool
	}{
		{"first in line", 0, false},
		{"behind 400 others", 400, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAllocator(75, 8)
				held := mustAcquire(t, a)
				full := make(fescuebank.EndpointCounts)
				for _, e := range endpoints(75, 8) {
					full[e.ID.Tag()] = 8
				}
				full[held.Endpoint.ID.Tag()]--
				a.SetPeerCounts(full, tt.waiting, 0)
				began := time.Now()
				released := time.AfterFunc(20*time.Millisecond, func() {
					full[endpoints(75, 8)[70].ID.Tag()] = 7
					a.SetPeerCounts(full, 0, 0)
				})
				defer released.Stop()
				_, err := a.Acquire(t.Context(), slotRequest(200*time.Millisecond))
				if got := err == allocator.ErrFull; got != tt.refused {
					t.Errorf("got refused %v after %v, want %v", got, time.Since(began), tt.refused)
				}
				if tt.refused && time.Since(began) > 0 {
					t.Errorf("got the refusal after %v, want it at once", time.Since(began))
				}
			})
		})
	}
}
