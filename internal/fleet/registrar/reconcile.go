package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/fleet/assigner"
)

const (
	// candidateCount is how many instances check the leases and rewrite the assignment at a
	// time.
	candidateCount = 3
	// removeAfter is how long an instance must be missing from the platform's list
	// before it counts as removed.
	removeAfter = 30 * time.Second
)

// observation is the state of a lease and when it was first seen.
type observation struct {
	// incarnation and renewals are those of the lease. Each renewal changes one of them.
	incarnation fescuebank.Incarnation
	renewals    uint64
	since       time.Time
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
		// The pause is random, so that candidates rarely check at the same time.
		wait := r.timing.LeaseRenew / 3
		_ = fescuebank.Sleep(ctx, r.clock, fescuebank.Jitter(wait))
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

// candidateRank returns the place of an instance in the order of candidates, by a hash that
// differs between regions.
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
	current, version, err := r.readStored(ctx)
	if err != nil {
		return eris.Wrap(err, "Registrar.rewrite")
	}
	next, changed := r.assigner.Rewrite(current, state)
	if !changed {
		return nil
	}
	return eris.Wrap(r.write(ctx, next, version), "Registrar.rewrite")
}

// readStored reads the assignment from the store and applies it. It returns the assignment
// and its store version, or an empty one and Absent before the first is written.
func (r *Registrar) readStored(ctx context.Context) (*fescuebank.Assignment, fescuebank.StoreVersion, error) {
	o, err := r.store.Get(ctx, fescuebank.AssignmentKey(r.region))
	if errors.Is(err, fescuebank.ErrAbsent) {
		return &fescuebank.Assignment{}, fescuebank.Absent, nil
	}
	if err != nil {
		return nil, 0, err
	}
	stored, err := r.encoder.Decode(o.Value)
	if err != nil {
		return nil, 0, err
	}
	r.ApplyObject(o)
	return stored, o.Version, nil
}

// write replaces the assignment with the store version expected by next and applies next. It
// does nothing if another instance has written a newer one.
func (r *Registrar) write(ctx context.Context, next *fescuebank.Assignment, expected fescuebank.StoreVersion) error {
	value, err := r.encoder.Encode(next)
	if err != nil {
		return err
	}
	version, err := r.store.Put(ctx, fescuebank.AssignmentKey(r.region), value, expected)
	if errors.Is(err, fescuebank.ErrVersion) {
		return nil
	}
	if err != nil {
		return err
	}
	r.ApplyObject(fescuebank.Object{Key: fescuebank.AssignmentKey(r.region), Value: value, Version: version})
	return nil
}
