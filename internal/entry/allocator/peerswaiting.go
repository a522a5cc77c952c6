package allocator

import (
	"fescuebank"
)

// WaitingAt returns the number of this instance's waiting requests for each service, or nil if all endpoints are of one service.
func (a *Allocator) WaitingAt() fescuebank.ServiceCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 || !a.hasSeveralServices() {
		return nil
	}
	counts := make(fescuebank.ServiceCounts)
	for _, w := range a.waiting {
		counts[w.request.Service]++
	}
	return counts
}

// hasSeveralServices reports whether the endpoints are of more than one service. The caller holds the lock.
func (a *Allocator) hasSeveralServices() bool {
	var first fescuebank.ServiceName
	for _, e := range a.endpoints {
		if first == "" {
			first = e.Service
		}
		if e.Service != first {
			return true
		}
	}
	return false
}

// SetPeersWaitingAt sets the number of the other instances' waiting requests for each service, as far as they state it.
func (a *Allocator) SetPeersWaitingAt(counts fescuebank.ServiceCounts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peersWaitingAt = counts
}

// peersWaitingFor returns the number of the other instances' waiting requests that are or may be for a service: those of older builds may be
// for any. The caller holds the lock.
func (a *Allocator) peersWaitingFor(service fescuebank.ServiceName) int {
	known := 0
	for _, n := range a.peersWaitingAt {
		known += n
	}
	return a.peersWaitingAt[service] + max(0, a.peersWaiting-known)
}
