// Package elector maintains the list of owners and decides when this instance may
// act as the owner of a team.
package elector

import (
	"context"
	"encoding/json"
	"errors"
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
	// replaced is the list that list replaced here.
	replaced *fescuebank.OwnerList
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
	// renewalReadAt is when the members were last read because owners had restarted.
	renewalReadAt time.Time
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
		e.replaced, e.list, e.version = e.list, &next, o.Version
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
		e.readRestarted(ctx)
		if err := e.reconcile(ctx); err != nil {
			e.Log.Warn("List of owners not written.", "err", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-e.wake:
		case <-e.Clock.After(e.checkInterval()):
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
