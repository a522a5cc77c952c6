package allocator

import (
	"time"

	"fescuebank"
)

// Batch work leaves a share of the service's slots free, and besides as many as the other
// instances are expected to have taken unseen.

// AcquireBatch returns a slot for batch work without waiting, at an endpoint of the software
// version if that is set and one has a free slot. If requests for the service wait at other instances or the
// free slots would fall below the reserve, it returns one at an endpoint whose request limit this
// instance has a part of, or nil.
func (a *Allocator) AcquireBatch(service fescuebank.ServiceName, version string, reservedShare float64) *Slot {
	slot := a.assignBatch(service, version, reservedShare)
	if slot != nil {
		a.onChange()
	}
	return slot
}

// assignBatch is AcquireBatch without telling of the change.
func (a *Allocator) assignBatch(service fescuebank.ServiceName, version string, reservedShare float64) *Slot {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	request := SlotRequest{Service: service, Version: version, batch: true, limitedOnly: a.unlimitedRoom(service, reservedShare, now) <= 0}
	slot := a.assign(request, now)
	if slot == nil && version != "" {
		request.Version = ""
		slot = a.assign(request, now)
	}
	return slot
}

// BatchRoom returns the number of slots that batch work may take: those that are free beyond
// the reserve, or none while requests for the service wait at other instances, and what request limits allow this
// instance.
func (a *Allocator) BatchRoom(service fescuebank.ServiceName, reservedShare float64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	allowed := a.allowance(SlotRequest{Service: service}, now)
	return allowed.available + a.unlimitedRoom(service, reservedShare, now)
}

// unlimitedRoom is BatchRoom for the endpoints without a request limit. The caller holds the lock.
func (a *Allocator) unlimitedRoom(service fescuebank.ServiceName, reservedShare float64, now time.Time) int {
	if a.peersWaitingFor(service) > 0 {
		return 0
	}
	slots, free := a.batchCapacity(service, now)
	return max(0, int(float64(free)-reservedShare*float64(slots)-a.estimateUnreported(now)))
}

// BatchExcess returns the number of slots that batch work of all instances must release so
// that the requests for the service that wait at other instances get slots and the reserve is free. It is 0 or
// more.
func (a *Allocator) BatchExcess(service fescuebank.ServiceName, reservedShare float64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	slots, free := a.batchCapacity(service, now)
	return max(0, a.peersWaitingFor(service)+int(reservedShare*float64(slots)+a.estimateUnreported(now))-free)
}

// FullVersions returns the software versions of a service whose slots are all taken while another
// version has free ones. Requests that wait at other instances although slots are free may be
// streams of these versions; waiting is the number of such requests.
func (a *Allocator) FullVersions(service fescuebank.ServiceName) (versions []string, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	free := make(map[string]int)
	for _, e := range a.usable(service, "", now) {
		room := 0
		if a.hasRoomFor(e, SlotRequest{}, now) {
			room = e.freeSlots(now)
		}
		free[e.Version] += room
	}
	for version, count := range free {
		if count == 0 {
			versions = append(versions, version)
		}
	}
	if len(versions) == len(free) {
		return nil, 0
	}
	return versions, a.peersWaitingFor(service)
}

// SetPeerOnline sets the other instances' online requests at each endpoint.
func (a *Allocator) SetPeerOnline(counts fescuebank.EndpointCounts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peerOnline = counts
}

// OnlineDemands returns, for each service, the number of slots that online requests of all instances
// hold or wait for. Waiting requests are divided in proportion to those at endpoints.
func (a *Allocator) OnlineDemands() map[fescuebank.ServiceName]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := make(map[*endpoint]int)
	for slot := range a.heldSlots {
		if !slot.batch {
			own[slot.endpoint]++
		}
	}
	demands := make(map[fescuebank.ServiceName]float64)
	sum := 0.0
	for _, e := range a.endpoints {
		held := float64(a.peerOnline[e.tag] + own[e])
		demands[e.Service] += held
		sum += held
	}
	for service, held := range demands {
		if sum > 0 {
			demands[service] += float64(a.peersWaiting+len(a.waiting)) * held / sum
		}
	}
	return demands
}

// BatchSlots returns the number of slots of a service that batch items and online requests share.
func (a *Allocator) BatchSlots(service fescuebank.ServiceName) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	slots, _ := a.batchCapacity(service, a.clock.Now())
	return slots
}

// batchCapacity returns the slots of a service's usable endpoints and how many of them
// are free, without deprioritized endpoints and those with a request limit. The caller holds the
// lock.
func (a *Allocator) batchCapacity(service fescuebank.ServiceName, now time.Time) (slots, free int) {
	for _, e := range a.usable(service, "", now) {
		if _, limited := a.limiter.Share(e.ID); limited || e.deprioritizedUntil.After(now) {
			continue
		}
		slots += e.Slots
		free += e.freeSlots(now)
	}
	return slots, free
}
