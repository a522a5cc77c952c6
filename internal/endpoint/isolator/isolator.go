// Package isolator stops requests that crash endpoints (poison requests) on all instances of the
// fleet. What crashes an endpoint is a request that comes again, or a part of prompts that different
// requests hold. The instances exchange by gossip which endpoints crashed under which requests.
// What several endpoints crashed under is suspect: it runs once at a time. If endpoints crash under
// it again and it never completes, it is quarantined: requests that have it are refused without
// being run, until the quarantine ends. Quarantines are also kept in the platform's store, so that
// they survive a restart of all instances.
package isolator

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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

// quarantineID identifies a quarantine, in the store too. It is derived from the keys that the
// quarantine began with.
type quarantineID string

// quarantine is the last quarantine of requests that have all keys.
type quarantine struct {
	id quarantineID
	// keys is not empty and sorted. Keys that completed meanwhile are taken out.
	keys   []fescuebank.SuspectKey
	until  time.Time
	length time.Duration
}

// newID returns the id of a quarantine that begins with the keys.
func newID(keys []fescuebank.SuspectKey) quarantineID {
	if len(keys) == 1 {
		return quarantineID(name(keys[0]))
	}
	all := xxhash.New()
	for _, key := range keys {
		_, _ = all.WriteString(name(key) + "/") // Never fails.
	}
	return quarantineID(name(fescuebank.SuspectKey(all.Sum64())))
}

// covers reports whether requests with the keys are quarantined.
func (q quarantine) covers(keys []fescuebank.SuspectKey) bool {
	return !slices.ContainsFunc(q.keys, func(key fescuebank.SuspectKey) bool { return !slices.Contains(keys, key) })
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
	return &run{isolator: i, request: r, trials: suspects}, nil, nil
}

// findQuarantine returns the quarantine of requests with the keys that ends last, also one that
// has ended, or one without keys. The caller holds the lock.
func (i *Isolator) findQuarantine(keys []fescuebank.SuspectKey) quarantine {
	var last quarantine
	for _, q := range i.quarantines {
		if q.covers(keys) && q.until.After(last.until) {
			last = q
		}
	}
	return last
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

// evaluate decides, once all instances have reported a crash, whether requests like one under which
// the endpoint crashed are quarantined.
func (i *Isolator) evaluate(id fescuebank.CrashID, keys []fescuebank.SuspectKey) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.Clock.Now()
	last := i.findQuarantine(keys)
	if now.Before(last.until) {
		return
	}
	var parts []fescuebank.SuspectKey
	for n, key := range keys {
		switch {
		case !i.isConvicted(id, key, policyOf(n), last):
		case n == 0:
			i.quarantine(keys[:1], last, now)
			return
		default:
			parts = append(parts, key)
		}
	}
	if len(parts) > 0 {
		i.quarantine(parts, last, now)
	}
}

// isConvicted reports whether enough crashes speak against a key, after its last quarantine if it
// had one, and more than against any other request in the crash. The caller holds the lock.
func (i *Isolator) isConvicted(id fescuebank.CrashID, key fescuebank.SuspectKey, p policy, last quarantine) bool {
	since, threshold := time.Time{}, p.threshold()
	if slices.Contains(last.keys, key) {
		since, threshold = last.until, repeatedThreshold
	}
	score := i.evidence.score(key, p, since, i.explains)
	return score >= threshold && score > i.evidence.rivalScore(id, key, i.explains)
}

// quarantine begins a quarantine, which is longer than the last one if that had the same keys.
// The caller holds the lock.
func (i *Isolator) quarantine(keys []fescuebank.SuspectKey, last quarantine, now time.Time) {
	keys = slices.Sorted(slices.Values(keys))
	length := minLength
	if slices.Equal(keys, last.keys) {
		length = min(2*last.length, maxLength)
	}
	q := quarantine{id: newID(keys), keys: keys, until: now.Add(length), length: length}
	if !i.put(q) {
		return
	}
	i.Log.Warn("Request quarantined.", "suspect", string(q.id), "ms", length.Milliseconds())
	i.save(q)
	i.signal()
	i.Announce()
}

// explains reports whether a quarantine of other keys than one explains that an endpoint crashed
// under a request. That the request itself is quarantined says nothing about its own parts. The
// caller holds the lock.
func (i *Isolator) explains(lost fescuebank.LostRequest, key fescuebank.SuspectKey) bool {
	for _, q := range i.quarantines {
		isOwn := slices.Contains(lost.Keys, key) && slices.Contains(q.keys, lost.Keys[0])
		if q.covers(lost.Keys) && !slices.Contains(q.keys, key) && !isOwn {
			return true
		}
	}
	return false
}

// put remembers a quarantine, and drops those that ended longer than their duration ago. It
// reports false if there are too many. The caller holds the lock.
func (i *Isolator) put(q quarantine) bool {
	now := i.Clock.Now()
	maps.DeleteFunc(i.quarantines, func(_ quarantineID, old quarantine) bool { return old.isOver(now) })
	if _, known := i.quarantines[q.id]; !known && len(i.quarantines) >= maxQuarantines {
		return false
	}
	i.quarantines[q.id] = q
	return true
}

// isQuarantined reports whether a quarantine, also one that has ended, has the key. The caller
// holds the lock.
func (i *Isolator) isQuarantined(key fescuebank.SuspectKey) bool {
	for _, q := range i.quarantines {
		if slices.Contains(q.keys, key) {
			return true
		}
	}
	return false
}

// complete records that a request with the key completed, which shows that the key crashes no
// endpoint. It returns the quarantines that end because of that. The caller holds the lock.
func (i *Isolator) complete(key fescuebank.SuspectKey, at time.Time, own bool) (lifted []quarantineID) {
	if !i.evidence.names(key) && !i.isQuarantined(key) {
		return nil
	}
	i.evidence.complete(key, at, own)
	for id, q := range i.quarantines {
		if !slices.Contains(q.keys, key) || at.Before(q.since()) {
			continue
		}
		q.keys = slices.DeleteFunc(slices.Clone(q.keys), func(k fescuebank.SuspectKey) bool { return k == key })
		i.quarantines[id] = q
		if len(q.keys) == 0 {
			delete(i.quarantines, id)
			lifted = append(lifted, id)
			i.Log.Info("Quarantine lifted.", "suspect", string(id))
		}
	}
	i.signal()
	return lifted
}
