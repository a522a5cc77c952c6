package allocator

import (
	"context"
	"slices"
	"time"

	"fescuebank"
)

// waiter is a request that waits.
type waiter struct {
	ask   SlotRequest
	order uint64
	given chan *Slot
}

// enqueue keeps the waiting requests ordered by rank, then by latest time.
func (a *Allocator) enqueue(w *waiter) {
	i, _ := slices.BinarySearchFunc(a.waiting, w, func(x, y *waiter) int {
		if x.ask.Priority != y.ask.Priority {
			return x.ask.Priority - y.ask.Priority
		}
		if c := x.ask.Deadline.Compare(y.ask.Deadline); c != 0 {
			return c
		}
		return int(x.order) - int(y.order)
	})
	a.waiting = slices.Insert(a.waiting, i, w)
}

func (a *Allocator) await(ctx context.Context, w *waiter) (*Slot, error) {
	var reconsider <-chan time.Time
	if !w.ask.ReconsiderAt.IsZero() {
		reconsider = a.clock.After(w.ask.ReconsiderAt.Sub(a.clock.Now()))
	}
	until := a.clock.After(w.ask.Deadline.Sub(a.clock.Now()))
	for {
		var cause error
		select {
		case p := <-w.given:
			a.changed()
			return p, nil
		case <-reconsider:
			reconsider = nil
			if a.isInSight(w) {
				continue
			}
			cause = ErrFull
		case <-until:
			cause = ErrFull
		case <-ctx.Done():
			cause = ctx.Err()
		}
		return a.withdraw(ctx, w, cause)
	}
}

// isInSight reports whether a waiting request still expects its place in time.
func (a *Allocator) isInSight(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	ahead := max(0, slices.Index(a.waiting, w))
	wait, ok := a.predict(w.ask, now, ahead)
	return ok && !now.Add(wait).After(w.ask.Deadline)
}

// withdraw ends a wait. A place that was given meanwhile is taken unless the
// caller is gone.
func (a *Allocator) withdraw(ctx context.Context, w *waiter, cause error) (*Slot, error) {
	a.mu.Lock()
	a.waiting = slices.DeleteFunc(a.waiting, func(x *waiter) bool { return x == w })
	a.mu.Unlock()
	select {
	case p := <-w.given:
		if ctx.Err() == nil {
			return p, nil
		}
		p.Release()
	default:
	}
	a.changed()
	return nil, cause
}

// yieldTime is how long it takes until a place that makes room is free.
const yieldTime = 60 * time.Millisecond

// predict estimates how long a request with some own ones ahead of it waits for a
// place. It reports false if there is no endpoint. This instance's own places
// are a sample of when those of all instances become free.
func (a *Allocator) predict(ask SlotRequest, now time.Time, ownAhead int) (time.Duration, bool) {
	slots, taken, free := 0, 0, 0
	for _, e := range a.usable(ask.Service, now) {
		if slices.Contains(ask.Tried, e.ID) {
			continue
		}
		slots += e.Slots
		taken += e.load(now)
		free += max(0, e.Slots-e.load(now))
	}
	if slots == 0 {
		return 0, false
	}
	missing := ownAhead + a.othersWaiting + 1 - free
	if missing <= 0 {
		return 0, true
	}
	if missing <= a.yielding {
		return yieldTime, true
	}
	missing -= a.yielding
	ends := a.ends(ask.Service, now)
	if len(ends) == 0 {
		return a.hold * time.Duration(missing) / time.Duration(slots), true
	}
	// Each own place stands for as many as there are for one of this instance's.
	each := max(1, float64(taken-a.yielding)/float64(len(ends)))
	rounds, place := 0, int(float64(missing-1)/each)
	for place >= len(ends) {
		place -= len(ends)
		rounds++
	}
	return ends[place] + time.Duration(rounds)*a.hold, true
}

// ends returns in how long each own place is expected to become free, in order.
func (a *Allocator) ends(service fescuebank.ServiceName, now time.Time) []time.Duration {
	list := make([]time.Duration, 0, len(a.held))
	for p := range a.held {
		if p.state.Service == service && !p.state.gone {
			list = append(list, max(0, a.hold-now.Sub(p.began)))
		}
	}
	slices.Sort(list)
	return list
}

// serve gives places to waiting requests. The caller holds the lock.
func (a *Allocator) serve() {
	now := a.clock.Now()
	for i := 0; i < len(a.waiting); {
		w := a.waiting[i]
		p := a.give(w.ask, now)
		if p == nil {
			i++
			continue
		}
		a.waiting = slices.Delete(a.waiting, i, i+1)
		w.given <- p
	}
}
