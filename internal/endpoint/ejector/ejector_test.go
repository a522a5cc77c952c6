package ejector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/endpoint/ejector"
	"fescuebank/internal/timing/timekeeper"
)

// manualClock is a clock that a test advances.
type manualClock struct {
	timekeeper.Timekeeper
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

// fleet is a set of instances that exchange gossip about endpoints.
type fleet struct {
	clock     *manualClock
	random    *rand.Rand
	instances []*instance
	endpoints []fescuebank.ServedEndpoint
}

// instance is one instance of the fleet, with the end of each endpoint's ejection there.
type instance struct {
	*ejector.Ejector
	id           fescuebank.InstanceID
	zone         fescuebank.Zone
	ejectedUntil map[fescuebank.EndpointID]time.Time
	// doubtful is whether failures may be due to the instance.
	doubtful bool
}

func newFleet(instances, endpoints int) *fleet {
	f := &fleet{clock: &manualClock{now: time.Unix(1_000_000, 0)}, random: rand.New(rand.NewPCG(1, 1))}
	for i := range endpoints {
		f.endpoints = append(f.endpoints, fescuebank.ServedEndpoint{ID: fescuebank.EndpointID(fmt.Sprintf("e%d", i)), Service: "s", Slots: 8})
	}
	for i := range instances {
		in := &instance{
			id: fescuebank.InstanceID(fmt.Sprintf("i%d", i)), zone: fescuebank.Zone(fmt.Sprintf("z%d", i%3)),
			ejectedUntil: make(map[fescuebank.EndpointID]time.Time),
		}
		in.Ejector = ejector.New(ejector.Config{
			Zone: in.zone, Doubtful: func() bool { return in.doubtful }, Endpoints: func() []fescuebank.ServedEndpoint { return f.endpoints },
			Eject: func(id fescuebank.EndpointID, d time.Duration) { in.ejectedUntil[id] = f.clock.now.Add(d) },
			Clock: f.clock, Log: hclog.NewNullLogger(),
		})
		f.instances = append(f.instances, in)
	}
	return f
}

// gossip delivers one instance's gossip message to all others.
func (f *fleet) gossip(from *instance) {
	message := &fescuebank.Gossip{From: from.id, Zone: from.zone}
	from.FillGossip(message)
	for _, in := range f.instances {
		if in != from {
			in.ApplyGossip(message)
		}
	}
}

// simulate sends 40 requests a second from the instances in turn to random endpoints
// that they have not ejected. It returns the number of failures by the instance's zone,
// and the highest number of endpoints that an instance had ejected at once.
func (f *fleet) simulate(length time.Duration, fails func(in *instance, e fescuebank.EndpointID) bool) (failed map[fescuebank.Zone]int, maxEjected int) {
	failed = make(map[fescuebank.Zone]int)
	for step, end := 0, f.clock.now.Add(length); f.clock.now.Before(end); step++ {
		f.clock.now = f.clock.now.Add(25 * time.Millisecond)
		in := f.instances[step%len(f.instances)]
		var available []fescuebank.EndpointID
		for _, e := range f.endpoints {
			if !f.clock.now.Before(in.ejectedUntil[e.ID]) {
				available = append(available, e.ID)
			}
		}
		maxEjected = max(maxEjected, len(f.endpoints)-len(available))
		id := available[f.random.IntN(len(available))]
		bad := fails(in, id)
		if bad {
			failed[in.zone]++
		}
		in.Record(id, !bad)
		f.gossip(in)
	}
	return failed, maxEjected
}

func sum(counts map[fescuebank.Zone]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func TestEjection(t *testing.T) {
	const length = 10 * time.Second
	for _, tt := range []struct {
		name string
		// failureRatio is that of the requests for which bad returns true.
		failureRatio float64
		bad          func(in *instance, e fescuebank.EndpointID) bool
		// maxFailed bounds the failures in 10 s, with 400 requests to 9 endpoints.
		maxFailed int
		// maxEjected bounds the endpoints ejected at once: a third of them.
		maxEjected int
	}{
		{"none fails", 0, func(*instance, fescuebank.EndpointID) bool { return false }, 0, 0},
		{"all fail occasionally", 0.05, func(*instance, fescuebank.EndpointID) bool { return true }, 40, 1},
		{"two fail 40% of requests", 0.4, func(_ *instance, e fescuebank.EndpointID) bool { return e == "e1" || e == "e2" }, 20, 3},
		{"two fail always", 1, func(_ *instance, e fescuebank.EndpointID) bool { return e == "e1" || e == "e2" }, 20, 3},
		{"all fail always", 1, func(*instance, fescuebank.EndpointID) bool { return true }, 400, 3},
		{"one fails for one zone", 0.5, func(in *instance, e fescuebank.EndpointID) bool { return e == "e1" && in.zone == "z1" }, 9, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(9, 9)
			f.simulate(5*time.Second, func(*instance, fescuebank.EndpointID) bool { return false })
			failed, ejected := f.simulate(length, func(in *instance, e fescuebank.EndpointID) bool {
				return tt.bad(in, e) && f.random.Float64() < tt.failureRatio
			})
			if got := sum(failed); got > tt.maxFailed {
				t.Errorf("got %d requests failed, want at most %d", got, tt.maxFailed)
			}
			if ejected > tt.maxEjected {
				t.Errorf("got %d of 9 endpoints ejected at once, want at most %d", ejected, tt.maxEjected)
			}
		})
	}
}

// TestEjectionIsAdopted checks that the other instances in the zone adopt an ejection
// before they see the endpoint fail themselves, and that the ejection ends.
func TestEjectionIsAdopted(t *testing.T) {
	f := newFleet(9, 9)
	f.simulate(5*time.Second, func(*instance, fescuebank.EndpointID) bool { return false })
	first := f.instances[0]
	for range 3 {
		first.Record("e1", false)
	}
	f.gossip(first)
	for _, in := range f.instances {
		if !f.clock.now.Before(in.ejectedUntil["e1"]) && in.zone == first.zone {
			t.Errorf("got endpoint in use at %s, want it ejected", in.id)
		}
	}
	f.clock.now = f.clock.now.Add(5 * time.Second)
	if !f.clock.now.After(first.ejectedUntil["e1"]) {
		t.Error("got endpoint ejected for more than 5 s, want it back")
	}
}

// TestHealthyZoneKeepsEndpoint has an endpoint fail for one zone only. Instances in
// another zone, whose requests it serves, must keep using it.
func TestHealthyZoneKeepsEndpoint(t *testing.T) {
	f := newFleet(9, 9)
	fails := func(in *instance, e fescuebank.EndpointID) bool { return e == "e1" && in.zone == "z1" }
	f.simulate(5*time.Second, func(*instance, fescuebank.EndpointID) bool { return false })
	f.simulate(2*time.Second, fails)
	for _, in := range f.instances {
		ejected := f.clock.now.Before(in.ejectedUntil["e1"])
		if in.zone == "z0" && ejected {
			t.Errorf("got endpoint ejected at %s, whose requests it serves, want it in use", in.id)
		}
	}
}

// TestInstanceWithoutEndpointsEjectsNone guards against sound endpoints that all instances avoid.
func TestInstanceWithoutEndpointsEjectsNone(t *testing.T) {
	for _, tt := range []struct {
		name string
		// doubtful is whether the instance knows that failures may be due to itself, and lost whether
		// its gossip states that.
		doubtful, lost bool
		want           int
	}{
		{"not found out yet", false, false, 1},
		{"in doubt", true, false, 0},
		{"found out by the others", false, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(9, 9)
			f.simulate(2*time.Second, func(*instance, fescuebank.EndpointID) bool { return false })
			cut := f.instances[0]
			cut.doubtful = tt.doubtful
			for range 5 {
				cut.Record("e1", false)
			}
			message := &fescuebank.Gossip{From: cut.id, Zone: cut.zone, EndpointsLost: tt.lost}
			cut.FillGossip(message)
			ejecting := 0
			for _, in := range f.instances[1:] {
				in.ApplyGossip(message)
				if f.clock.now.Before(in.ejectedUntil["e1"]) {
					ejecting = 1
				}
			}
			if ejecting != tt.want {
				t.Errorf("got endpoints ejected by others %d, want %d", ejecting, tt.want)
			}
		})
	}
}
