// Package watcher watches a prefix of the platform's store and delivers its changes.
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
	// minRetry and maxRetry bound the backoff after a failed call.
	minRetry = 500 * time.Millisecond
	maxRetry = 8 * time.Second
	// minWatchTime is the minimum duration of a watch without events. A shorter one is
	// followed by a pause, so that watches that end at once don't run in a tight loop.
	minWatchTime = time.Second
	// hintJitter spreads the reads of all instances after a hint over time.
	hintJitter = 300 * time.Millisecond
)

// Watcher delivers each newer version of each object below a prefix. It never delivers an
// older version after a newer one, even if the store returns one.
type Watcher struct {
	store         fescuebank.ObjectStore
	clock         fescuebank.Clock
	log           hclog.Logger
	prefix        string
	hint          chan struct{}
	subscriptions []subscription

	mu sync.Mutex
	// delivered is the newest version delivered of each key.
	delivered map[string]fescuebank.StoreVersion
	// lastContact is when the store last answered.
	lastContact time.Time
	// ready is closed after the first list has been delivered.
	ready     chan struct{}
	readyOnce sync.Once
}

// subscription is a function that receives the objects below a prefix.
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

// Subscribe registers deliver for the objects whose key starts with prefix. It is called with
// one object at a time. Call Subscribe before Run.
func (w *Watcher) Subscribe(prefix string, deliver func(fescuebank.Object)) {
	w.subscriptions = append(w.subscriptions, subscription{prefix: prefix, deliver: deliver})
}

// Hint reports that the store holds newer objects than those delivered, and makes Run list
// again.
func (w *Watcher) Hint() {
	select {
	case w.hint <- struct{}{}:
	default:
	}
}

// Ready returns a channel that is closed after the first list has been delivered.
func (w *Watcher) Ready() <-chan struct{} {
	return w.ready
}

// LastContact returns when the store last answered.
func (w *Watcher) LastContact() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastContact
}

// Run lists the prefix and then watches it, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	backoff := minRetry
	for ctx.Err() == nil {
		if err := w.follow(ctx); err != nil && ctx.Err() == nil {
			w.log.Warn("Store not watched.", "prefix", w.prefix, "err", err)
			_ = fescuebank.Sleep(ctx, w.clock, jitter(backoff))
			backoff = min(2*backoff, maxRetry)
			continue
		}
		backoff = minRetry
	}
}

// follow lists once and then watches until a hint arrives, the store has lost the watch or a
// call fails.
func (w *Watcher) follow(ctx context.Context) error {
	objects, version, err := w.store.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	w.Deliver(objects)
	w.readyOnce.Do(func() { close(w.ready) })
	for ctx.Err() == nil {
		events, next, err := w.watchOnce(ctx, version)
		if errors.Is(err, errHint) || errors.Is(err, fescuebank.ErrWatchLost) {
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

// errHint means that a hint has interrupted the watch.
var errHint = errors.New("hint of newer objects")

// watchOnce waits for events or the end of the watch. It returns errHint if a hint arrives.
func (w *Watcher) watchOnce(ctx context.Context, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-w.hint:
			cancel(errHint)
		case <-done:
		}
	}()
	started := w.clock.Now()
	events, next, err := w.store.Watch(ctx, w.prefix, from)
	if cause := context.Cause(ctx); errors.Is(cause, errHint) {
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

// Deliver passes newer objects to the subscribers. It may also be called with objects that
// were read from the store elsewhere.
func (w *Watcher) Deliver(objects []fescuebank.Object) {
	w.recordContact()
	for _, o := range objects {
		if !w.isNewer(o) {
			continue
		}
		for _, s := range w.subscriptions {
			if strings.HasPrefix(o.Key, s.prefix) {
				s.deliver(o)
			}
		}
	}
}

// isNewer reports whether an object is newer than the one delivered, and records it as
// delivered if it is.
func (w *Watcher) isNewer(o fescuebank.Object) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Version <= w.delivered[o.Key] {
		return false
	}
	w.delivered[o.Key] = o.Version
	return true
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
