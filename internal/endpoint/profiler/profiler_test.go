package profiler_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/endpoint/profiler"
	"fescuebank/internal/timing/timekeeper"
)

const (
	eventTime = 37 * time.Millisecond
	// gossipTime is the time between two messages of an instance.
	gossipTime = 150 * time.Millisecond
)

func endpoints(n int, started int64) []fescuebank.ServedEndpoint {
	list := make([]fescuebank.ServedEndpoint, n)
	for i := range list {
		list[i] = fescuebank.ServedEndpoint{
			ID: fescuebank.EndpointID("e" + strconv.Itoa(i)), Service: "s", Slots: 8, StartedUnixMilli: started,
		}
	}
	return list
}

func newProfiler(list []fescuebank.ServedEndpoint) *profiler.Profiler {
	p := profiler.New(profiler.Config{
		Clock: timekeeper.Timekeeper{}, OnReport: func(fescuebank.EndpointID, int, time.Duration) {}, Log: hclog.NewNullLogger(),
	})
	p.SetEndpoints(list)
	return p
}

// exchange sends what each instance has observed to all others.
func exchange(instances []*profiler.Profiler) {
	for i, p := range instances {
		var g fescuebank.Gossip
		p.FillGossip(&g)
		for j, other := range instances {
			if j != i {
				other.ApplyGossip(&g)
			}
		}
	}
}

// stream simulates events of a stream at an endpoint, where each takes as long as pace tells.
func stream(p *profiler.Profiler, e fescuebank.ServedEndpoint, events int, pace func() float64) {
	w := p.Begin(e, &fescuebank.Request{Route: &fescuebank.Route{Name: "r"}})
	for range events {
		time.Sleep(time.Duration(float64(eventTime) * pace()))
		w.Arrived(1)
	}
}

// TestPacesAreLearnedTogether simulates 40 instances that send four streams a second each to 60 endpoints. A
// quarter of these takes 2.2 times as long as the rest, and each has moments at which work takes 2.5
// times as long. Each instance sends an endpoint a stream every 15 s, and must know all paces after 10 s,
// also one that starts late.
func TestPacesAreLearnedTogether(t *testing.T) {
	const (
		instances = 40
		count     = 60
		slowPace  = 2.2

		moment     = 600 * time.Millisecond
		slowShare  = 0.15
		slowFactor = 2.5

		length = 10 * time.Second
		// maxError is the factor by which a pace may be wrong.
		maxError = 1.25
	)
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(3, 3))
		list := endpoints(count, 1)
		var fleet []*profiler.Profiler
		for range instances {
			fleet = append(fleet, newProfiler(list))
		}
		slow := make([]map[int]bool, count) // By endpoint and moment.
		for i := range slow {
			slow[i] = make(map[int]bool)
			for m := range int(2 * length / moment) {
				slow[i][m] = random.Float64() < slowShare
			}
		}
		lasting := func(i int) float64 {
			if i%4 == 0 {
				return slowPace
			}
			return 1
		}
		began := time.Now()
		lastExchange := began
		for time.Since(began) < length {
			p, i := fleet[random.IntN(len(fleet))], random.IntN(count)
			go stream(p, list[i], 4+random.IntN(30), func() float64 {
				if slow[i][int(time.Since(began)/moment)] {
					return lasting(i) * slowFactor
				}
				return lasting(i)
			})
			if time.Since(began) > length/2 && len(fleet) == instances {
				fleet = append(fleet, newProfiler(list))
			}
			if time.Since(lastExchange) >= gossipTime {
				lastExchange = time.Now()
				exchange(fleet)
			}
			time.Sleep(6250 * time.Microsecond)
		}
		for n, p := range fleet {
			for i, e := range list {
				got := float64(p.LastingPace(e.ID))
				if wrong := math.Abs(math.Log(got / lasting(i))); wrong > math.Log(maxError) {
					t.Errorf("instance %d, endpoint %d: got pace %.2f, want %.2f within a factor of %.2f", n, i, got, lasting(i), maxError)
				}
			}
		}
		time.Sleep(10 * time.Second) // Lets all streams end.
	})
}

// TestSlowdownIsShared checks that a slowdown that an endpoint states to one instance is known to the
// others, that it ends within a second if nothing more is heard, and at once if the endpoint
// states its end.
func TestSlowdownIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := endpoints(3, 1)
		fleet := []*profiler.Profiler{newProfiler(list), newProfiler(list)}
		slow := list[1]
		paces := func() [2]fescuebank.Pace {
			return [2]fescuebank.Pace{fleet[0].Pace(slow.ID), fleet[1].Pace(slow.ID)}
		}
		fleet[0].Observe(slow, fescuebank.EndpointLoad{Running: 3, Slots: 8, Slowdown: 2.5})
		if got, want := paces(), [2]fescuebank.Pace{2.5, 1}; got != want {
			t.Errorf("got paces %v before a message, want %v", got, want)
		}
		time.Sleep(200 * time.Millisecond)
		exchange(fleet)
		if got := paces(); got[0] != got[1] || got[0] < 2 || got[0] >= 2.5 {
			t.Errorf("got paces %v 0.2 s after the report, want the same, between 2 and 2.5", got)
		}
		if got := fleet[1].LastingPace(slow.ID); got != 1 {
			t.Errorf("got lasting pace %v, want 1", got)
		}
		fleet[1].Observe(slow, fescuebank.EndpointLoad{Running: 3, Slots: 8, Slowdown: 1})
		exchange(fleet)
		if got, want := paces(), [2]fescuebank.Pace{1, 1}; got != want {
			t.Errorf("got paces %v after the end, want %v", got, want)
		}
		fleet[0].Observe(slow, fescuebank.EndpointLoad{Running: 3, Slots: 8, Slowdown: 2.5})
		time.Sleep(time.Second)
		exchange(fleet)
		if got, want := paces(), [2]fescuebank.Pace{1, 1}; got != want {
			t.Errorf("got paces %v a second after the last report, want %v", got, want)
		}
	})
}

// TestSlowEventsShowSlowdown checks that the latest events show a slowdown, and its end, at an endpoint
// that states none.
func TestSlowEventsShowSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := endpoints(3, 1)
		p := newProfiler(list)
		for range 5 {
			for _, e := range list {
				stream(p, e, 33, func() float64 { return 1 })
			}
		}
		stream(p, list[0], 9, func() float64 { return 3 })
		if got := p.Pace(list[0].ID); got < 2 {
			t.Errorf("got pace %.2f after slow events, want at least 2", got)
		}
		if got := p.LastingPace(list[0].ID); got > 1.2 {
			t.Errorf("got lasting pace %.2f after few slow events, want at most 1.2", got)
		}
		stream(p, list[0], 9, func() float64 { return 1 })
		if got := p.Pace(list[0].ID); got > 1.2 {
			t.Errorf("got pace %.2f after usual events, want at most 1.2", got)
		}
	})
}

// TestRestartedEndpointIsUnknown checks that what was known of an endpoint doesn't hold after its
// restart, also if other instances still tell of the former incarnation.
func TestRestartedEndpointIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := endpoints(3, 1)
		fleet := []*profiler.Profiler{newProfiler(list), newProfiler(list)}
		learn := func() {
			for range 5 {
				for i, e := range list {
					stream(fleet[0], e, 33, func() float64 { return float64(1 + 2*(i%2)) })
				}
			}
			fleet[0].Observe(list[1], fescuebank.EndpointLoad{Running: 1, Slots: 8, Slowdown: 2})
		}
		learn()
		exchange(fleet)
		if got := fleet[1].Pace(list[1].ID); got < 5 {
			t.Fatalf("got pace %.2f, want nearly 6", got)
		}
		fleet[1].SetEndpoints(list)
		if got := fleet[1].LastingPace(list[1].ID); got < 2.5 {
			t.Errorf("got lasting pace %.2f after the same list, want nearly 3", got)
		}
		learn()
		fleet[1].SetEndpoints(endpoints(3, 2))
		exchange(fleet)
		if got := fleet[1].Pace(list[1].ID); got != 1 {
			t.Errorf("got pace %.2f of the new incarnation, want 1", got)
		}
	})
}

// TestReportsArePassedOn checks that other instances learn how many requests an endpoint reported, unless
// the report is old.
func TestReportsArePassedOn(t *testing.T) {
	for _, tt := range []struct {
		name string
		age  time.Duration
		want int
	}{
		{"recent", 100 * time.Millisecond, 7},
		{"old", 1100 * time.Millisecond, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := endpoints(1, 1)
				got := 0
				receiver := profiler.New(profiler.Config{Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(), OnReport: func(id fescuebank.EndpointID, requests int, age time.Duration) {
					if id != list[0].ID || age != tt.age {
						t.Errorf("got a report of %s of age %v, want %s and %v", id, age, list[0].ID, tt.age)
					}
					got = requests
				}})
				receiver.SetEndpoints(list)
				sender := newProfiler(list)
				sender.Observe(list[0], fescuebank.EndpointLoad{Running: 5, Waiting: 2, Slots: 8})
				time.Sleep(tt.age)
				exchange([]*profiler.Profiler{sender, receiver})
				if got != tt.want {
					t.Errorf("got %d requests, want %d", got, tt.want)
				}
			})
		})
	}
}

// TestStatedSlowdownIsComparedWithTheUsualOne checks that only what an endpoint states beyond what it mostly
// states is taken for a moment, as the rest is in its lasting pace.
func TestStatedSlowdownIsComparedWithTheUsualOne(t *testing.T) {
	for _, tt := range []struct {
		name   string
		stated []fescuebank.Slowdown
		want   fescuebank.Pace
	}{
		{"nothing", nil, 1},
		{"first statement", []fescuebank.Slowdown{1.2}, 1.2},
		{"as always", []fescuebank.Slowdown{1.2, 1.2, 1.2, 1.2, 1.2, 1.2}, 1},
		{"slow for a moment", []fescuebank.Slowdown{0.5, 0.5, 0.5, 0.5, 0.5, 1.25}, 2.5},
		{"as always again", []fescuebank.Slowdown{0.5, 0.5, 0.5, 0.5, 0.5, 1.25, 1.25, 0.5}, 1},
		{"out of range", []fescuebank.Slowdown{1e9}, 16},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := endpoints(2, 1)
				fleet := []*profiler.Profiler{newProfiler(list), newProfiler(list)}
				for _, s := range tt.stated {
					time.Sleep(10 * time.Millisecond)
					fleet[0].Observe(list[0], fescuebank.EndpointLoad{Running: 1, Slots: 8, Slowdown: s})
					exchange(fleet)
				}
				for i, p := range fleet {
					if got := p.Pace(list[0].ID); math.Abs(float64(got/tt.want)-1) > 0.01 {
						t.Errorf("instance %d: got pace %.3f, want %.3f", i, got, tt.want)
					}
				}
			})
		})
	}
}
