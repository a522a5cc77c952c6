package limiter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/timing/timekeeper"
)

const (
	endpointID = fescuebank.EndpointID("i-1")
	// step is the interval of the simulation, and heartbeat that of full messages.
	step      = 15 * time.Millisecond
	heartbeat = 250 * time.Millisecond
)

// fleet is a set of instances that all have requests for one endpoint at any time.
type fleet struct {
	ids       []fescuebank.InstanceID
	instances []*Limiter
	// groups holds the group of each instance. Gossip reaches the instances of the same group.
	groups []int
	// limit is what the endpoint states, and sent holds when it got a request.
	limit fescuebank.RequestRate
	sent  []time.Time
	steps int
}

func newFleet(size int) *fleet {
	f := &fleet{groups: make([]int, size)}
	for i := range size {
		f.ids = append(f.ids, fescuebank.InstanceID(fmt.Sprintf("instance-%d", i)))
		f.instances = append(f.instances, nil)
	}
	for i := range size {
		f.restart(i)
	}
	return f
}

// restart replaces an instance by one that knows only the members.
func (f *fleet) restart(i int) {
	f.instances[i] = New(Config{Self: f.ids[i], Clock: timekeeper.Timekeeper{}, Announce: func() {}, Log: hclog.NewNullLogger()})
	var others []fescuebank.InstanceID
	for _, id := range f.ids {
		if id != f.ids[i] {
			others = append(others, id)
		}
	}
	f.instances[i].SetMembers(others)
}

// run has all instances send what they may for the duration d.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		f.gossip()
		for _, l := range f.instances {
			f.send(l)
		}
	}
}

// send sends one request if the instance may.
func (f *fleet) send(l *Limiter) {
	if share, limited := l.Share(endpointID); limited && share.Available < 1 {
		return
	}
	l.Take(endpointID)
	l.Observe(endpointID, f.limit)
	f.sent = append(f.sent, time.Now())
}

func (f *fleet) gossip() {
	f.steps++
	full := f.steps%int(heartbeat/step) == 0
	for i, l := range f.instances {
		var g fescuebank.Gossip
		l.FillGossip(&g, full)
		for j, other := range f.instances {
			if i != j && f.groups[i] == f.groups[j] {
				other.ApplyGossip(&g)
			}
		}
	}
}

// mostWithin returns the largest number of requests in a window of the length d that begins after
// since.
func (f *fleet) mostWithin(d time.Duration, since time.Time) int {
	most := 0
	for i, at := range f.sent {
		count := 0
		for _, next := range f.sent[i:] {
			if next.Sub(at) < d {
				count++
			}
		}
		if !at.Before(since) {
			most = max(most, count)
		}
	}
	return most
}

// TestLimitHoldsForAllInstancesTogether guards against limits that each instance keeps for itself.
func TestLimitHoldsForAllInstancesTogether(t *testing.T) {
	const window = 4 * time.Second
	for _, tt := range []struct {
		name  string
		limit fescuebank.RequestRate
		size  int
		// disturb changes the fleet once the limit is known.
		disturb func(f *fleet)
	}{
		{"small limit", 2.3, 12, func(*fleet) {}},
		{"limit below one", 0.4, 12, func(*fleet) {}},
		{"large limit", 60, 12, func(*fleet) {}},
		{"one instance", 5, 1, func(*fleet) {}},
		{"large fleet", 2.3, 195, func(*fleet) {}},
		{"fleet in two halves", 3, 12, func(f *fleet) {
			for i := range f.groups {
				f.groups[i] = i % 2
			}
		}},
		{"every instance cut off", 3, 12, func(f *fleet) {
			for i := range f.groups {
				f.groups[i] = i
			}
		}},
		{"all restarted in turn", 6, 12, func(f *fleet) {
			for i := range f.instances {
				f.restart(i)
				f.run(300 * time.Millisecond)
			}
		}},
		{"limit that changes", 3, 12, func(f *fleet) {
			for range 10 {
				f.limit = 2.4
				f.run(700 * time.Millisecond)
				f.limit = 3
				f.run(700 * time.Millisecond)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(tt.size)
				f.limit = tt.limit
				f.run(time.Second)
				known := time.Now()
				tt.disturb(f)
				f.run(10 * time.Second)
				// While a window begins, each holder may have a request saved up.
				allowed := int(tt.limit.Over(window)) + max(1, int(tt.limit.Over(saveTime)))
				if got := f.mostWithin(window, known); got > allowed {
					t.Errorf("got %d requests within %v, want at most %d", got, window, allowed)
				}
				if got, want := f.mostWithin(window, known), int(tt.limit.Over(window)*7/10); got < want {
					t.Errorf("got %d requests within %v, want at least %d", got, window, want)
				}
			})
		})
	}
}

// TestEndOfALimitReachesAllInstances guards against limits that outlast their statement.
func TestEndOfALimitReachesAllInstances(t *testing.T) {
	for _, tt := range []struct {
		name string
		// during changes the fleet while the limit ends.
		during, after func(f *fleet)
		// within bounds the time until all instances know.
		within time.Duration
	}{
		{"in touch", func(*fleet) {}, func(*fleet) {}, 2 * time.Second},
		{"cut off meanwhile", func(f *fleet) { f.groups[0] = 1 }, func(f *fleet) { f.groups[0] = 0 }, 2 * time.Second},
		{"cut off for long", func(f *fleet) { f.groups[0] = 1 }, func(*fleet) {}, statementTTL},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(12)
				f.limit = 2
				f.run(3 * time.Second)
				tt.during(f)
				f.run(2 * time.Second)
				f.limit = 0
				f.run(2 * time.Second)
				tt.after(f)
				f.run(tt.within)
				for _, l := range f.instances {
					if _, limited := l.Share(endpointID); limited {
						t.Errorf("%s: got a limit, want none", l.Self)
					}
				}
			})
		})
	}
}

// TestRestartedInstanceLearnsLimits guards against limits that are forgotten with a restart.
func TestRestartedInstanceLearnsLimits(t *testing.T) {
	for _, limit := range []fescuebank.RequestRate{0.3, 2} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(8)
			f.limit = limit
			f.run(5 * time.Second)
			for i := range f.instances {
				f.restart(i)
				for range int(heartbeat/step) + 1 {
					f.gossip()
					time.Sleep(step)
				}
				if _, limited := f.instances[i].Share(endpointID); !limited {
					t.Errorf("limit %v: got none at instance %d a heartbeat after its restart, want it", limit, i)
				}
			}
		})
	}
}

// TestFewInstancesRepeatAStatement guards against gossip of the size instances times endpoints.
func TestFewInstancesRepeatAStatement(t *testing.T) {
	const (
		size      = 195
		endpoints = 50
		limit     = 3
	)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(size)
		for n := range endpoints {
			f.instances[n].Observe(fescuebank.EndpointID(fmt.Sprint("e", n)), limit)
		}
		f.gossip()
		time.Sleep(newsTime)
		count := 0
		for _, l := range f.instances {
			var g fescuebank.Gossip
			l.FillGossip(&g, true)
			count += len(g.RateLimits)
			l.FillGossip(&g, false)
		}
		if most := endpoints * (holderCount(limit) + extraRepeaters); count > most || count < endpoints {
			t.Errorf("got %d statements in one round of messages, want %d to %d", count, endpoints, most)
		}
	})
}

// TestUnknownMembersSendNothing guards against an instance that takes a whole limit for itself.
func TestUnknownMembersSendNothing(t *testing.T) {
	l := New(Config{Self: "a", Clock: timekeeper.Timekeeper{}, Announce: func() {}, Log: hclog.NewNullLogger()})
	l.Observe(endpointID, 10)
	if share, limited := l.Share(endpointID); !limited || share.Rate != 0 {
		t.Errorf("got share %v, limited %v before the members are known, want none of a limit", share, limited)
	}
}

// TestOldStatementsAreNotConfirmedBetweenInstances guards against limits that never end.
func TestOldStatementsAreNotConfirmedBetweenInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(12)
		f.limit = 2
		f.run(time.Second)
		for end := time.Now().Add(statementTTL); time.Now().Before(end); time.Sleep(step) {
			f.gossip()
		}
		for _, l := range f.instances {
			if got := l.Limited(); got != 0 {
				t.Errorf("%s: got %d limits %v after the last response, want none", l.Self, got, statementTTL)
			}
		}
	})
}
