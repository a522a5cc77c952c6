package throttler

import (
	"time"

	"golang.org/x/time/rate"

	"fescuebank"
)

// state is what is known of one endpoint.
type state struct {
	endpoint fescuebank.ServedEndpoint
	tag      fescuebank.EndpointTag
	// until is when the endpoint ceases to be cold, at the latest.
	until time.Time
	// observedUntil is until when this instance tells others that the endpoint is cold.
	observedUntil time.Time
	// divided is set once this instance's part has been determined since the endpoint became cold.
	// share is that part, and bucket holds the request that it allows; nil if it is 0.
	divided bool
	share   fescuebank.RequestRate
	bucket  *rate.Limiter
}

// isSame reports whether an entry is that of the same incarnation of the endpoint.
func (s *state) isSame(e fescuebank.ServedEndpoint) bool {
	return s.endpoint.StartedUnixMilli == e.StartedUnixMilli && s.endpoint.Addr == e.Addr && s.endpoint.Service == e.Service
}

// coldTime returns how long the endpoint is cold after its start; 0 if its service has no such time. The
// caller holds the lock.
func (t *Throttler) coldTime(s *state) time.Duration {
	service := t.services[s.endpoint.Service]
	if service.ColdRate <= 0 {
		return 0
	}
	return service.ColdTime
}

// isCold reports whether the endpoint counts as cold. The caller holds the lock.
func (t *Throttler) isCold(s *state, now time.Time) bool {
	if s == nil || t.services[s.endpoint.Service].ColdRate <= 0 {
		return false
	}
	return now.Before(s.until) || t.isolated.Load()
}

// markCold marks the endpoint as cold for at least the time left. It reports whether it is cold for longer
// than known before. The caller holds the lock.
func (t *Throttler) markCold(s *state, left time.Duration, now time.Time) bool {
	until := now.Add(left)
	if left <= 0 || !until.After(s.until) {
		return false
	}
	if !t.isCold(s, now) {
		s.divided, s.bucket = false, nil
	}
	s.until = until
	t.latest.Store(max(t.latest.Load(), int64(until.Sub(t.began))))
	return true
}

// divideAll determines this instance's parts anew. The caller holds the lock.
func (t *Throttler) divideAll() {
	for _, s := range t.states {
		s.divided = false
	}
}

// divide determines this instance's part of the rate of a cold endpoint, unless it is known. A part begins
// with a random fraction of a request, so that neither a restart nor a change of the members lets the
// holders send one more at once. The caller holds the lock.
func (t *Throttler) divide(s *state, now time.Time) {
	if s.divided {
		return
	}
	s.divided = true
	part := partOf(t.Self, t.members, s.tag, t.services[s.endpoint.Service].ColdRate, t.Bounds)
	if part == s.share && s.bucket != nil {
		return
	}
	s.share, s.bucket = part, nil
	if part <= 0 {
		return
	}
	s.bucket = rate.NewLimiter(rate.Limit(part), 1)
	interval, _ := part.TimeFor(1)
	s.bucket.AllowN(now.Add(-fescuebank.RandomTime(interval)), 1)
}
