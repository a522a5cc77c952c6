package allocator

import (
	"time"

	"fescuebank"
)

const (
	// leavingRetention is how long the statement of an endpoint that it leaves is kept after its
	// entry was removed, as the entry may come back.
	leavingRetention = time.Hour
	// leavingNewsTime is how long each gossip message states that an endpoint leaves. Later only full
	// messages do.
	leavingNewsTime = time.Second
	// leavingRepetition is for how long gossip states that an endpoint leaves, so that instances that
	// restart learn it. Endpoints that leave are gone by then.
	leavingRepetition = time.Minute
)

// leavingStatement records that an endpoint stated in a response that it leaves. It holds for
// this incarnation whatever the entry says.
type leavingStatement struct {
	// latestStart is the latest start, in Unix milliseconds, of an incarnation that may have
	// sent the response.
	latestStart int64
	// observedAt is when this instance first received such a response; zero if others told it.
	// observedStart is the start of that incarnation by its entry, which doesn't depend on this
	// instance's clock.
	observedAt    time.Time
	observedStart int64
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
	// An incarnation that started before the request may have sent the response, even if its
	// entry has not been read yet.
	a.recordLeaving(s.endpoint.tag, max(s.Endpoint.StartedUnixMilli, s.acquiredAt.UnixMilli()))
	if statement := a.leaving[s.endpoint.tag]; statement.observedAt.IsZero() || statement.observedStart < s.Endpoint.StartedUnixMilli {
		statement.observedAt, statement.observedStart = a.clock.Now(), s.Endpoint.StartedUnixMilli
		a.leaving[s.endpoint.tag] = statement
	}
	return first
}

// recordLeaving records that the incarnations of an endpoint that started until latestStart leave. The
// caller holds the lock.
func (a *Allocator) recordLeaving(tag fescuebank.EndpointTag, latestStart int64) {
	statement := a.leaving[tag]
	statement.latestStart = max(statement.latestStart, latestStart)
	a.leaving[tag] = statement
	for _, e := range a.endpoints {
		if e.tag == tag && !e.Leaving && a.statedLeaving(e.ServedEndpoint) {
			e.Leaving = true
			a.endHopelessWaits()
		}
	}
}

// FillGossip states which endpoints told this instance that they leave. A full message repeats what
// others were told before.
func (a *Allocator) FillGossip(g *fescuebank.Gossip, full bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for tag, statement := range a.leaving {
		if !statement.isDue(full, now) {
			continue
		}
		if g.LeavingEndpoints == nil {
			g.LeavingEndpoints = make(map[fescuebank.EndpointTag]int64)
		}
		g.LeavingEndpoints[tag] = statement.observedStart
	}
}

// isDue reports whether a gossip message has to contain the statement.
func (s leavingStatement) isDue(full bool, now time.Time) bool {
	if s.observedAt.IsZero() {
		return false
	}
	age := now.Sub(s.observedAt)
	return age < leavingNewsTime || (full && age < leavingRepetition)
}

// ApplyGossip records the endpoints that told another instance that they leave.
func (a *Allocator) ApplyGossip(g *fescuebank.Gossip) {
	if len(g.LeavingEndpoints) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for tag, started := range g.LeavingEndpoints {
		a.recordLeaving(tag, started)
	}
}

// statedLeaving reports whether the incarnation of an endpoint stated that it leaves. The
// caller holds the lock.
func (a *Allocator) statedLeaving(e fescuebank.ServedEndpoint) bool {
	statement, ok := a.leaving[e.ID.Tag()]
	return ok && e.StartedUnixMilli <= statement.latestStart
}

// forgetLeaving discards the statements of endpoints whose entries were removed
// leavingRetention ago. The caller holds the lock.
func (a *Allocator) forgetLeaving(now time.Time) {
	listed := make(map[fescuebank.EndpointTag]bool, len(a.endpoints))
	for _, e := range a.endpoints {
		listed[e.tag] = true
	}
	for tag, statement := range a.leaving {
		switch {
		case listed[tag]:
			statement.removedAt = time.Time{}
		case statement.removedAt.IsZero():
			statement.removedAt = now
		case now.Sub(statement.removedAt) >= leavingRetention:
			delete(a.leaving, tag)
			continue
		}
		a.leaving[tag] = statement
	}
}
