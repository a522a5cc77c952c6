package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fescuebank"
	"fescuebank/internal/endpoint/balancer"
	"fescuebank/internal/timing/timekeeper"
)

func specs(n, slots int) []fescuebank.EndpointSpec {
	list := make([]fescuebank.EndpointSpec, n)
	for i := range list {
		list[i] = fescuebank.EndpointSpec{ID: fescuebank.EndpointID(fmt.Sprint("e", i)), Zone: "z", Models: []fescuebank.ModelName{"m"}, Slots: slots}
	}
	return list
}

// TestReserveKeepsLimits checks reservations against a simple model: no endpoint
// exceeds its limit, leaving or avoided endpoints get no request, and Reserve returns
// nil only if no endpoint has a free slot.
func TestReserveKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const endpoints = 5
		list := specs(endpoints, 3)
		policy := rapid.SampledFrom(fescuebank.Policies).Draw(t, "policy")
		b := balancer.New("z", policy, timekeeper.Timekeeper{})
		seed := rapid.Uint64().Draw(t, "seed")
		b.SetRandom(rand.New(rand.NewPCG(seed, 0)).IntN)
		b.SetEndpoints(list)
		held := map[fescuebank.EndpointID][]*balancer.Target{}
		limits := map[fescuebank.EndpointID]int{}
		for _, e := range list {
			limits[e.ID] = e.Slots
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				var avoid []fescuebank.EndpointID
				if rapid.Bool().Draw(t, "avoids") {
					avoid = append(avoid, list[rapid.IntRange(0, endpoints-1).Draw(t, "avoid")].ID)
				}
				prefix := list[rapid.IntRange(0, endpoints-1).Draw(t, "prefix")].ID
				hasFree := false
				for _, e := range list {
					hasFree = hasFree || (!e.Leaving && len(held[e.ID]) < limits[e.ID] && (len(avoid) == 0 || avoid[0] != e.ID))
				}
				got := b.Reserve("m", prefix, avoid)
				if (got != nil) != hasFree {
					t.Fatalf("got %v, want a reservation: %v", got, hasFree)
				}
				if got == nil {
					return
				}
				id := got.ID()
				held[id] = append(held[id], got)
				if len(held[id]) > limits[id] {
					t.Fatalf("%s: got %d requests, want at most %d", id, len(held[id]), limits[id])
				}
			},
			"release": func(t *rapid.T) {
				id := list[rapid.IntRange(0, endpoints-1).Draw(t, "endpoint")].ID
				if n := len(held[id]); n > 0 {
					held[id][n-1].Release()
					held[id] = held[id][:n-1]
				}
			},
			"credit": func(t *rapid.T) {
				id := list[rapid.IntRange(0, endpoints-1).Draw(t, "endpoint")].ID
				limit := rapid.IntRange(len(held[id])+1, len(held[id])+4).Draw(t, "limit")
				target, _ := b.Target(id)
				target.ApplyCredit(limit, 0)
				limits[id] = limit
			},
			"leave": func(t *rapid.T) {
				n := rapid.IntRange(0, endpoints-1).Draw(t, "endpoint")
				list[n].Leaving = !list[n].Leaving
				b.SetEndpoints(list)
			},
		})
	})
}

func TestFailedEndpointIsEjectedThenRampsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer.New("z", fescuebank.PolicyLeastExpected, timekeeper.Timekeeper{})
		b.SetEndpoints(specs(2, 100))
		bad, _ := b.Target("e0")
		b.RecordFailure(bad)
		share := func() int {
			n := 0
			for range 100 {
				if target := b.Reserve("m", "", nil); target != nil {
					if target == bad {
						n++
					}
					defer target.Release()
				}
			}
			return n
		}
		if got := share(); got != 0 {
			t.Errorf("just failed: got %d of 100 requests, want none", got)
		}
		time.Sleep(time.Second)
		if got := share(); got == 0 || got > 35 {
			t.Errorf("a second later: got %d of 100 requests, want some, but at most 35", got)
		}
		time.Sleep(20 * time.Second)
		if got := share(); got < 40 {
			t.Errorf("ramped up: got %d of 100 requests, want at least 40", got)
		}
	})
}

func TestPrefixHolderIsPreferredWithinMargin(t *testing.T) {
	b := balancer.New("z", fescuebank.PolicyLeastExpected, timekeeper.Timekeeper{})
	b.SetEndpoints(specs(4, 16))
	var last *balancer.Target
	for range 4 {
		last = b.Reserve("m", "e2", nil)
		if last.ID() != "e2" {
			t.Errorf("got %s, want the holder e2", last.ID())
		}
	}
	for range 12 {
		b.Reserve("m", "e2", nil)
	}
	holder, _ := b.Target("e2")
	if got := holder.Online(); got > 9 {
		t.Errorf("got %d of 16 requests at the holder, want the others used too", got)
	}
}

func BenchmarkReserve(b *testing.B) {
	for _, endpoints := range []int{10, 100, 680} {
		b.Run(fmt.Sprint(endpoints, " endpoints"), func(b *testing.B) {
			balance := balancer.New("z", fescuebank.PolicyLeastExpected, timekeeper.Timekeeper{})
			balance.SetEndpoints(specs(endpoints, 16))
			for _, target := range balance.Targets() {
				target.ApplyCredit(16, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				balance.Reserve("m", "", nil).Release()
			}
		})
	}
}
