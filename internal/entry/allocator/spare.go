package allocator

import (
	"time"

	"fescuebank"
)

// AcquireBatch gives a place for work that can wait, without waiting. It returns
// nil unless the share headroom of the service's places stays free.
func (a *Allocator) AcquireBatch(service fescuebank.ServiceName, headroom float64) *Slot {
	a.mu.Lock()
	now := a.clock.Now()
	slots, free := a.room(service, now)
	if a.othersWaiting > 0 || float64(free) < 1+headroom*float64(slots) {
		a.mu.Unlock()
		return nil
	}
	p := a.give(SlotRequest{Service: service, spare: true}, now)
	a.mu.Unlock()
	if p != nil {
		a.changed()
	}
	return p
}

// BatchExcess returns how many places must become free so that no request waits and
// the share headroom of the service's places is free. It is 0 or more.
func (a *Allocator) BatchExcess(service fescuebank.ServiceName, headroom float64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	slots, free := a.room(service, a.clock.Now())
	return max(0, a.othersWaiting+int(headroom*float64(slots))-free)
}

// room sums the places of a service's usable endpoints that none avoids. The caller
// holds the lock.
func (a *Allocator) room(service fescuebank.ServiceName, now time.Time) (slots, free int) {
	for _, e := range a.usable(service, now) {
		if e.avoided.After(now) {
			continue
		}
		slots += e.Slots
		free += max(0, e.Slots-e.load(now))
	}
	return slots, free
}
