package runner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/endpoint/dialer"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// usedUpLimit is a RateLimiter of which one endpoint states a limit that is used up.
type usedUpLimit fescuebank.EndpointID

func (usedUpLimit) Take(fescuebank.EndpointID) {}
func (l usedUpLimit) Share(id fescuebank.EndpointID) (fescuebank.RateShare, bool) {
	return fescuebank.RateShare{}, id == fescuebank.EndpointID(l)
}
func (usedUpLimit) Observe(fescuebank.EndpointID, fescuebank.RequestRate) {}
func (usedUpLimit) ObserveCold(fescuebank.EndpointID, time.Duration)      {}

// passingGuard is a CrashGuard that records nothing. It may be used by several attempts at the same time.
type passingGuard struct{}

func (passingGuard) Enter(context.Context, *fescuebank.Request, time.Duration) (fescuebank.GuardedRun, error) {
	panic("a batch item must run in any case")
}
func (g passingGuard) Observe(*fescuebank.Request) fescuebank.GuardedRun { return g }
func (passingGuard) RecordLost(fescuebank.ServedEndpoint)                {}
func (passingGuard) RecordCompleted()                                    {}
func (passingGuard) Leave()                                              {}

// newTestRunner returns a runner of the only instance of a fleet.
func newTestRunner(t *testing.T, a *allocator.Allocator, routes []fescuebank.Route, jobs ...*fescuebank.RoutedJob) *Runner {
	t.Helper()
	clock := timekeeper.Timekeeper{}
	return New(Config{
		Manager: newManager(t, routes, jobs...), Allocator: a, Exchanger: exchanger.New(resumingProtocol{}, clock, dialer.Direct), Protocol: resumingProtocol{}, Guard: passingGuard{},
		PeerBatchItems: func() int { return 0 }, Owners: func() int { return 1 }, Lag: func() time.Duration { return time.Millisecond },
		Clock: clock, Log: hclog.NewNullLogger(),
	})
}

// hangingEndpoint returns the address of an endpoint that never responds until the test ends.
func hangingEndpoint(t *testing.T) string {
	t.Helper()
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ended }))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(ended) })
	return server.Listener.Addr().String()
}

// startedServices makes the runner start items and returns how many it has started at each service.
func startedServices(t *testing.T, r *Runner) map[fescuebank.ServiceName]int {
	t.Helper()
	r.startItems()
	r.mu.Lock()
	started := make(map[fescuebank.ServiceName]int)
	for _, a := range r.running {
		started[a.task.Request.Service]++
	}
	r.mu.Unlock()
	r.Stop()
	return started
}

// TestServiceWithoutRoomHoldsUpNoOther guards against items that wait beside idle endpoints of their service, behind more urgent
// ones of a service without room.
func TestServiceWithoutRoomHoldsUpNoOther(t *testing.T) {
	const items = 3
	for _, tt := range []struct {
		name string
		// fill takes all room of the service full.
		fill func(a *allocator.Allocator, full, idle fescuebank.ServedEndpoint)
	}{
		{"no endpoint", func(a *allocator.Allocator, _, idle fescuebank.ServedEndpoint) {
			a.SetEndpoints([]fescuebank.ServedEndpoint{idle})
		}},
		{"all slots taken", func(a *allocator.Allocator, full, _ fescuebank.ServedEndpoint) {
			for range full.Slots {
				_ = a.AcquireBatch("full", "", 0)
			}
		}},
		{"all slots taken by other instances", func(a *allocator.Allocator, full, _ fescuebank.ServedEndpoint) {
			a.SetPeerCounts(fescuebank.EndpointCounts{full.ID.Tag(): full.Slots}, 0, full.Slots)
		}},
		{"endpoint leaves", func(a *allocator.Allocator, full, idle fescuebank.ServedEndpoint) {
			full.Leaving = true
			a.SetEndpoints([]fescuebank.ServedEndpoint{full, idle})
		}},
		{"endpoint excluded", func(a *allocator.Allocator, full, _ fescuebank.ServedEndpoint) { a.Deprioritize(full.ID, time.Hour) }},
		{"zone evacuated", func(a *allocator.Allocator, full, _ fescuebank.ServedEndpoint) {
			a.SetEvacuated([]fescuebank.Zone{full.Zone})
		}},
		{"requests wait for it at other instances", func(a *allocator.Allocator, _, _ fescuebank.ServedEndpoint) {
			a.SetPeersWaitingAt(fescuebank.ServiceCounts{"full": 5})
			a.SetPeerCounts(nil, 5, 0)
		}},
		{"limit used up", func(*allocator.Allocator, fescuebank.ServedEndpoint, fescuebank.ServedEndpoint) {}},
	} {
		for _, teams := range [][2]fescuebank.TeamID{{testTeam, testTeam}, {"first", "second"}, {"second", "first"}} {
			t.Run(tt.name, func(t *testing.T) {
				full := fescuebank.ServedEndpoint{ID: "i-full", Service: "full", Zone: "a", Slots: 4, Addr: hangingEndpoint(t)}
				idle := fescuebank.ServedEndpoint{ID: "i-idle", Service: "idle", Zone: "b", Slots: 8, Addr: hangingEndpoint(t)}
				a := allocator.New(timekeeper.Timekeeper{}, func() {})
				if tt.name == "limit used up" {
					a = allocator.NewLimited(timekeeper.Timekeeper{}, func() {}, usedUpLimit(full.ID))
				}
				a.SetEndpoints([]fescuebank.ServedEndpoint{full, idle})
				tt.fill(a, full, idle)
				first, second := testJob("full", "f1", "f2", "f3"), testJob("idle", "i1", "i2", "i3")
				first.Team, second.Team = teams[0], teams[1]
				r := newTestRunner(t, a, []fescuebank.Route{
					testRoute("full", fescuebank.ServiceShare{Service: "full", Weight: 1}), testRoute("idle", fescuebank.ServiceShare{Service: "idle", Weight: 1}),
				}, first, second)
				started := startedServices(t, r)
				if started["full"] != 0 || started["idle"] != items {
					t.Errorf("got %d items started at the full service and %d at the idle one, want none and %d", started["full"], started["idle"], items)
				}
			})
		}
	}
}

// TestItemsOfASplitRouteGoToAllItsServices guards against a route whose items all go to its first service, and wait for its room.
func TestItemsOfASplitRouteGoToAllItsServices(t *testing.T) {
	const (
		items = 200
		slots = 1000
	)
	ids := make([]string, items)
	for n := range ids {
		ids[n] = fmt.Sprintf("item-%d", n)
	}
	split := testRoute("batch", fescuebank.ServiceShare{Service: "next", Weight: 10}, fescuebank.ServiceShare{Service: "last", Weight: 90})
	next := fescuebank.ServedEndpoint{ID: "i-next", Service: "next", Slots: slots, Addr: hangingEndpoint(t)}
	last := fescuebank.ServedEndpoint{ID: "i-last", Service: "last", Slots: slots, Addr: hangingEndpoint(t)}
	for _, tt := range []struct {
		name      string
		endpoints []fescuebank.ServedEndpoint
		// least and most bound the number of items started at each service.
		least, most map[fescuebank.ServiceName]int
	}{
		{"both have room", []fescuebank.ServedEndpoint{next, last}, map[fescuebank.ServiceName]int{"next": 10, "last": 160}, map[fescuebank.ServiceName]int{"next": 40, "last": 190}},
		{"the first has none", []fescuebank.ServedEndpoint{last}, map[fescuebank.ServiceName]int{"last": 160}, map[fescuebank.ServiceName]int{"last": 190}},
		{"the last has none", []fescuebank.ServedEndpoint{next}, map[fescuebank.ServiceName]int{"next": 10}, map[fescuebank.ServiceName]int{"next": 40}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := allocator.New(timekeeper.Timekeeper{}, func() {})
			a.SetEndpoints(tt.endpoints)
			got := startedServices(t, newTestRunner(t, a, []fescuebank.Route{split}, testJob("batch", ids...)))
			for _, service := range []fescuebank.ServiceName{"next", "last"} {
				if got[service] < tt.least[service] || got[service] > tt.most[service] {
					t.Errorf("got %d items started at %s, want %d to %d", got[service], service, tt.least[service], tt.most[service])
				}
			}
		})
	}
}
