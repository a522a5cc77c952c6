package elector

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
)

// reconcile rewrites the list if it doesn't match the members. Only the owner instance
// for which isFirst holds does so, and one that is leaving.
func (e *Elector) reconcile(ctx context.Context) error {
	if !e.Self.Owner {
		return nil
	}
	peers := e.Members.Peers()
	e.mu.Lock()
	now := e.Clock.Now()
	current, version, leaving := e.list, e.version, e.leaving
	e.recordUnreachable(peers, now)
	e.recordAbsent(peers, now)
	next, changed := e.nextList(peers, now)
	mustWait := !leaving && e.renewal(peers, now).MustWait()
	e.mu.Unlock()
	isForming := current == nil && now.Sub(e.started) < formationDelay
	if !e.MembersKnown() || !changed || isForming || mustWait || (!leaving && !e.isFirst(peers)) {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	sentAt := e.Clock.Now()
	written, err := e.Store.Put(ctx, fescuebank.OwnerListKey, value, version)
	if errors.Is(err, fescuebank.ErrVersion) || errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		return e.readList(ctx)
	}
	if err != nil {
		return err
	}
	e.ApplyObject(fescuebank.Object{Key: fescuebank.OwnerListKey, Value: value, Version: written}, sentAt)
	return nil
}

// isFirst reports whether no owner instance that is alive, not leaving and able to reach
// the store has a lower id than this one.
func (e *Elector) isFirst(peers []gossiper.Peer) bool {
	for _, p := range peers {
		if p.Owner && p.Alive && !p.Gossip.Leaving && !p.Gossip.StoreUnreachable && p.ID < e.Self.ID {
			return false
		}
	}
	return true
}

// IsFirst reports whether this instance is the one that writes what the owner instances write once for
// the whole fleet.
func (e *Elector) IsFirst() bool {
	return e.Self.Owner && e.isFirst(e.Members.Peers())
}

// recordUnreachable records since when peers have been unreachable. The caller holds the lock.
func (e *Elector) recordUnreachable(peers []gossiper.Peer, now time.Time) {
	for _, p := range peers {
		h := fescuebank.Holder{ID: p.ID, Incarnation: p.Incarnation}
		if p.Reachable {
			delete(e.unreachableSince, h)
			continue
		}
		if _, ok := e.unreachableSince[h]; !ok {
			e.unreachableSince[h] = now
		}
	}
}

// nextList returns the list that matches the members, and whether it has to replace the
// current one. The caller holds the lock.
func (e *Elector) nextList(peers []gossiper.Peer, now time.Time) (*fescuebank.OwnerList, bool) {
	old := e.list
	if old == nil {
		old = &fescuebank.OwnerList{}
	}
	next := &fescuebank.OwnerList{
		Epoch: old.Epoch + 1, Previous: old.Owners, Floors: slices.Clone(old.Floors), FloorsSince: old.FloorsSince,
	}
	if !e.leaving {
		next.Owners = append(next.Owners, e.holder)
	}
	for _, p := range peers {
		h := fescuebank.Holder{ID: p.ID, Incarnation: p.Incarnation}
		if p.Owner && !p.Gossip.Leaving && !e.hasLostStore(p) && e.shouldOwn(old, h, p.Reachable, now) {
			next.Owners = append(next.Owners, h)
		}
		if p.CallerAddr != "" {
			e.assignFloorSlot(next, p, now)
		}
	}
	slices.SortFunc(next.Owners, func(a, b fescuebank.Holder) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if len(next.Floors) > len(old.Floors) {
		next.FloorsSince = next.Epoch
	}
	if len(next.Owners) == 0 || !e.allApplied(old, next) {
		return nil, false
	}
	next.Former = e.stillActing(old, next)
	same := slices.Equal(next.Owners, old.Owners) && slices.Equal(next.Floors, old.Floors)
	// When all former owners have stopped, the list is rewritten without them, so that an
	// incarnation that starts later doesn't wait for them.
	pruned := len(old.Former) > 0 && len(next.Former) == 0
	return next, !same || pruned
}

// allApplied reports whether the owners that remain on the list have applied the old one.
// The caller holds the lock.
func (e *Elector) allApplied(old, next *fescuebank.OwnerList) bool {
	for _, h := range old.Owners {
		if h != e.holder && next.Has(h) && e.acked[h] < old.Epoch {
			return false
		}
	}
	return true
}

// stillActing returns the former owners that may still act by an older list. The caller
// holds the lock.
func (e *Elector) stillActing(old, next *fescuebank.OwnerList) []fescuebank.Holder {
	var list []fescuebank.Holder
	for _, h := range old.Former {
		if !e.hasStopped(h) {
			list = append(list, h)
		}
	}
	for _, h := range old.Owners {
		if !next.Has(h) && !e.isSuperseded(h) && h != e.holder {
			list = append(list, h)
		}
	}
	return list
}

// hasLostStore reports whether a peer can't reach the store although the store itself
// answers: this instance has reached it for at least storeStableTime.
func (e *Elector) hasLostStore(p gossiper.Peer) bool {
	reachable, since := e.StoreState()
	return p.Alive && p.Gossip.StoreUnreachable && reachable && since >= storeStableTime
}

// shouldOwn reports whether an incarnation belongs on the list. The caller holds the lock.
func (e *Elector) shouldOwn(old *fescuebank.OwnerList, h fescuebank.Holder, reachable bool, now time.Time) bool {
	if reachable {
		return true
	}
	if now.Sub(e.started) < startupGrace {
		return old.Has(h)
	}
	since, ok := e.unreachableSince[h]
	return old.Has(h) && ok && now.Sub(since) < removeAfter
}

// assignFloorSlot assigns an instance a floor slot: the one it has, one whose holder has
// been absent for long enough, or a new one. The caller holds the lock.
func (e *Elector) assignFloorSlot(l *fescuebank.OwnerList, p gossiper.Peer, now time.Time) {
	if !p.Alive || l.FloorSlot(p.ID) >= 0 {
		return
	}
	for i, id := range l.Floors {
		if since, ok := e.absentSince[id]; ok && now.Sub(since) >= floorSlotTTL+leaseMargin {
			l.Floors[i] = p.ID
			return
		}
	}
	l.Floors = append(l.Floors, p.ID)
}

// recordAbsent records since when holders of floor slots have been missing from the members.
// The caller holds the lock.
func (e *Elector) recordAbsent(peers []gossiper.Peer, now time.Time) {
	if e.list == nil {
		return
	}
	present := make(map[fescuebank.InstanceID]bool, len(peers))
	for _, p := range peers {
		present[p.ID] = true
	}
	for _, id := range e.list.Floors {
		if present[id] {
			delete(e.absentSince, id)
			continue
		}
		if _, ok := e.absentSince[id]; !ok {
			e.absentSince[id] = now
		}
	}
}
