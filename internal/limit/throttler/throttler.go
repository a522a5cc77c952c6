// Package throttler keeps the requests to endpoints that have just started, or that are cold again,
// within what they bear. It answers the return of a whole zone under a crest: the rate of a cold endpoint
// holds for all instances together, also for those that are cut off, restarted or new, so it is divided in
// fixed parts without messages, and what can't be known counts as cold.
package throttler

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

// refusedMargin is added to the cold time of an endpoint that refused a connection: it may start a while
// after that, as nobody tries it again at once.
const refusedMargin = time.Second

// Config holds a throttler's dependencies.
type Config struct {
	Self  fescuebank.InstanceID
	Clock fescuebank.Clock
	// Limiter keeps the limits that endpoints state. They hold besides.
	Limiter fescuebank.RateLimiter
	Bounds  fescuebank.ColdBounds
	// Announce makes gossip be sent soon.
	Announce func()
	Log      hclog.Logger
}

// Throttler is a fescuebank.RateLimiter.
type Throttler struct {
	Config
	// began is when the throttler was created. latest is measured from it, as the time of day may be set.
	began time.Time
	// latest is when the last endpoint ceases to be cold, in nanoseconds since began, 0 if none was. It
	// only grows. isolated is set while this instance can't learn which endpoints are cold. Both
	// spare requests the lock while no endpoint is cold.
	latest   atomic.Int64
	isolated atomic.Bool

	mu sync.Mutex
	// members are all instances of the fleet, this one included.
	members  []fescuebank.InstanceID
	services map[fescuebank.ServiceName]fescuebank.RoutedService
	states   map[fescuebank.EndpointID]*state
}

// New returns a throttler that knows of no endpoint.
func New(c Config) *Throttler {
	return &Throttler{Config: c, began: c.Clock.Now(), states: make(map[fescuebank.EndpointID]*state)}
}

// SetMembers sets the other instances of the fleet, whether they can be reached or not.
func (t *Throttler) SetMembers(others []fescuebank.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = append([]fescuebank.InstanceID{t.Self}, others...)
	t.divideAll()
}

// SetServices sets what the endpoints of each service bear while they are cold.
func (t *Throttler) SetServices(services map[fescuebank.ServiceName]fescuebank.RoutedService) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services = services
	t.divideAll()
}

// SetIsolated sets whether this instance hears neither the store nor most of the other instances. All
// endpoints then count as cold.
func (t *Throttler) SetIsolated(isolated bool) {
	if t.isolated.Swap(isolated) != isolated {
		t.Log.Info("Knowledge of cold endpoints changed.", "isolated", isolated)
	}
}

// SetEndpoints replaces the list of endpoints. A later version of an entry counts, and an earlier one
// never shortens the time for which an endpoint counts as cold.
func (t *Throttler) SetEndpoints(list []fescuebank.ServedEndpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, cold := t.Clock.Now(), 0
	next := make(map[fescuebank.EndpointID]*state, len(list))
	for _, e := range list {
		s := t.states[e.ID]
		switch {
		case s == nil || !s.isSame(e):
			s = &state{endpoint: e, tag: e.ID.Tag()}
		case e.EntryVersion <= s.endpoint.EntryVersion:
			next[e.ID] = s
			continue
		}
		s.endpoint = e
		if t.markCold(s, e.ColdLeft, now) {
			cold++
		}
		next[e.ID] = s
	}
	t.states = next
	if cold > 0 {
		t.Log.Info("Endpoints are cold.", "endpoints", cold, "cause", "entries")
	}
}

// ObserveReturn marks the endpoints of zones as cold whose evacuation has ended: they may have become
// cold before it, and their entries may say so later.
func (t *Throttler) ObserveReturn(zones []fescuebank.Zone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, cold := t.Clock.Now(), 0
	for _, s := range t.states {
		for _, zone := range zones {
			if s.endpoint.Zone == zone && t.markCold(s, t.coldTime(s), now) {
				cold++
			}
		}
	}
	if cold > 0 {
		t.Log.Info("Endpoints are cold.", "endpoints", cold, "cause", "evacuation ended")
	}
}

// ObserveCold applies how much longer the endpoint says in a response that it is cold.
func (t *Throttler) ObserveCold(id fescuebank.EndpointID, left time.Duration) {
	if !t.observeStated(id, left) {
		return
	}
	t.Log.Info("Endpoint states that it is cold.", "endpoint", string(id), "leftMs", left.Milliseconds())
	t.Announce()
}

// observeStated applies for how much longer an endpoint is cold, and reports whether it wasn't known as cold.
func (t *Throttler) observeStated(id fescuebank.EndpointID, left time.Duration) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[id]
	return s != nil && t.observe(s, left)
}

// ObserveRefused marks the endpoint at an address that refused a connection: it starts again, and will be
// cold then. confirmed is set if the refusal isn't the fault of this instance, so that others are told.
func (t *Throttler) ObserveRefused(addr string, confirmed bool) {
	if t.observeRefused(addr, confirmed) {
		t.Announce()
	}
}

// observeRefused is ObserveRefused, and reports whether this instance found out of an endpoint that is cold.
func (t *Throttler) observeRefused(addr string, confirmed bool) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.states {
		if s.endpoint.Addr != addr || t.coldTime(s) == 0 {
			continue
		}
		left := t.coldTime(s) + refusedMargin
		if confirmed {
			isNew = t.observe(s, left) || isNew
			continue
		}
		t.markCold(s, left, t.Clock.Now())
	}
	return isNew
}

// observe applies what this instance itself found out and reports whether the endpoint wasn't known as
// cold. The caller holds the lock.
func (t *Throttler) observe(s *state, left time.Duration) (isNew bool) {
	now := t.Clock.Now()
	if !t.markCold(s, left, now) {
		return false
	}
	isNew = !now.Before(s.observedUntil)
	s.observedUntil = s.until
	return isNew
}

// Observe applies the limit that the endpoint states in a response, 0 for none.
func (t *Throttler) Observe(id fescuebank.EndpointID, limit fescuebank.RequestRate) {
	t.Limiter.Observe(id, limit)
}

// Take counts a request that is sent to the endpoint.
func (t *Throttler) Take(id fescuebank.EndpointID) {
	t.Limiter.Take(id)
	if !t.mayBeCold() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if s := t.states[id]; t.isCold(s, now) && s.bucket != nil {
		s.bucket.AllowN(now, 1)
	}
}

// Share returns this instance's part of what may be sent to the endpoint. It returns false for an endpoint
// that is not cold and states no limit.
func (t *Throttler) Share(id fescuebank.EndpointID) (fescuebank.RateShare, bool) {
	stated, limited := t.Limiter.Share(id)
	cold, isCold := t.coldShare(id)
	switch {
	case !isCold:
		return stated, limited
	case !limited:
		return cold, true
	}
	return fescuebank.RateShare{Rate: min(stated.Rate, cold.Rate), Available: min(stated.Available, cold.Available)}, true
}

// coldShare returns this instance's part of the rate of a cold endpoint.
func (t *Throttler) coldShare(id fescuebank.EndpointID) (fescuebank.RateShare, bool) {
	if !t.mayBeCold() {
		return fescuebank.RateShare{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	s := t.states[id]
	if !t.isCold(s, now) {
		return fescuebank.RateShare{}, false
	}
	t.divide(s, now)
	if s.bucket == nil {
		return fescuebank.RateShare{}, true
	}
	return fescuebank.RateShare{Rate: s.share, Available: fescuebank.Requests(s.bucket.TokensAt(now))}, true
}

// CountCold returns the number of endpoints that count as cold.
func (t *Throttler) CountCold() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, count := t.Clock.Now(), 0
	for _, s := range t.states {
		if t.isCold(s, now) {
			count++
		}
	}
	return count
}

// mayBeCold reports whether any endpoint may count as cold now.
func (t *Throttler) mayBeCold() bool {
	return t.isolated.Load() || int64(t.Clock.Now().Sub(t.began)) < t.latest.Load()
}
