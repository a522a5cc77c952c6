// Package isolator stops requests that crash endpoints (poison requests) on all instances of the
// fleet. The instances exchange by gossip which endpoints crashed under which requests. Such a
// request is suspect: it runs once at a time. If endpoints crash under it again and it never
// completes, it is quarantined: it is refused without being run, until the quarantine ends.
// Quarantines are also kept in the platform's store, so that they survive a restart of all
// instances.
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
	// minLength and maxLength bound the duration of a quarantine. It doubles if an endpoint
	// crashes under the first run after the last one.
	minLength = time.Minute
	maxLength = time.Hour
	// maxQuarantines bounds the quarantines that are remembered.
	maxQuarantines = 1024
	// trialRetryAfter is the Retry-After of a suspect that another run of it kept waiting.
	trialRetryAfter = 500 * time.Millisecond
	// settleMargin is how long after a crash, besides the time that gossip takes, the reports
	// of all instances about it have arrived.
	settleMargin = 50 * time.Millisecond
)

// Config holds the dependencies of an Isolator.
type Config struct {
	Store fescuebank.ObjectStore
	// IsDown reports whether nothing listens at the address of an endpoint.
	IsDown func(addr string) bool
	// Announce makes this instance send gossip soon, which reaches all others within Lag.
	Announce func()
	Lag      func() time.Duration
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
	// quarantines holds those in force, and those that ended and whose request has neither
	// completed nor crashed an endpoint since.
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
func (i *Isolator) Enter(ctx context.Context, r *fescuebank.Request, maxWait time.Duration) (fescuebank.GuardedRun, error) {
	if !i.knowsSuspects() {
		return &run{isolator: i, request: r}, nil
	}
	key := r.Fingerprint().Key()
	timeout := i.Clock.After(maxWait)
	for {
		admitted, changed, err := i.tryEnter(r, key)
		if admitted != nil {
			return admitted, nil
		}
		if err != nil {
			return nil, err
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

// tryEnter returns the run of a request that may run now, a refusal, or the channel that closes
// when it may try again.
func (i *Isolator) tryEnter(r *fescuebank.Request, key fescuebank.SuspectKey) (admitted *run, changed <-chan struct{}, err error) {
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	q, known := i.quarantines[key]
	if left := q.until.Sub(now); left > 0 {
		return nil, nil, fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeQuarantined,
			"endpoints crashed under the request").WithRetryAfter(left)
	}
	if !known && !i.evidence.isSuspect(key) {
		return &run{isolator: i, request: r}, nil, nil
	}
	if i.isTried(key, now) {
		return nil, i.changed, nil
	}
	i.trials[key] = true
	i.Announce()
	return &run{isolator: i, request: r, trial: true}, nil, nil
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

// evaluate decides, once all instances have reported a crash, whether a request under which the
// endpoint crashed is quarantined.
func (i *Isolator) evaluate(key fescuebank.SuspectKey) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.Clock.Now()
	last, known := i.quarantines[key]
	if now.Before(last.until) {
		return
	}
	length, threshold := minLength, scoreThreshold
	if known {
		length, threshold = min(2*last.length, maxLength), repeatedThreshold
	}
	score := i.evidence.score(key, last.until, i.isQuarantined)
	if score < threshold {
		return
	}
	q := quarantine{until: now.Add(length), length: length}
	if !i.put(key, q) {
		return
	}
	i.Log.Warn("Request quarantined.", "suspect", name(key), "score", score, "ms", length.Milliseconds())
	i.save(key, q)
	i.signal()
	i.Announce()
}

// isQuarantined reports whether a key is or was quarantined and has not completed since. The
// caller holds the lock.
func (i *Isolator) isQuarantined(key fescuebank.SuspectKey) bool {
	_, known := i.quarantines[key]
	return known
}

// put remembers a quarantine, and drops those that ended longer than their duration ago. It
// reports false if there are too many. The caller holds the lock.
func (i *Isolator) put(key fescuebank.SuspectKey, q quarantine) bool {
	now := i.Clock.Now()
	maps.DeleteFunc(i.quarantines, func(_ fescuebank.SuspectKey, old quarantine) bool { return old.isOver(now) })
	if !i.isQuarantined(key) && len(i.quarantines) >= maxQuarantines {
		return false
	}
	i.quarantines[key] = q
	return true
}

// lift ends the quarantine of a key that completed at a time after it began, and reports whether
// it did. The caller holds the lock.
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
