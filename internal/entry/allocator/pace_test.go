package allocator_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
)

// knownPaces are Paces that don't change; those of unlisted endpoints are 1.
type knownPaces map[fescuebank.EndpointID]fescuebank.Pace

func (p knownPaces) Pace(id fescuebank.EndpointID) fescuebank.Pace {
	if pace, ok := p[id]; ok {
		return pace
	}
	return 1
}

func (p knownPaces) LastingPace(id fescuebank.EndpointID) fescuebank.Pace { return p.Pace(id) }

func (knownPaces) Observe(fescuebank.ServedEndpoint, fescuebank.EndpointLoad) {}

// TestFastEndpointsGetMoreRequests checks how requests are divided between an endpoint of another pace
// and one of pace 1 with 8 slots each, and that the endpoint that is preferred is not filled up first.
func TestFastEndpointsGetMoreRequests(t *testing.T) {
	for _, tt := range []struct {
		name     string
		pace     fescuebank.Pace
		requests int
		// want is the number of requests at the endpoint of that pace.
		want int
	}{
		{"equal", 1, 8, 4},
		{"fast, few requests", 0.5, 4, 4},
		{"fast", 0.5, 9, 6},
		{"slow, few requests", 2, 4, 0},
		{"slow", 2, 9, 3},
		{"slow for a moment, far beyond the bound", 10, 9, 3},
		{"slow, nearly all slots taken", 2, 15, 7},
		{"fast, nearly all slots taken", 0.5, 15, 8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := newAllocator(2, 8)
			id := endpoints(2, 8)[0].ID
			a.SetPaces(knownPaces{id: tt.pace})
			got := 0
			for range tt.requests {
				if mustAcquire(t, a).Endpoint.ID == id {
					got++
				}
			}
			if got != tt.want {
				t.Errorf("got %d of %d requests, want %d", got, tt.requests, tt.want)
			}
		})
	}
}

// TestWaitsArePredictedFromPaces checks that the predicted wait follows from how long slots are held, by
// kind of work and by the pace of the endpoint. Slots were held for one second online and for ten by
// batch items.
func TestWaitsArePredictedFromPaces(t *testing.T) {
	const learned = 100
	for _, tt := range []struct {
		name string
		pace fescuebank.Pace
		// heldFor is how long the only slot has been held, by a batch item if batch is set.
		heldFor time.Duration
		batch   bool
		wait    time.Duration
		refused bool
	}{
		{"online", 1, 0, false, 900 * time.Millisecond, true},
		{"online, in time", 1, 0, false, 1100 * time.Millisecond, false},
		{"online, soon", 1, 800 * time.Millisecond, false, 300 * time.Millisecond, false},
		{"fast endpoint", 0.5, 0, false, 600 * time.Millisecond, false},
		{"fast endpoint, not yet", 0.5, 0, false, 400 * time.Millisecond, true},
		{"slow endpoint", 2, 0, false, 1500 * time.Millisecond, true},
		{"slow endpoint, in time", 2, 0, false, 2100 * time.Millisecond, false},
		{"batch", 1, 0, true, 9 * time.Second, true},
		{"batch, in time", 1, 0, true, 11 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAllocator(1, 1)
				a.SetPaces(knownPaces{endpoints(1, 1)[0].ID: tt.pace})
				hold := func(slot *allocator.Slot, d time.Duration) {
					time.Sleep(time.Duration(float64(d) * float64(tt.pace)))
					slot.Release()
				}
				for range learned {
					hold(mustAcquire(t, a), time.Second)
					hold(a.AcquireBatch("s", "", 0), 10*time.Second)
				}
				held := a.AcquireBatch("s", "", 0)
				if !tt.batch {
					held.Release()
					held = mustAcquire(t, a)
				}
				time.Sleep(tt.heldFor)
				time.AfterFunc(time.Millisecond, held.Release)
				_, err := a.Acquire(t.Context(), slotRequest(tt.wait))
				if got := errors.Is(err, allocator.ErrFull); got != tt.refused {
					t.Errorf("got error %v, want refused %v", err, tt.refused)
				}
			})
		})
	}
}
