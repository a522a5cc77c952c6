package allocator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// entriesAt returns the entries of two endpoints, the first of which started at the given
// time.
func entriesAt(started time.Time) []fescuebank.ServedEndpoint {
	list := endpoints(2, 4)
	list[0].StartedUnixMilli = started.UnixMilli()
	return list
}

// TestStatementThatAnEndpointLeavesHolds guards against requests to an endpoint that stated
// that it leaves, when its entry says ready, is read out of date or vanishes for a while.
func TestStatementThatAnEndpointLeavesHolds(t *testing.T) {
	for _, tt := range []struct {
		name string
		// before, if set, is what happens between the request and the statement.
		before func(a *allocator.Allocator, started time.Time)
		// change is what happens after the statement. The endpoint started at the time started
		// and got its request at the time requested.
		change func(a *allocator.Allocator, started, requested time.Time)
		// leaves is whether the endpoint is still taken for leaving.
		leaves bool
	}{
		{"no change", nil, func(*allocator.Allocator, time.Time, time.Time) {}, true},
		{"entry still ready", nil, func(a *allocator.Allocator, started, _ time.Time) {
			a.SetEndpoints(entriesAt(started))
		}, true},
		{"another address", nil, func(a *allocator.Allocator, started, _ time.Time) {
			list := entriesAt(started)
			list[0].Addr = "10.0.1.1:80"
			a.SetEndpoints(list)
		}, true},
		{"entry vanishes and comes back", nil, func(a *allocator.Allocator, started, _ time.Time) {
			a.SetEndpoints(entriesAt(started)[1:])
			time.Sleep(10 * time.Minute)
			a.SetEndpoints(entriesAt(started)[1:])
			a.SetEndpoints(entriesAt(started))
		}, true},
		{"listed for a long time, then read out of date", nil, func(a *allocator.Allocator, started, _ time.Time) {
			time.Sleep(24 * time.Hour)
			a.SetEndpoints(entriesAt(started)[1:])
			a.SetEndpoints(entriesAt(started))
		}, true},
		{"all endpoints vanish and come back", nil, func(a *allocator.Allocator, started, _ time.Time) {
			a.SetEndpoints(nil)
			a.SetEndpoints(entriesAt(started))
		}, true},
		{"entry of an earlier incarnation", nil, func(a *allocator.Allocator, started, _ time.Time) {
			a.SetEndpoints(entriesAt(started.Add(-time.Minute)))
		}, true},
		{"entry of the incarnation that responded comes late", nil, func(a *allocator.Allocator, _, requested time.Time) {
			a.SetEndpoints(entriesAt(requested.Add(-time.Second)))
		}, true},
		{"entry vanishes before the statement", func(a *allocator.Allocator, started time.Time) {
			a.SetEndpoints(entriesAt(started)[1:])
		}, func(a *allocator.Allocator, started, _ time.Time) {
			a.SetEndpoints(entriesAt(started))
		}, true},
		{"restarted before the statement", func(a *allocator.Allocator, _ time.Time) {
			time.Sleep(time.Minute)
			a.SetEndpoints(entriesAt(time.Now()))
		}, func(*allocator.Allocator, time.Time, time.Time) {}, false},
		{"restarted", nil, func(a *allocator.Allocator, _, requested time.Time) {
			a.SetEndpoints(entriesAt(requested.Add(time.Second)))
		}, false},
		{"gone for a long time", nil, func(a *allocator.Allocator, started, _ time.Time) {
			a.SetEndpoints(entriesAt(started)[1:])
			time.Sleep(2 * time.Hour)
			a.SetEndpoints(entriesAt(started)[1:])
			a.SetEndpoints(entriesAt(started))
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				a := allocator.New(timekeeper.Timekeeper{}, func() {})
				a.SetEndpoints(entriesAt(started)[:1])
				time.Sleep(time.Minute)
				requested := time.Now()
				slot := mustAcquire(t, a)
				a.SetEndpoints(entriesAt(started))
				if tt.before != nil {
					tt.before(a, started)
				}
				if !slot.MarkLeaving() {
					t.Error("got no first statement, want one")
				}
				if slot.MarkLeaving() {
					t.Error("got the same statement as another first one, want it known")
				}
				tt.change(a, started, requested)
				slot.Release()
				if got := !getsRequests(a, slot.Endpoint.ID); got != tt.leaves {
					t.Errorf("got leaving %v, want %v", got, tt.leaves)
				}
			})
		})
	}
}

// getsRequests reports whether the endpoint gets online requests or batch work until all slots
// are taken.
func getsRequests(a *allocator.Allocator, id fescuebank.EndpointID) bool {
	found := false
	for {
		slot := a.AcquireBatch("s", "", 0)
		if slot == nil {
			slot, _ = a.Acquire(context.Background(), slotRequest(0))
		}
		if slot == nil {
			return found
		}
		found = found || slot.Endpoint.ID == id
	}
}

// TestExcludedEndpointsAreUsedBeforeLeavingOnes guards against requests to a leaving endpoint
// while all others are excluded.
func TestExcludedEndpointsAreUsedBeforeLeavingOnes(t *testing.T) {
	a := newAllocator(2, 4)
	leaving := mustAcquire(t, a)
	leaving.MarkLeaving()
	for _, e := range endpoints(2, 4) {
		a.Exclude(e.ID, allocator.ExclusionTime)
	}
	for range 4 {
		if got := mustAcquire(t, a).Endpoint.ID; got == leaving.Endpoint.ID {
			t.Errorf("got the leaving endpoint %s, want the other", got)
		}
	}
}

// TestNoEndpointLeftIsRefusedAtOnce guards against requests that wait until their deadline
// although all endpoints leave.
func TestNoEndpointLeftIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllocator(1, 1)
		mustAcquire(t, a).MarkLeaving()
		began := time.Now()
		_, err := a.Acquire(context.Background(), slotRequest(time.Second))
		if waited := time.Since(began); !errors.Is(err, allocator.ErrNoEndpoint) || waited != 0 {
			t.Errorf("got %v after %v, want %v at once", err, waited, allocator.ErrNoEndpoint)
		}
	})
}

// TestWaitEndsWhenNoEndpointIsLeft guards against requests that wait until their deadline
// although the last endpoint that could serve them left meanwhile.
func TestWaitEndsWhenNoEndpointIsLeft(t *testing.T) {
	list := endpoints(2, 1)
	for _, tt := range []struct {
		name string
		// tried are the endpoints that the waiting request already tried.
		tried []fescuebank.EndpointID
		// leave makes endpoints leave while the request waits.
		leave func(a *allocator.Allocator, first, second *allocator.Slot)
		// ends is whether the wait ends at once.
		ends bool
	}{
		{"both state that they leave", nil, func(_ *allocator.Allocator, first, second *allocator.Slot) {
			first.MarkLeaving()
			second.MarkLeaving()
		}, true},
		{"one states that it leaves, the other is removed", nil, func(a *allocator.Allocator, first, _ *allocator.Slot) {
			first.MarkLeaving()
			a.SetEndpoints([]fescuebank.ServedEndpoint{first.Endpoint})
		}, true},
		{"entries say that both leave", nil, func(a *allocator.Allocator, _, _ *allocator.Slot) {
			leaving := endpoints(2, 1)
			leaving[0].Leaving, leaving[1].Leaving = true, true
			a.SetEndpoints(leaving)
		}, true},
		{"one leaves, the other was tried", []fescuebank.EndpointID{list[1].ID}, func(_ *allocator.Allocator, first, second *allocator.Slot) {
			slotAt(list[0].ID, first, second).MarkLeaving()
		}, true},
		{"one leaves", nil, func(_ *allocator.Allocator, first, _ *allocator.Slot) {
			first.MarkLeaving()
		}, false},
		{"both are excluded for a while", nil, func(a *allocator.Allocator, first, second *allocator.Slot) {
			a.Exclude(first.Endpoint.ID, allocator.ExclusionTime)
			a.Exclude(second.Endpoint.ID, allocator.ExclusionTime)
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const maxWait = 5 * time.Second
				a := newAllocator(2, 1)
				first, second := mustAcquire(t, a), mustAcquire(t, a)
				began := time.Now()
				done := make(chan error)
				go func() {
					request := slotRequest(maxWait)
					request.Tried = tt.tried
					_, err := a.Acquire(context.Background(), request)
					done <- err
				}()
				synctest.Wait()
				tt.leave(a, first, second)
				err := <-done
				want, wantWait := allocator.ErrFull, maxWait
				if tt.ends {
					want, wantWait = allocator.ErrNoEndpoint, 0
				}
				if waited := time.Since(began); !errors.Is(err, want) || waited != wantWait {
					t.Errorf("got %v after %v, want %v after %v", err, waited, want, wantWait)
				}
				if _, waiting := a.Counts(); waiting != 0 {
					t.Errorf("got %d waiting requests, want none", waiting)
				}
			})
		})
	}
}

// slotAt returns the one of the slots that is at the endpoint.
func slotAt(id fescuebank.EndpointID, first, second *allocator.Slot) *allocator.Slot {
	if first.Endpoint.ID == id {
		return first
	}
	return second
}

// TestSlotsAtLeavingEndpointsServeNoWait guards against requests that wait for a slot that is
// released at an endpoint that leaves.
func TestSlotsAtLeavingEndpointsServeNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllocator(2, 1)
		leaving := mustAcquire(t, a)
		time.Sleep(600 * time.Millisecond) // The assumed hold time is 700 ms.
		mustAcquire(t, a)
		leaving.MarkLeaving()
		began := time.Now()
		_, err := a.Acquire(context.Background(), slotRequest(300*time.Millisecond))
		if waited := time.Since(began); !errors.Is(err, allocator.ErrFull) || waited != 0 {
			t.Errorf("got %v after %v, want %v at once", err, waited, allocator.ErrFull)
		}
	})
}

// TestWaitingRequestGetsNoSlotAtALeavingEndpoint guards against requests assigned to an endpoint
// that stated that it leaves while they waited.
func TestWaitingRequestGetsNoSlotAtALeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllocator(2, 1)
		leaving, other := mustAcquire(t, a), mustAcquire(t, a)
		assigned := make(chan *allocator.Slot, 1)
		go func() {
			slot, err := a.Acquire(context.Background(), slotRequest(5*time.Second))
			if err != nil {
				t.Errorf("got %v, want a slot", err)
			}
			assigned <- slot
		}()
		synctest.Wait()
		leaving.MarkLeaving()
		leaving.Release()
		synctest.Wait()
		if len(assigned) != 0 {
			t.Fatal("got a slot at the leaving endpoint, want none")
		}
		other.Release()
		if slot := <-assigned; slot.Endpoint.ID != other.Endpoint.ID {
			t.Errorf("got a slot at %s, want one at %s", slot.Endpoint.ID, other.Endpoint.ID)
		}
	})
}

// TestRestartedInstanceLearnsWhichEndpointsLeave guards against requests to an endpoint that leaves, from an
// instance that has restarted since the endpoint stated it, or that the endpoint never told.
func TestRestartedInstanceLearnsWhichEndpointsLeave(t *testing.T) {
	for _, tt := range []struct {
		name string
		// pause is the time between the statement and the message.
		pause time.Duration
		full  bool
		// listedFirst is whether the instance lists the endpoints before it gets the message.
		listedFirst bool
		// restarted is whether the endpoint has restarted since it made the statement.
		restarted bool
		leaves    bool
	}{
		{"at once", 0, false, true, false, true},
		{"message before the list", 0, false, false, false, true},
		{"a full message later", 30 * time.Second, true, true, false, true},
		{"endpoint restarted", 10 * time.Second, true, true, true, false},
		{"another message later", 30 * time.Second, false, true, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				told := allocator.New(timekeeper.Timekeeper{}, func() {})
				told.SetEndpoints(entriesAt(started)[:1])
				slot := mustAcquire(t, told)
				slot.MarkLeaving()
				time.Sleep(tt.pause)
				var message fescuebank.Gossip
				told.FillGossip(&message, tt.full)
				list := entriesAt(started)
				if tt.restarted {
					list = entriesAt(time.Now())
				}
				a := allocator.New(timekeeper.Timekeeper{}, func() {})
				if tt.listedFirst {
					a.SetEndpoints(list)
				}
				a.ApplyGossip(&message)
				a.SetEndpoints(list)
				if got := !getsRequests(a, slot.Endpoint.ID); got != tt.leaves {
					t.Errorf("got leaving %v, want %v", got, tt.leaves)
				}
				var relayed fescuebank.Gossip
				a.FillGossip(&relayed, true)
				if got := len(relayed.LeavingEndpoints); got != 0 {
					t.Errorf("got %d statements of others in an own message, want none", got)
				}
			})
		})
	}
}
