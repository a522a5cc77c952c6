// Package replicator keeps a mirror of a prefix of the platform's store.
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
	// firstRetry and longestRetry bound the wait after a failed call.
	firstRetry   = 50 * time.Millisecond
	longestRetry = 800 * time.Millisecond
	// quietGap is the least time that a watch without events takes.
	quietGap = 200 * time.Millisecond
	// firstPause is the pause between events and the next watch. It doubles while each
	// watch ends with events.
	firstPause = 100 * time.Millisecond
	// flockGap is the least time that a watch without a flock takes.
	flockGap = time.Second
	// outageAfter is how long the store must have been out of reach before
	// missing objects are taken for lapsed.
	outageAfter = time.Second
	// holdMissing is how long after an outage missing objects are kept: those
	// whose writer lives are written again by then.
	holdMissing = 2200 * time.Millisecond
)

// DefaultMaxPause bounds the pause between events and the next watch where no other
// bound is set.
const DefaultMaxPause = 400 * time.Millisecond

// Replicator mirrors the objects below a prefix.
type Replicator struct {
	store   fescuebank.ObjectStore
	clock   fescuebank.Clock
	log     hclog.Logger
	prefix  string
	changed func([]fescuebank.Object)
	hint    chan struct{}
	longest func() time.Duration

	mu sync.Mutex
	// pausing is set between events and the next watch.
	pausing bool
	// objects is the mirror.
	objects map[string]fescuebank.Object
	// missing are objects that vanished in an outage, kept until then.
	missing map[string]time.Time
	// changedAt is the store version of the newest change taken in, and asOf the
	// one up to which the mirror is known to be current.
	changedAt fescuebank.StoreVersion
	asOf      fescuebank.StoreVersion
	// contact is when the store last answered, or the start; back is when it last came back
	// from an outage.
	contact time.Time
	back    time.Time
	down    bool
	listed  bool
	// lapsed is set until the first list after an outage: what that lacks may have
	// lapsed meanwhile.
	lapsed bool
}

// New returns a replicator of prefix that passes the whole mirror to changed
// after each change.
func New(store fescuebank.ObjectStore, prefix string, clock fescuebank.Clock, log hclog.Logger, changed func([]fescuebank.Object)) *Replicator {
	return &Replicator{
		store: store, clock: clock, log: log, prefix: prefix, changed: changed, contact: clock.Now(),
		longest: func() time.Duration { return DefaultMaxPause },
		hint:    make(chan struct{}, 1), objects: make(map[string]fescuebank.Object), missing: make(map[string]time.Time),
	}
}

// SetMaxPause sets what bounds the pause between events and the next watch. Call
// it before Run.
func (f *Replicator) SetMaxPause(longest func() time.Duration) {
	f.longest = longest
}

// Hint says that the store holds a change that the mirror may lack.
func (f *Replicator) Hint(version fescuebank.StoreVersion) {
	if f.IsBehind(version) {
		f.Relist()
	}
}

// IsBehind reports whether a change at the version may be missing from the mirror, though
// it isn't about to watch again.
func (f *Replicator) IsBehind(version fescuebank.StoreVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return version > f.asOf && !f.pausing
}

// Relist lists again on a fresh call.
func (f *Replicator) Relist() {
	select {
	case f.hint <- struct{}{}:
	default:
	}
}

// ChangedAt returns the store version of the newest change taken in.
func (f *Replicator) ChangedAt() fescuebank.StoreVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changedAt
}

// Poll lists beside the watch, and starts the watch anew if it missed a change.
// It reports whether the store answered.
func (f *Replicator) Poll(ctx context.Context) bool {
	objects, at, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return false
	}
	if f.replace(objects, at) {
		f.log.Warn("Watch missed a change.", "prefix", f.prefix, "revision", uint64(at))
		f.Relist()
	}
	return true
}

// Objects returns the mirror.
func (f *Replicator) Objects() []fescuebank.Object {
	list, _ := f.Replica()
	return list
}

// Replica returns the mirror and the version as of which it is current.
func (f *Replicator) Replica() ([]fescuebank.Object, fescuebank.StoreVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]fescuebank.Object, 0, len(f.objects))
	for _, o := range f.objects {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b fescuebank.Object) int { return strings.Compare(a.Key, b.Key) })
	return list, f.asOf
}

// ApplyReplica takes in another instance's mirror, which is current as of a version. While the
// store is out of reach here, what that lacks is gone, unless it is newer. The version is
// the peer's belief: it does not make this mirror count as current.
func (f *Replicator) ApplyReplica(objects []fescuebank.Object, at fescuebank.StoreVersion) {
	f.mu.Lock()
	cut := f.clock.Now().Sub(f.contact) >= outageAfter
	changed, newer := false, at > f.asOf
	theirs := make(map[string]bool, len(objects))
	for _, o := range objects {
		theirs[o.Key] = true
		changed = f.put(o) || changed
		f.asOf = max(f.asOf, o.Version)
	}
	for key, o := range f.objects {
		if cut && newer && o.Version <= at && !theirs[key] {
			changed = f.remove(key, at) || changed
		}
	}
	f.listed = f.listed || len(objects) > 0
	f.mu.Unlock()
	if changed {
		f.tell()
	}
}

// Listed reports whether the prefix has been read at least once.
func (f *Replicator) Listed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Run follows the prefix until ctx ends.
func (f *Replicator) Run(ctx context.Context) {
	wait := firstRetry
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if errors.Is(err, errAgain) {
			wait = firstRetry
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.lost(err)
		_ = fescuebank.Sleep(ctx, f.clock, wait/2+rand.N(wait))
		wait = min(2*wait, longestRetry)
	}
}

// errAgain asks for a new list at once.
var errAgain = errors.New("list again")

func (f *Replicator) follow(ctx context.Context) error {
	objects, version, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	f.touch()
	f.replace(objects, version)
	pause := firstPause
	for ctx.Err() == nil {
		began := f.clock.Now()
		events, next, err := f.watch(ctx, version)
		if err != nil {
			return err
		}
		f.touch()
		f.apply(events, next)
		version = next
		if f.clock.Now().Sub(began) > flockGap {
			pause = firstPause
		}
		if len(events) > 0 {
			// Changes come in flocks; one more call then brings the rest.
			f.rest(ctx, pause)
			pause = min(2*pause, f.longest())
		}
	}
	return ctx.Err()
}

// rest waits before the next watch, which will tell of what came meanwhile.
func (f *Replicator) rest(ctx context.Context, pause time.Duration) {
	f.setPausing(true)
	_ = fescuebank.Sleep(ctx, f.clock, pause)
	f.setPausing(false)
}

func (f *Replicator) setPausing(pausing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pausing = pausing
}

// watch waits for events, a hint, or the time at which missing objects are due.
func (f *Replicator) watch(ctx context.Context, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := f.interrupt(ctx, cancel)
	started := f.clock.Now()
	events, next, err := f.store.Watch(ctx, f.prefix, from)
	stop() // A hint that was taken up until now counts, though the watch has ended.
	if errors.Is(context.Cause(ctx), errAgain) || errors.Is(err, fescuebank.ErrWatchLost) {
		return nil, 0, errAgain
	}
	if err != nil {
		return nil, 0, err
	}
	if len(events) == 0 && f.clock.Now().Sub(started) < quietGap {
		_ = fescuebank.Sleep(ctx, f.clock, quietGap)
	}
	return events, next, nil
}

// interrupt ends a watch at a hint or when missing objects are due, until stop has
// returned.
func (f *Replicator) interrupt(ctx context.Context, cancel context.CancelCauseFunc) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	var due <-chan time.Time
	f.mu.Lock()
	if len(f.missing) > 0 {
		due = f.clock.After(f.back.Add(holdMissing).Sub(f.clock.Now()))
	}
	f.mu.Unlock()
	go func() {
		defer close(ended)
		select {
		case <-f.hint:
			cancel(errAgain)
		case <-due:
			cancel(errAgain)
		case <-done:
		case <-ctx.Done():
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

func (f *Replicator) touch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if f.down {
		f.down = false
		f.back = now
		f.lapsed = true
		f.log.Info("Store is back.", "prefix", f.prefix, "awayMs", now.Sub(f.contact).Milliseconds())
	}
	f.contact = now
}

func (f *Replicator) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.clock.Now().Sub(f.contact) < outageAfter {
		return
	}
	f.down = true
	f.log.Warn("Store is lost.", "prefix", f.prefix, "err", err.Error())
}

// replace takes in a whole list as of a version. It reports whether the mirror
// changed. An older list than the mirror changes nothing.
func (f *Replicator) replace(objects []fescuebank.Object, at fescuebank.StoreVersion) bool {
	f.mu.Lock()
	if at < f.asOf {
		f.mu.Unlock()
		return false
	}
	listed := make(map[string]bool, len(objects))
	changed := !f.listed
	f.listed = true
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		listed[o.Key] = true
		changed = f.put(o) || changed
	}
	for key := range f.objects {
		if listed[key] {
			continue
		}
		if f.lapsed {
			f.missing[key] = f.back.Add(holdMissing)
		}
		changed = f.remove(key, at) || changed
	}
	f.lapsed = false
	f.asOf = at
	f.mu.Unlock()
	if changed {
		f.tell()
	}
	return changed
}

// apply takes in events in order, up to a version.
func (f *Replicator) apply(events []fescuebank.Object, at fescuebank.StoreVersion) {
	f.mu.Lock()
	changed := false
	for _, o := range events {
		if o.Deleted {
			changed = f.remove(o.Key, at) || changed
			continue
		}
		changed = f.put(o) || changed
	}
	f.asOf = max(f.asOf, at)
	f.mu.Unlock()
	if changed {
		f.tell()
	}
}

// put takes in an object that is not older than the mirror's.
func (f *Replicator) put(o fescuebank.Object) (changed bool) {
	delete(f.missing, o.Key)
	if have, ok := f.objects[o.Key]; ok && have.Version >= o.Version {
		return false
	}
	f.changedAt = max(f.changedAt, o.Version)
	f.objects[o.Key] = o
	return true
}

// remove drops an object, unless it may have lapsed in an outage of the store and
// come back yet.
func (f *Replicator) remove(key string, at fescuebank.StoreVersion) (changed bool) {
	if _, ok := f.objects[key]; !ok {
		return false
	}
	if until, held := f.missing[key]; held && f.clock.Now().Before(until) {
		return false
	}
	delete(f.missing, key)
	delete(f.objects, key)
	f.changedAt = max(f.changedAt, at)
	return true
}

func (f *Replicator) tell() {
	f.changed(f.Objects())
}
