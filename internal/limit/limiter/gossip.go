package limiter

import (
	"time"

	"fescuebank"
)

const (
	// newsTime is how long all messages of the instance that observed a change state it.
	newsTime = time.Second
	// refreshMargin is by how much a statement that changes nothing must be later to count. It
	// exceeds the age that statements gain on the way from one instance to the next, or two
	// instances would confirm an old one to each other without end.
	refreshMargin = time.Second
	// orderMargin is by how much a statement of another rate must be later to count. Of two that
	// are closer the later one is not known.
	orderMargin = 50 * time.Millisecond
)

// FillGossip adds statements of endpoints to a message: the recent changes that this instance has
// observed, and, if the message is full, those that it has to repeat.
func (l *Limiter) FillGossip(g *fescuebank.Gossip, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for tag := range l.statements {
		s := l.inForce(tag, now)
		if s == nil || !s.isDue(full, now) {
			continue
		}
		if g.RateLimits == nil {
			g.RateLimits = make(map[fescuebank.EndpointTag]fescuebank.RateLimitStatement)
		}
		g.RateLimits[tag] = fescuebank.RateLimitStatement{Rate: s.rate, AgeMs: now.Sub(s.at).Milliseconds()}
	}
}

// isDue reports whether a message has to contain the statement.
func (s *statement) isDue(full bool, now time.Time) bool {
	return (full && s.repeats) || (s.observed && now.Sub(s.changedAt) < newsTime)
}

// ApplyGossip applies the statements of endpoints that another instance knows. The latest one
// of each endpoint counts.
func (l *Limiter) ApplyGossip(g *fescuebank.Gossip) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for tag, remote := range g.RateLimits {
		age := time.Duration(remote.AgeMs) * time.Millisecond
		if age < 0 || age >= statementTTL || remote.Rate < 0 {
			continue
		}
		at := now.Add(-age)
		s := l.inForce(tag, now)
		switch {
		case s == nil && !(remote.Rate > 0):
		case s == nil, s.rate != remote.Rate && at.Sub(s.at) >= orderMargin, at.Sub(s.at) >= refreshMargin:
			l.apply(tag, remote.Rate, at, now)
		}
	}
}
