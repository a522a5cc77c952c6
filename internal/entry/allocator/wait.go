package allocator

import (
	"context"
	"slices"
	"time"
)

// waiter is a waiting request.
type waiter struct {
	request  SlotRequest
	sequence uint64
	// assigned receives the slot. It is closed if no endpoint is left that could serve the
	// request.
	assigned chan *Slot
}

// enqueue inserts w by priority, then by deadline, then by arrival, resuming streams first.
func (a *Allocator) enqueue(w *waiter) {
	i, _ := slices.BinarySearchFunc(a.waiting, w, func(x, y *waiter) int {
		if x.request.Resuming != y.request.Resuming {
			if x.request.Resuming {
				return -1
			}
			return 1
		}
		if x.request.Priority != y.request.Priority {
			return x.request.Priority - y.request.Priority
		}
		if c := x.request.Deadline.Compare(y.request.Deadline); c != 0 {
			return c
		}
		return int(x.sequence) - int(y.sequence)
	})
	a.waiting = slices.Insert(a.waiting, i, w)
}

// countAhead returns how many waiting requests go before a new one and could use its slots. The
// caller holds the lock.
func (a *Allocator) countAhead(request SlotRequest) int {
	ahead := a.waiting
	if request.Resuming {
		if i := slices.IndexFunc(ahead, func(w *waiter) bool { return !w.request.Resuming }); i >= 0 {
			ahead = ahead[:i]
		}
	}
	return countCompeting(ahead, request)
}

// countCompeting returns how many of the waiting requests could use the slots of a request.
func countCompeting(waiting []*waiter, request SlotRequest) int {
	count := 0
	for _, w := range waiting {
		if w.request.competesWith(request) {
			count++
		}
	}
	return count
}

// competesWith reports whether an endpoint may suit both requests.
func (r SlotRequest) competesWith(other SlotRequest) bool {
	return r.Service == other.Service && (r.Version == other.Version || r.Version == "" || other.Version == "")
}

func (a *Allocator) wait(ctx context.Context, w *waiter) (*Slot, error) {
	var reconsider <-chan time.Time
	if !w.request.ReconsiderAt.IsZero() {
		reconsider = a.clock.After(w.request.ReconsiderAt.Sub(a.clock.Now()))
	}
	expired := a.clock.After(w.request.Deadline.Sub(a.clock.Now()))
	for {
		var cause error
		refill := a.refill(w.request)
		select {
		case slot, ok := <-w.assigned:
			a.onChange()
			if !ok {
				return nil, ErrNoEndpoint
			}
			return slot, nil
		case <-refill:
			a.assignRefilled()
			continue
		case <-reconsider:
			reconsider = nil
			if a.canMeetDeadline(w) {
				continue
			}
			cause = ErrFull
		case <-expired:
			cause = ErrFull
		case <-ctx.Done():
			cause = ctx.Err()
		}
		return a.cancelWait(ctx, w, cause)
	}
}

// canMeetDeadline reports whether a waiting request is still expected to get a slot by
// its deadline.
func (a *Allocator) canMeetDeadline(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	ahead := countCompeting(a.waiting[:max(0, slices.Index(a.waiting, w))], w.request)
	wait, ok := a.predictWait(w.request, now, ahead)
	return ok && !now.Add(wait).After(w.request.Deadline)
}

// cancelWait ends a wait. A slot that was assigned meanwhile is returned unless the
// context has ended.
func (a *Allocator) cancelWait(ctx context.Context, w *waiter, cause error) (*Slot, error) {
	a.mu.Lock()
	a.waiting = slices.DeleteFunc(a.waiting, func(x *waiter) bool { return x == w })
	a.mu.Unlock()
	select {
	case slot, ok := <-w.assigned:
		if ok && ctx.Err() == nil {
			return slot, nil
		}
		if ok {
			slot.Release()
		}
	default:
	}
	a.onChange()
	return nil, cause
}

// endHopelessWaits ends the waits of requests that no endpoint is left to serve. The caller
// holds the lock.
func (a *Allocator) endHopelessWaits() {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		if a.hasEndpointFor(w.request) {
			return false
		}
		close(w.assigned)
		return true
	})
}

// hasEndpointFor reports whether an endpoint that the request has not tried accepts requests.
// The caller holds the lock.
func (a *Allocator) hasEndpointFor(request SlotRequest) bool {
	for _, e := range a.endpoints {
		if e.serves(request.Service, request.Version) && e.acceptsRequests() && !slices.Contains(request.Tried, e.ID) {
			return true
		}
	}
	return false
}
