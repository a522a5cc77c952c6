// Package isolator stops requests that crash endpoints (poison requests) on all instances of the
// fleet. What crashes an endpoint is a request that comes again, or a part of prompts that different
// requests hold. The instances exchange by gossip which endpoints crashed under which requests.
// A request under which an endpoint crashed, or a part under which two did, is suspect: it runs once at
// a time. If endpoints crash under these trials and it never completes, it is quarantined: requests
// that have it are refused without being run, until the quarantine ends. Quarantines are also kept in the platform's store, so that
// they survive a restart of all instances.
package isolator

import (
	"context"
	"net/http"
	"slices"
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
	// quarantines holds those in force, and those that ended and whose requests have neither
	// completed nor crashed an endpoint since.
	quarantines map[quarantineID]quarantine
	// trials are the suspects that run here, and peerTrials those that run elsewhere.
	trials     map[fescuebank.SuspectKey]bool
	peerTrials map[fescuebank.InstanceID]peerTrials
	// changed closes when a trial has ended or a quarantine has changed.
	changed chan struct{}
}

// New returns an isolator that knows of no crash.
func New(c Config) *Isolator {
	return &Isolator{
		Config: c, writes: make(chan write, maxWrites), evidence: newEvidence(),
		quarantines: make(map[quarantineID]quarantine), trials: make(map[fescuebank.SuspectKey]bool),
		peerTrials: make(map[fescuebank.InstanceID]peerTrials), changed: make(chan struct{}),
	}
}

// Enter refuses a request that is quarantined. One that has suspects waits until no other run of
// these is known.
func (i *Isolator) Enter(ctx context.Context, r *fescuebank.Request, maxWait time.Duration) (fescuebank.GuardedRun, error) {
	if !i.knowsSuspects() {
		return i.Observe(r), nil
	}
	keys := r.SuspectKeys()
	timeout := i.Clock.After(maxWait)
	for {
		admitted, changed, err := i.tryEnter(r, keys)
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
				"endpoints crashed under such requests, and another run of one has not ended").WithRetryAfter(trialRetryAfter)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Observe returns a run of a request that runs in any case, such as a batch item.
func (i *Isolator) Observe(r *fescuebank.Request) fescuebank.GuardedRun {
	return &run{isolator: i, request: r}
}

// knowsSuspects reports whether any request is suspect or quarantined.
func (i *Isolator) knowsSuspects() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.evidence.crashes) > 0 || len(i.quarantines) > 0
}

// tryEnter returns the run of a request that may run now, a refusal, or the channel that closes
// when it may try again.
func (i *Isolator) tryEnter(r *fescuebank.Request, keys []fescuebank.SuspectKey) (admitted *run, changed <-chan struct{}, err error) {
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	q := i.findQuarantine(keys)
	if left := q.until.Sub(now); left > 0 {
		return nil, nil, fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeQuarantined,
			"endpoints crashed under such requests").WithRetryAfter(left)
	}
	suspects := i.suspects(keys, q)
	if slices.ContainsFunc(suspects, func(key fescuebank.SuspectKey) bool { return i.isTried(key, now) }) {
		return nil, i.changed, nil
	}
	for _, key := range suspects {
		i.trials[key] = true
	}
	if len(suspects) > 0 {
		i.Announce()
	}
	return &run{isolator: i, request: r, keys: keys, trials: suspects}, nil, nil
}

// suspects returns those of a request's keys that are suspect, with those of its quarantine that
// has ended. The caller holds the lock.
func (i *Isolator) suspects(keys []fescuebank.SuspectKey, ended quarantine) []fescuebank.SuspectKey {
	var suspects []fescuebank.SuspectKey
	for n, key := range keys {
		p := policyOf(n)
		if slices.Contains(ended.keys, key) || i.evidence.score(key, p, time.Time{}, i.explains) >= p.free {
			suspects = append(suspects, key)
		}
	}
	return suspects
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

// endTrials lets the next runs of suspects begin.
func (i *Isolator) endTrials(keys []fescuebank.SuspectKey) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, key := range keys {
		delete(i.trials, key)
	}
	i.signal()
	i.Announce()
}

// signal wakes the requests that wait. The caller holds the lock.
func (i *Isolator) signal() {
	close(i.changed)
	i.changed = make(chan struct{})
}
