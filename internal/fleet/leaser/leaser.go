// Package leaser acquires and renews the lease of this instance.
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
)

// errHeld means that another incarnation of this instance still holds the lease.
var errHeld = errors.New("lease held by another incarnation")

// Leaser acquires and renews one lease. The lease is valid until its TTL less the margin has
// passed since the newest successful renewal was sent, by the monotonic as well as the wall
// clock.
type Leaser struct {
	store  fescuebank.ObjectStore
	clock  fescuebank.Clock
	log    hclog.Logger
	timing fescuebank.TimingSettings
	// readAssignment reads the assignment and returns its version. It is called before
	// a new incarnation writes its first lease.
	readAssignment func(ctx context.Context) (fescuebank.FencingNumber, error)
	wake           chan struct{}

	mu sync.Mutex
	// lease is the value that was written last or is about to be written.
	lease fescuebank.Lease
	// version is the store version of the lease, or Absent.
	version fescuebank.StoreVersion
	// held is set while the lease in the store belongs to this incarnation, as far as
	// known.
	held bool
	// renewalSentAt is when the newest successful renewal was sent.
	renewalSentAt time.Time
	// foreign is the lease of another incarnation, first seen in this state at
	// foreignSince.
	foreign      fescuebank.Lease
	foreignSince time.Time
}

// New returns a leaser for the instance self. readAssignment reads the assignment from the
// store and returns its version.
func New(self fescuebank.Instance, store fescuebank.ObjectStore, clock fescuebank.Clock, timing fescuebank.TimingSettings,
	readAssignment func(ctx context.Context) (fescuebank.FencingNumber, error), log hclog.Logger) *Leaser {
	return &Leaser{
		store: store, clock: clock, log: log, timing: timing, readAssignment: readAssignment,
		wake:  make(chan struct{}, 1),
		lease: fescuebank.Lease{Holder: self, Incarnation: newIncarnation()},
	}
}

func newIncarnation() fescuebank.Incarnation {
	return fescuebank.Incarnation(fescuebank.NewRandomID(""))
}

// Holder returns the current incarnation.
func (l *Leaser) Holder() fescuebank.Holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fescuebank.Holder{ID: l.lease.Holder.ID, Incarnation: l.lease.Incarnation}
}

// Valid reports whether the lease is valid now.
func (l *Leaser) Valid() bool {
	return l.Remaining() > 0
}

// Remaining returns how long the lease is still valid, or 0.
func (l *Leaser) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return 0
	}
	elapsed := fescuebank.Elapsed(l.renewalSentAt, l.clock.Now())
	return max(0, l.timing.LeaseTTL-l.timing.LeaseMargin-elapsed)
}

// Acknowledge records that this instance acts by the assignment with version v and no longer
// by an older one. If urgent is set, the lease is renewed at once.
func (l *Leaser) Acknowledge(v fescuebank.FencingNumber, urgent bool) {
	l.mu.Lock()
	if v > l.lease.Acknowledged {
		l.lease.Acknowledged = v
	}
	l.mu.Unlock()
	if urgent {
		l.Wake()
	}
}

// Wake makes Run renew the lease at once.
func (l *Leaser) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// SetLeaving announces that this instance accepts no new ownership.
func (l *Leaser) SetLeaving() {
	l.mu.Lock()
	l.lease.Leaving = true
	l.mu.Unlock()
	l.Wake()
}

// Release ends the lease and guarantees that this incarnation never acts again.
func (l *Leaser) Release(ctx context.Context) error {
	l.mu.Lock()
	l.lease.Released = true
	l.lease.Ended = true
	held := l.held
	l.held = false
	l.mu.Unlock()
	if !held {
		return nil
	}
	return eris.Wrap(l.write(ctx), "Leaser.Release")
}

// Run acquires and renews the lease until ctx ends.
func (l *Leaser) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.renewOrAcquire(ctx); err != nil {
			l.log.Warn("Lease not renewed.", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-l.clock.After(l.renewInterval()):
		}
	}
}

// renewInterval returns the time until the next attempt. It is shorter while the lease is not
// held.
func (l *Leaser) renewInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held {
		return l.timing.LeaseRenew
	}
	return min(time.Second, l.timing.LeaseRenew)
}

// renewOrAcquire renews the lease, or acquires it if it is not held.
func (l *Leaser) renewOrAcquire(ctx context.Context) error {
	// A renewal on a dead connection must time out early enough for a second one on a new
	// connection before the lease expires.
	ctx, cancel := context.WithTimeout(ctx, l.timing.LeaseTTL*6/10)
	defer cancel()
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held {
		return l.renew(ctx)
	}
	return l.acquire(ctx)
}

// acquire starts a new incarnation. The lease of another incarnation is taken over only after
// it has ended or has not changed for its whole TTL and the margin.
func (l *Leaser) acquire(ctx context.Context) error {
	o, err := l.store.Get(ctx, fescuebank.LeaseKey(l.lease.Holder.ID))
	switch {
	case errors.Is(err, fescuebank.ErrAbsent):
		l.version = fescuebank.Absent
	case err != nil:
		return eris.Wrap(err, "Leaser.acquire")
	default:
		if err := l.checkForeign(o); err != nil {
			return err
		}
		l.version = o.Version
	}
	version, err := l.readAssignment(ctx)
	if err != nil {
		return eris.Wrap(err, "Leaser.acquire")
	}
	l.mu.Lock()
	l.lease.Incarnation = newIncarnation()
	l.lease.Acknowledged = max(l.lease.Acknowledged, version)
	l.lease.Renewals = 0
	l.lease.Ended = false
	l.mu.Unlock()
	return l.renew(ctx)
}

// checkForeign returns errHeld while the incarnation that wrote o may still act.
func (l *Leaser) checkForeign(o fescuebank.Object) error {
	var foreign fescuebank.Lease
	if err := json.Unmarshal(o.Value, &foreign); err != nil {
		return nil // No incarnation can act by a lease that can't be decoded.
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if foreign.Ended || foreign.Incarnation == l.lease.Incarnation {
		return nil
	}
	if foreign.Incarnation != l.foreign.Incarnation || foreign.Renewals != l.foreign.Renewals {
		l.foreign, l.foreignSince = foreign, now
	}
	if now.Sub(l.foreignSince) < l.timing.LeaseTTL+l.timing.LeaseMargin {
		return errHeld
	}
	return nil
}

// renew writes the next renewal and updates the state of the lease by its outcome.
func (l *Leaser) renew(ctx context.Context) error {
	sentAt := l.clock.Now()
	err := l.write(ctx)
	if errors.Is(err, fescuebank.ErrOutcomeUnknown) || errors.Is(err, fescuebank.ErrVersion) {
		err = l.readBack(ctx)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.held = true
		l.renewalSentAt = sentAt
		return nil
	case errors.Is(err, fescuebank.ErrVersion):
		l.held = false
		return eris.New("lease was ended by another instance")
	}
	// The outcome of the renewal is unknown. The lease expires by itself unless a later
	// renewal succeeds.
	return err
}

// write writes the next renewal to the store.
func (l *Leaser) write(ctx context.Context) error {
	l.mu.Lock()
	l.lease.Renewals++
	value, err := json.Marshal(l.lease)
	expected := l.version
	l.mu.Unlock()
	if err != nil {
		return eris.Wrap(err, "Leaser.write")
	}
	version, err := l.store.Put(ctx, fescuebank.LeaseKey(l.lease.Holder.ID), value, expected)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.version = version
	l.mu.Unlock()
	return nil
}

// readBack reads the lease to find out whether the newest write of this incarnation took
// effect. If the store holds an older write of it, the lease still belongs to this
// incarnation but has not been renewed: readBack returns ErrOutcomeUnknown. It returns
// ErrVersion if the lease belongs to another incarnation or was ended.
func (l *Leaser) readBack(ctx context.Context) error {
	o, err := l.store.Get(ctx, fescuebank.LeaseKey(l.lease.Holder.ID))
	if errors.Is(err, fescuebank.ErrAbsent) {
		return fescuebank.ErrVersion
	}
	if err != nil {
		return err
	}
	var found fescuebank.Lease
	if err := json.Unmarshal(o.Value, &found); err != nil {
		return fescuebank.ErrVersion
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if found.Incarnation != l.lease.Incarnation || (found.Ended && !l.lease.Ended) {
		return fescuebank.ErrVersion
	}
	l.version = o.Version
	if found.Renewals == l.lease.Renewals {
		return nil
	}
	return fescuebank.ErrOutcomeUnknown
}
