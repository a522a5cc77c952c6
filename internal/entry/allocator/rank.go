package allocator

import (
	"slices"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/ranker"
)

// rankRequest returns what the order of a request depends on.
func (r SlotRequest) rankRequest() ranker.Request {
	return ranker.Request{Team: r.Team, Resuming: r.Resuming, Priority: r.Priority, Deadline: r.Deadline, Spent: r.Spent}
}

// SetTeamRates sets the rates to which teams are limited, 0 for no limit. A team's share of the
// slots is weighted by its rate.
func (a *Allocator) SetTeamRates(rates map[fescuebank.TeamID]fescuebank.RequestRate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ranker.SetRates(rates)
}

// SetPeerDemand sets the demand that the other instances stated, and the number of instances with
// this one.
func (a *Allocator) SetPeerDemand(demand fescuebank.SlotDemand, instances int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peerDemand, a.instances = demand, instances
	a.ranker.SetPeers(demand)
}

// Demand returns the demand for slots at this instance, or nil if slots have not been short lately.
func (a *Allocator) Demand() *fescuebank.SlotDemand {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if !a.isShort(now) {
		return nil
	}
	demand := a.ranker.Report(now)
	demand.Behind, demand.Returning = a.countBehind(now), a.postponer.Returning(now)
	return &demand
}

// noteShortage records that requests wait for slots somewhere. The caller holds the lock.
func (a *Allocator) noteShortage(now time.Time) {
	if len(a.waiting) > 0 || a.peersWaiting > 0 {
		a.shortAt = now
	}
}

// isShort reports whether slots have been short lately. The caller holds the lock.
func (a *Allocator) isShort(now time.Time) bool {
	return !a.shortAt.IsZero() && now.Sub(a.shortAt) <= shortageMemory
}

// isBehind reports whether a request goes behind those of teams within their share. The caller
// holds the lock.
func (a *Allocator) isBehind(request SlotRequest, now time.Time) bool {
	return a.ranker.IsBehind(request.rankRequest(), now)
}

// countBehind returns the number of this instance's waiting requests whose teams are above their
// share. The caller holds the lock.
func (a *Allocator) countBehind(now time.Time) int {
	count := 0
	for _, w := range a.waiting {
		if a.isBehind(w.request, now) {
			count++
		}
	}
	return count
}

// peersAhead returns how many of the requests that wait at other instances go before a request. The
// caller holds the lock.
func (a *Allocator) peersAhead(request SlotRequest, now time.Time) int {
	switch {
	case request.Resuming:
		return 0
	case a.isBehind(request, now):
		return a.peersWaiting
	}
	return max(0, a.peersWaiting-a.peerDemand.Behind)
}

// mustYield reports whether the free slots are left to others, as the team of a request is above its
// share: to requests that wait at other instances, and to those that these are expected to send
// unseen. The caller holds the lock.
func (a *Allocator) mustYield(request SlotRequest, now time.Time) bool {
	if !a.isShort(now) || !a.isBehind(request, now) {
		return false
	}
	_, free := a.batchCapacity(request.Service, now)
	others := float64(a.peersWaiting-a.peerDemand.Behind) + a.estimateUnreported(now)
	return others > 0 && float64(free) <= others
}

// othersWait reports whether requests of teams within their share wait at any instance. The caller
// holds the lock.
func (a *Allocator) othersWait(now time.Time) bool {
	return a.peersWaiting > a.peerDemand.Behind || len(a.waiting) > a.countBehind(now)
}

// compare orders two waiting requests. The caller holds the lock.
func (a *Allocator) compare(x, y *waiter, now time.Time) int {
	if c := a.ranker.Compare(x.request.rankRequest(), y.request.rankRequest(), now); c != 0 {
		return c
	}
	return int(x.sequence) - int(y.sequence)
}

// sortWaiting brings the waiting requests into their order, which depends on what the teams have got
// meanwhile. The caller holds the lock.
func (a *Allocator) sortWaiting(now time.Time) {
	slices.SortFunc(a.waiting, func(x, y *waiter) int { return a.compare(x, y, now) })
}

// countAhead returns how many of this instance's waiting requests go before w and could use its
// slots. The caller holds the lock.
func (a *Allocator) countAhead(w *waiter, now time.Time) int {
	count := 0
	for _, x := range a.waiting {
		if x != w && x.request.competesWith(w.request) && a.compare(x, w, now) < 0 {
			count++
		}
	}
	return count
}
