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

// hand is a clock that a test moves.
type hand struct {
	timekeeper.Timekeeper
	now time.Time
}

func (h *hand) Now() time.Time { return h.now }

// fleet is a number of instances that tell each other what they see of endpoints.
type fleet struct {
	clock     *hand
	random    *rand.Rand
	instances []*instance
	endpoints []fescuebank.ServedEndpoint
}

// instance is one of them, with until when it leaves endpoints out.
type instance struct {
	*ejector.Ejector
	id   fescuebank.InstanceID
	zone fescuebank.Zone
	out  map[fescuebank.EndpointID]time.Time
}

func newFleet(instances, endpoints int) *fleet {
	f := &fleet{clock: &hand{now: time.Unix(1_000_000, 0)}, random: rand.New(rand.NewPCG(1, 1))}
	for i := range endpoints {
		f.endpoints = append(f.endpoints, fescuebank.ServedEndpoint{ID: fescuebank.EndpointID(fmt.Sprintf("e%d", i)), Service: "s", Slots: 8})
	}
	for i := range instances {
		in := &instance{
			id: fescuebank.InstanceID(fmt.Sprintf("i%d", i)), zone: fescuebank.Zone(fmt.Sprintf("z%d", i%3)),
			out: make(map[fescuebank.EndpointID]time.Time),
		}
		in.Ejector = ejector.New(ejector.Config{
			Zone: in.zone, Endpoints: func() []fescuebank.ServedEndpoint { return f.endpoints },
			Eject: func(id fescuebank.EndpointID, d time.Duration) { in.out[id] = f.clock.now.Add(d) },
			Clock: f.clock, Log: hclog.NewNullLogger(),
		})
		f.instances = append(f.instances, in)
	}
	return f
}

// tell has one instance's news reach all others.
func (f *fleet) tell(from *instance) {
	n := &fescuebank.Gossip{From: from.id, Zone: from.zone}
	from.FillGossip(n)
	for _, in := range f.instances {
		if in != from {
			in.ApplyGossip(n)
		}
	}
}

// play sends 40 requests a second from all instances in turn to random endpoints that
// they don't leave out, and returns how many failed by the instances' zone and at most
// how many endpoints any instance left out at once.
func (f *fleet) play(length time.Duration, fails func(in *instance, e fescuebank.EndpointID) bool) (failed map[fescuebank.Zone]int, most int) {
	failed = make(map[fescuebank.Zone]int)
	for step, end := 0, f.clock.now.Add(length); f.clock.now.Before(end); step++ {
		f.clock.now = f.clock.now.Add(25 * time.Millisecond)
		in := f.instances[step%len(f.instances)]
		var open []fescuebank.EndpointID
		for _, e := range f.endpoints {
			if !f.clock.now.Before(in.out[e.ID]) {
				open = append(open, e.ID)
			}
		}
		most = max(most, len(f.endpoints)-len(open))
		id := open[f.random.IntN(len(open))]
		bad := fails(in, id)
		if bad {
			failed[in.zone]++
		}
		in.Record(id, !bad)
		f.tell(in)
	}
	return failed, most
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
		// share is the part of the requests at bad endpoints that fail.
		share float64
		bad   func(in *instance, e fescuebank.EndpointID) bool
		// most bounds the failures of 10 s, with 400 requests to 9 endpoints.
		most int
		// out bounds the endpoints left out at once: a third of them.
		out int
	}{
		{"none fails", 0, func(*instance, fescuebank.EndpointID) bool { return false }, 0, 0},
		{"all fail now and then", 0.05, func(*instance, fescuebank.EndpointID) bool { return true }, 40, 1},
		{"two fail 4 in 10", 0.4, func(_ *instance, e fescuebank.EndpointID) bool { return e == "e1" || e == "e2" }, 20, 3},
		{"two fail always", 1, func(_ *instance, e fescuebank.EndpointID) bool { return e == "e1" || e == "e2" }, 20, 3},
		{"all fail always", 1, func(*instance, fescuebank.EndpointID) bool { return true }, 400, 3},
		{"one fails for one zone", 0.5, func(in *instance, e fescuebank.EndpointID) bool { return e == "e1" && in.zone == "z1" }, 9, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(9, 9)
			f.play(5*time.Second, func(*instance, fescuebank.EndpointID) bool { return false })
			failed, out := f.play(length, func(in *instance, e fescuebank.EndpointID) bool {
				return tt.bad(in, e) && f.random.Float64() < tt.share
			})
			if got := sum(failed); got > tt.most {
				t.Errorf("got %d requests failed, want %d at most", got, tt.most)
			}
			if out > tt.out {
				t.Errorf("got %d of 9 endpoints left out at once, want %d at most", out, tt.out)
			}
		})
	}
}

// TestEjectionIsAdopted has an endpoint that one instance leaves out be left out by the
// others before they see it fail, and come back when it is sound.
func TestEjectionIsAdopted(t *testing.T) {
	f := newFleet(9, 9)
	f.play(5*time.Second, func(*instance, fescuebank.EndpointID) bool { return false })
	first := f.instances[0]
	for range 3 {
		first.Record("e1", false)
	}
	f.tell(first)
	for _, in := range f.instances {
		if !f.clock.now.Before(in.out["e1"]) && in.zone == first.zone {
			t.Errorf("got endpoint in use at %s, want it left out", in.id)
		}
	}
	f.clock.now = f.clock.now.Add(5 * time.Second)
	if !f.clock.now.After(first.out["e1"]) {
		t.Error("got endpoint left out for more than 5 s, want it back")
	}
}

// TestSoundZoneKeepsAnEndpoint has an endpoint fail for one zone; another one, whose
// requests it serves, must go on using it.
func TestSoundZoneKeepsAnEndpoint(t *testing.T) {
	f := newFleet(9, 9)
	fails := func(in *instance, e fescuebank.EndpointID) bool { return e == "e1" && in.zone == "z1" }
	f.play(5*time.Second, func(*instance, fescuebank.EndpointID) bool { return false })
	f.play(2*time.Second, fails)
	for _, in := range f.instances {
		out := f.clock.now.Before(in.out["e1"])
		if in.zone == "z0" && out {
			t.Errorf("got endpoint left out at %s, whose requests it serves, want it in use", in.id)
		}
	}
}
