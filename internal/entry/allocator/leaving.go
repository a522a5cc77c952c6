package allocator

import (
	"time"

	"fescuebank"
)

// leavingRetention is how long the statement of an endpoint that it leaves is kept after its
// entry was removed, as the entry may come back.
const leavingRetention = time.Hour

// leavingStatement records that an endpoint stated in a response that it leaves. It holds for
// this incarnation whatever the entry says.
type leavingStatement struct {
	// latestStart is the latest start, in Unix milliseconds, of an incarnation that may have
	// sent the response.
	latestStart int64
	// removedAt is when the endpoint's entry was removed, or zero while it is listed.
	removedAt time.Time
}

// MarkLeaving records that the slot's endpoint stated in its response that it leaves, so that
// this incarnation gets no further requests. It reports whether the endpoint stated that for
// the first time.
func (s *Slot) MarkLeaving() bool {
	a := s.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	first := !a.statedLeaving(s.Endpoint)
	statement := a.leaving[s.Endpoint.ID]
	// An incarnation that started before the request may have sent the response, even if its
	// entry has not been read yet.
	statement.latestStart = max(statement.latestStart, s.Endpoint.StartedUnixMilli, s.acquiredAt.UnixMilli())
	a.leaving[s.Endpoint.ID] = statement
	if e := a.endpoints[s.Endpoint.ID]; e != nil && a.statedLeaving(e.ServedEndpoint) {
		e.Leaving = true
		a.endHopelessWaits()
	}
	return first
}

// statedLeaving reports whether the incarnation of an endpoint stated that it leaves. The
// caller holds the lock.
func (a *Allocator) statedLeaving(e fescuebank.ServedEndpoint) bool {
	statement, ok := a.leaving[e.ID]
	return ok && e.StartedUnixMilli <= statement.latestStart
}

// forgetLeaving discards the statements of endpoints whose entries were removed
// leavingRetention ago. The caller holds the lock.
func (a *Allocator) forgetLeaving(now time.Time) {
	for id, statement := range a.leaving {
		switch {
		case a.endpoints[id] != nil:
			statement.removedAt = time.Time{}
		case statement.removedAt.IsZero():
			statement.removedAt = now
		case now.Sub(statement.removedAt) >= leavingRetention:
			delete(a.leaving, id)
			continue
		}
		a.leaving[id] = statement
	}
}
