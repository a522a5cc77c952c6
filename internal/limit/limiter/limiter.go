// Package limiter keeps the requests to endpoints within the rates that the endpoints state. A
// rate holds for the requests of all instances together. A few of them, the holders, divide it
// in equal and fixed parts, so that the sum is kept while instances can't reach each other.
package limiter

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"fescuebank"
)

const (
	// statementTTL is how long a statement is in force that no response repeats.
	statementTTL = 30 * time.Second
	// minRate is the lowest rate that is kept: without any request an endpoint could never
	// state that its limit has ended.
	minRate = fescuebank.RequestRate(0.1)
	// saveTime is the time over which the holders may save up their parts. In any window all
	// together send at most what the limit allows in that much more time.
	saveTime = 2 * time.Second
)

// Config holds a limiter's dependencies.
type Config struct {
	Self  fescuebank.InstanceID
	Clock fescuebank.Clock
	// Announce makes gossip be sent soon.
	Announce func()
	Log      hclog.Logger
}

// Limiter is a fescuebank.RateLimiter.
type Limiter struct {
	Config

	mu sync.Mutex
	// members are all instances of the fleet, this one included; empty until they are known.
	members    []fescuebank.InstanceID
	statements map[fescuebank.EndpointTag]*statement
}

// statement is what an endpoint last stated, with this instance's part of it.
type statement struct {
	// rate is 0 if the endpoint stated no limit after it had stated one.
	rate fescuebank.RequestRate
	// at is when the endpoint made the statement, and changedAt when this rate came into force
	// here.
	at        time.Time
	changedAt time.Time
	// observed is set if this instance itself received the response that stated the rate.
	observed bool
	// role is this instance's role for rate, or for the one before if rate is 0.
	role
	// bucket holds the requests that the share allows; nil if that is 0.
	bucket *rate.Limiter
}

// New returns a limiter that knows of no limit.
func New(c Config) *Limiter {
	return &Limiter{Config: c, statements: make(map[fescuebank.EndpointTag]*statement)}
}

// SetMembers sets the other instances of the fleet, whether they can be reached or not.
func (l *Limiter) SetMembers(others []fescuebank.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = append([]fescuebank.InstanceID{l.Self}, others...)
	now := l.Clock.Now()
	for tag, s := range l.statements {
		l.divide(tag, s, now)
	}
}

// Observe applies the limit that the endpoint states in a response, 0 for none.
func (l *Limiter) Observe(id fescuebank.EndpointID, limit fescuebank.RequestRate) {
	if !l.observe(id.Tag(), limit) {
		return
	}
	l.Log.Info("Endpoint states a request limit.", "endpoint", string(id), "ratePerS", float64(limit))
	l.Announce()
}

// observe is Observe, and reports whether the endpoint stated another limit before.
func (l *Limiter) observe(tag fescuebank.EndpointTag, limit fescuebank.RequestRate) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if l.inForce(tag, now) == nil && !(limit > 0) {
		return false
	}
	if !l.apply(tag, limit, now, now) {
		return false
	}
	l.statements[tag].observed = true
	return true
}

// apply replaces the statement of an endpoint and reports whether its rate is another one. The
// caller holds the lock.
func (l *Limiter) apply(tag fescuebank.EndpointTag, limit fescuebank.RequestRate, at, now time.Time) (changed bool) {
	limit = boundedRate(limit)
	s := l.statements[tag]
	if s == nil {
		s = &statement{changedAt: now}
		l.statements[tag] = s
	}
	s.at = at
	if s.rate == limit {
		return false
	}
	s.rate, s.changedAt, s.observed = limit, now, false
	l.divide(tag, s, now)
	return true
}

// boundedRate returns the rate that is kept for a stated one, 0 for none.
func boundedRate(stated fescuebank.RequestRate) fescuebank.RequestRate {
	if stated > 0 {
		return min(max(stated, minRate), fescuebank.MaxRequestRate)
	}
	return 0 // It isn't a number, or no limit.
}

// divide determines this instance's part of a limit. The caller holds the lock.
func (l *Limiter) divide(tag fescuebank.EndpointTag, s *statement, now time.Time) {
	if s.rate == 0 {
		s.share, s.bucket = 0, nil
		return
	}
	s.role = roleOf(l.Self, l.members, tag, s.rate)
	if s.share == 0 {
		s.bucket = nil
		return
	}
	burst := max(1, int(s.share.Over(saveTime)))
	if s.bucket != nil {
		s.bucket.SetLimitAt(now, rate.Limit(s.share))
		s.bucket.SetBurstAt(now, burst)
		return
	}
	s.bucket = rate.NewLimiter(rate.Limit(s.share), burst)
	// The holders start with different parts of a request, so that they don't all send at once.
	interval, _ := s.share.TimeFor(1)
	s.bucket.AllowN(now.Add(-fescuebank.RandomTime(interval)), burst)
}

// inForce returns the statement of an endpoint, or nil. The caller holds the lock.
func (l *Limiter) inForce(tag fescuebank.EndpointTag, now time.Time) *statement {
	s := l.statements[tag]
	if s != nil && now.Sub(s.at) >= statementTTL {
		delete(l.statements, tag)
		return nil
	}
	return s
}

// ObserveCold does nothing: a limiter keeps stated limits only.
func (*Limiter) ObserveCold(fescuebank.EndpointID, time.Duration) {}

// Take counts a request that is sent to the endpoint.
func (l *Limiter) Take(id fescuebank.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if s := l.inForce(id.Tag(), now); s != nil && s.bucket != nil {
		s.bucket.AllowN(now, 1)
	}
}

// Share returns this instance's part of the endpoint's limit. It returns false for an endpoint
// without a limit.
func (l *Limiter) Share(id fescuebank.EndpointID) (fescuebank.RateShare, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	s := l.inForce(id.Tag(), now)
	if s == nil || s.rate == 0 {
		return fescuebank.RateShare{}, false
	}
	if s.bucket == nil {
		return fescuebank.RateShare{}, true
	}
	return fescuebank.RateShare{Rate: s.share, Available: fescuebank.Requests(s.bucket.TokensAt(now))}, true
}

// Limited returns the number of endpoints with a limit in force.
func (l *Limiter) Limited() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, count := l.Clock.Now(), 0
	for tag := range l.statements {
		if s := l.inForce(tag, now); s != nil && s.rate > 0 {
			count++
		}
	}
	return count
}
