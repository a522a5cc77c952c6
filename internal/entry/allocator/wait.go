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
	wait, ok := a.predictWait(w.request, now, a.countAhead(w, now))
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
