// Package registrar tracks the assignment of shards to instances and takes part in rewriting
// it.
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/fleet/assigner"
	"fescuebank/internal/fleet/detector"
	"fescuebank/internal/fleet/encoder"
	"fescuebank/internal/fleet/leaser"
)

const (
	// candidateCount is how many instances check the leases and rewrite the assignment at a
	// time.
	candidateCount = 3
	// confirmInterval is how often the leases of former owners and homes are read, to
	// find out whether they have stopped.
	confirmInterval = 300 * time.Millisecond
	// removeAfter is how long an instance must be missing from the platform's list
	// before it counts as removed.
	removeAfter = 30 * time.Second
)

// Registrar is the fescuebank.Directory of a running daemon.
type Registrar struct {
	self     fescuebank.Instance
	region   fescuebank.Region
	store    fescuebank.ObjectStore
	clock    fescuebank.Clock
	log      hclog.Logger
	timing   fescuebank.TimingSettings
	leaser   *leaser.Leaser
	assigner *assigner.Assigner
	encoder  *encoder.Encoder
	detector *detector.Detector
	listed   func() []fescuebank.ListedInstance

	current atomic.Pointer[fescuebank.Assignment]

	mu sync.Mutex
	// storedVersion is the store version of the assignment applied.
	storedVersion fescuebank.StoreVersion
	// confirmedStopped holds the former owners and homes that can no longer act.
	confirmedStopped map[formerHolder]bool
	// observations holds when each lease was first seen in its current state.
	observations map[fescuebank.InstanceID]observation
	// unlistedSince is when each instance was first found missing from the platform's
	// list.
	unlistedSince map[fescuebank.InstanceID]time.Time
	// onChange holds the functions to call after a new assignment has been applied.
	onChange []func()
}

// formerHolder identifies an incarnation that owned a shard or held a home slot by an
// assignment older than since.
type formerHolder struct {
	holder fescuebank.Holder
	since  fescuebank.FencingNumber
	// floor is set for the floor of a home slot. The use of a floor and ownership end at
	// different times.
	floor bool
}

// observation is the state of a lease and when it was first seen.
type observation struct {
	incarnation fescuebank.Incarnation
	renewals    uint64
	since       time.Time
}

// Config holds the dependencies of a registrar.
type Config struct {
	Self   fescuebank.Instance
	Region fescuebank.Region
	Store  fescuebank.ObjectStore
	Clock  fescuebank.Clock
	Log    hclog.Logger
	Timing fescuebank.TimingSettings
	// Homes is the number of home slots of a shard.
	Homes    int
	Detector *detector.Detector
	// Listed returns the platform's list as last read.
	Listed func() []fescuebank.ListedInstance
}

// New returns a registrar and the leaser that it uses.
func New(c Config) (*Registrar, *leaser.Leaser) {
	r := &Registrar{
		self: c.Self, region: c.Region, store: c.Store, clock: c.Clock, log: c.Log, timing: c.Timing,
		assigner: assigner.New(c.Homes), encoder: encoder.New(), detector: c.Detector, listed: c.Listed,
		confirmedStopped: make(map[formerHolder]bool),
		observations:     make(map[fescuebank.InstanceID]observation),
		unlistedSince:    make(map[fescuebank.InstanceID]time.Time),
	}
	r.current.Store(&fescuebank.Assignment{})
	r.leaser = leaser.New(c.Self, c.Store, c.Clock, c.Timing, r.readAssignment, c.Log)
	return r, r.leaser
}

// OnChange registers f to be called after each new assignment. Call it before Run.
func (r *Registrar) OnChange(f func()) {
	r.onChange = append(r.onChange, f)
}

// Current returns the newest assignment applied. It must not be changed.
func (r *Registrar) Current() *fescuebank.Assignment {
	return r.current.Load()
}

// Self returns this instance.
func (r *Registrar) Self() fescuebank.Instance {
	return r.self
}

// readAssignment reads the assignment from the store and applies it.
func (r *Registrar) readAssignment(ctx context.Context) (fescuebank.FencingNumber, error) {
	o, err := r.store.Get(ctx, fescuebank.AssignmentKey(r.region))
	if errors.Is(err, fescuebank.ErrAbsent) {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrap(err, "Registrar.readAssignment")
	}
	r.ApplyObject(o)
	return r.Current().Version, nil
}

// ApplyObject applies an assignment read from the store if it is newer than the current one.
func (r *Registrar) ApplyObject(o fescuebank.Object) {
	r.mu.Lock()
	outdated := o.Version <= r.storedVersion
	r.mu.Unlock()
	if outdated || o.Key != fescuebank.AssignmentKey(r.region) {
		return
	}
	next, err := r.encoder.Decode(o.Value)
	if err != nil {
		r.log.Error("Assignment not decoded.", "err", err)
		return
	}
	r.mu.Lock()
	if next.Version <= r.current.Load().Version {
		r.mu.Unlock()
		return
	}
	r.storedVersion = o.Version
	r.current.Store(next)
	for former := range r.confirmedStopped {
		if former.since+maxConfirmedAge < next.Version {
			delete(r.confirmedStopped, former)
		}
	}
	r.mu.Unlock()
	r.log.Info("Assignment applied.", "version", uint64(next.Version), "members", len(next.Members))
	// The functions called here stop everything that acts by the old assignment, before
	// the new one is acknowledged.
	for _, f := range r.onChange {
		f()
	}
	r.leaser.Acknowledge(next.Version, r.isFormer(next))
}

// maxConfirmedAge is how many assignment versions an entry of confirmedStopped is kept.
const maxConfirmedAge = 1000

// isFormer reports whether other instances wait until this one acknowledges a, because it is
// a former owner or home.
func (r *Registrar) isFormer(a *fescuebank.Assignment) bool {
	self := r.leaser.Holder()
	for i := range a.Shards {
		if slices.Contains(a.Shards[i].Former, self) {
			return true
		}
		for j := range a.Shards[i].Homes {
			if slices.Contains(a.Shards[i].Homes[j].Former, self) {
				return true
			}
		}
	}
	return false
}

// MayAct returns the fencing number under which this instance owns s, and whether it may act
// as the owner now.
func (r *Registrar) MayAct(s fescuebank.ShardID) (fescuebank.FencingNumber, bool) {
	shard, ok := r.Current().Shard(s)
	if !ok || !r.leaser.Valid() {
		return 0, false
	}
	stopped := func(h fescuebank.Holder) bool {
		return r.allStopped([]fescuebank.Holder{h}, shard.Since, false)
	}
	return shard.Since, shard.MayAct(r.leaser.Holder(), stopped)
}

// FloorOpen reports whether the floor of a home slot may be used: all former holders of the
// slot are confirmed to have released it. The floor is the minimum part of a quota that a
// home instance may use without the owner.
func (r *Registrar) FloorOpen(h fescuebank.Home) bool {
	return len(h.Former) == 0 || r.allStopped(h.Former, h.Since, true)
}

// allStopped reports whether all holders in list are confirmed to have stopped.
func (r *Registrar) allStopped(list []fescuebank.Holder, since fescuebank.FencingNumber, floor bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range list {
		if !r.confirmedStopped[formerHolder{holder: h, since: since, floor: floor}] {
			return false
		}
	}
	return true
}

// Owner returns the instance that owns s by the current assignment.
func (r *Registrar) Owner(s fescuebank.ShardID) (fescuebank.Instance, bool) {
	a := r.Current()
	shard, ok := a.Shard(s)
	if !ok {
		return fescuebank.Instance{}, false
	}
	m, ok := a.Member(shard.Owner.ID)
	return m.Instance, ok
}

// Find returns the instance with an id if it is a member or on the platform's list.
func (r *Registrar) Find(id fescuebank.InstanceID) (fescuebank.Instance, bool) {
	if m, ok := r.Current().Member(id); ok {
		return m.Instance, true
	}
	for _, i := range r.listed() {
		if i.ID == id {
			return i.Instance, true
		}
	}
	return fescuebank.Instance{}, false
}

// Homes returns the home instances of s, with leaving and suspected ones last.
func (r *Registrar) Homes(s fescuebank.ShardID) []fescuebank.Instance {
	a := r.Current()
	shard, _ := a.Shard(s)
	var homes []fescuebank.Instance
	for _, h := range shard.Homes {
		if m, ok := a.Member(h.Holder.ID); ok {
			homes = append(homes, m.Instance)
		}
	}
	slices.SortStableFunc(homes, func(x, y fescuebank.Instance) int {
		return int(r.detector.Health(x.ID)) - int(r.detector.Health(y.ID))
	})
	return homes
}

// Instances returns the members that are neither leaving nor suspected.
func (r *Registrar) Instances() []fescuebank.Instance {
	var live []fescuebank.Instance
	for _, m := range r.Current().Members {
		if r.detector.Health(m.ID) == fescuebank.Alive {
			live = append(live, m.Instance)
		}
	}
	return live
}

// Run maintains the assignment until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	go r.confirmLoop(ctx)
	for ctx.Err() == nil {
		if r.isCandidate() {
			if err := r.reconcile(ctx); err != nil && ctx.Err() == nil {
				r.log.Warn("Assignment not reconciled.", "err", err)
			}
		}
		wait := r.timing.LeaseRenew / 3
		_ = fescuebank.Sleep(ctx, r.clock, wait/2+rand.N(wait))
	}
}

// isCandidate reports whether this instance is among the first candidateCount by hash of the
// instances that are alive. Instances may disagree on that, which does no harm because the
// assignment is only replaced by conditional writes.
func (r *Registrar) isCandidate() bool {
	ownRank := r.candidateRank(r.self.ID)
	ahead := 0
	for _, i := range r.listed() {
		if i.ID != r.self.ID && !i.Leaving && r.detector.Health(i.ID) == fescuebank.Alive && r.candidateRank(i.ID) < ownRank {
			ahead++
		}
	}
	return ahead < candidateCount
}

func (r *Registrar) candidateRank(id fescuebank.InstanceID) uint64 {
	return xxhash.Sum64String(string(r.region) + "/" + string(id))
}

// reconcile ends the expired leases and rewrites the assignment if the live members differ
// from it.
func (r *Registrar) reconcile(ctx context.Context) error {
	objects, _, err := r.store.List(ctx, fescuebank.LeasePrefix)
	if err != nil {
		return eris.Wrap(err, "Registrar.reconcile")
	}
	state := assigner.FleetState{Leases: make(map[fescuebank.InstanceID]fescuebank.Lease), Removed: make(map[fescuebank.InstanceID]bool)}
	for _, o := range objects {
		var l fescuebank.Lease
		if json.Unmarshal(o.Value, &l) != nil {
			continue
		}
		if r.hasExpired(l) && r.endLease(ctx, o, &l) != nil {
			continue
		}
		state.Leases[l.Holder.ID] = l
		state.Removed[l.Holder.ID] = r.isRemoved(l.Holder.ID)
	}
	return r.rewrite(ctx, state)
}

// hasExpired reports whether a lease has not changed for longer than its holder may act by it.
func (r *Registrar) hasExpired(l fescuebank.Lease) bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	seen, ok := r.observations[l.Holder.ID]
	if !ok || seen.incarnation != l.Incarnation || seen.renewals != l.Renewals {
		r.observations[l.Holder.ID] = observation{incarnation: l.Incarnation, renewals: l.Renewals, since: now}
		return false
	}
	return !l.Ended && now.Sub(seen.since) >= r.timing.LeaseTTL+r.timing.LeaseMargin
}

// endLease marks an expired lease as ended, so that the next renewal of its holder fails.
func (r *Registrar) endLease(ctx context.Context, o fescuebank.Object, l *fescuebank.Lease) error {
	l.Ended = true
	value, err := json.Marshal(l)
	if err != nil {
		return eris.Wrap(err, "Registrar.endLease")
	}
	if _, err := r.store.Put(ctx, o.Key, value, o.Version); err != nil {
		return eris.Wrap(err, "Registrar.endLease")
	}
	r.log.Info("Expired lease ended.", "instance", string(l.Holder.ID))
	return nil
}

// isRemoved reports whether id has been missing from the platform's list for removeAfter.
func (r *Registrar) isRemoved(id fescuebank.InstanceID) bool {
	list := r.listed()
	if len(list) == 0 {
		return false // The list has not been read yet.
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(list, func(i fescuebank.ListedInstance) bool { return i.ID == id }) {
		delete(r.unlistedSince, id)
		return false
	}
	if _, ok := r.unlistedSince[id]; !ok {
		r.unlistedSince[id] = now
	}
	return now.Sub(r.unlistedSince[id]) >= removeAfter
}

// rewrite writes the assignment that matches the state of the fleet. The store is read only
// if the assignment applied here doesn't match.
func (r *Registrar) rewrite(ctx context.Context, state assigner.FleetState) error {
	if _, changed := r.assigner.Rewrite(r.Current(), state); !changed {
		return nil
	}
	o, err := r.store.Get(ctx, fescuebank.AssignmentKey(r.region))
	if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
		return eris.Wrap(err, "Registrar.rewrite")
	}
	current := &fescuebank.Assignment{}
	if err == nil {
		if current, err = r.encoder.Decode(o.Value); err != nil {
			return eris.Wrap(err, "Registrar.rewrite")
		}
		r.ApplyObject(o)
	}
	next, changed := r.assigner.Rewrite(current, state)
	if !changed {
		return nil
	}
	value, err := r.encoder.Encode(next)
	if err != nil {
		return eris.Wrap(err, "Registrar.rewrite")
	}
	version, err := r.store.Put(ctx, fescuebank.AssignmentKey(r.region), value, o.Version)
	if errors.Is(err, fescuebank.ErrVersion) {
		return nil // Another instance has written a newer assignment.
	}
	if err != nil {
		return eris.Wrap(err, "Registrar.rewrite")
	}
	r.ApplyObject(fescuebank.Object{Key: fescuebank.AssignmentKey(r.region), Value: value, Version: version})
	return nil
}

// confirmLoop checks periodically whether the former owners and homes that this instance
// waits for have stopped.
func (r *Registrar) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, former := range r.unconfirmed() {
			r.confirmStopped(ctx, former)
		}
		_ = fescuebank.Sleep(ctx, r.clock, confirmInterval/2+rand.N(confirmInterval))
	}
}

// unconfirmed returns the former owners and homes that this instance has to wait for and
// that are not confirmed to have stopped.
func (r *Registrar) unconfirmed() []formerHolder {
	a := r.Current()
	self := r.leaser.Holder()
	var list []formerHolder
	add := func(holders []fescuebank.Holder, since fescuebank.FencingNumber, floor bool) {
		for _, h := range holders {
			former := formerHolder{holder: h, since: since, floor: floor}
			if !r.allStopped([]fescuebank.Holder{h}, since, floor) && !slices.Contains(list, former) {
				list = append(list, former)
			}
		}
	}
	for i := range a.Shards {
		s := &a.Shards[i]
		isHome := slices.ContainsFunc(s.Homes, func(h fescuebank.Home) bool { return h.Holder == self })
		if s.Owner == self {
			add(s.Former, s.Since, false)
		}
		if s.Owner != self && !isHome {
			continue
		}
		for _, h := range s.Homes {
			add(h.Former, h.Since, true)
		}
	}
	return list
}

// confirmStopped records a former owner or home as stopped if it has.
func (r *Registrar) confirmStopped(ctx context.Context, former formerHolder) {
	stopped, err := r.hasStopped(ctx, former)
	if err != nil || !stopped {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedStopped[former] = true
}

// hasStopped reports whether a former owner or home can no longer act, by its lease in the
// store. A missing lease ends ownership but not the use of a floor, which ends also when the
// platform has removed the instance.
func (r *Registrar) hasStopped(ctx context.Context, former formerHolder) (bool, error) {
	if former.floor && r.isRemoved(former.holder.ID) {
		return true, nil
	}
	o, err := r.store.Get(ctx, fescuebank.LeaseKey(former.holder.ID))
	if errors.Is(err, fescuebank.ErrAbsent) {
		return !former.floor, nil
	}
	if err != nil {
		return false, err
	}
	var l fescuebank.Lease
	if err := json.Unmarshal(o.Value, &l); err != nil {
		return false, err
	}
	if former.floor {
		return l.HasReleasedFloor(former.holder, former.since), nil
	}
	return l.HasStopped(former.holder, former.since), nil
}
