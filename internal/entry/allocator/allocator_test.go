package allocator_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

func endpoints(count, slots int) []fescuebank.ServedEndpoint {
	var list []fescuebank.ServedEndpoint
	for i := range count {
		list = append(list, fescuebank.ServedEndpoint{
			ID: fescuebank.EndpointID(fmt.Sprintf("i-%d", i)), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:80", i), Slots: slots, StartedUnixMilli: 1,
		})
	}
	return list
}

func newAllocator(count, slots int) *allocator.Allocator {
	a := allocator.New(timekeeper.Timekeeper{}, func() {})
	a.SetEndpoints(endpoints(count, slots))
	return a
}

func slotRequest(wait time.Duration) allocator.SlotRequest {
	return allocator.SlotRequest{Service: "s", Deadline: time.Now().Add(wait)}
}

// mustAcquire fails the test unless a slot is assigned at once.
func mustAcquire(t *testing.T, a *allocator.Allocator) *allocator.Slot {
	t.Helper()
	slot, err := a.Acquire(context.Background(), slotRequest(0))
	if err != nil {
		t.Fatalf("got %v, want a slot", err)
	}
	return slot
}

func TestSlotsSpreadEvenly(t *testing.T) {
	a := newAllocator(3, 4)
	for range 6 {
		mustAcquire(t, a)
	}
	counts, _ := a.Counts()
	for _, e := range endpoints(3, 4) {
		if got := counts[e.ID.Tag()]; got != 2 {
			t.Errorf("endpoint %s: got %d requests, want 2", e.ID, got)
		}
	}
}

func TestPeerRequestsCountAsOwn(t *testing.T) {
	a := newAllocator(2, 4)
	list := endpoints(2, 4)
	a.SetPeerCounts(fescuebank.EndpointCounts{list[0].ID.Tag(): 3}, 0, 0)
	for range 3 {
		if got := mustAcquire(t, a).Endpoint.ID; got != list[1].ID {
			t.Errorf("got endpoint %s, want the one without requests of other instances", got)
		}
	}
}

func TestLeavingAndExcludedEndpointsGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllocator(3, 4)
		list := endpoints(3, 4)
		list[0].Leaving = true
		a.SetEndpoints(list)
		a.Exclude(list[1].ID, allocator.ExclusionTime)
		if got := mustAcquire(t, a).Endpoint.ID; got != list[2].ID {
			t.Errorf("got endpoint %s, want the one that is neither leaving nor excluded", got)
		}
		time.Sleep(1100 * time.Millisecond)
		if got := mustAcquire(t, a).Endpoint.ID; got != list[1].ID {
			t.Errorf("got endpoint %s, want the one whose exclusion ended after a second", got)
		}
	})
}

// TestSlotOfEarlierIncarnationIsIgnored releases a slot that was acquired before the endpoint
// restarted. That must not free a slot of the new incarnation.
func TestSlotOfEarlierIncarnationIsIgnored(t *testing.T) {
	a := newAllocator(1, 1)
	old := mustAcquire(t, a)
	list := endpoints(1, 1)
	list[0].StartedUnixMilli = 2
	a.SetEndpoints(list)
	mustAcquire(t, a)
	old.Release()
	if _, err := a.Acquire(context.Background(), slotRequest(0)); !errors.Is(err, allocator.ErrFull) {
		t.Errorf("got %v after the release of an earlier incarnation's slot, want %v", err, allocator.ErrFull)
	}
}

func TestWaitersAreServedByPriorityThenDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllocator(1, 1)
		held := mustAcquire(t, a)
		var mu sync.Mutex
		var order []string
		wait := func(name string, priority int, maxWait time.Duration) {
			go func() {
				slot, err := a.Acquire(context.Background(), allocator.SlotRequest{Service: "s", Priority: priority, Deadline: time.Now().Add(maxWait)})
				if err != nil {
					t.Errorf("%s: got %v, want a slot", name, err)
					return
				}
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				slot.Release()
			}()
			synctest.Wait()
		}
		wait("low", 2, 5*time.Second)
		wait("late", 1, 6*time.Second)
		wait("soon", 1, 5*time.Second)
		held.Release()
		synctest.Wait()
		if got, want := fmt.Sprint(order), "[soon late low]"; got != want {
			t.Errorf("got order %s, want %s", got, want)
		}
	})
}

// TestRequestThatWouldWaitTooLongIsRefusedAtOnce guards against requests that wait until their
// deadline although no slot is expected to be free before it.
func TestRequestThatWouldWaitTooLongIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllocator(1, 2)
		mustAcquire(t, a)
		mustAcquire(t, a)
		began := time.Now()
		_, err := a.Acquire(context.Background(), slotRequest(100*time.Millisecond))
		if !errors.Is(err, allocator.ErrFull) || time.Since(began) != 0 {
			t.Errorf("got %v after %v, want %v at once", err, time.Since(began), allocator.ErrFull)
		}
		a.SetEndpoints(nil)
		if _, err := a.Acquire(context.Background(), slotRequest(time.Second)); !errors.Is(err, allocator.ErrNoEndpoint) {
			t.Errorf("got %v, want %v", err, allocator.ErrNoEndpoint)
		}
	})
}

func TestCanceledWaitLeavesNoSlotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllocator(1, 1)
		held := mustAcquire(t, a)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() {
			_, err := a.Acquire(ctx, slotRequest(5*time.Second))
			done <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want %v", err, context.Canceled)
		}
		held.Release()
		mustAcquire(t, a)
	})
}

// TestUnaccountedLoadCounts covers instances that are partitioned from each other and
// learn of each other's requests only from the endpoints' load reports.
func TestUnaccountedLoadCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllocator(2, 8)
		list := endpoints(2, 8)
		busy := mustAcquire(t, a)
		busy.Observe(fescuebank.EndpointLoad{Running: 8, Waiting: 2, Slots: 8})
		for i := range 8 {
			if got := mustAcquire(t, a).Endpoint.ID; got == busy.Endpoint.ID {
				t.Fatalf("request %d: got the endpoint that reported to be full, want the other of %v", i, list)
			}
		}
		if _, err := a.Acquire(context.Background(), slotRequest(0)); !errors.Is(err, allocator.ErrFull) {
			t.Errorf("got %v with one endpoint full and the other reported full, want %v", err, allocator.ErrFull)
		}
		time.Sleep(1100 * time.Millisecond)
		if got := mustAcquire(t, a).Endpoint.ID; got != busy.Endpoint.ID {
			t.Errorf("got %s a second after the report, want %s", got, busy.Endpoint.ID)
		}
	})
}

func TestMatchingReportChangesNothing(t *testing.T) {
	a := newAllocator(1, 8)
	slot := mustAcquire(t, a)
	a.SetPeerCounts(fescuebank.EndpointCounts{slot.Endpoint.ID.Tag(): 3}, 0, 0)
	slot.Observe(fescuebank.EndpointLoad{Running: 5, Slots: 8}) // One request more than the known counts, within the tolerance.
	for range 4 {
		mustAcquire(t, a)
	}
}

// TestBatchLeavesReservedSlots checks that batch work leaves the reserved share of slots free,
// and how many of its slots must be released when online requests use or wait for slots.
func TestBatchLeavesReservedSlots(t *testing.T) {
	a := newAllocator(2, 10)
	acquired := 0
	for a.AcquireBatch("s", "", 0.2) != nil {
		acquired++
	}
	if want := 16; acquired != want {
		t.Errorf("got %d slots for batch work, want %d of 20", acquired, want)
	}
	if got := a.BatchExcess("s", 0.2); got != 0 {
		t.Errorf("got excess %d with the reserved slots free, want 0", got)
	}
	for range 4 {
		mustAcquire(t, a)
	}
	if got := a.BatchExcess("s", 0.2); got != 4 {
		t.Errorf("got excess %d without free slots, want 4", got)
	}
	a.SetPeerCounts(nil, 3, 0)
	if got := a.BatchExcess("s", 0.2); got != 7 {
		t.Errorf("got excess %d while 3 wait elsewhere, want 7", got)
	}
	if a.AcquireBatch("s", "", 0) != nil {
		t.Error("got a slot for batch work while requests wait, want none")
	}
}

// loadResult counts the outcomes of a generated load.
type loadResult struct {
	requests, served, late, refused int
	// slowestRefusal is the longest time until a refusal.
	slowestRefusal time.Duration
}

// runSteppedLoad sends requests that hold a slot for 0.7 s to 9 endpoints of 8 slots. The
// rate alternates between 0.4 and 1.9 times the mean every 3 s, as seen at a deployment.
func runSteppedLoad(t *testing.T, mean float64) loadResult {
	t.Helper()
	const (
		length  = 12 * time.Second
		hold    = 700 * time.Millisecond
		maxWait = 225 * time.Millisecond

		reconsider = 60 * time.Millisecond
	)
	var result loadResult
	synctest.Test(t, func(*testing.T) {
		a := newAllocator(9, 8)
		var mu sync.Mutex
		var group sync.WaitGroup
		began := time.Now()
		for time.Since(began) < length {
			rate := mean * 0.4
			if time.Since(began)%(6*time.Second) >= 3*time.Second {
				rate = mean * 1.9
			}
			time.Sleep(time.Duration(float64(time.Second) / rate))
			result.requests++
			group.Go(func() {
				arrived := time.Now()
				slot, err := a.Acquire(context.Background(), allocator.SlotRequest{
					Service: "s", Deadline: arrived.Add(maxWait), ReconsiderAt: arrived.Add(reconsider),
				})
				mu.Lock()
				switch waited := time.Since(arrived); {
				case err != nil:
					result.refused++
					result.slowestRefusal = max(result.slowestRefusal, waited)
				case waited > maxWait:
					result.late++
				default:
					result.served++
				}
				mu.Unlock()
				if err == nil {
					time.Sleep(hold)
					slot.Release()
				}
			})
		}
		group.Wait()
	})
	return result
}

func TestSteppedLoad(t *testing.T) {
	for _, tt := range []struct {
		name string
		mean float64
		// minShare is the share of requests that must be served in time: all, or nearly what
		// the slots can hold.
		minShare float64
	}{
		{"peak rate within the capacity", 50, 1},
		// The peak rate is 1.9 x 75 = 142 requests a second; the slots can serve 103.
		{"peak rate above the capacity", 75, 0.75},
		{"mean rate above the capacity", 150, 0.4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := runSteppedLoad(t, tt.mean)
			if share := float64(got.served) / float64(got.requests); share < tt.minShare {
				t.Errorf("got %.3f of %d served in time, want %.3f", share, got.requests, tt.minShare)
			}
			if got.late > 0 {
				t.Errorf("got %d slots assigned too late, want none", got.late)
			}
			// 25% of the 300 ms objective.
			if limit := 75 * time.Millisecond; got.slowestRefusal > limit && got.refused > 0 {
				t.Errorf("got a refusal after %v, want all within %v", got.slowestRefusal, limit)
			}
		})
	}
}

func TestServiceIsUsedWhenAllEndpointsAreExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllocator(2, 4)
		for _, e := range endpoints(2, 4) {
			a.Exclude(e.ID, allocator.ExclusionTime)
		}
		mustAcquire(t, a)
	})
}

// TestDeprioritizedEndpointGetsRequestsWhenOthersAreFilled checks that a deprioritized
// endpoint gets requests only when the other endpoint's utilization is at least 0.6
// higher, and no batch work at all.
func TestDeprioritizedEndpointGetsRequestsWhenOthersAreFilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 10
		a := newAllocator(2, slots)
		deprioritized := endpoints(2, slots)[0].ID
		a.Deprioritize(deprioritized, time.Minute)
		for i := range 6 {
			if got := mustAcquire(t, a).Endpoint.ID; got == deprioritized {
				t.Fatalf("got the deprioritized endpoint for request %d, want the other", i+1)
			}
		}
		count := 0
		for range 4 {
			if mustAcquire(t, a).Endpoint.ID == deprioritized {
				count++
			}
		}
		if count == 0 {
			t.Error("got no request at the deprioritized endpoint while the other is filled, want some")
		}
		for {
			slot := a.AcquireBatch("s", "", 0)
			if slot == nil {
				break
			}
			if slot.Endpoint.ID == deprioritized {
				t.Error("got a slot at the deprioritized endpoint for batch work, want none")
			}
		}
		time.Sleep(2 * time.Minute)
		if slot := a.AcquireBatch("s", "", 0); slot == nil || slot.Endpoint.ID != deprioritized {
			t.Error("got no slot at the endpoint after its deprioritization ended, want one")
		}
	})
}
