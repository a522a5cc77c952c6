package allocator

import (
	"slices"
	"time"

	"fescuebank"
)

// handicap is the load by place that an endpoint which is avoided counts for
// beside its own.
const handicap = 0.6

// ExclusionTime is how long an endpoint is left out after one failure.
const ExclusionTime = time.Second

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

// SetEndpoints replaces the list of endpoints. Counts of those that stay the
// same run are kept.
func (a *Allocator) SetEndpoints(list []fescuebank.ServedEndpoint) {
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
func (a *Allocator) Endpoints() []fescuebank.ServedEndpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]fescuebank.ServedEndpoint, 0, len(a.endpoints))
	for _, e := range a.endpoints {
		list = append(list, e.ServedEndpoint)
	}
	return list
}

// Exclude leaves an endpoint out for a while, as long as its service has others.
func (a *Allocator) Exclude(id fescuebank.EndpointID, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.endpoints[id]; e != nil {
		e.shunned = fescuebank.Latest(e.shunned, a.clock.Now().Add(d))
	}
}

// Deprioritize has an endpoint get requests for a while only if the others are well filled, and
// no work that can wait.
func (a *Allocator) Deprioritize(id fescuebank.EndpointID, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.endpoints[id]; e != nil {
		e.avoided = fescuebank.Latest(e.avoided, a.clock.Now().Add(d))
	}
}

// isDeserted reports whether all endpoints of a service are left out, so that they
// have to be used all the same.
func (a *Allocator) isDeserted(service fescuebank.ServiceName, now time.Time) bool {
	for _, e := range a.endpoints {
		if e.Service == service && e.isOpen() && !e.shunned.After(now) {
			return false
		}
	}
	return true
}

// usable returns the endpoints of a service that may get requests now.
func (a *Allocator) usable(service fescuebank.ServiceName, now time.Time) []*endpoint {
	deserted := a.isDeserted(service, now)
	list := make([]*endpoint, 0, len(a.endpoints))
	for _, e := range a.endpoints {
		if e.Service == service && e.isOpen() && (deserted || !e.shunned.After(now)) {
			list = append(list, e)
		}
	}
	return list
}

// Loads returns the requests at each endpoint, this instance's and others'.
func (a *Allocator) Loads() map[fescuebank.EndpointID][2]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := make(map[fescuebank.EndpointID][2]int, len(a.endpoints))
	for id, e := range a.endpoints {
		loads[id] = [2]int{e.own, e.others}
	}
	return loads
}

// fits reports whether the endpoint has a free place that the ask may have.
func (e *endpoint) fits(ask SlotRequest, now time.Time) bool {
	return e.load(now) < e.Slots && !slices.Contains(ask.Tried, e.ID)
}
