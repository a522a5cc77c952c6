package allocator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/limit/limiter"
	"fescuebank/internal/timing/timekeeper"
)

// newLimitedAllocator returns an allocator of the only instance of a fleet, and its endpoints, the first
// limited of which state a limit.
func newLimitedAllocator(count, limited int, limit fescuebank.RequestRate) (*allocator.Allocator, []fescuebank.ServedEndpoint) {
	clock := timekeeper.Timekeeper{}
	l := limiter.New(limiter.Config{Self: "e", Clock: clock, Announce: func() {}, Log: hclog.NewNullLogger()})
	l.SetMembers(nil)
	a := allocator.NewLimited(clock, func() {}, l)
	list := endpoints(count, 4)
	a.SetEndpoints(list)
	for _, e := range list[:limited] {
		l.Observe(e.ID, limit)
	}
	return a, list
}

// TestLimitIsLeftForHighLoad guards against limits that are used up while other slots are free.
func TestLimitIsLeftForHighLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, list := newLimitedAllocator(2, 1, 2)
		time.Sleep(3 * time.Second) // Until as much as may be is saved up.
		for n := range 8 {
			slot, err := a.Acquire(context.Background(), slotRequest(0))
			if err != nil {
				t.Fatalf("request %d: got %v, want a slot", n, err)
			}
			if limited := slot.Endpoint.ID == list[0].ID; limited != (n >= 4) {
				t.Errorf("request %d: got the endpoint %s", n, slot.Endpoint.ID)
			}
		}
	})
}

// TestFreeSlotsBeyondTheLimitAreNotWaitedFor guards against waits for slots that the limit forbids.
func TestFreeSlotsBeyondTheLimitAreNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newLimitedAllocator(1, 1, 2)
		time.Sleep(3 * time.Second)
		for range 4 {
			mustAcquire(t, a).Release()
		}
		if _, err := a.Acquire(context.Background(), slotRequest(100*time.Millisecond)); !errors.Is(err, allocator.ErrFull) {
			t.Errorf("got %v, want %v", err, allocator.ErrFull)
		}
		began := time.Now()
		if _, err := a.Acquire(context.Background(), slotRequest(time.Second)); err != nil || time.Since(began) > 600*time.Millisecond {
			t.Errorf("got %v after %v, want a slot as soon as the limit allows it", err, time.Since(began))
		}
	})
}

// TestBatchWorkUsesThisInstancesPartOfALimit guards against parts of limits that nobody uses.
func TestBatchWorkUsesThisInstancesPartOfALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, list := newLimitedAllocator(2, 1, 2)
		time.Sleep(3 * time.Second)
		a.SetPeerCounts(nil, 5, 0)
		if got, want := a.BatchRoom("s", 0.1), 4; got != want {
			t.Errorf("got room for %d items, want %d", got, want)
		}
		slot := a.AcquireBatch("s", "", 0.1)
		if slot == nil || slot.Endpoint.ID != list[0].ID || !slot.Limited() {
			t.Errorf("got slot %v, want one at the limited endpoint", slot)
		}
		for range 3 {
			a.AcquireBatch("s", "", 0.1)
		}
		if slot := a.AcquireBatch("s", "", 0.1); slot != nil {
			t.Errorf("got a slot at %s beyond the limit while requests wait, want none", slot.Endpoint.ID)
		}
	})
}

// TestInstanceWithoutAPartOfAnyLimitRefusesAtOnce guards against waiting in vain.
func TestInstanceWithoutAPartOfAnyLimitRefusesAtOnce(t *testing.T) {
	clock := timekeeper.Timekeeper{}
	l := limiter.New(limiter.Config{Self: "e", Clock: clock, Announce: func() {}, Log: hclog.NewNullLogger()})
	a := allocator.NewLimited(clock, func() {}, l)
	a.SetEndpoints(endpoints(1, 4))
	l.Observe(endpoints(1, 4)[0].ID, 2)
	if _, err := a.Acquire(context.Background(), slotRequest(time.Second)); !errors.Is(err, allocator.ErrFull) {
		t.Errorf("got %v, want %v", err, allocator.ErrFull)
	}
}
