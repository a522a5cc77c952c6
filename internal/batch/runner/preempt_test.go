package runner

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/estimator"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// TestItemsYieldToAStreamOfTheirVersion guards against streams that don't go on because batch items
// hold all slots of their version while other versions have free ones.
func TestItemsYieldToAStreamOfTheirVersion(t *testing.T) {
	for _, tt := range []struct {
		name string
		// waiting is the number of requests that wait at other instances.
		waiting int
		want    map[string]int
	}{
		{"nothing waits", 0, map[string]int{"v1": 0, "v2": 0}},
		{"one waits", 1, map[string]int{"v1": 1, "v2": 0}},
		{"three wait", 3, map[string]int{"v1": 3, "v2": 0}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := timekeeper.Timekeeper{}
			a := allocator.New(clock, func() {})
			a.SetEndpoints([]fescuebank.ServedEndpoint{
				{ID: "i-1", Service: "s", Version: "v1", Slots: 4}, {ID: "i-2", Service: "s", Version: "v2", Slots: 8},
			})
			r := New(Config{
				Manager: manager.New(manager.Config{Estimator: estimator.New()}), Allocator: a, Clock: clock, Log: hclog.NewNullLogger(),
				PeerBatchItems: func() int { return 0 }, Lag: func() time.Duration { return time.Millisecond },
			})
			cancelled := map[string]int{}
			for _, version := range []string{"v1", "v2", "v1", "v2", "v1", "v1"} {
				slot := a.AcquireBatch("s", version, 0)
				task := &manager.Task{Request: &fescuebank.Request{Service: "s", Route: &fescuebank.Route{}}, Due: clock.Now()}
				r.running = append(r.running, &attempt{task: task, slot: slot, cancel: func() { cancelled[slot.Endpoint.Version]++ }})
			}
			a.SetPeerCounts(nil, tt.waiting, 0)
			r.preempt()
			for version, want := range tt.want {
				if got := cancelled[version]; got != want {
					t.Errorf("%s: got %d items cancelled, want %d", version, got, want)
				}
			}
		})
	}
}

// TestNearlyDoneItemsYieldLast checks that items that are nearly done go on when online requests need
// slots, and that an item that is due first doesn't yield only for having begun.
func TestNearlyDoneItemsYieldLast(t *testing.T) {
	const (
		events   = 100
		perEvent = 50 * time.Millisecond
	)
	clock := timekeeper.Timekeeper{}
	known := estimator.New()
	known.ObserveItem("batch", events)
	known.ObserveAttempt("batch", events, perEvent*events)
	r := New(Config{
		Manager:   manager.New(manager.Config{Estimator: known}),
		Allocator: allocator.New(clock, func() {}), Clock: clock, Log: hclog.NewNullLogger(),
	})
	var running []*attempt
	for _, item := range []struct {
		events int64
		due    time.Duration
	}{{10, 18 * time.Second}, {90, 16 * time.Second}, {50, 17 * time.Second}, {20, 3 * time.Second}} {
		a := &attempt{task: &manager.Task{Request: &fescuebank.Request{Service: "s", Route: &fescuebank.Route{Name: "batch"}}, Due: clock.Now().Add(item.due)}}
		a.events.Store(item.events)
		running = append(running, a)
	}
	got := r.firstToYield("s", running, 3)
	// The last one can't be done in time any more.
	for i, want := range []*attempt{running[3], running[0], running[2]} {
		if got[i] != want {
			t.Errorf("place %d: got the item with %d events, want the one with %d", i, got[i].events.Load(), want.events.Load())
		}
	}
}
