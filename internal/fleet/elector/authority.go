package elector

import (
	"context"
	"slices"
	"time"

	"fescuebank"
)

// TookOver reports whether another incarnation owned a team by the list before the newest
// one.
func (e *Elector) TookOver(team fescuebank.TeamID) bool {
	l := e.List()
	if l == nil {
		return false
	}
	before, ok := l.PreviousOwner(team)
	return ok && before != e.holder
}

// elapsed returns the time since t.
func (e *Elector) elapsed(t time.Time) time.Duration {
	return fescuebank.Elapsed(t, e.Clock.Now())
}

// MayAct reports whether this incarnation may start to act as the owner of a team, and
// under which epoch. It may as soon as no former owner can act any more.
func (e *Elector) MayAct(team fescuebank.TeamID) (fescuebank.FencingNumber, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isOwner(team) {
		return 0, false
	}
	for _, h := range e.list.Predecessors(team) {
		if !e.hasStopped(h) {
			return 0, false
		}
	}
	return e.list.Epoch, true
}

// VacantSince returns the time since which no other incarnation can have acted as the owner of a
// team that this incarnation owns, or false if that isn't known. It is known if the team belonged
// to the incarnation before, which ended before this one started, and nobody else may have acted by the
// lists in between.
func (e *Elector) VacantSince(team fescuebank.TeamID) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replaced == nil || e.replaced.Epoch+1 != e.list.Epoch || len(e.replaced.Former) > 0 || len(e.list.Former) > 0 {
		return time.Time{}, false
	}
	before, ok := e.replaced.Owner(team)
	return e.started, ok && before.ID == e.holder.ID && before.Incarnation != e.holder.Incarnation
}

// IsOwner reports whether this incarnation still owns a team that it has started to act
// for.
func (e *Elector) IsOwner(team fescuebank.TeamID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwner(team)
}

// ConfirmOwner reads the list of owners from the store and reports whether this incarnation owned a team by the list that was in force
// at some time during the call. Unlike IsOwner it doesn't depend on any clock.
func (e *Elector) ConfirmOwner(ctx context.Context, team fescuebank.TeamID) (bool, error) {
	if err := e.readList(ctx); err != nil {
		return false, err
	}
	owner, ok := e.Owner(team)
	return ok && owner == e.holder, nil
}

// isOwner reports whether the list names this incarnation as the owner of a team and its
// lease is valid. The caller holds the lock.
func (e *Elector) isOwner(team fescuebank.TeamID) bool {
	if e.list == nil || e.elapsed(e.confirmedAt) >= leaseTTL {
		return false
	}
	owner, ok := e.list.Owner(team)
	return ok && owner == e.holder
}

// hasStopped reports whether an incarnation can no longer act by an older list. The
// caller holds the lock.
func (e *Elector) hasStopped(h fescuebank.Holder) bool {
	if h == e.holder || e.acked[h] >= e.list.Epoch || e.isSuperseded(h) || e.allEntryInstancesApplied() {
		return true
	}
	removedAt, ok := e.removedAt[h]
	return ok && e.elapsed(removedAt) >= leaseTTL+leaseMargin
}

// allEntryInstancesApplied reports whether every instance that accepts callers' requests
// has applied the list. Then no instance uses a former owner any more. The members must
// have been read from the store since the list arrived. The caller holds the lock.
func (e *Elector) allEntryInstancesApplied() bool {
	if e.membersReadEpoch < e.list.Epoch {
		return false
	}
	for _, p := range e.Members.Peers() {
		h := fescuebank.Holder{ID: p.ID, Incarnation: p.Incarnation}
		if p.CallerAddr != "" && e.acked[h] < e.list.Epoch {
			return false
		}
	}
	return true
}

// readMembers reads the members from the store while this incarnation waits for former
// owners to stop.
func (e *Elector) readMembers(ctx context.Context) {
	e.mu.Lock()
	list, read := e.list, e.membersReadEpoch
	waiting := false
	if list != nil && list.Has(e.holder) && read < list.Epoch {
		for _, h := range slices.Concat(list.Previous, list.Former) {
			waiting = waiting || (!list.Has(h) && !e.hasStopped(h))
		}
	}
	e.mu.Unlock()
	if !waiting || !e.ReadMembers(ctx) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.membersReadEpoch = max(e.membersReadEpoch, list.Epoch)
}

// isSuperseded reports whether a later incarnation of the same instance is known. An
// incarnation begins only after the end of the one before. The entry alone doesn't tell which of two
// is the later one, unless it was seen to replace that of the other, or gossip arrives from its incarnation.
func (e *Elector) isSuperseded(h fescuebank.Holder) bool {
	if h.ID == e.holder.ID {
		return h.Incarnation != e.holder.Incarnation
	}
	for _, p := range e.Members.Peers() {
		if p.ID == h.ID {
			return p.Incarnation != h.Incarnation && (p.Replaces == h.Incarnation || p.Gossip.Incarnation == p.Incarnation)
		}
	}
	return false
}

// FloorSlot returns the floor slot of this instance and the number of slots, or false if
// it may not use a slot now. A floor slot entitles an instance to a minimum part of each
// team's quota, which it may use without the owner.
func (e *Elector) FloorSlot() (slot, slots int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.list == nil || e.elapsed(e.confirmedAt) >= floorSlotTTL {
		return 0, 0, false
	}
	// Instances that still use an older list with fewer slots have larger shares, until
	// their floor slots expire.
	if e.list.FloorsSince > 1 && e.elapsed(e.slotCountSeenAt) < floorSlotTTL {
		return 0, 0, false
	}
	slot = e.list.FloorSlot(e.holder.ID)
	return slot, len(e.list.Floors), slot >= 0
}
