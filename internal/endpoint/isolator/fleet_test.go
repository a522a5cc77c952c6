package isolator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

// lag is how long gossip takes.
const lag = 20 * time.Millisecond

// fleet is a set of instances that exchange gossip.
type fleet struct {
	t         *testing.T
	store     *memorystorer.MemoryStorer
	instances []*Isolator
	// up holds the addresses of endpoints that still listen after their connections broke.
	up      map[string]bool
	crashes int
}

func newFleet(t *testing.T, instances int) *fleet {
	f := &fleet{t: t, store: &memorystorer.MemoryStorer{}, up: make(map[string]bool)}
	for range instances {
		f.instances = append(f.instances, nil)
	}
	f.restart()
	return f
}

// restart replaces all instances by ones that know only what is stored.
func (f *fleet) restart() {
	for n := range f.instances {
		f.instances[n] = f.start()
	}
	time.Sleep(lag)
}

func (f *fleet) start() *Isolator {
	i := New(Config{
		Store: f.store, IsDown: func(addr string) bool { return !f.up[addr] }, Announce: func() {},
		Lag:   func() time.Duration { return lag },
		Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	f.t.Cleanup(cancel)
	go i.Run(ctx)
	return i
}

// gossip delivers a message of each instance to all others, after the time that it takes.
func (f *fleet) gossip() {
	messages := make([]fescuebank.Gossip, len(f.instances))
	for n, i := range f.instances {
		messages[n].From = fescuebank.InstanceID(fmt.Sprint(n))
		i.FillGossip(&messages[n])
	}
	time.Sleep(lag)
	for n, i := range f.instances {
		for m := range messages {
			if m != n {
				i.ApplyGossip(&messages[m])
			}
		}
	}
}

// request returns a request with a body.
func request(body string) *fescuebank.Request {
	return &fescuebank.Request{ID: fescuebank.RequestID(fescuebank.NewRandomID("r")), Service: "s", Team: "team", Target: "/x", Body: []byte(body)}
}

// newEndpoint returns an endpoint that crashes.
func (f *fleet) newEndpoint() fescuebank.ServedEndpoint {
	f.crashes++
	return fescuebank.ServedEndpoint{ID: fescuebank.EndpointID(fmt.Sprint("i-", f.crashes)), Addr: fmt.Sprint("addr-", f.crashes)}
}

// enter starts a run of a request at an instance if it may run without waiting.
func (f *fleet) enter(n int, r *fescuebank.Request) (run fescuebank.GuardedRun, ok bool) {
	f.t.Helper()
	run, err := f.instances[n].Enter(f.t.Context(), r, 0)
	var refusal *fescuebank.Refusal
	if err != nil && (!errors.As(err, &refusal) || refusal.Code != fescuebank.CodeQuarantined || refusal.State != fescuebank.NotRun || refusal.RetryAfter <= 0) {
		f.t.Errorf("got error %v, want a refusal with the code %q and a Retry-After", err, fescuebank.CodeQuarantined)
	}
	return run, err == nil
}

// crash has an endpoint crash under those of the requests that may run at an instance, and returns
// their number. Gossip about it arrives before it returns.
func (f *fleet) crash(n int, requests ...*fescuebank.Request) int {
	f.t.Helper()
	var runs []fescuebank.GuardedRun
	for _, r := range requests {
		if run, ok := f.enter(n, r); ok {
			runs = append(runs, run)
		}
	}
	f.gossip()
	if len(runs) == 0 {
		return 0
	}
	e := f.newEndpoint()
	for _, run := range runs {
		run.RecordLost(e)
		run.Leave()
	}
	f.gossip()
	time.Sleep(2 * settleMargin)
	f.gossip()
	return len(runs)
}

// serve runs a request completely at an instance, if it may run.
func (f *fleet) serve(n int, r *fescuebank.Request) {
	f.t.Helper()
	if run, ok := f.enter(n, r); ok {
		run.RecordCompleted()
		run.Leave()
	}
	f.gossip()
}

// check checks whether a request may run at each instance.
func (f *fleet) check(what string, r *fescuebank.Request, want bool) {
	f.t.Helper()
	for n := range f.instances {
		run, got := f.enter(n, r)
		if got {
			run.Leave()
		}
		if got != want {
			f.t.Errorf("%s: instance %d: got %v that the request may run, want %v", what, n, got, want)
		}
	}
}
