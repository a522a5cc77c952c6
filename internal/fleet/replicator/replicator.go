// Package replicator maintains a local replica of the objects below a prefix of the
// platform's store.
package replicator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

const (
	// minRetry and maxRetry bound the backoff after a failed call.
	minRetry = 50 * time.Millisecond
	maxRetry = 800 * time.Millisecond
	// minWatchTime is the minimum duration of a watch without events. A shorter one is
	// followed by a pause of the same length.
	minWatchTime = 200 * time.Millisecond
	// minPause is the first pause between events and the next watch. It doubles while
	// each watch ends with events.
	minPause = 100 * time.Millisecond
	// burstGap is the duration of a watch after which a burst of changes counts as over
	// and the pause starts again at minPause.
	burstGap = time.Second
	// outageThreshold is how long calls must fail before that counts as an outage. Objects
	// that are missing after an outage may only have expired during it, because their writers
	// could not renew them.
	outageThreshold = time.Second
	// missingGrace is how long after an outage missing objects are kept in the replica.
	// Objects whose writer is alive have been written again by then.
	missingGrace = 2200 * time.Millisecond
)

// DefaultMaxPause is the maximum pause between events and the next watch, unless
// SetMaxPause sets another one.
const DefaultMaxPause = 400 * time.Millisecond

// Replicator maintains a replica of the objects below a prefix.
type Replicator struct {
	store    fescuebank.ObjectStore
	clock    fescuebank.Clock
	log      hclog.Logger
	prefix   string
	onChange func([]fescuebank.Object)
	relist   chan struct{}
	// recovered ends the pause after a failed call.
	recovered chan struct{}
	maxPause  func() time.Duration
	// staleStart is set if the first list may be out of date.
	staleStart bool
	// confirmStart is set if a stale first list must be confirmed while others watch the prefix.
	confirmStart bool
	// firstPause is the pause between the first list and the first watch.
	firstPause time.Duration
	// delivering is held while the replica is copied and passed to onChange.
	delivering sync.Mutex

	mu sync.Mutex
	// following is set while other instances watch the prefix for this one, and
	// modeChanged is signalled when that changes.
	following   bool
	modeChanged chan struct{}
	// pausing is set between events and the next watch.
	pausing bool
	// objects is the replica, by key.
	objects map[string]fescuebank.Object
	// missingUntil holds the objects that were missing after an outage, with the time
	// until which the replica keeps them.
	missingUntil map[string]time.Time
	removed      removals
	// returned counts the objects of peers that were ignored because they had been removed here.
	returned uint64
	// changedAt is the store version of the newest change applied, and asOf the one up
	// to which the replica is known to be current.
	changedAt fescuebank.StoreVersion
	asOf      fescuebank.StoreVersion
	// lastContact is when the store last answered, or when the replicator was created if
	// it never did. failingSince is when calls began to fail since then; zero if none did.
	lastContact  time.Time
	failingSince time.Time
	// recoveredAt is when the store last answered again after an outage.
	recoveredAt time.Time
	// down is set during an outage.
	down bool
	// listed is set after the first list of objects, from the store or a peer, and confirmed after
	// the first one from the store that was current.
	listed    bool
	confirmed bool
	// recovering is set until the first list after an outage. Objects that this list
	// lacks may have expired during the outage.
	recovering bool
}

// New returns a replicator of prefix. It passes the whole replica to onChange after each
// change, one at a time and never an older one after a newer one. onChange must not wait for a
// change of the same replica.
func New(store fescuebank.ObjectStore, prefix string, clock fescuebank.Clock, log hclog.Logger, onChange func([]fescuebank.Object)) *Replicator {
	return &Replicator{
		store: store, clock: clock, log: log, prefix: prefix, onChange: onChange, lastContact: clock.Now(),
		maxPause: func() time.Duration { return DefaultMaxPause },
		relist:   make(chan struct{}, 1), recovered: make(chan struct{}, 1), modeChanged: make(chan struct{}, 1), objects: make(map[string]fescuebank.Object), missingUntil: make(map[string]time.Time), removed: make(removals),
	}
}

// SetMaxPause sets the function that returns the maximum pause between events and the next
// watch. Call it before Run.
func (r *Replicator) SetMaxPause(maxPause func() time.Duration) {
	r.maxPause = maxPause
}

// AllowStaleStart allows the first list to be seconds old. Call it before Run.
func (r *Replicator) AllowStaleStart() {
	r.staleStart = true
}

// ConfirmStart makes a replica that others watch the prefix for list it once more if the first list may be
// stale. What such a list still holds although it was removed before, the others may never have seen, and
// so never announce as removed. Call it before Run.
func (r *Replicator) ConfirmStart() {
	r.confirmStart = true
}

// SetFirstPause sets the pause between the first list and the first watch. Within it, an
// instance that starts may learn that others watch the prefix for it. Call it before Run.
func (r *Replicator) SetFirstPause(pause time.Duration) {
	r.firstPause = pause
}

// SetFollowing sets whether other instances watch the prefix for this one. A following
// replicator lists the prefix once and is then kept current by Poll and ApplyReplica.
// When it stops following, it lists the prefix again.
func (r *Replicator) SetFollowing(following bool) {
	r.mu.Lock()
	changed := r.following != following
	r.following = following
	r.mu.Unlock()
	if !changed {
		return
	}
	select {
	case r.modeChanged <- struct{}{}:
	default:
	}
}

// IsFollowing reports whether other instances watch the prefix for this one.
func (r *Replicator) IsFollowing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.following
}

// Hint reports that the store holds a change at a version. The store is listed again if the
// replica may lack the change.
func (r *Replicator) Hint(version fescuebank.StoreVersion) {
	if r.IsBehind(version) {
		r.Relist()
	}
}

// Relist makes Run interrupt the watch and list the prefix again. It does nothing while
// other instances watch the prefix.
func (r *Replicator) Relist() {
	if r.IsFollowing() {
		return
	}
	select {
	case r.relist <- struct{}{}:
	default:
	}
}

// Recover reports that the store answers again after an outage that any call noticed. The prefix is listed
// at once, and what the list lacks may only have expired. Recover does nothing while other instances watch
// the prefix.
func (r *Replicator) Recover() {
	if r.IsFollowing() {
		return
	}
	r.mu.Lock()
	r.recovering, r.recoveredAt = true, r.clock.Now()
	r.mu.Unlock()
	select {
	case r.recovered <- struct{}{}:
	default:
	}
	r.Relist()
}

// Poll lists the prefix independently of the watch, and restarts the watch if it missed a
// change. A change that the watches of other instances may have missed too counts as made at
// the version of the list, so that they don't take their replicas for newer. Poll reports
// whether the store answered.
func (r *Replicator) Poll(ctx context.Context) bool {
	sent := r.clock.Now()
	objects, at, err := r.store.List(ctx, r.prefix)
	if err != nil {
		r.recordFailure(ctx, err, sent)
		return false
	}
	r.recordContact()
	if r.replace(objects, at) {
		r.log.Warn("Watch missed a change.", "prefix", r.prefix, "revision", uint64(at))
		r.mu.Lock()
		r.changedAt = max(r.changedAt, at)
		r.mu.Unlock()
		r.Relist()
	}
	return true
}

// Run keeps the replica current until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	backoff := minRetry
	for ctx.Err() == nil {
		err := r.maintain(ctx)
		if errors.Is(err, errRelist) {
			backoff = minRetry
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if r.pauseCalls(ctx, fescuebank.Jitter(backoff)) {
			backoff = min(2*backoff, maxRetry)
			continue
		}
		backoff = minRetry
	}
}

// pauseCalls waits after a failed call. It returns false at once when the store is known to answer again.
func (r *Replicator) pauseCalls(ctx context.Context, pause time.Duration) (whole bool) {
	select {
	case <-ctx.Done():
	case <-r.recovered:
		return false
	case <-r.clock.After(pause):
	}
	return true
}

var (
	// errRelist means that the prefix has to be listed again at once.
	errRelist = errors.New("replica must be listed again")
	// errFollow means that other instances watch the prefix from now on.
	errFollow = errors.New("other instances watch the prefix")
)
