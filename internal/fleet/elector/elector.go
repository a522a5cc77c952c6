// Package elector keeps the list of owners and tells when this instance may act
// as one.
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
	// lease is how long a run acts after it has read the list.
	lease = 8 * time.Second
	// leaseMargin is kept between the end of acting and a takeover.
	leaseMargin = 500 * time.Millisecond
	// confirmInterval is how often a run that is listed reads the list.
	confirmInterval = 3 * time.Second
	// floorLife is how long a run uses its floor slot after it or an owner has read
	// the list. A slot is given away much later.
	floorLife = 25 * time.Second
	// tendInterval is how often the list is compared with the members.
	tendInterval = 300 * time.Millisecond
	// dropAfter is how long an owner is silent before it leaves the list.
	dropAfter = 600 * time.Millisecond
	// storeSteady is how long the store must have answered here before owners that
	// don't reach it leave the list.
	storeSteady = 2 * time.Second
	// formWait is how long the first list waits for members to be heard, and joinWait
	// how long a run that has just started takes silence for its own.
	formWait = 1500 * time.Millisecond
	joinWait = 2 * time.Second
)

// Members is what the elector needs to know of the fleet.
type Members interface {
	Peers() []gossiper.Peer
}

// Config is what an elector works with.
type Config struct {
	Self    fescuebank.MemberEntry
	Store   fescuebank.ObjectStore
	Members Members
	Clock   fescuebank.Clock
	Log     hclog.Logger
	// OnChange is called after a new list was applied.
	OnChange func()
	// ReadThroughPeer has another instance read the list from the store.
	ReadThroughPeer func(ctx context.Context) (fescuebank.Object, error)
	// MembersKnown reports whether the members have been read since the start.
	MembersKnown func() bool
	// ReadMembers reads the members from the store and reports whether it could.
	ReadMembers func(ctx context.Context) bool
	// StoreState reports whether the store answers here, and for how long it has
	// or hasn't.
	StoreState func() (answers bool, since time.Duration)
}

// Elector holds the newest list.
type Elector struct {
	Config
	me      fescuebank.Holder
	started time.Time
	wake    chan struct{}

	mu   sync.Mutex
	list *fescuebank.OwnerList
	// version is the store's of the list.
	version fescuebank.StoreVersion
	// floorsSeen is when the number of floor slots was first seen here.
	floorsSeen time.Time
	// left is when each run was first seen off the list here.
	left map[fescuebank.Holder]time.Time
	// confirmed is when the newest read of the list was about to be sent.
	confirmed time.Time
	// acked is the newest epoch that each run is known to have applied.
	acked map[fescuebank.Holder]fescuebank.FencingNumber
	// silent is since when each listed owner has not been heard.
	silent map[fescuebank.Holder]time.Time
	// unseated is since when each holder of a floor slot has been no member.
	unseated map[fescuebank.InstanceID]time.Time
	// membersRead is the newest epoch after which the members were read.
	membersRead fescuebank.FencingNumber
	// leaving makes this run leave the list.
	leaving bool
}

// New returns an elector that knows no list.
func New(c Config) *Elector {
	return &Elector{
		Config: c, me: fescuebank.Holder{ID: c.Self.ID, Incarnation: c.Self.Incarnation},
		started: c.Clock.Now(), wake: make(chan struct{}, 1),
		acked:  make(map[fescuebank.Holder]fescuebank.FencingNumber),
		silent: make(map[fescuebank.Holder]time.Time),
		left:   make(map[fescuebank.Holder]time.Time),

		unseated: make(map[fescuebank.InstanceID]time.Time),
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

// Acknowledge records that a run has applied an epoch and acts by no older one.
func (e *Elector) Acknowledge(h fescuebank.Holder, epoch fescuebank.FencingNumber) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch > e.acked[h] {
		e.acked[h] = epoch
	}
}

// Owner returns the run that the newest list names for a team.
func (e *Elector) Owner(team fescuebank.TeamID) (fescuebank.Holder, bool) {
	l := e.List()
	if l == nil {
		return fescuebank.Holder{}, false
	}
	return l.Owner(team)
}

// Gained reports whether the newest list took a team from another run.
func (e *Elector) Gained(team fescuebank.TeamID) bool {
	l := e.List()
	if l == nil {
		return false
	}
	before, ok := l.PreviousOwner(team)
	return ok && before != e.me
}

// elapsed returns how long ago t was, on the clock that ran furthest: the
// monotonic one stands still while the machine is suspended.
func (e *Elector) elapsed(t time.Time) time.Duration {
	now := e.Clock.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// MayAct reports whether this run may act as the owner of a team that it did not
// own before, and under which epoch.
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

// IsOwner reports whether this run still owns a team that it acted for before.
func (e *Elector) IsOwner(team fescuebank.TeamID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwner(team)
}

func (e *Elector) isOwner(team fescuebank.TeamID) bool {
	if e.list == nil || e.elapsed(e.confirmed) >= lease {
		return false
	}
	owner, ok := e.list.Owner(team)
	return ok && owner == e.me
}

// hasStopped reports whether a run surely doesn't act by an older list. The
// caller holds the lock.
func (e *Elector) hasStopped(h fescuebank.Holder) bool {
	if h == e.me || e.acked[h] >= e.list.Epoch || e.isSuperseded(h) || e.allBuyersApplied() {
		return true
	}
	left, ok := e.left[h]
	return ok && e.elapsed(left) >= lease+leaseMargin
}

// allBuyersApplied reports whether every instance that takes callers' requests has
// applied the list: nobody deals with a run that is off the list any more. The
// members must have been read since the list was seen. The caller holds the lock.
func (e *Elector) allBuyersApplied() bool {
	if e.membersRead < e.list.Epoch {
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

// readMembers reads the members from the store while this run waits for runs that
// are off the list.
func (e *Elector) readMembers(ctx context.Context) {
	e.mu.Lock()
	list, read := e.list, e.membersRead
	waits := false
	if list != nil && list.Has(e.me) && read < list.Epoch {
		for _, h := range slices.Concat(list.Previous, list.Former) {
			waits = waits || (!list.Has(h) && !e.hasStopped(h))
		}
	}
	e.mu.Unlock()
	if !waits || !e.ReadMembers(ctx) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.membersRead = max(e.membersRead, list.Epoch)
}

// isSuperseded reports whether a later run of the same instance is known, which
// begins only after the end of the run before.
func (e *Elector) isSuperseded(h fescuebank.Holder) bool {
	if h.ID == e.me.ID {
		return h.Incarnation != e.me.Incarnation
	}
	for _, p := range e.Members.Peers() {
		if p.ID == h.ID {
			return p.Incarnation != h.Incarnation && p.Gossip.Incarnation == p.Incarnation
		}
	}
	return false
}

// FloorSlot returns this run's floor slot and the number of slots, or false.
func (e *Elector) FloorSlot() (slot, slots int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.list == nil || e.elapsed(e.confirmed) >= floorLife {
		return 0, 0, false
	}
	// Runs that know fewer slots have larger ones, until their own life ends.
	if e.list.FloorsSince > 1 && e.elapsed(e.floorsSeen) < floorLife {
		return 0, 0, false
	}
	slot = e.list.FloorSlot(e.me.ID)
	return slot, len(e.list.Floors), slot >= 0
}

// Apply takes in the list as the store showed it to a read that was about to be
// sent at asked. A zero time confirms nothing.
func (e *Elector) Apply(o fescuebank.Object, asked time.Time) {
	var next fescuebank.OwnerList
	if err := json.Unmarshal(o.Value, &next); err != nil {
		e.Log.Error("List of owners is damaged.", "err", err.Error())
		return
	}
	e.mu.Lock()
	if o.Version >= e.version && asked.After(e.confirmed) {
		e.confirmed = asked
	}
	newer := o.Version > e.version
	if newer {
		if e.list == nil || e.list.FloorsSince != next.FloorsSince {
			e.floorsSeen = e.Clock.Now()
		}
		e.list, e.version = &next, o.Version
		e.noteLeft()
	}
	e.mu.Unlock()
	if newer {
		e.Log.Info("List of owners applied.", "epoch", uint64(next.Epoch), "owners", len(next.Owners), "floors", len(next.Floors))
		e.OnChange()
	}
}

// noteLeft keeps since when runs are off the list. The caller holds the lock.
func (e *Elector) noteLeft() {
	now := e.Clock.Now()
	for _, list := range [][]fescuebank.Holder{e.list.Previous, e.list.Former} {
		for _, h := range list {
			if _, ok := e.left[h]; !ok && !e.list.Has(h) {
				e.left[h] = now
			}
		}
	}
	for _, h := range e.list.Owners {
		delete(e.left, h)
	}
}

// ListAge returns how long ago this run, or another that told it, read the list
// and found the epoch in force; 0 if never.
func (e *Elector) ListAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.Self.Owner || e.confirmed.IsZero() {
		return 0
	}
	return max(time.Millisecond, e.elapsed(e.confirmed))
}

// RecordPeerRead takes in that another run read the list and found the epoch in force. Only
// floors rest on it: owners read the list themselves.
func (e *Elector) RecordPeerRead(epoch fescuebank.FencingNumber, ago time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Self.Owner || ago <= 0 || e.list == nil || e.list.Epoch != epoch {
		return
	}
	if read := e.Clock.Now().Add(-ago); read.After(e.confirmed) {
		e.confirmed = read
	}
}

// SetLeaving makes this run leave the list.
func (e *Elector) SetLeaving() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.Wake()
}

// Wake compares the list with the members at once.
func (e *Elector) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run reads the list regularly and rewrites it as members come and go.
func (e *Elector) Run(ctx context.Context) {
	read := e.started
	for ctx.Err() == nil {
		now := e.Clock.Now()
		// Others follow the list's changes; only owners act by it.
		if !now.Before(read) && e.Self.Owner {
			read = now.Add(confirmInterval)
			if err := e.read(ctx); err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
				e.Log.Warn("List of owners not read.", "err", err.Error())
				read = now.Add(tendInterval)
			}
		}
		e.readMembers(ctx)
		if err := e.tend(ctx); err != nil {
			e.Log.Warn("List of owners not written.", "err", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-e.wake:
		case <-e.Clock.After(tendInterval):
		}
	}
}

func (e *Elector) read(ctx context.Context) error {
	asked := e.Clock.Now()
	o, err := e.Store.Get(ctx, fescuebank.OwnerListKey)
	if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
		asked = e.Clock.Now()
		o, err = e.ReadThroughPeer(ctx)
	}
	if err != nil {
		return err
	}
	e.Apply(o, asked)
	return nil
}

// tend rewrites the list if this run is the first live owner and the list differs
// from the members.
func (e *Elector) tend(ctx context.Context) error {
	if !e.Self.Owner {
		return nil
	}
	peers := e.Members.Peers()
	e.mu.Lock()
	now := e.Clock.Now()
	current, version, leaving := e.list, e.version, e.leaving
	e.noteSilence(peers, now)
	e.noteAbsent(peers, now)
	next, changed := e.rewrite(peers, now)
	e.mu.Unlock()
	forming := current == nil && now.Sub(e.started) < formWait
	if !e.MembersKnown() || !changed || forming || (!leaving && !e.isFirst(peers)) {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	asked := e.Clock.Now()
	written, err := e.Store.Put(ctx, fescuebank.OwnerListKey, value, version)
	if errors.Is(err, fescuebank.ErrVersion) || errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		return e.read(ctx)
	}
	if err != nil {
		return err
	}
	e.Apply(fescuebank.Object{Key: fescuebank.OwnerListKey, Value: value, Version: written}, asked)
	return nil
}

// isFirst reports whether no live owner has a lower id.
func (e *Elector) isFirst(peers []gossiper.Peer) bool {
	for _, p := range peers {
		if p.Owner && p.Alive && !p.Gossip.Leaving && !p.Gossip.StoreUnreachable && p.ID < e.Self.ID {
			return false
		}
	}
	return true
}

// noteSilence keeps since when owners are not heard. The caller holds the lock.
func (e *Elector) noteSilence(peers []gossiper.Peer, now time.Time) {
	for _, p := range peers {
		h := fescuebank.Holder{ID: p.ID, Incarnation: p.Incarnation}
		if p.Reachable {
			delete(e.silent, h)
			continue
		}
		if _, ok := e.silent[h]; !ok {
			e.silent[h] = now
		}
	}
}

// rewrite returns the list that the members call for. The caller holds the lock.
func (e *Elector) rewrite(peers []gossiper.Peer, now time.Time) (*fescuebank.OwnerList, bool) {
	old := e.list
	if old == nil {
		old = &fescuebank.OwnerList{}
	}
	next := &fescuebank.OwnerList{
		Epoch: old.Epoch + 1, Previous: old.Owners, Floors: slices.Clone(old.Floors), FloorsSince: old.FloorsSince,
	}
	if !e.leaving {
		next.Owners = append(next.Owners, e.me)
	}
	for _, p := range peers {
		h := fescuebank.Holder{ID: p.ID, Incarnation: p.Incarnation}
		if p.Owner && !p.Gossip.Leaving && !e.hasLostStore(p) && e.keeps(old, h, p.Reachable, now) {
			next.Owners = append(next.Owners, h)
		}
		if p.CallerAddr != "" {
			e.seat(next, p, now)
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
	// A run that stopped is struck off, lest a run that starts later waits for it.
	pruned := len(old.Former) > 0 && len(next.Former) == 0
	return next, !same || pruned
}

// allApplied reports whether the owners that stay have applied the old list. The
// caller holds the lock.
func (e *Elector) allApplied(old, next *fescuebank.OwnerList) bool {
	for _, h := range old.Owners {
		if h != e.me && next.Has(h) && e.acked[h] < old.Epoch {
			return false
		}
	}
	return true
}

// stillActing returns the runs that are on no list any more and may act by an
// older one. The caller holds the lock.
func (e *Elector) stillActing(old, next *fescuebank.OwnerList) []fescuebank.Holder {
	var list []fescuebank.Holder
	for _, h := range old.Former {
		if !e.hasStopped(h) {
			list = append(list, h)
		}
	}
	for _, h := range old.Owners {
		if !next.Has(h) && !e.isSuperseded(h) && h != e.me {
			list = append(list, h)
		}
	}
	return list
}

// hasLostStore reports whether an owner doesn't reach the store while this run
// has reached it for long enough to say that the store itself answers.
func (e *Elector) hasLostStore(p gossiper.Peer) bool {
	answers, since := e.StoreState()
	return p.Alive && p.Gossip.StoreUnreachable && answers && since >= storeSteady
}

// keeps reports whether a run belongs on the list. The caller holds the lock.
func (e *Elector) keeps(old *fescuebank.OwnerList, h fescuebank.Holder, alive bool, now time.Time) bool {
	if alive {
		return true
	}
	if now.Sub(e.started) < joinWait {
		return old.Has(h)
	}
	since, ok := e.silent[h]
	return old.Has(h) && ok && now.Sub(since) < dropAfter
}

// seat gives an instance a floor slot: the one it has, one whose holder has been
// no member for long, or a new one. The caller holds the lock.
func (e *Elector) seat(l *fescuebank.OwnerList, p gossiper.Peer, now time.Time) {
	if !p.Alive || l.FloorSlot(p.ID) >= 0 {
		return
	}
	for i, id := range l.Floors {
		if since, ok := e.unseated[id]; ok && now.Sub(since) >= floorLife+leaseMargin {
			l.Floors[i] = p.ID
			return
		}
	}
	l.Floors = append(l.Floors, p.ID)
}

// noteAbsent keeps since when the holders of floor slots are no members. The
// caller holds the lock.
func (e *Elector) noteAbsent(peers []gossiper.Peer, now time.Time) {
	if e.list == nil {
		return
	}
	present := make(map[fescuebank.InstanceID]bool, len(peers))
	for _, p := range peers {
		present[p.ID] = true
	}
	for _, id := range e.list.Floors {
		if present[id] {
			delete(e.unseated, id)
			continue
		}
		if _, ok := e.unseated[id]; !ok {
			e.unseated[id] = now
		}
	}
}
