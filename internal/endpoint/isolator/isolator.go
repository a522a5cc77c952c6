// Package isolator stops requests that crash endpoints (poison requests) on all instances of the
// fleet. The instances exchange by gossip which endpoints crashed under which requests. A request
// under which several endpoints crashed is quarantined: it is refused without being run, until the
// quarantine ends. Quarantines are also kept in the platform's store, so that they survive a
// restart of all instances.
package isolator

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

const (
	// crashThreshold is the number of crashes from which a request is quarantined.
	crashThreshold = 2
	// minLength and maxLength bound the duration of a quarantine. It doubles if an endpoint
	// crashes under the first run after the last one.
	minLength = time.Minute
	maxLength = time.Hour
	// maxQuarantines bounds the quarantines that are remembered.
	maxQuarantines = 1024
	// trialRetryAfter is the Retry-After of a suspect that another run of it kept waiting.
	trialRetryAfter = 500 * time.Millisecond
)

// Config holds the dependencies of an Isolator.
type Config struct {
	Store fescuebank.ObjectStore
	// IsDown reports whether nothing listens at the address of an endpoint.
	IsDown func(addr string) bool
	// Announce makes this instance send gossip soon.
	Announce func()
	Clock    fescuebank.Clock
	Log      hclog.Logger
}

// Isolator is the fescuebank.CrashGuard of an instance.
type Isolator struct {
	Config
	// writes are the changes that Run has to make in the store.
	writes chan write

	mu       sync.Mutex
	evidence evidence
	// quarantines holds those in force, and those that ended and whose request has neither run
	// nor crashed an endpoint since.
	quarantines map[fescuebank.SuspectKey]quarantine
	// trials are the suspects that run here, and peerTrials those that run elsewhere.
	trials     map[fescuebank.SuspectKey]bool
	peerTrials map[fescuebank.InstanceID]peerTrials
	// changed closes when a trial has ended or a quarantine has changed.
	changed chan struct{}
}

// quarantine is the last quarantine of a key.
type quarantine struct {
	until  time.Time
	length time.Duration
	// adopted is set if it was decided by another instance or read from the store.
	adopted bool
}

// since returns when the quarantine began.
func (q quarantine) since() time.Time {
	return q.until.Add(-q.length)
}

// isOver reports whether the quarantine ended longer than its duration ago. Until then the next
// crash leads to a longer one.
func (q quarantine) isOver(now time.Time) bool {
	return now.Sub(q.until) > q.length
}

// New returns an isolator that knows of no crash.
func New(c Config) *Isolator {
	return &Isolator{
		Config: c, writes: make(chan write, maxWrites), evidence: newEvidence(),
		quarantines: make(map[fescuebank.SuspectKey]quarantine), trials: make(map[fescuebank.SuspectKey]bool),
		peerTrials: make(map[fescuebank.InstanceID]peerTrials), changed: make(chan struct{}),
	}
}

// Enter refuses a request that is quarantined. A suspect waits until no other run of it is known.
func (i *Isolator) Enter(ctx context.Context, r *fescuebank.Request, maxWait time.Duration) (leave func(), err error) {
	if !i.knowsSuspects() {
		return func() {}, nil
	}
	key := r.Fingerprint().Key()
	timeout := i.Clock.After(maxWait)
	for {
		leave, changed, err := i.tryEnter(key)
		if leave != nil || err != nil {
			return leave, err
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeQuarantined,
				"an endpoint crashed under the request, and another run of it has not ended").WithRetryAfter(trialRetryAfter)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// knowsSuspects reports whether any request is suspect or quarantined.
func (i *Isolator) knowsSuspects() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.evidence.crashes) > 0 || len(i.quarantines) > 0
}

// tryEnter returns the function that ends the run of a request that may run now, a refusal, or
// the channel that closes when it may try again.
func (i *Isolator) tryEnter(key fescuebank.SuspectKey) (leave func(), changed <-chan struct{}, err error) {
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	q, known := i.quarantines[key]
	if left := q.until.Sub(now); left > 0 {
		return nil, nil, fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeQuarantined,
			"endpoints crashed under the request").WithRetryAfter(left)
	}
	if !known && i.evidence.count(key) == 0 {
		return func() {}, nil, nil
	}
	if i.isTried(key, now) {
		return nil, i.changed, nil
	}
	i.trials[key] = true
	i.Announce()
	return func() { i.endTrial(key) }, nil, nil
}

// isTried reports whether a run of a suspect is known. The caller holds the lock.
func (i *Isolator) isTried(key fescuebank.SuspectKey, now time.Time) bool {
	if i.trials[key] {
		return true
	}
	for id, p := range i.peerTrials {
		if now.Sub(p.receivedAt) >= gossipTTL {
			delete(i.peerTrials, id)
			continue
		}
		if p.keys[key] {
			return true
		}
	}
	return false
}

func (i *Isolator) endTrial(key fescuebank.SuspectKey) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.trials, key)
	i.signal()
	i.Announce()
}

// signal wakes the requests that wait. The caller holds the lock.
func (i *Isolator) signal() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// RecordLost records a crash of the endpoint under the request, if the endpoint is down.
func (i *Isolator) RecordLost(r *fescuebank.Request, e fescuebank.ServedEndpoint) {
	at := i.Clock.Now()
	if !i.IsDown(e.Addr) {
		return
	}
	key := r.Fingerprint().Key()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.evidence.add(e.CrashID(), at, true, key)
	i.Log.Warn("Endpoint crashed under a request.", "request", string(r.ID), "team", string(r.Team), "endpoint", string(e.ID),
		"started", e.StartedUnixMilli, "suspect", name(key), "crashes", i.evidence.count(key))
	i.evaluate(key, i.Clock.Now())
	i.Announce()
}

// RecordCompleted clears a request that was suspect.
func (i *Isolator) RecordCompleted(r *fescuebank.Request) {
	if !i.knowsSuspects() {
		return
	}
	key := r.Fingerprint().Key()
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	_, known := i.quarantines[key]
	if !known && !i.evidence.names(key) {
		return
	}
	i.evidence.complete(key, now, true)
	if i.lift(key, now) {
		i.remove(key)
	}
	i.Announce()
}

// evaluate quarantines a key under which enough endpoints crashed. The caller holds the lock.
func (i *Isolator) evaluate(key fescuebank.SuspectKey, now time.Time) {
	last, known := i.quarantines[key]
	if now.Before(last.until) {
		return
	}
	length := minLength
	switch {
	case known && i.evidence.countSince(key, last.until) > 0:
		length = min(2*last.length, maxLength)
	case known || i.evidence.count(key) < crashThreshold:
		return
	}
	q := quarantine{until: now.Add(length), length: length}
	if !i.put(key, q) {
		return
	}
	i.Log.Warn("Request quarantined.", "suspect", name(key), "crashes", i.evidence.count(key), "ms", length.Milliseconds())
	if i.evidence.witnessed(key) {
		i.save(key, q)
	}
	i.signal()
}

// put remembers a quarantine, and drops those that ended longer than their duration ago. It
// reports false if there are too many. The caller holds the lock.
func (i *Isolator) put(key fescuebank.SuspectKey, q quarantine) bool {
	now := i.Clock.Now()
	maps.DeleteFunc(i.quarantines, func(_ fescuebank.SuspectKey, old quarantine) bool { return old.isOver(now) })
	if _, known := i.quarantines[key]; !known && len(i.quarantines) >= maxQuarantines {
		return false
	}
	i.quarantines[key] = q
	return true
}

// lift ends the quarantine of a key if the key completed at a time after it began, and reports
// whether it did. The caller holds the lock.
func (i *Isolator) lift(key fescuebank.SuspectKey, completedAt time.Time) bool {
	q, known := i.quarantines[key]
	if !known || completedAt.Before(q.since()) {
		return false
	}
	delete(i.quarantines, key)
	i.Log.Info("Quarantine lifted.", "suspect", name(key))
	i.signal()
	return true
}
