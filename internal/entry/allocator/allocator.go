// Package allocator gives requests a place at an endpoint, or has them wait for one.
package allocator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"fescuebank"
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
)

// SlotRequest is what a request wants.
type SlotRequest struct {
	Service fescuebank.ServiceName
	// Prefix picks among equally loaded endpoints, so that requests which share
	// a prompt's start meet. Empty for none.
	Prefix string
	// Tried are endpoints that the request already tried.
	Tried []fescuebank.EndpointID
	// Deadline is when the place must have been given at the latest.
	Deadline time.Time
	// ReconsiderAt is when a wait is given up if its end is not in sight. A zero
	// time means never.
	ReconsiderAt time.Time
	// Priority is the rank, 0 for the most urgent.
	Priority int
	// spare is set for work that can wait.
	spare bool
}

// Slot is a place at an endpoint. It must be released once.
type Slot struct {
	Endpoint fescuebank.ServedEndpoint
	// Load is the number of requests there, this one included, as counted here.
	Load   int
	began  time.Time
	state  *endpoint
	parent *Allocator
	once   sync.Once
}

// Allocator counts the requests at each endpoint.
type Allocator struct {
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
	held map[*Slot]bool
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

// New returns an allocator without endpoints.
func New(clock fescuebank.Clock, changed func()) *Allocator {
	return &Allocator{
		clock: clock, changed: changed, hold: initialHold,
		endpoints: make(map[fescuebank.EndpointID]*endpoint), held: make(map[*Slot]bool),
	}
}

// Counts returns the number of requests that this instance has at each endpoint
// and how many wait.
func (a *Allocator) Counts() (counts fescuebank.EndpointCounts, waiting int) {
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

// SetPeerCounts takes in what the other instances have at the endpoints, how many of
// their requests wait, and how many of their places make room for waiting ones.
func (a *Allocator) SetPeerCounts(counts fescuebank.EndpointCounts, waiting, yielding int) {
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
func (a *Allocator) Acquire(ctx context.Context, ask SlotRequest) (*Slot, error) {
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
	if !ok || now.Add(wait).After(ask.Deadline) {
		a.mu.Unlock()
		if !ok {
			return nil, ErrNoEndpoint
		}
		return nil, ErrFull
	}
	w := &waiter{ask: ask, order: a.order, given: make(chan *Slot, 1)}
	a.order++
	a.enqueue(w)
	a.mu.Unlock()
	a.changed()
	return a.await(ctx, w)
}

// LogFields tells the state that decides waits for a service, for the log.
func (a *Allocator) LogFields(service fescuebank.ServiceName) []any {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	slots, free := a.room(service, now)
	wait, _ := a.predict(SlotRequest{Service: service}, now, len(a.waiting))
	return []any{
		"service", string(service), "places", slots, "freePlaces", free, "waitingHere", len(a.waiting),
		"waitingElsewhere", a.othersWaiting, "yielding", a.yielding, "predictedWaitMs", wait.Milliseconds(), "holdMs", a.hold.Milliseconds(),
	}
}

// RetryAfter returns when a refused caller should come back.
func (a *Allocator) RetryAfter() time.Duration {
	return retryBase + rand.N(retrySpread)
}

// give takes a place for the ask, or returns nil.
func (a *Allocator) give(ask SlotRequest, now time.Time) *Slot {
	best := a.pick(ask, now)
	if best == nil {
		return nil
	}
	a.rate = a.currentRate(now) + 1/rateTime.Seconds()
	a.rated = now
	best.own++
	p := &Slot{Endpoint: best.ServedEndpoint, Load: best.load(now), began: now, state: best, parent: a}
	a.held[p] = true
	return p
}

// Observe takes in what the endpoint reports of its load. Requests beyond those
// that instances told of are those of instances that this one doesn't hear.
func (p *Slot) Observe(load fescuebank.EndpointLoad) {
	a := p.parent
	a.mu.Lock()
	defer a.mu.Unlock()
	e := p.state
	e.hidden = max(0, load.Running+load.Waiting-e.own-e.others-untold)
	e.hiddenUntil = a.clock.Now().Add(hiddenLife)
}

// Release gives the place back.
func (p *Slot) Release() {
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
