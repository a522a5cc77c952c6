package allocator

import (
	"time"

	"fescuebank"
)

// AcquireBatch returns a slot for batch work without waiting. It returns nil if requests
// wait at other instances or the free slots would fall below the reserved share of the
// service's slots.
func (a *Allocator) AcquireBatch(service fescuebank.ServiceName, reservedShare float64) *Slot {
	a.mu.Lock()
	now := a.clock.Now()
	slots, free := a.batchCapacity(service, now)
	if a.peersWaiting > 0 || float64(free) < 1+reservedShare*float64(slots) {
		a.mu.Unlock()
		return nil
	}
	slot := a.assign(SlotRequest{Service: service, batch: true}, now)
	a.mu.Unlock()
	if slot != nil {
		a.onChange()
	}
	return slot
}

// BatchExcess returns the number of slots that batch work of all instances must release so
// that the requests waiting at other instances get slots and the reserved share of the
// service's slots is free. It is 0 or more.
func (a *Allocator) BatchExcess(service fescuebank.ServiceName, reservedShare float64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	slots, free := a.batchCapacity(service, a.clock.Now())
	return max(0, a.peersWaiting+int(reservedShare*float64(slots))-free)
}

// batchCapacity returns the slots of a service's usable endpoints and how many of them
// are free, without deprioritized endpoints. The caller holds the lock.
func (a *Allocator) batchCapacity(service fescuebank.ServiceName, now time.Time) (slots, free int) {
	for _, e := range a.usable(service, now) {
		if e.deprioritizedUntil.After(now) {
			continue
		}
		slots += e.Slots
		free += max(0, e.Slots-e.load(now))
	}
	return slots, free
}
