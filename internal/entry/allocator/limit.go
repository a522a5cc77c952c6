package allocator

import (
	"slices"
	"time"

	"fescuebank"
)

// minRefillWait is the least time between two checks of whether a limit allows a waiting request.
const minRefillWait = 5 * time.Millisecond

// noLimits is a RateLimiter for endpoints that state no limits.
type noLimits struct{}

func (noLimits) Take(fescuebank.EndpointID) {}
func (noLimits) Share(fescuebank.EndpointID) (fescuebank.RateShare, bool) {
	return fescuebank.RateShare{}, false
}
func (noLimits) Observe(fescuebank.EndpointID, fescuebank.RequestRate) {}
func (noLimits) ObserveCold(fescuebank.EndpointID, time.Duration)      {}

// hasRoomFor reports whether the request may be sent to a usable endpoint now: a slot is free there,
// its limit allows one more request, and the request has not been tried there.
func (a *Allocator) hasRoomFor(e *endpoint, request SlotRequest, now time.Time) bool {
	if e.freeSlots(now) == 0 || slices.Contains(request.Tried, e.ID) {
		return false
	}
	if request.batch && e.deprioritizedUntil.After(now) {
		return false
	}
	share, limited := a.limiter.Share(e.ID)
	if !limited {
		return !request.limitedOnly
	}
	return share.Available >= 1
}

// allowance is what this instance may send to endpoints that state limits.
type allowance struct {
	// endpoints counts the endpoints, and available the requests that may be sent there now.
	endpoints int
	available int
	// rate is the number of requests per second, and saved how many of them are saved up, also
	// fractions.
	rate  fescuebank.RequestRate
	saved fescuebank.Requests
	// next is the time until an endpoint with a free slot allows its next request; zero if that
	// is now or never.
	next time.Duration
}

// add adds this instance's part of the limit of an endpoint with free slots.
func (w *allowance) add(share fescuebank.RateShare, freeSlots int) {
	w.endpoints++
	w.available += min(freeSlots, int(max(0, share.Available)))
	w.rate += share.Rate
	w.saved += share.Available
	if share.Available >= 1 || freeSlots == 0 {
		return
	}
	if wait, ok := share.Rate.TimeFor(1 - share.Available); ok && (w.next == 0 || wait < w.next) {
		w.next = max(wait, minRefillWait)
	}
}

// timeFor returns how long it takes until n requests may have been sent, and false if that is
// never.
func (w *allowance) timeFor(n int) (time.Duration, bool) {
	if n <= w.available {
		return 0, true
	}
	wait, ok := w.rate.TimeFor(fescuebank.Requests(n) - w.saved)
	return max(wait, w.next), ok
}

// allowance returns what this instance may send to the limited ones among the endpoints that suit
// a request. The caller holds the lock.
func (a *Allocator) allowance(request SlotRequest, now time.Time) allowance {
	var sum allowance
	for _, e := range a.usable(request.Service, request.Version, now) {
		if slices.Contains(request.Tried, e.ID) {
			continue
		}
		if share, limited := a.limiter.Share(e.ID); limited {
			sum.add(share, e.freeSlots(now))
		}
	}
	return sum
}

// refill returns a channel that receives when a limit may allow a waiting request, nil if none
// does.
func (a *Allocator) refill(request SlotRequest) <-chan time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	allowed := a.allowance(request, a.clock.Now())
	if allowed.next == 0 {
		return nil
	}
	return a.clock.After(allowed.next)
}

// assignRefilled assigns the slots that limits allow again.
func (a *Allocator) assignRefilled() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.assignAllowed()
}

// Limited reports whether the slot's endpoint states a request limit or is in an evacuated zone. Other
// instances can't use the slot instead.
func (s *Slot) Limited() bool {
	if s.isEvacuated() {
		return true
	}
	_, limited := s.allocator.limiter.Share(s.Endpoint.ID)
	return limited
}

// ObserveResponse applies what the slot's endpoint states of itself in a response. It reports whether
// the endpoint stated for the first time that it leaves.
func (s *Slot) ObserveResponse(info fescuebank.ResponseInfo) (leaves bool) {
	if info.Load != nil {
		s.Observe(*info.Load)
		s.allocator.paces.Observe(s.Endpoint, *info.Load)
	}
	if limit, ok := info.StatedRateLimit(s.Endpoint.ID); ok {
		s.allocator.limiter.Observe(s.Endpoint.ID, limit)
	}
	if info.StatesCold(s.Endpoint.ID) {
		s.allocator.limiter.ObserveCold(s.Endpoint.ID, info.ColdLeft)
	}
	return info.StatesLeaving(s.Endpoint.ID) && s.MarkLeaving()
}
