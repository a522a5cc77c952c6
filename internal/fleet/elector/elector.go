// Package elector maintains the list of owners and decides when this instance may
// act as the owner of a team.
package elector

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
)

const (
	// leaseTTL is how long an incarnation may act as an owner after it sent a
	// successful read of the list of owners.
	leaseTTL = 8 * time.Second
	// leaseMargin is the safety margin between the expiry of a lease and a takeover.
	leaseMargin = 500 * time.Millisecond
	// confirmInterval is how often an owner instance reads the list to confirm that its
	// epoch is in force.
	confirmInterval = 3 * time.Second
	// floorSlotTTL is how long an incarnation may use its floor slot after it or an
	// owner instance has read the list. The slot of an absent instance is reassigned only
	// after it has been absent for floorSlotTTL plus leaseMargin.
	floorSlotTTL = 25 * time.Second
	// reconcileInterval is how often the list is compared with the members.
	reconcileInterval = 300 * time.Millisecond
	// removeAfter is how long an owner must be unreachable before it is removed from
	// the list.
	removeAfter = 600 * time.Millisecond
	// storeStableTime is how long the store must have answered this instance before
	// it removes owners that report the store as unreachable.
	storeStableTime = 2 * time.Second
	// formationDelay is how long the first list is delayed, so that gossip from the
	// members arrives before it is written.
	formationDelay = 1500 * time.Millisecond
	// startupGrace is how long after its start an incarnation doesn't remove owners
	// that it receives no gossip from: its connections may not have been established yet.
	startupGrace = 2 * time.Second
)

// Members provides the other members of the fleet.
type Members interface {
	Peers() []gossiper.Peer
}

// Config holds the dependencies of an elector.
type Config struct {
	Self    fescuebank.MemberEntry
	Store   fescuebank.ObjectStore
	Members Members
	Clock   fescuebank.Clock
	Log     hclog.Logger
	// OnChange is called after a new list has been applied.
	OnChange func()
	// ReadThroughPeer reads the list from the store through another instance.
	ReadThroughPeer func(ctx context.Context) (fescuebank.Object, error)
	// MembersKnown reports whether the members have been read from the store since the
	// start.
	MembersKnown func() bool
	// ReadMembers reads the members from the store and reports whether that succeeded.
	ReadMembers func(ctx context.Context) bool
	// StoreState reports whether this instance reaches the store, and for how long it
	// has been in that state.
	StoreState func() (reachable bool, since time.Duration)
}

// Elector holds the newest list of owners and decides by it who may act.
type Elector struct {
	Config
	holder  fescuebank.Holder
	started time.Time
	wake    chan struct{}

	mu   sync.Mutex
	list *fescuebank.OwnerList
	// version is the store version of the list.
	version fescuebank.StoreVersion
	// slotCountSeenAt is when this instance first saw the current number of floor
	// slots.
	slotCountSeenAt time.Time
	// removedAt is when this instance first saw a list that lacks a former owner, by
	// former owner.
	removedAt map[fescuebank.Holder]time.Time
	// confirmedAt is when the newest successful read of the list was sent, by this
	// instance or, as far as floor slots depend on it, by a peer.
	confirmedAt time.Time
	// acked is the newest epoch that each incarnation is known to have applied.
	acked map[fescuebank.Holder]fescuebank.FencingNumber
	// unreachableSince is since when each peer has been unreachable.
	unreachableSince map[fescuebank.Holder]time.Time
	// absentSince is since when each holder of a floor slot has been missing from the
	// members.
	absentSince map[fescuebank.InstanceID]time.Time
	// membersReadEpoch is the newest epoch after whose arrival the members were read
	// from the store.
	membersReadEpoch fescuebank.FencingNumber
	// leaving is set when this incarnation has to leave the list.
	leaving bool
}

// New returns an elector without a list.
func New(c Config) *Elector {
	return &Elector{
		Config: c, holder: fescuebank.Holder{ID: c.Self.ID, Incarnation: c.Self.Incarnation},
		started: c.Clock.Now(), wake: make(chan struct{}, 1),
		acked:            make(map[fescuebank.Holder]fescuebank.FencingNumber),
		unreachableSince: make(map[fescuebank.Holder]time.Time),
		removedAt:        make(map[fescuebank.Holder]time.Time),

		absentSince: make(map[fescuebank.InstanceID]time.Time),
	}
}

// List returns the newest list applied, or nil.
func (e *Elector) List() *fescuebank.OwnerList {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list
}

// Epoch returns the epoch of the newest list applied, or 0.
func (e *Elector) Epoch() fescuebank.FencingNumber {
	if l := e.List(); l != nil {
		return l.Epoch
	}
	return 0
}

// Acknowledge records that an incarnation has applied an epoch and no longer acts by
// an older one.
func (e *Elector) Acknowledge(h fescuebank.Holder, epoch fescuebank.FencingNumber) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch > e.acked[h] {
		e.acked[h] = epoch
	}
}

// Owner returns the incarnation that owns a team by the newest list.
func (e *Elector) Owner(team fescuebank.TeamID) (fescuebank.Holder, bool) {
	l := e.List()
	if l == nil {
		return fescuebank.Holder{}, false
	}
	return l.Owner(team)
}

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

// elapsed returns the time since t, by the monotonic or the wall clock, whichever shows
// more: the monotonic clock stops while the machine is suspended.
func (e *Elector) elapsed(t time.Time) time.Duration {
	now := e.Clock.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
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

// IsOwner reports whether this incarnation still owns a team that it has started to act
// for.
func (e *Elector) IsOwner(team fescuebank.TeamID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwner(team)
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
// incarnation begins only after the end of the one before.
func (e *Elector) isSuperseded(h fescuebank.Holder) bool {
	if h.ID == e.holder.ID {
		return h.Incarnation != e.holder.Incarnation
	}
	for _, p := range e.Members.Peers() {
		if p.ID == h.ID {
			return p.Incarnation != h.Incarnation && p.Gossip.Incarnation == p.Incarnation
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

// ApplyObject applies a list that was read from the store. sentAt is when the read was sent
// and renews the lease; a zero time doesn't.
func (e *Elector) ApplyObject(o fescuebank.Object, sentAt time.Time) {
	var next fescuebank.OwnerList
	if err := json.Unmarshal(o.Value, &next); err != nil {
		e.Log.Error("List of owners not decoded.", "err", err.Error())
		return
	}
	e.mu.Lock()
	if o.Version >= e.version && sentAt.After(e.confirmedAt) {
		e.confirmedAt = sentAt
	}
	newer := o.Version > e.version
	if newer {
		if e.list == nil || e.list.FloorsSince != next.FloorsSince {
			e.slotCountSeenAt = e.Clock.Now()
		}
		e.list, e.version = &next, o.Version
		e.recordRemoved()
	}
	e.mu.Unlock()
	if newer {
		e.Log.Info("List of owners applied.", "epoch", uint64(next.Epoch), "owners", len(next.Owners), "floors", len(next.Floors))
		e.OnChange()
	}
}

// recordRemoved records since when former owners have been missing from the list. The
// caller holds the lock.
func (e *Elector) recordRemoved() {
	now := e.Clock.Now()
	for _, list := range [][]fescuebank.Holder{e.list.Previous, e.list.Former} {
		for _, h := range list {
			if _, ok := e.removedAt[h]; !ok && !e.list.Has(h) {
				e.removedAt[h] = now
			}
		}
	}
	for _, h := range e.list.Owners {
		delete(e.removedAt, h)
	}
}

// ListAge returns how long ago this owner instance read the list and found its epoch in
// force; 0 if it never did or isn't an owner instance.
func (e *Elector) ListAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.Self.Owner || e.confirmedAt.IsZero() {
		return 0
	}
	return max(time.Millisecond, e.elapsed(e.confirmedAt))
}

// RecordPeerRead records that a peer read the list some time ago and found the epoch in
// force. Only floor slots depend on it: owner instances read the list themselves.
func (e *Elector) RecordPeerRead(epoch fescuebank.FencingNumber, ago time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Self.Owner || ago <= 0 || e.list == nil || e.list.Epoch != epoch {
		return
	}
	if read := e.Clock.Now().Add(-ago); read.After(e.confirmedAt) {
		e.confirmedAt = read
	}
}

// SetLeaving removes this incarnation from the list.
func (e *Elector) SetLeaving() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.Wake()
}

// Wake makes Run compare the list with the members at once.
func (e *Elector) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run reads the list periodically and rewrites it when the members change, until ctx
// ends.
func (e *Elector) Run(ctx context.Context) {
	nextRead := e.started
	for ctx.Err() == nil {
		now := e.Clock.Now()
		// Only owner instances act by the list and have to confirm it. The others receive
		// its changes through ApplyObject.
		if !now.Before(nextRead) && e.Self.Owner {
			nextRead = now.Add(confirmInterval)
			if err := e.readList(ctx); err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
				e.Log.Warn("List of owners not read.", "err", err.Error())
				nextRead = now.Add(reconcileInterval)
			}
		}
		e.readMembers(ctx)
		if err := e.reconcile(ctx); err != nil {
			e.Log.Warn("List of owners not written.", "err", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-e.wake:
		case <-e.Clock.After(reconcileInterval):
		}
	}
}

// readList reads the list from the store, or through a peer if the store doesn't answer, and
// applies it.
func (e *Elector) readList(ctx context.Context) error {
	sentAt := e.Clock.Now()
	o, err := e.Store.Get(ctx, fescuebank.OwnerListKey)
	if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
		sentAt = e.Clock.Now()
		o, err = e.ReadThroughPeer(ctx)
	}
	if err != nil {
		return err
	}
	e.ApplyObject(o, sentAt)
	return nil
}

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
	e.mu.Unlock()
	isForming := current == nil && now.Sub(e.started) < formationDelay
	if !e.MembersKnown() || !changed || isForming || (!leaving && !e.isFirst(peers)) {
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
