package allocator

import (
	"time"

	"fescuebank"
)

// deprioritizedPenalty is added to the utilization of a deprioritized endpoint.
const deprioritizedPenalty = 0.6

// ExclusionTime is how long an endpoint is excluded after one failure.
const ExclusionTime = time.Second

// endpoint is the state of one endpoint.
type endpoint struct {
	fescuebank.ServedEndpoint
	tag fescuebank.EndpointTag
	// ownRequests and otherRequests count the requests of this and of other instances at
	// the endpoint.
	ownRequests   int
	otherRequests int
	// report is the endpoint's last load report.
	report loadReport
	// excludedUntil is the time until which the endpoint gets no requests.
	excludedUntil time.Time
	// deprioritizedUntil is the time until which deprioritizedPenalty applies.
	deprioritizedUntil time.Time
	removed            bool
	// evacuated endpoints are in a zone to which nothing may be sent.
	evacuated bool
}

// load returns the known number of requests at the endpoint.
func (e *endpoint) load(now time.Time) int {
	return e.ownRequests + e.otherRequests + e.report.beyond(e.otherRequests, now)
}

// freeSlots returns the number of slots without a known request.
func (e *endpoint) freeSlots(now time.Time) int {
	return max(0, e.Slots-e.load(now))
}

// utilization returns the load per slot by which endpoints are compared, with the penalty
// of a deprioritized endpoint.
func (e *endpoint) utilization(now time.Time) float64 {
	u := float64(e.load(now)) / float64(e.Slots)
	if e.deprioritizedUntil.After(now) {
		u += deprioritizedPenalty
	}
	return u
}

// serves reports whether the endpoint belongs to the service and, if version is not empty,
// runs that software version.
func (e *endpoint) serves(service fescuebank.ServiceName, version string) bool {
	return e.Service == service && (version == "" || e.Version == version)
}

// acceptsRequests reports whether the endpoint is registered, not leaving, and in a zone that is not
// evacuated.
func (e *endpoint) acceptsRequests() bool {
	return !e.removed && !e.Leaving && !e.evacuated
}

// SetEndpoints replaces the list of endpoints. Counts are kept for endpoints of the same
// incarnation and address. An endpoint that stated that it leaves remains leaving, whatever
// its entry says.
func (a *Allocator) SetEndpoints(list []fescuebank.ServedEndpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.versions.record(a.endpoints, a.clock.Now())
	next := make(map[fescuebank.EndpointID]*endpoint, len(list))
	for _, spec := range list {
		spec.Leaving = spec.Leaving || a.statedLeaving(spec)
		old := a.endpoints[spec.ID]
		if old != nil && old.StartedUnixMilli == spec.StartedUnixMilli && old.Addr == spec.Addr {
			old.ServedEndpoint = spec
			next[spec.ID] = old
			continue
		}
		next[spec.ID] = &endpoint{ServedEndpoint: spec, tag: spec.ID.Tag()}
	}
	for id, old := range a.endpoints {
		if next[id] != old {
			old.removed = true
		}
	}
	a.endpoints = next
	a.markEvacuated()
	a.forgetLeaving(a.clock.Now())
	a.endHopelessWaits()
	a.assignAllowed()
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

// Exclude gives an endpoint no requests for the duration d, unless all endpoints of its
// service are excluded.
func (a *Allocator) Exclude(id fescuebank.EndpointID, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.endpoints[id]; e != nil {
		e.excludedUntil = fescuebank.Latest(e.excludedUntil, a.clock.Now().Add(d))
	}
}

// Deprioritize ranks an endpoint behind the others of its service for the duration d: it
// gets requests only when their utilization is well above its own, and no batch work.
func (a *Allocator) Deprioritize(id fescuebank.EndpointID, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.endpoints[id]; e != nil {
		e.deprioritizedUntil = fescuebank.Latest(e.deprioritizedUntil, a.clock.Now().Add(d))
	}
}

// allExcluded reports whether all endpoints of a service, or of one software version of it,
// are excluded. They are used regardless then.
func (a *Allocator) allExcluded(service fescuebank.ServiceName, version string, now time.Time) bool {
	for _, e := range a.endpoints {
		if e.serves(service, version) && e.acceptsRequests() && !e.excludedUntil.After(now) {
			return false
		}
	}
	return true
}

// usable returns the endpoints of a service that may get requests now, those of one software
// version if it is not empty.
func (a *Allocator) usable(service fescuebank.ServiceName, version string, now time.Time) []*endpoint {
	allExcluded := a.allExcluded(service, version, now)
	list := make([]*endpoint, 0, len(a.endpoints))
	for _, e := range a.endpoints {
		if e.serves(service, version) && e.acceptsRequests() && (allExcluded || !e.excludedUntil.After(now)) {
			list = append(list, e)
		}
	}
	return list
}

// Loads returns the numbers of requests at each endpoint: this instance's and the other
// instances'.
func (a *Allocator) Loads() map[fescuebank.EndpointID][2]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := make(map[fescuebank.EndpointID][2]int, len(a.endpoints))
	for id, e := range a.endpoints {
		loads[id] = [2]int{e.ownRequests, e.otherRequests}
	}
	return loads
}
