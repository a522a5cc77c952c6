package allocator

import (
	"math/rand/v2"
	"slices"
	"time"

	"fescuebank"
)

// minContentionLag is the age of the other instances' counts from which a free slot may be given
// away by more than one of them although no request waits.
const minContentionLag = 50 * time.Millisecond

// contention is how many requests compete for the free slots of a service.
type contention struct {
	// free is the number of free slots, and waiting that of requests that wait at all instances;
	// behind is the number of those whose teams are above their share.
	free, waiting, behind int
	// contended is set if there are fewer free slots than requests that wait and that other
	// instances are expected to have sent unseen, in a fleet whose instances learn late what others
	// take.
	contended bool
	// allowed is set if a request limit of an endpoint allows this instance a request.
	allowed bool
}

// part returns the probability with which each waiting request takes one of the contended slots, so
// that about as many are taken as are free: those behind get what the others leave.
func (c contention) part(behind bool) float64 {
	others := max(0, c.waiting-c.behind)
	if !behind {
		return float64(c.free) / float64(max(1, others))
	}
	return float64(c.free-others) / float64(max(1, c.behind))
}

// contention returns the contention for a service. The caller holds the lock.
func (a *Allocator) contention(service fescuebank.ServiceName, now time.Time) contention {
	if a.peerLag < minContentionLag && a.peersWaiting == 0 {
		return contention{}
	}
	_, free := a.batchCapacity(service, now)
	c := contention{free: free, waiting: a.peersWaiting + len(a.waiting), behind: a.peerDemand.Behind + a.countBehind(now)}
	c.contended = float64(free) < float64(c.waiting)+a.estimateUnreported(now)
	c.allowed = c.contended && a.allowance(SlotRequest{Service: service}, now).available > 0
	return c
}

// assignShared assigns free slots to waiting requests. Of contended slots it takes this instance's
// share, once per lag of the counts: each waiting request gets one with the same probability at
// all instances, so that about as many are taken as are free. The caller holds the lock.
func (a *Allocator) assignShared() {
	now := a.clock.Now()
	mayTake := now.Sub(a.sharedAt) >= a.peerLag
	if mayTake {
		a.sharedAt = now
	}
	a.assignWhere(now, func(w *waiter, c contention) bool {
		return mayTake && rand.Float64() < c.part(a.isBehind(w.request, now))
	})
}

// assignReleased assigns free slots after this instance has released one. If slots are contended, one
// waiting request takes it. The caller holds the lock.
func (a *Allocator) assignReleased(service fescuebank.ServiceName) {
	taken := false
	a.assignWhere(a.clock.Now(), func(w *waiter, _ contention) bool {
		first := !taken && w.request.Service == service
		taken = taken || first
		return first
	})
}

// assignAllowed assigns free slots that are not contended, and those that request limits allow this
// instance. The caller holds the lock.
func (a *Allocator) assignAllowed() {
	a.assignWhere(a.clock.Now(), func(*waiter, contention) bool { return false })
}

// assignWhere assigns free slots to waiting requests. A request gets a contended slot only if mayTake
// allows it, or if a limit allows this instance the request. The caller holds the lock.
func (a *Allocator) assignWhere(now time.Time, mayTake func(*waiter, contention) bool) {
	a.sortWaiting(now)
	known := make(map[fescuebank.ServiceName]contention)
	for i := 0; i < len(a.waiting); {
		w := a.waiting[i]
		request := w.request
		c, ok := known[request.Service]
		if !ok {
			c = a.contention(request.Service, now)
			known[request.Service] = c
		}
		request.limitedOnly = c.contended && !request.Resuming && !mayTake(w, c)
		if (request.limitedOnly && !c.allowed) || a.mustYield(request, now) {
			i++
			continue
		}
		slot := a.assign(request, now)
		if slot == nil {
			i++
			continue
		}
		a.waiting = slices.Delete(a.waiting, i, i+1)
		w.assigned <- slot
	}
}
