// Package replicator maintains a local replica of the objects below a prefix of the
// platform's store.
package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
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
	// outageThreshold is how long the store must be unreachable before that counts as an
	// outage. Objects that are missing after an outage may only have expired during it,
	// because their writers could not renew them.
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
	maxPause func() time.Duration
	// staleStart is set if the first list may be out of date.
	staleStart bool
	// firstPause is the pause between the first list and the first watch.
	firstPause time.Duration

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
	// changedAt is the store version of the newest change applied, and asOf the one up
	// to which the replica is known to be current.
	changedAt fescuebank.StoreVersion
	asOf      fescuebank.StoreVersion
	// lastContact is when the store last answered, or when the replicator was created if
	// it never did. recoveredAt is when the store last answered again after an outage.
	lastContact time.Time
	recoveredAt time.Time
	// down is set during an outage.
	down bool
	// listed is set after the first list of objects, from the store or a peer.
	listed bool
	// recovering is set until the first list after an outage. Objects that this list
	// lacks may have expired during the outage.
	recovering bool
}

// New returns a replicator of prefix. It passes the whole replica to onChange after each
// change.
func New(store fescuebank.ObjectStore, prefix string, clock fescuebank.Clock, log hclog.Logger, onChange func([]fescuebank.Object)) *Replicator {
	return &Replicator{
		store: store, clock: clock, log: log, prefix: prefix, onChange: onChange, lastContact: clock.Now(),
		maxPause: func() time.Duration { return DefaultMaxPause },
		relist:   make(chan struct{}, 1), modeChanged: make(chan struct{}, 1), objects: make(map[string]fescuebank.Object), missingUntil: make(map[string]time.Time),
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

// IsBehind reports whether the replica may lack a change at a version. It doesn't count as
// behind during the pause before the next watch, which will return the change.
func (r *Replicator) IsBehind(version fescuebank.StoreVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return version > r.asOf && !r.pausing
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

// ChangedAt returns the store version of the newest change applied.
func (r *Replicator) ChangedAt() fescuebank.StoreVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changedAt
}

// Poll lists the prefix independently of the watch, and restarts the watch if it missed a
// change. A change that the watches of other instances may have missed too counts as made at
// the version of the list, so that they don't take their replicas for newer. Poll reports
// whether the store answered.
func (r *Replicator) Poll(ctx context.Context) bool {
	objects, at, err := r.store.List(ctx, r.prefix)
	if err != nil {
		return false
	}
	if r.replace(objects, at) {
		r.log.Warn("Watch missed a change.", "prefix", r.prefix, "revision", uint64(at))
		r.mu.Lock()
		r.changedAt = max(r.changedAt, at)
		r.mu.Unlock()
		r.Relist()
	}
	return true
}

// Objects returns the objects of the replica, sorted by key.
func (r *Replicator) Objects() []fescuebank.Object {
	list, _ := r.Replica()
	return list
}

// Replica returns the objects of the replica, sorted by key, and the store version up to
// which it is current.
func (r *Replicator) Replica() ([]fescuebank.Object, fescuebank.StoreVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]fescuebank.Object, 0, len(r.objects))
	for _, o := range r.objects {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b fescuebank.Object) int { return strings.Compare(a.Key, b.Key) })
	return list, r.asOf
}

// Delta returns the objects of the replica that changed after a version, and the versions of
// all of its objects.
func (r *Replicator) Delta(since fescuebank.StoreVersion) fescuebank.ReplicaDelta {
	objects, at := r.Replica()
	delta := fescuebank.ReplicaDelta{At: at, Versions: make(map[string]fescuebank.StoreVersion, len(objects))}
	for _, o := range objects {
		delta.Versions[o.Key] = o.Version
		if o.Version > since {
			delta.Objects = append(delta.Objects, o)
		}
	}
	return delta
}

// AsOf returns the store version up to which the replica is current.
func (r *Replicator) AsOf() fescuebank.StoreVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf
}

// ApplyDelta applies changes from the replica of another instance and reports whether this
// replica now holds all that the peer's does. Newer objects of the peer replace those of this
// replica. If the peer's replica is newer, objects that it lacks are removed, unless they
// are newer still. They are only removed if this replicator follows, or if the store is
// unreachable from this instance; otherwise it learns of removals from the store.
func (r *Replicator) ApplyDelta(delta fescuebank.ReplicaDelta) (complete bool) {
	r.mu.Lock()
	disconnected := r.clock.Now().Sub(r.lastContact) >= outageThreshold
	changed, newer := false, delta.At > r.asOf
	for _, o := range delta.Objects {
		changed = r.put(o) || changed
		r.asOf = max(r.asOf, o.Version)
	}
	for key, o := range r.objects {
		_, known := delta.Versions[key]
		if (disconnected || r.following) && newer && o.Version <= delta.At && !known {
			changed = r.remove(key, delta.At) || changed
		}
	}
	complete = true
	for key, version := range delta.Versions {
		complete = complete && r.objects[key].Version >= version
	}
	if r.following && complete {
		r.asOf = max(r.asOf, delta.At)
	}
	r.listed = r.listed || len(delta.Versions) > 0
	r.mu.Unlock()
	if changed {
		r.notify()
	}
	return complete
}

// Listed reports whether the prefix has been read at least once.
func (r *Replicator) Listed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
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
		r.recordFailure(err)
		_ = fescuebank.Sleep(ctx, r.clock, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxRetry)
	}
}

var (
	// errRelist means that the prefix has to be listed again at once.
	errRelist = errors.New("replica must be listed again")
	// errFollow means that other instances watch the prefix from now on.
	errFollow = errors.New("other instances watch the prefix")
)

// maintain lists the prefix and then watches it until a call fails or a new list is needed.
// While other instances watch it, maintain only waits.
func (r *Replicator) maintain(ctx context.Context) error {
	objects, version, err := r.list(ctx)
	if err != nil {
		return err
	}
	r.recordContact()
	isFirst := !r.Listed()
	r.replace(objects, version)
	if isFirst {
		r.pauseWatch(ctx, r.firstPause)
	}
	pause := minPause
	for ctx.Err() == nil {
		if r.IsFollowing() {
			return r.waitWhileFollowing(ctx)
		}
		began := r.clock.Now()
		events, next, err := r.watch(ctx, version)
		if err != nil {
			return err
		}
		r.recordContact()
		r.apply(events, next)
		version = next
		if r.clock.Now().Sub(began) > burstGap {
			pause = minPause
		}
		if len(events) > 0 {
			// Changes come in bursts. After the pause, one watch returns the rest of the
			// burst.
			r.pauseWatch(ctx, pause)
			pause = min(2*pause, r.maxPause())
		}
	}
	return ctx.Err()
}

// list lists the prefix. Before the first watch, a list may be out of date, unless the replica
// must be current from the start: the watch then reports what it lacks.
func (r *Replicator) list(ctx context.Context) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	if lister, ok := r.store.(fescuebank.StaleLister); ok && r.staleStart && !r.Listed() {
		return lister.ListStale(ctx, r.prefix)
	}
	return r.store.List(ctx, r.prefix)
}

// waitWhileFollowing waits until the prefix has to be listed again, because other instances
// no longer watch it.
func (r *Replicator) waitWhileFollowing(ctx context.Context) error {
	for r.IsFollowing() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.modeChanged:
		}
	}
	return errRelist
}

// pauseWatch waits before the next watch, which will return the changes made meanwhile.
func (r *Replicator) pauseWatch(ctx context.Context, pause time.Duration) {
	r.setPausing(true)
	_ = fescuebank.Sleep(ctx, r.clock, pause)
	r.setPausing(false)
}

func (r *Replicator) setPausing(pausing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausing = pausing
}

// watch waits for events. It returns errRelist on a call of Relist, at the end of the grace
// period of missing objects, and if the store has lost the watch.
func (r *Replicator) watch(ctx context.Context, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := r.interrupt(ctx, cancel)
	started := r.clock.Now()
	events, next, err := r.store.Watch(ctx, r.prefix, from)
	stop() // A call of Relist up to now counts, even if the watch has already ended.
	if errors.Is(context.Cause(ctx), errFollow) {
		return nil, from, nil
	}
	if errors.Is(context.Cause(ctx), errRelist) || errors.Is(err, fescuebank.ErrWatchLost) {
		return nil, 0, errRelist
	}
	if err != nil {
		return nil, 0, err
	}
	if len(events) == 0 && r.clock.Now().Sub(started) < minWatchTime {
		_ = fescuebank.Sleep(ctx, r.clock, minWatchTime)
	}
	return events, next, nil
}

// interrupt cancels a watch on a call of Relist and at the end of the grace period of
// missing objects. It no longer does after stop has returned.
func (r *Replicator) interrupt(ctx context.Context, cancel context.CancelCauseFunc) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	var due <-chan time.Time
	r.mu.Lock()
	if len(r.missingUntil) > 0 {
		due = r.clock.After(r.recoveredAt.Add(missingGrace).Sub(r.clock.Now()))
	}
	r.mu.Unlock()
	go func() {
		defer close(ended)
		select {
		case <-r.relist:
			cancel(errRelist)
		case <-r.modeChanged:
			cancel(errFollow)
		case <-due:
			cancel(errRelist)
		case <-done:
		case <-ctx.Done():
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// recordContact records that the store has answered, which ends an outage.
func (r *Replicator) recordContact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.down {
		r.down = false
		r.recoveredAt = now
		r.recovering = true
		r.log.Info("Store is back.", "prefix", r.prefix, "awayMs", now.Sub(r.lastContact).Milliseconds())
	}
	r.lastContact = now
}

// recordFailure records a failed call. An outage begins when the store has not answered for
// outageThreshold.
func (r *Replicator) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.clock.Now().Sub(r.lastContact) < outageThreshold {
		return
	}
	r.down = true
	r.log.Warn("Store is lost.", "prefix", r.prefix, "err", err.Error())
}

// replace replaces the replica by a list that is current up to a version, and reports
// whether the replica changed. A list that is older than the replica is ignored.
func (r *Replicator) replace(objects []fescuebank.Object, at fescuebank.StoreVersion) bool {
	r.mu.Lock()
	if at < r.asOf {
		r.mu.Unlock()
		return false
	}
	listed := make(map[string]bool, len(objects))
	changed := !r.listed
	r.listed = true
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		listed[o.Key] = true
		changed = r.put(o) || changed
	}
	for key := range r.objects {
		if listed[key] {
			continue
		}
		if r.recovering {
			r.missingUntil[key] = r.recoveredAt.Add(missingGrace)
		}
		changed = r.remove(key, at) || changed
	}
	r.recovering = false
	r.asOf = at
	r.mu.Unlock()
	if changed {
		r.notify()
	}
	return changed
}

// apply applies events in order, which make the replica current up to a version.
func (r *Replicator) apply(events []fescuebank.Object, at fescuebank.StoreVersion) {
	r.mu.Lock()
	changed := false
	for _, o := range events {
		if o.Deleted {
			changed = r.remove(o.Key, at) || changed
			continue
		}
		changed = r.put(o) || changed
	}
	r.asOf = max(r.asOf, at)
	r.mu.Unlock()
	if changed {
		r.notify()
	}
}

// put stores an object if it is newer than the one in the replica. The caller holds the
// lock.
func (r *Replicator) put(o fescuebank.Object) (changed bool) {
	delete(r.missingUntil, o.Key)
	if current, ok := r.objects[o.Key]; ok && current.Version >= o.Version {
		return false
	}
	r.changedAt = max(r.changedAt, o.Version)
	r.objects[o.Key] = o
	return true
}

// remove removes an object, unless it may have expired during an outage of the store and
// its writer still has time to write it again. The caller holds the lock.
func (r *Replicator) remove(key string, at fescuebank.StoreVersion) (changed bool) {
	if _, ok := r.objects[key]; !ok {
		return false
	}
	if until, isMissing := r.missingUntil[key]; isMissing && r.clock.Now().Before(until) {
		return false
	}
	delete(r.missingUntil, key)
	delete(r.objects, key)
	r.changedAt = max(r.changedAt, at)
	return true
}

// notify passes the replica to onChange.
func (r *Replicator) notify() {
	r.onChange(r.Objects())
}
