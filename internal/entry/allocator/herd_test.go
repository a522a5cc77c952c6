package allocator_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// herd is a fleet of instances that tell each other their counts with a lag.
type herd struct {
	random    *rand.Rand
	instances []*allocator.Allocator
	real      fescuebank.EndpointCounts
	places    map[time.Time][]*allocator.Slot
}

func newHerd(instances, endpointCount, slots int, lag time.Duration, told bool) *herd {
	h := &herd{
		random: rand.New(rand.NewPCG(1, 1)), real: make(fescuebank.EndpointCounts),
		places: make(map[time.Time][]*allocator.Slot),
	}
	for range instances {
		a := allocator.New(timekeeper.Timekeeper{}, func() {})
		a.SetEndpoints(endpoints(endpointCount, slots))
		if told {
			a.SetFleet(instances, lag)
		}
		h.instances = append(h.instances, a)
	}
	return h
}

// tell has one instance's counts reach the others, as all do in turn within the lag.
func (h *herd) tell(told []fescuebank.EndpointCounts, i int) {
	told[i], _ = h.instances[i].Counts()
}

// learn brings what instance i knows of the others up to what they told.
func (h *herd) learn(told []fescuebank.EndpointCounts, i int) {
	others := make(fescuebank.EndpointCounts)
	for j, counts := range told {
		if j != i {
			others.Add(counts)
		}
	}
	h.instances[i].SetPeerCounts(others, 0, 0)
}

// TestStaleCountsDontHerd plays a burst: 51 instances send 900 requests a second of 550
// ms to 90 endpoints of 8 places, and hear of each other every 90 ms. 1 place in 3 is
// free throughout, so hardly a request should meet an endpoint that is full.
func TestStaleCountsDontHerd(t *testing.T) {
	const (
		instances = 51
		slots     = 8
		lag       = 90 * time.Millisecond
		hold      = 550 * time.Millisecond
		gap       = time.Second / 900
		length    = 3 * time.Second
	)
	for _, tt := range []struct {
		name string
		told bool
		// least and most bound the share of requests that meet a full endpoint.
		least, most float64
	}{
		{"the least loaded one, our former policy", false, 0.10, 1},
		{"spread by what is unseen", true, 0, 0.05},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHerd(instances, 90, slots, lag, tt.told)
				told := make([]fescuebank.EndpointCounts, instances)
				requests, full := 0, 0
				began := time.Now()
				for step := 0; time.Since(began) < length; step++ {
					h.tell(told, step%instances)
					h.learn(told, step%instances)
					for at, places := range h.places {
						if at.After(time.Now()) {
							continue
						}
						for _, p := range places {
							h.real[p.Endpoint.ID.Tag()]--
							p.Release()
						}
						delete(h.places, at)
					}
					p := take(t, h.instances[h.random.IntN(instances)])
					tag := p.Endpoint.ID.Tag()
					if h.real[tag] >= slots {
						full++
					}
					requests++
					h.real[tag]++
					end := time.Now().Add(hold/2 + time.Duration(h.random.Int64N(int64(hold))))
					h.places[end] = append(h.places[end], p)
					time.Sleep(gap)
				}
				got := float64(full) / float64(requests)
				t.Logf("%.3f of %d requests met a full endpoint", got, requests)
				if got < tt.least || got > tt.most {
					t.Errorf("got %.3f of the requests at full endpoints, want %.2f to %.2f", got, tt.least, tt.most)
				}
			})
		})
	}
}
