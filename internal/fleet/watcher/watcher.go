// Package watcher follows a prefix of the platform's store.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

const (
	// firstRetry and longestRetry bound the wait after a failed call.
	minRetry = 500 * time.Millisecond
	maxRetry = 8 * time.Second
	// quietGap keeps a watch that ends at once from being repeated without pause.
	minWatchTime = time.Second
	// hintSpread spreads the reads after a hint over the instances.
	hintJitter = 300 * time.Millisecond
)

// Watcher delivers each newer version of each object below a prefix. It never
// goes back to an older version, whatever the store shows.
type Watcher struct {
	store  fescuebank.ObjectStore
	clock  fescuebank.Clock
	log    hclog.Logger
	prefix string
	hint   chan struct{}
	subs   []subscription

	mu sync.Mutex
	// seen is the newest version delivered of each key.
	delivered map[string]fescuebank.StoreVersion
	// contact is when the store last answered.
	lastContact time.Time
	ready       chan struct{}
	once        sync.Once
}

type subscription struct {
	prefix  string
	deliver func(fescuebank.Object)
}

// New returns a watcher of prefix.
func New(store fescuebank.ObjectStore, prefix string, clock fescuebank.Clock, log hclog.Logger) *Watcher {
	return &Watcher{
		store: store, clock: clock, log: log, prefix: prefix,
		hint:      make(chan struct{}, 1),
		delivered: make(map[string]fescuebank.StoreVersion),
		ready:     make(chan struct{}),
	}
}

// Subscribe delivers objects whose key starts with prefix, one at a time. Call
// it before Run.
func (w *Watcher) Subscribe(prefix string, deliver func(fescuebank.Object)) {
	w.subs = append(w.subs, subscription{prefix: prefix, deliver: deliver})
}

// Hint says that the store holds something newer than what was delivered.
func (w *Watcher) Hint() {
	select {
	case w.hint <- struct{}{}:
	default:
	}
}

// Ready closes once the first list has been delivered.
func (w *Watcher) Ready() <-chan struct{} {
	return w.ready
}

// LastContact returns when the store last answered.
func (w *Watcher) LastContact() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastContact
}

// Run lists, then watches, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	wait := minRetry
	for ctx.Err() == nil {
		if err := w.follow(ctx); err != nil && ctx.Err() == nil {
			w.log.Warn("Store not followed.", "prefix", w.prefix, "err", err)
			_ = fescuebank.Sleep(ctx, w.clock, jitter(wait))
			wait = min(2*wait, maxRetry)
			continue
		}
		wait = minRetry
	}
}

// follow lists once and watches until something calls for a new list.
func (w *Watcher) follow(ctx context.Context) error {
	objects, version, err := w.store.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	w.Deliver(objects)
	w.once.Do(func() { close(w.ready) })
	for ctx.Err() == nil {
		events, next, err := w.watchOnce(ctx, version)
		if errors.Is(err, errHinted) || errors.Is(err, fescuebank.ErrWatchLost) {
			return fescuebank.Sleep(ctx, w.clock, jitter(hintJitter))
		}
		if err != nil {
			return err
		}
		w.Deliver(events)
		version = max(version, next)
	}
	return nil
}

var errHinted = errors.New("newer state known")

// watchOnce waits for events, a hint, or the end of the watch.
func (w *Watcher) watchOnce(ctx context.Context, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-w.hint:
			cancel(errHinted)
		case <-done:
		}
	}()
	started := w.clock.Now()
	events, next, err := w.store.Watch(ctx, w.prefix, from)
	if cause := context.Cause(ctx); errors.Is(cause, errHinted) {
		return nil, 0, cause
	}
	if err != nil {
		return nil, 0, err
	}
	w.recordContact()
	if len(events) == 0 && w.clock.Now().Sub(started) < minWatchTime {
		return nil, next, fescuebank.Sleep(ctx, w.clock, jitter(minWatchTime))
	}
	return events, next, nil
}

func (w *Watcher) recordContact() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastContact = w.clock.Now()
}

// Deliver hands newer objects to the subscribers. Objects read from the store
// elsewhere may be given too.
func (w *Watcher) Deliver(objects []fescuebank.Object) {
	w.recordContact()
	for _, o := range objects {
		if !w.isNewer(o) {
			continue
		}
		for _, s := range w.subs {
			if strings.HasPrefix(o.Key, s.prefix) {
				s.deliver(o)
			}
		}
	}
}

func (w *Watcher) isNewer(o fescuebank.Object) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Version <= w.delivered[o.Key] {
		return false
	}
	w.delivered[o.Key] = o.Version
	return true
}

// jitter returns between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
