package allocator

import (
	"slices"
	"time"

	"fescuebank"
)

const (
	// initialHoldTime is the assumed time that a request occupies its slot until the
	// first one has ended.
	initialHoldTime = 700 * time.Millisecond
	// minHoldTime is the shortest time for which a slot is expected to be held.
	minHoldTime = time.Millisecond
	// holdSmoothing is the weight of the newest sample in the moving average of hold
	// times.
	holdSmoothing = 0.05
	// preemptionTime is how long it takes until a slot of preempted batch work is free.
	preemptionTime = 60 * time.Millisecond
	// maxSlotsPerRelease is the largest number of slots for which one slot of this instance
	// is taken as a sample.
	maxSlotsPerRelease = 16
	// noAllowanceWait is the predicted wait if this instance has no part of any limit.
	noAllowanceWait = time.Hour
)

// work is a kind of work whose slots are held about equally long at one endpoint.
type work struct {
	service fescuebank.ServiceName
	batch   bool
}

// holdTime returns how long a slot is held at the typical endpoint. The caller holds the lock.
func (a *Allocator) holdTime(w work) time.Duration {
	if hold, ok := a.holds[w]; ok {
		return hold
	}
	return initialHoldTime
}

// holdTimeAt returns how long a slot of an endpoint is held by a kind of work. The caller holds the
// lock.
func (a *Allocator) holdTimeAt(e *endpoint, w work) time.Duration {
	return max(minHoldTime, time.Duration(float64(a.holdTime(w))*float64(a.paces.Pace(e.ID))))
}

// work returns the kind of work that holds the slot.
func (s *Slot) work() work {
	return work{service: s.Endpoint.Service, batch: s.batch}
}

// observeHold applies how long a slot was held. The caller holds the lock.
func (a *Allocator) observeHold(s *Slot, heldFor time.Duration) {
	w := s.work()
	hold := a.holdTime(w)
	sample := float64(heldFor) / float64(a.paces.LastingPace(s.Endpoint.ID))
	a.holds[w] = hold + time.Duration(holdSmoothing*(sample-float64(hold)))
}

// predictWait estimates the wait of a request behind ownAhead requests of this instance: for a
// slot at an endpoint without a request limit, or until a limit allows it, whichever comes
// first. It reports false if there is no endpoint.
func (a *Allocator) predictWait(request SlotRequest, now time.Time, ownAhead int) (time.Duration, bool) {
	slotWait, hasSlots := a.predictSlotWait(request, now, ownAhead)
	allowed := a.allowance(request, now)
	if allowed.endpoints == 0 {
		return slotWait, hasSlots
	}
	limitWait, ok := allowed.timeFor(ownAhead + 1)
	switch {
	case !ok && !hasSlots:
		return noAllowanceWait, true
	case !ok || (hasSlots && slotWait < limitWait):
		return slotWait, true
	}
	return limitWait, true
}

// predictSlotWait is predictWait for the endpoints without a request limit. The release times of
// this instance's slots serve as a sample of those of all instances. If they are too few, as in a
// large fleet, the slots are assumed to be released one after the other at equal intervals.
func (a *Allocator) predictSlotWait(request SlotRequest, now time.Time, ownAhead int) (time.Duration, bool) {
	online := work{service: request.Service}
	slots, taken, free := 0, 0, 0
	releaseRate := 0.0 // Per second.
	for _, e := range a.usable(request.Service, request.Version, now) {
		if _, limited := a.limiter.Share(e.ID); limited || slices.Contains(request.Tried, e.ID) {
			continue
		}
		slots += e.Slots
		taken += e.load(now)
		releaseRate += float64(e.load(now)) / a.holdTimeAt(e, online).Seconds()
		free += e.freeSlots(now)
	}
	if slots == 0 {
		return 0, false
	}
	missing := ownAhead + 1 - free
	missing += a.peersAhead(request, now)
	if missing <= 0 {
		return 0, true
	}
	if missing <= a.peerBatch {
		return preemptionTime, true
	}
	missing -= a.peerBatch
	meanHold := a.holdTime(online)
	if releaseRate > 0 {
		meanHold = time.Duration(float64(taken) / releaseRate * float64(time.Second))
	}
	releases := a.expectedReleases(request, now)
	onlineTaken := max(1, taken-a.peerBatch)
	if len(releases)*maxSlotsPerRelease < onlineTaken {
		return meanHold * time.Duration(missing) / time.Duration(onlineTaken), true
	}
	// Each slot of this instance stands for slotsPerRelease slots of all instances.
	slotsPerRelease := max(1, float64(onlineTaken)/float64(len(releases)))
	rounds, index := 0, int(float64(missing-1)/slotsPerRelease)
	for index >= len(releases) {
		index -= len(releases)
		rounds++
	}
	return releases[index] + time.Duration(rounds)*meanHold, true
}

// expectedReleases returns the expected times until this instance's slots that suit the
// request are released, in ascending order. Slots at endpoints that accept no requests are
// left out.
func (a *Allocator) expectedReleases(request SlotRequest, now time.Time) []time.Duration {
	list := make([]time.Duration, 0, len(a.heldSlots))
	for slot := range a.heldSlots {
		if slot.endpoint.serves(request.Service, request.Version) && slot.endpoint.acceptsRequests() {
			list = append(list, max(0, a.holdTimeAt(slot.endpoint, slot.work())-now.Sub(slot.acquiredAt)))
		}
	}
	slices.Sort(list)
	return list
}
