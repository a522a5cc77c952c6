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
			ID: fescuebank.EndpointID(fmt.Sprintf("i-%d", i)), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:80", i), Slots: slots, Started: 1,
		})
	}
	return list
}

func newAllotter(count, slots int) *allocator.Allocator {
	a := allocator.New(timekeeper.Timekeeper{}, func() {})
	a.SetEndpoints(endpoints(count, slots))
	return a
}

func ask(wait time.Duration) allocator.SlotRequest {
	return allocator.SlotRequest{Service: "s", Deadline: time.Now().Add(wait)}
}

// take fails the test unless a place is given at once.
func take(t *testing.T, a *allocator.Allocator) *allocator.Slot {
	t.Helper()
	p, err := a.Acquire(context.Background(), ask(0))
	if err != nil {
		t.Fatalf("got %v, want a place", err)
	}
	return p
}

func TestPlacesSpreadEvenly(t *testing.T) {
	a := newAllotter(3, 4)
	for range 6 {
		take(t, a)
	}
	counts, _ := a.Counts()
	for _, e := range endpoints(3, 4) {
		if got := counts[e.ID.Tag()]; got != 2 {
			t.Errorf("endpoint %s: got %d requests, want 2", e.ID, got)
		}
	}
}

func TestOthersCountAsOwn(t *testing.T) {
	a := newAllotter(2, 4)
	list := endpoints(2, 4)
	a.SetPeerCounts(fescuebank.EndpointCounts{list[0].ID.Tag(): 3}, 0, 0)
	for range 3 {
		if got := take(t, a).Endpoint.ID; got != list[1].ID {
			t.Errorf("got endpoint %s, want the one without others' requests", got)
		}
	}
}

func TestLeavingAndShunnedEndpointsGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllotter(3, 4)
		list := endpoints(3, 4)
		list[0].Leaving = true
		a.SetEndpoints(list)
		a.Exclude(list[1].ID, allocator.ExclusionTime)
		if got := take(t, a).Endpoint.ID; got != list[2].ID {
			t.Errorf("got endpoint %s, want the sound one", got)
		}
		time.Sleep(1100 * time.Millisecond)
		if got := take(t, a).Endpoint.ID; got != list[1].ID {
			t.Errorf("got endpoint %s, want the one that was shunned for a second", got)
		}
	})
}

func TestPlaceOfAnEarlierRunIsForgotten(t *testing.T) {
	a := newAllotter(1, 1)
	old := take(t, a)
	list := endpoints(1, 1)
	list[0].Started = 2
	a.SetEndpoints(list)
	take(t, a)
	old.Release()
	if _, err := a.Acquire(context.Background(), ask(0)); !errors.Is(err, allocator.ErrFull) {
		t.Errorf("got %v after the release of an earlier run's place, want %v", err, allocator.ErrFull)
	}
}

func TestWaitersAreServedByRankThenByLatestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllotter(1, 1)
		held := take(t, a)
		var mu sync.Mutex
		var order []string
		wait := func(name string, priority int, latest time.Duration) {
			go func() {
				p, err := a.Acquire(context.Background(), allocator.SlotRequest{Service: "s", Priority: priority, Deadline: time.Now().Add(latest)})
				if err != nil {
					t.Errorf("%s: got %v, want a place", name, err)
					return
				}
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				p.Release()
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

func TestRequestThatWouldWaitTooLongIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllotter(1, 2)
		take(t, a)
		take(t, a)
		began := time.Now()
		_, err := a.Acquire(context.Background(), ask(100*time.Millisecond))
		if !errors.Is(err, allocator.ErrFull) || time.Since(began) != 0 {
			t.Errorf("got %v after %v, want %v at once", err, time.Since(began), allocator.ErrFull)
		}
		a.SetEndpoints(nil)
		if _, err := a.Acquire(context.Background(), ask(time.Second)); !errors.Is(err, allocator.ErrNoEndpoint) {
			t.Errorf("got %v, want %v", err, allocator.ErrNoEndpoint)
		}
	})
}

func TestGivenUpWaitLeavesNoPlaceTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllotter(1, 1)
		held := take(t, a)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() {
			_, err := a.Acquire(ctx, ask(5*time.Second))
			done <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want %v", err, context.Canceled)
		}
		held.Release()
		take(t, a)
	})
}

// TestLoadThatNobodyToldOfCounts covers instances that are cut off from each other
// and see each other's requests only by what endpoints report.
func TestLoadThatNobodyToldOfCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllotter(2, 8)
		list := endpoints(2, 8)
		busy := take(t, a)
		busy.Observe(fescuebank.EndpointLoad{Running: 8, Waiting: 2, Slots: 8})
		for i := range 8 {
			if got := take(t, a).Endpoint.ID; got == busy.Endpoint.ID {
				t.Fatalf("request %d: got the endpoint that reports to be full, want %v's other", i, list)
			}
		}
		if _, err := a.Acquire(context.Background(), ask(0)); !errors.Is(err, allocator.ErrFull) {
			t.Errorf("got %v with one endpoint full and one that reports so, want %v", err, allocator.ErrFull)
		}
		time.Sleep(1100 * time.Millisecond)
		if got := take(t, a).Endpoint.ID; got != busy.Endpoint.ID {
			t.Errorf("got %s a second after the report, want %s", got, busy.Endpoint.ID)
		}
	})
}

func TestReportThatAgreesChangesNothing(t *testing.T) {
	a := newAllotter(1, 8)
	p := take(t, a)
	a.SetPeerCounts(fescuebank.EndpointCounts{p.Endpoint.ID.Tag(): 3}, 0, 0)
	p.Observe(fescuebank.EndpointLoad{Running: 5, Slots: 8}) // One more than known is on its way.
	for range 4 {
		take(t, a)
	}
}

func TestSpareLeavesHeadroom(t *testing.T) {
	a := newAllotter(2, 10)
	spare := 0
	for a.AcquireBatch("s", 0.2) != nil {
		spare++
	}
	if want := 16; spare != want {
		t.Errorf("got %d places for work that can wait, want %d of 20", spare, want)
	}
	if got := a.BatchExcess("s", 0.2); got != 0 {
		t.Errorf("got excess %d with the headroom free, want 0", got)
	}
	for range 4 {
		take(t, a)
	}
	if got := a.BatchExcess("s", 0.2); got != 4 {
		t.Errorf("got excess %d without headroom, want 4", got)
	}
	a.SetPeerCounts(nil, 3, 0)
	if got := a.BatchExcess("s", 0.2); got != 7 {
		t.Errorf("got excess %d while 3 wait elsewhere, want 7", got)
	}
	if a.AcquireBatch("s", 0) != nil {
		t.Error("got a spare place while requests wait, want none")
	}
}

// played is what callers got of a load.
type played struct {
	asked, served, late, refused int
	// slowest is the longest time to a refusal.
	slowest time.Duration
}

// play sends steps of load at 9 endpoints of 8 places that hold a request 0.7 s,
// as at a deployment whose rate jumps from 0.4 to twice the mean every 3 s.
func play(t *testing.T, mean float64) played {
	t.Helper()
	const (
		length = 12 * time.Second
		hold   = 700 * time.Millisecond
		latest = 225 * time.Millisecond

		reconsider = 60 * time.Millisecond
	)
	var result played
	synctest.Test(t, func(*testing.T) {
		a := newAllotter(9, 8)
		var mu sync.Mutex
		var group sync.WaitGroup
		began := time.Now()
		for time.Since(began) < length {
			rate := mean * 0.4
			if time.Since(began)%(6*time.Second) >= 3*time.Second {
				rate = mean * 1.9
			}
			time.Sleep(time.Duration(float64(time.Second) / rate))
			result.asked++
			group.Go(func() {
				asked := time.Now()
				p, err := a.Acquire(context.Background(), allocator.SlotRequest{
					Service: "s", Deadline: asked.Add(latest), ReconsiderAt: asked.Add(reconsider),
				})
				mu.Lock()
				switch waited := time.Since(asked); {
				case err != nil:
					result.refused++
					result.slowest = max(result.slowest, waited)
				case waited > latest:
					result.late++
				default:
					result.served++
				}
				mu.Unlock()
				if err == nil {
					time.Sleep(hold)
					p.Release()
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
		// least is the share that must be served in time: all, or nearly what the
		// places can hold.
		least float64
	}{
		{"within the places", 50, 1},
		// 1.9 x 75 = 142 a second come at the steps, 103 find places.
		{"steps beyond the places", 75, 0.75},
		{"far beyond the places", 150, 0.4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := play(t, tt.mean)
			if share := float64(got.served) / float64(got.asked); share < tt.least {
				t.Errorf("got %.3f of %d served in time, want %.3f", share, got.asked, tt.least)
			}
			if got.late > 0 {
				t.Errorf("got %d places too late, want none", got.late)
			}
			// A quarter of the objective of 300 ms.
			if limit := 75 * time.Millisecond; got.slowest > limit && got.refused > 0 {
				t.Errorf("got a refusal after %v, want all within %v", got.slowest, limit)
			}
		})
	}
}

func TestServiceWhoseEndpointsAreAllLeftOutIsUsedAllTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAllotter(2, 4)
		for _, e := range endpoints(2, 4) {
			a.Exclude(e.ID, allocator.ExclusionTime)
		}
		take(t, a)
	})
}

// TestAvoidedEndpointGetsRequestsWhenTheOthersAreFilled has an endpoint that fails get
// no request while the other is under 0.6 of its places fuller, and no batch item.
func TestAvoidedEndpointGetsRequestsWhenTheOthersAreFilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 10
		a := newAllotter(2, slots)
		avoided := endpoints(2, slots)[0].ID
		a.Deprioritize(avoided, time.Minute)
		for i := range 6 {
			if got := take(t, a).Endpoint.ID; got == avoided {
				t.Fatalf("got the avoided endpoint for request %d, want the other", i+1)
			}
		}
		here := 0
		for range 4 {
			if take(t, a).Endpoint.ID == avoided {
				here++
			}
		}
		if here == 0 {
			t.Error("got no request at the avoided endpoint though the other is filled, want some")
		}
		for {
			p := a.AcquireBatch("s", 0)
			if p == nil {
				break
			}
			if p.Endpoint.ID == avoided {
				t.Error("got a place at the avoided endpoint for work that can wait, want none")
			}
		}
		time.Sleep(2 * time.Minute)
		if p := a.AcquireBatch("s", 0); p == nil || p.Endpoint.ID != avoided {
			t.Error("got no place at the endpoint after its time, want one")
		}
	})
}
