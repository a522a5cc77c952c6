package allocator

import "fescuebank"

// SetEvacuated sets the zones to whose endpoints nothing may be sent. Requests that wait for these
// endpoints alone end at once. What runs there goes on: it ends no sooner elsewhere, and in a time of high
// load it would take a slot that another request needs.
func (a *Allocator) SetEvacuated(zones []fescuebank.Zone) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evacuated = make(map[fescuebank.Zone]bool, len(zones))
	for _, zone := range zones {
		a.evacuated[zone] = true
	}
	a.markEvacuated()
	a.endHopelessWaits()
	a.assignAllowed()
}

// markEvacuated marks the endpoints in evacuated zones. The caller holds the lock.
func (a *Allocator) markEvacuated() {
	for _, e := range a.endpoints {
		e.evacuated = a.evacuated[e.Zone]
	}
}

// isEvacuated reports whether the slot's endpoint is in an evacuated zone.
func (s *Slot) isEvacuated() bool {
	s.allocator.mu.Lock()
	defer s.allocator.mu.Unlock()
	return s.endpoint.evacuated
}

// ZoneLoad returns the number of requests of all instances at the endpoints of a zone.
func (a *Allocator) ZoneLoad(zone fescuebank.Zone) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := 0
	for _, e := range a.endpoints {
		if e.Zone == zone {
			sum += e.load(a.clock.Now())
		}
	}
	return sum
}

// OpenEndpoints returns the known endpoints that accept requests.
func (a *Allocator) OpenEndpoints() []fescuebank.ServedEndpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []fescuebank.ServedEndpoint
	for _, e := range a.endpoints {
		if e.acceptsRequests() {
			list = append(list, e.ServedEndpoint)
		}
	}
	return list
}
