package allocator

import (
	"slices"
	"time"
)

const (
	// preemptionTime is how long it takes until a slot of preempted batch work is free.
	preemptionTime = 60 * time.Millisecond
	// maxSlotsPerRelease is the largest number of slots for which one slot of this instance
	// is taken as a sample.
	maxSlotsPerRelease = 16
	// noAllowanceWait is the predicted wait if this instance has no part of any limit.
	noAllowanceWait = time.Hour
)

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

// predictSlotWait is predictWait for the endpoints without a request limit. The release times of this instance's slots
// serve as a sample of those of all instances. If they are too few, as in a large fleet,
// the slots are assumed to be released one after the other at equal intervals.
func (a *Allocator) predictSlotWait(request SlotRequest, now time.Time, ownAhead int) (time.Duration, bool) {
	slots, taken, free := 0, 0, 0
	for _, e := range a.usable(request.Service, request.Version, now) {
		if _, limited := a.limiter.Share(e.ID); limited || slices.Contains(request.Tried, e.ID) {
			continue
		}
		slots += e.Slots
		taken += e.load(now)
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
	releases := a.expectedReleases(request, now)
	online := max(1, taken-a.peerBatch)
	if len(releases)*maxSlotsPerRelease < online {
		return a.meanHold * time.Duration(missing) / time.Duration(online), true
	}
	// Each slot of this instance stands for slotsPerRelease slots of all instances.
	slotsPerRelease := max(1, float64(online)/float64(len(releases)))
	rounds, index := 0, int(float64(missing-1)/slotsPerRelease)
	for index >= len(releases) {
		index -= len(releases)
		rounds++
	}
	return releases[index] + time.Duration(rounds)*a.meanHold, true
}

// expectedReleases returns the expected times until this instance's slots that suit the
// request are released, in ascending order. Slots at endpoints that accept no requests are
// left out.
func (a *Allocator) expectedReleases(request SlotRequest, now time.Time) []time.Duration {
	list := make([]time.Duration, 0, len(a.heldSlots))
	for slot := range a.heldSlots {
		if slot.endpoint.serves(request.Service, request.Version) && slot.endpoint.acceptsRequests() {
			list = append(list, max(0, a.meanHold-now.Sub(slot.acquiredAt)))
		}
	}
	slices.Sort(list)
	return list
}
