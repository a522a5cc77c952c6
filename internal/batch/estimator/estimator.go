// Package estimator estimates how long batch items still take, from those that ran before.
package estimator

import (
	"sync"
	"time"
)

const (
	// smoothing is the weight of the newest sample in the moving averages.
	smoothing = 0.1
	// minSampleEvents is the least number of events of an attempt from which the time per
	// event is taken; the wait for the first event would dominate shorter ones.
	minSampleEvents = 8
	// minRemainingShare is the least share of the mean length that an item is assumed to
	// lack, also if it is longer than the mean already.
	minRemainingShare = 0.1
)

// Estimator keeps the mean length and speed of the items of each route.
type Estimator struct {
	mu     sync.Mutex
	routes map[string]*estimate
}

// estimate is what is known of the items of one route; 0 means unknown.
type estimate struct {
	// events is the mean number of events of a completed item.
	events float64
	// perEvent is the mean time between two events.
	perEvent time.Duration
}

// New returns an estimator that knows nothing.
func New() *Estimator {
	return &Estimator{routes: make(map[string]*estimate)}
}

// ObserveAttempt applies an attempt in which an item generated events within a time.
func (e *Estimator) ObserveAttempt(route string, events int, took time.Duration) {
	if events < minSampleEvents {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.route(route)
	sample := took / time.Duration(events)
	if r.perEvent == 0 {
		r.perEvent = sample
	}
	r.perEvent += time.Duration(smoothing * float64(sample-r.perEvent))
}

// ObserveItem applies the number of events of a completed item.
func (e *Estimator) ObserveItem(route string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.route(route)
	if r.events == 0 {
		r.events = float64(events)
	}
	r.events += smoothing * (float64(events) - r.events)
}

// route returns the estimate of a route. The caller holds the lock.
func (e *Estimator) route(name string) *estimate {
	r := e.routes[name]
	if r == nil {
		r = &estimate{}
		e.routes[name] = r
	}
	return r
}

// Remaining returns how long an item that has generated some events is expected to run until
// its end, or 0 if nothing is known.
func (e *Estimator) Remaining(route string, events int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[route]
	if r == nil {
		return 0
	}
	missing := max(r.events-float64(events), minRemainingShare*r.events)
	return time.Duration(missing * float64(r.perEvent))
}
