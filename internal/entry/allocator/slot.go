package allocator

import (
	"sync"
	"time"

	"fescuebank"
)

// SlotRequest describes the slot that a request needs.
type SlotRequest struct {
	Service fescuebank.ServiceName
	// Version restricts the slot to endpoints of a software version; empty means any.
	Version string
	// Resuming is set for a stream that has begun before. It goes before requests that begin.
	Resuming bool
	// Team is the caller's team, empty if callers need no key.
	Team fescuebank.TeamID
	// Cost is the number of tokens by which the request counts towards its team's share; 0 stands
	// for an average request.
	Cost fescuebank.Tokens
	// Spent is how long the caller has tried before this attempt, at any instance.
	Spent time.Duration
	// Prefix breaks ties among equally loaded endpoints, so that requests with a common
	// prompt prefix go to the same endpoint. It may be empty.
	Prefix string
	// Tried are the endpoints that the request already tried; they are skipped.
	Tried []fescuebank.EndpointID
	// Deadline is the latest time at which the slot may be assigned.
	Deadline time.Time
	// ReconsiderAt is when the wait ends early unless a slot is expected before the
	// deadline. Zero means never.
	ReconsiderAt time.Time
	// Priority is 0 for the most urgent requests.
	Priority int
	// batch is set for batch work, which may not use deprioritized endpoints, and limitedOnly if
	// only endpoints that state a request limit will do.
	batch       bool
	limitedOnly bool
}

// Slot is a request's slot at an endpoint. It must be released exactly once.
type Slot struct {
	Endpoint fescuebank.ServedEndpoint
	// Load is the number of requests at the endpoint as known here, including this one.
	Load       int
	acquiredAt time.Time
	batch      bool
	endpoint   *endpoint
	allocator  *Allocator
	once       sync.Once
}

// Observe applies a load report of the endpoint. Reported requests beyond the known
// counts are those of instances whose gossip does not arrive here.
func (s *Slot) Observe(report fescuebank.EndpointLoad) {
	a := s.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	s.endpoint.report.apply(report.Running+report.Waiting-s.endpoint.ownRequests, now, a.reportTolerance(s.endpoint, now))
}

// Accepts reports whether the slot's endpoint still accepts requests.
func (s *Slot) Accepts() bool {
	s.allocator.mu.Lock()
	defer s.allocator.mu.Unlock()
	return s.endpoint.acceptsRequests()
}

// HeldAt returns how long the slot had been held at a time.
func (s *Slot) HeldAt(t time.Time) time.Duration {
	return t.Sub(s.acquiredAt)
}

// Release frees the slot.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.allocator.release(s)
		s.allocator.onChange()
	})
}

// release frees a slot that is held.
func (a *Allocator) release(s *Slot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s.endpoint.ownRequests--
	delete(a.heldSlots, s)
	a.observeHold(s, a.clock.Now().Sub(s.acquiredAt))
	a.assignReleased(s.endpoint.Service)
}
