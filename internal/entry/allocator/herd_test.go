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

// fleet simulates instances that exchange their counts with a lag.
type fleet struct {
	random    *rand.Rand
	instances []*allocator.Allocator
	actual    fescuebank.EndpointCounts
	slots     map[time.Time][]*allocator.Slot
	// lag is the age of the counts that the instances are told; 0 if they are told none.
	lag time.Duration
}

func newFleet(instances, endpointCount, slots int, lag time.Duration, modelLag bool) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(1, 1)), actual: make(fescuebank.EndpointCounts),
		slots: make(map[time.Time][]*allocator.Slot),
	}
	if modelLag {
		f.lag = lag
	}
	for range instances {
		a := allocator.New(timekeeper.Timekeeper{}, func() {})
		a.SetEndpoints(endpoints(endpointCount, slots))
		f.instances = append(f.instances, a)
	}
	return f
}

// publish publishes the counts of instance i; each instance publishes once per lag.
func (f *fleet) publish(published []fescuebank.EndpointCounts, i int) {
	published[i], _ = f.instances[i].Counts()
}

// receive applies the published counts of the other instances to instance i.
func (f *fleet) receive(published []fescuebank.EndpointCounts, i int) {
	peers := make(fescuebank.EndpointCounts)
	starts := uint64(0)
	for j, counts := range published {
		if j != i {
			peers.Add(counts)
			starts += f.instances[j].Started()
		}
	}
	f.instances[i].SetPeerStarts(starts, f.lag)
	f.instances[i].SetPeerCounts(peers, 0, 0)
}

// TestStaleCountsDontHerd guards against a thundering herd: instances that pick the least
// loaded endpoint by stale counts all pick the same one. 51 instances send 900 requests a
// second of 550 ms to 90 endpoints of 8 slots and exchange counts every 90 ms. A third of
// the slots is always free, so few requests should reach a full endpoint.
func TestStaleCountsDontHerd(t *testing.T) {
	t.Parallel()
	const (
		instances = 51
		slots     = 8
		lag       = 90 * time.Millisecond
		hold      = 550 * time.Millisecond
		gap       = time.Second / 900
		length    = 3 * time.Second
	)
	for _, tt := range []struct {
		name     string
		modelLag bool
		// minShare and maxShare bound the share of requests that reach a full endpoint.
		minShare, maxShare float64
	}{
		{"least loaded endpoint, as the control", false, 0.10, 1},
		{"sampling by the rate of the others", true, 0, 0.05},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(instances, 90, slots, lag, tt.modelLag)
				published := make([]fescuebank.EndpointCounts, instances)
				requests, full := 0, 0
				began := time.Now()
				for step := 0; time.Since(began) < length; step++ {
					f.publish(published, step%instances)
					f.receive(published, step%instances)
					for end, ending := range f.slots {
						if end.After(time.Now()) {
							continue
						}
						for _, slot := range ending {
							f.actual[slot.Endpoint.ID.Tag()]--
							slot.Release()
						}
						delete(f.slots, end)
					}
					slot := mustAcquire(t, f.instances[f.random.IntN(instances)])
					tag := slot.Endpoint.ID.Tag()
					if f.actual[tag] >= slots {
						full++
					}
					requests++
					f.actual[tag]++
					end := time.Now().Add(hold/2 + time.Duration(f.random.Int64N(int64(hold))))
					f.slots[end] = append(f.slots[end], slot)
					time.Sleep(gap)
				}
				got := float64(full) / float64(requests)
				t.Logf("%.3f of %d requests reached a full endpoint", got, requests)
				if got < tt.minShare || got > tt.maxShare {
					t.Errorf("got %.3f of the requests at full endpoints, want %.2f to %.2f", got, tt.minShare, tt.maxShare)
				}
			})
		})
	}
}
