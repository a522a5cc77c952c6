// Package allotter gives requests a place at an endpoint, or has them wait for one.
package allotter

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
	"fescuebank/internal/entry/spreader"
)

// Errors of Acquire.
var (
	// ErrNoEndpoint means that no endpoint of the service is known.
	ErrNoEndpoint = errors.New("no endpoint")
	// ErrFull means that a place would come too late.
	ErrFull = errors.New("all places taken")
)

const (
	// initialHold is the time that a request is taken to hold a place before any
	// has ended.
	initialHold = 700 * time.Millisecond
	// holdWeight is the weight of the newest hold in the moving average.
	holdWeight = 0.05
	// hiddenLife is how long a report of requests that nobody told of counts.
	hiddenLife = time.Second
	// untold is how many requests may be on their way to be told of.
	untold = 1
	// retryBase is the least time after which a refused caller is told to return.
	retryBase = 300 * time.Millisecond
	// retrySpread is over how long the return of refused callers is spread.
	retrySpread = 700 * time.Millisecond
	// handicap is the load by place that an endpoint which is avoided counts for
	// beside its own.
	handicap = 0.6
	// rateTime is over what time the rate of places given is averaged.
	rateTime = time.Second
)

// ShunTime is how long an endpoint is left out after one failure.
const ShunTime = time.Second

// Ask is what a request wants.
type Ask struct {
	Service fescuebank.ServiceName
	// Prefix picks among equally loaded endpoints, so that requests which share
	// a prompt's start meet. Empty for none.
	Prefix string
	// Except are endpoints that the request already tried.
	Except []fescuebank.EndpointID
	// Until is when the place must have been given at the latest.
	Until time.Time
	// Reconsider is when a wait is given up if its end is not in sight. A zero
	// time means never.
	Reconsider time.Time
	// Priority is the rank, 0 for the most urgent.
	Priority int
	// spare is set for work that can wait.
	spare bool
}

// Place is a place at an endpoint. It must be released once.
type Place struct {
	Endpoint fescuebank.ServedEndpoint
	// Load is the number of requests there, this one included, as counted here.
	Load   int
	began  time.Time
	state  *endpoint
	parent *Allotter
	once   sync.Once
}

// endpoint is the state of one endpoint.
type endpoint struct {
	fescuebank.ServedEndpoint
	tag fescuebank.EndpointTag
	// own and others count the requests of this and of other instances there.
	own    int
	others int
	// hidden are requests that the endpoint reported and nobody told of, counted
	// until hiddenUntil.
	hidden      int
	hiddenUntil time.Time
	// shunned is until when the endpoint gets nothing.
	shunned time.Time
	// avoided is until when it gets requests only while the others are well filled.
	avoided time.Time
	gone    bool
}

// load returns the number of requests there as far as known.
func (e *endpoint) load(now time.Time) int {
	if now.Before(e.hiddenUntil) {
		return e.own + e.others + e.hidden
	}
	return e.own + e.others
}

// height is the load by place that decides among endpoints.
func (e *endpoint) height(now time.Time) float64 {
	height := float64(e.load(now)) / float64(e.Slots)
	if e.avoided.After(now) {
		height += handicap
	}
	return height
}

// isOpen reports whether the endpoint takes new requests as far as it says itself.
func (e *endpoint) isOpen() bool {
	return !e.gone && !e.Leaving
}

// waiter is a request that waits.
type waiter struct {
	ask   Ask
	order uint64
	given chan *Place
}

// Allotter counts the requests at each endpoint.
type Allotter struct {
	clock fescuebank.Clock
	// changed is called without the lock when the counts of this instance change.
	changed func()

	mu        sync.Mutex
	endpoints map[fescuebank.EndpointID]*endpoint
	waiting   []*waiter
	order     uint64
	// hold is the moving average of how long a place is held.
	hold time.Duration
	// held are this instance's places.
	held map[*Place]bool
	// rate is the moving average of the places given a second, as of rated.
	rate  float64
	rated time.Time
	// instances is how many use the endpoints, and lag how old their counts may be.
	instances int
	lag       time.Duration
	// othersWaiting is the number of waiting requests of other instances, and
	// yielding the number of places held by work that makes room for them.
	othersWaiting int
	yielding      int
}

// New returns an allotter without endpoints.
func New(clock fescuebank.Clock, changed func()) *Allotter {
	return &Allotter{
		clock: clock, changed: changed, hold: initialHold,
		endpoints: make(map[fescuebank.EndpointID]*endpoint), held: make(map[*Place]bool),
	}
}

// SetEndpoints replaces the list of endpoints. Counts of those that stay the
// same run are kept.
func (a *Allotter) SetEndpoints(list []fescuebank.ServedEndpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := make(map[fescuebank.EndpointID]*endpoint, len(list))
	for _, spec := range list {
		old := a.endpoints[spec.ID]
		if old != nil && old.Started == spec.Started && old.Addr == spec.Addr {
			old.ServedEndpoint = spec
			next[spec.ID] = old
			continue
		}
		next[spec.ID] = &endpoint{ServedEndpoint: spec, tag: spec.ID.Tag()}
	}
	for id, old := range a.endpoints {
		if next[id] != old {
			old.gone = true
		}
	}
	a.endpoints = next
	a.serve()
}

// Endpoints returns the known endpoints.
func (a *Allotter) Endpoints() []fescuebank.ServedEndpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]fescuebank.ServedEndpoint, 0, len(a.endpoints))
	for _, e := range a.endpoints {
		list = append(list, e.ServedEndpoint)
	}
	return list
}

// Shun leaves an endpoint out for a while, as long as its service has others.
func (a *Allotter) Shun(id fescuebank.EndpointID, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.endpoints[id]; e != nil {
		e.shunned = latest(e.shunned, a.clock.Now().Add(d))
	}
}

// Avoid has an endpoint get requests for a while only if the others are well filled, and
// no work that can wait.
func (a *Allotter) Avoid(id fescuebank.EndpointID, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.endpoints[id]; e != nil {
		e.avoided = latest(e.avoided, a.clock.Now().Add(d))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isDeserted reports whether all endpoints of a service are left out, so that they
// have to be used all the same.
func (a *Allotter) isDeserted(service fescuebank.ServiceName, now time.Time) bool {
	for _, e := range a.endpoints {
		if e.Service == service && e.isOpen() && !e.shunned.After(now) {
			return false
		}
	}
	return true
}

// usable returns the endpoints of a service that may get requests now.
func (a *Allotter) usable(service fescuebank.ServiceName, now time.Time) []*endpoint {
	deserted := a.isDeserted(service, now)
	list := make([]*endpoint, 0, len(a.endpoints))
	for _, e := range a.endpoints {
		if e.Service == service && e.isOpen() && (deserted || !e.shunned.After(now)) {
			list = append(list, e)
		}
	}
	return list
}

// Counts returns the number of requests that this instance has at each endpoint
// and how many wait.
func (a *Allotter) Counts() (counts fescuebank.EndpointCounts, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts = make(fescuebank.EndpointCounts)
	for _, e := range a.endpoints {
		if e.own > 0 {
			counts[e.tag] += e.own
		}
	}
	return counts, len(a.waiting)
}

// Loads returns the requests at each endpoint, this instance's and others'.
func (a *Allotter) Loads() map[fescuebank.EndpointID][2]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := make(map[fescuebank.EndpointID][2]int, len(a.endpoints))
	for id, e := range a.endpoints {
		loads[id] = [2]int{e.own, e.others}
	}
	return loads
}

// SetOthers takes in what the other instances have at the endpoints, how many of
// their requests wait, and how many of their places make room for waiting ones.
func (a *Allotter) SetOthers(counts fescuebank.EndpointCounts, waiting, yielding int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.endpoints {
		e.others = counts[e.tag]
	}
	a.othersWaiting, a.yielding = waiting, yielding
	a.serve()
}

// Acquire gives a place, waiting for one until the ask's latest time. It fails
// with ErrFull at once if the wait is predicted to be longer, and with
// ErrNoEndpoint if there is no endpoint to wait for.
func (a *Allotter) Acquire(ctx context.Context, ask Ask) (*Place, error) {
	a.mu.Lock()
	now := a.clock.Now()
	if len(a.waiting) == 0 {
		if p := a.give(ask, now); p != nil {
			a.mu.Unlock()
			a.changed()
			return p, nil
		}
	}
	wait, ok := a.predict(ask, now, len(a.waiting))
	if !ok || now.Add(wait).After(ask.Until) {
		a.mu.Unlock()
		if !ok {
			return nil, ErrNoEndpoint
		}
		return nil, ErrFull
	}
	w := &waiter{ask: ask, order: a.order, given: make(chan *Place, 1)}
	a.order++
	a.enqueue(w)
	a.mu.Unlock()
	a.changed()
	return a.await(ctx, w)
}

// enqueue keeps the waiting requests ordered by rank, then by latest time.
func (a *Allotter) enqueue(w *waiter) {
	i, _ := slices.BinarySearchFunc(a.waiting, w, func(x, y *waiter) int {
		if x.ask.Priority != y.ask.Priority {
			return x.ask.Priority - y.ask.Priority
		}
		if c := x.ask.Until.Compare(y.ask.Until); c != 0 {
			return c
		}
		return int(x.order) - int(y.order)
	})
	a.waiting = slices.Insert(a.waiting, i, w)
}

func (a *Allotter) await(ctx context.Context, w *waiter) (*Place, error) {
	var reconsider <-chan time.Time
	if !w.ask.Reconsider.IsZero() {
		reconsider = a.clock.After(w.ask.Reconsider.Sub(a.clock.Now()))
	}
	until := a.clock.After(w.ask.Until.Sub(a.clock.Now()))
	for {
		var cause error
		select {
		case p := <-w.given:
			a.changed()
			return p, nil
		case <-reconsider:
			reconsider = nil
			if a.isInSight(w) {
				continue
			}
			cause = ErrFull
		case <-until:
			cause = ErrFull
		case <-ctx.Done():
			cause = ctx.Err()
		}
		return a.withdraw(ctx, w, cause)
	}
}

// isInSight reports whether a waiting request still expects its place in time.
func (a *Allotter) isInSight(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	ahead := max(0, slices.Index(a.waiting, w))
	wait, ok := a.predict(w.ask, now, ahead)
	return ok && !now.Add(wait).After(w.ask.Until)
}

// withdraw ends a wait. A place that was given meanwhile is taken unless the
// caller is gone.
func (a *Allotter) withdraw(ctx context.Context, w *waiter, cause error) (*Place, error) {
	a.mu.Lock()
	a.waiting = slices.DeleteFunc(a.waiting, func(x *waiter) bool { return x == w })
	a.mu.Unlock()
	select {
	case p := <-w.given:
		if ctx.Err() == nil {
			return p, nil
		}
		p.Release()
	default:
	}
	a.changed()
	return nil, cause
}

// yieldTime is how long it takes until a place that makes room is free.
const yieldTime = 60 * time.Millisecond

// predict estimates how long a request with some own ones ahead of it waits for a
// place. It reports false if there is no endpoint. This instance's own places
// are a sample of when those of all instances become free.
func (a *Allotter) predict(ask Ask, now time.Time, ownAhead int) (time.Duration, bool) {
	slots, taken, free := 0, 0, 0
	for _, e := range a.usable(ask.Service, now) {
		if slices.Contains(ask.Except, e.ID) {
			continue
		}
		slots += e.Slots
		taken += e.load(now)
		free += max(0, e.Slots-e.load(now))
	}
	if slots == 0 {
		return 0, false
	}
	missing := ownAhead + a.othersWaiting + 1 - free
	if missing <= 0 {
		return 0, true
	}
	if missing <= a.yielding {
		return yieldTime, true
	}
	missing -= a.yielding
	ends := a.ends(ask.Service, now)
	if len(ends) == 0 {
		return a.hold * time.Duration(missing) / time.Duration(slots), true
	}
	// Each own place stands for as many as there are for one of this instance's.
	each := max(1, float64(taken-a.yielding)/float64(len(ends)))
	rounds, place := 0, int(float64(missing-1)/each)
	for place >= len(ends) {
		place -= len(ends)
		rounds++
	}
	return ends[place] + time.Duration(rounds)*a.hold, true
}

// ends returns in how long each own place is expected to become free, in order.
func (a *Allotter) ends(service fescuebank.ServiceName, now time.Time) []time.Duration {
	list := make([]time.Duration, 0, len(a.held))
	for p := range a.held {
		if p.state.Service == service && !p.state.gone {
			list = append(list, max(0, a.hold-now.Sub(p.began)))
		}
	}
	slices.Sort(list)
	return list
}

// Details tells the state that decides waits for a service, for the log.
func (a *Allotter) Details(service fescuebank.ServiceName) []any {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	slots, free := a.room(service, now)
	wait, _ := a.predict(Ask{Service: service}, now, len(a.waiting))
	return []any{
		"service", string(service), "places", slots, "freePlaces", free, "waitingHere", len(a.waiting),
		"waitingElsewhere", a.othersWaiting, "yielding", a.yielding, "predictedWaitMs", wait.Milliseconds(), "holdMs", a.hold.Milliseconds(),
	}
}

// RetryAfter returns when a refused caller should come back.
func (a *Allotter) RetryAfter() time.Duration {
	return retryBase + rand.N(retrySpread)
}

// give takes a place for the ask, or returns nil.
func (a *Allotter) give(ask Ask, now time.Time) *Place {
	best := a.pick(ask, now)
	if best == nil {
		return nil
	}
	a.rate = a.currentRate(now) + 1/rateTime.Seconds()
	a.rated = now
	best.own++
	p := &Place{Endpoint: best.ServedEndpoint, Load: best.load(now), began: now, state: best, parent: a}
	a.held[p] = true
	return p
}

// SetFleet says how many instances use the endpoints, this one included, and how old
// the counts of the others may be.
func (a *Allotter) SetFleet(instances int, lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances, a.lag = instances, lag
}

// currentRate returns the rate of places given here. The caller holds the lock.
func (a *Allotter) currentRate(now time.Time) float64 {
	return a.rate * math.Exp(-now.Sub(a.rated).Seconds()/rateTime.Seconds())
}

// unseen estimates how many requests the others sent since their counts were told, if
// each sends as many as this instance.
func (a *Allotter) unseen(now time.Time) float64 {
	return a.currentRate(now) * a.lag.Seconds() * float64(max(0, a.instances-1))
}

// pick returns a usable endpoint with a free place: the least loaded one, or, while
// others send requests unseen, one that is filled by them no more than the rest.
func (a *Allotter) pick(ask Ask, now time.Time) *endpoint {
	var list []*endpoint
	for _, e := range a.usable(ask.Service, now) {
		if e.fits(ask, now) && (!ask.spare || !e.avoided.After(now)) {
			list = append(list, e)
		}
	}
	if unseen := a.unseen(now); unseen >= 1 {
		return spread(list, now, unseen)
	}
	return pickLeast(list, ask.Prefix, now)
}

// spread picks among endpoints with a free place by loads that are out of date.
func spread(list []*endpoint, now time.Time, unseen float64) *endpoint {
	var s spreader.Spreader
	for i, e := range list {
		s.Add(i, e.height(now), e.Slots)
	}
	i := s.Pick(unseen, rand.Float64())
	if i < 0 {
		return nil
	}
	return list[i]
}

// fits reports whether the endpoint has a free place that the ask may have.
func (e *endpoint) fits(ask Ask, now time.Time) bool {
	return e.load(now) < e.Slots && !slices.Contains(ask.Except, e.ID)
}

// pickLeast returns the endpoint with the least load. Among those that are equal, the
// prefix decides.
func pickLeast(list []*endpoint, prefix string, now time.Time) *endpoint {
	var best *endpoint
	var bestKey pickKey
	for _, e := range list {
		key := pickKey{load: e.height(now), hash: xxhash.Sum64String(prefix + "/" + string(e.ID))}
		if best == nil || key.before(bestKey) {
			best, bestKey = e, key
		}
	}
	return best
}

// pickKey orders endpoints.
type pickKey struct {
	load float64
	hash uint64
}

func (k pickKey) before(other pickKey) bool {
	if k.load != other.load {
		return k.load < other.load
	}
	return k.hash < other.hash
}

// serve gives places to waiting requests. The caller holds the lock.
func (a *Allotter) serve() {
	now := a.clock.Now()
	for i := 0; i < len(a.waiting); {
		w := a.waiting[i]
		p := a.give(w.ask, now)
		if p == nil {
			i++
			continue
		}
		a.waiting = slices.Delete(a.waiting, i, i+1)
		w.given <- p
	}
}

// Observe takes in what the endpoint reports of its load. Requests beyond those
// that instances told of are those of instances that this one doesn't hear.
func (p *Place) Observe(load fescuebank.EndpointLoad) {
	a := p.parent
	a.mu.Lock()
	defer a.mu.Unlock()
	e := p.state
	e.hidden = max(0, load.Running+load.Waiting-e.own-e.others-untold)
	e.hiddenUntil = a.clock.Now().Add(hiddenLife)
}

// Release gives the place back.
func (p *Place) Release() {
	p.once.Do(func() {
		a := p.parent
		a.mu.Lock()
		p.state.own--
		delete(a.held, p)
		held := a.clock.Now().Sub(p.began)
		a.hold += time.Duration(holdWeight * float64(held-a.hold))
		a.serve()
		a.mu.Unlock()
		a.changed()
	})
}

// AcquireSpare gives a place for work that can wait, without waiting. It returns
// nil unless the share headroom of the service's places stays free.
func (a *Allotter) AcquireSpare(service fescuebank.ServiceName, headroom float64) *Place {
	a.mu.Lock()
	now := a.clock.Now()
	slots, free := a.room(service, now)
	if a.othersWaiting > 0 || float64(free) < 1+headroom*float64(slots) {
		a.mu.Unlock()
		return nil
	}
	p := a.give(Ask{Service: service, spare: true}, now)
	a.mu.Unlock()
	if p != nil {
		a.changed()
	}
	return p
}

// Excess returns how many places must become free so that no request waits and
// the share headroom of the service's places is free. It is 0 or more.
func (a *Allotter) Excess(service fescuebank.ServiceName, headroom float64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	slots, free := a.room(service, a.clock.Now())
	return max(0, a.othersWaiting+int(headroom*float64(slots))-free)
}

// room sums the places of a service's usable endpoints that none avoids. The caller
// holds the lock.
func (a *Allotter) room(service fescuebank.ServiceName, now time.Time) (slots, free int) {
	for _, e := range a.usable(service, now) {
		if e.avoided.After(now) {
			continue
		}
		slots += e.Slots
		free += max(0, e.Slots-e.load(now))
	}
	return slots, free
}
