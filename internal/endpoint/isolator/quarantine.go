package isolator

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

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
		case !i.isPoison(id, key, policyOf(n), last):
		case n == 0:
			i.beginQuarantine(keys[:1], last, now)
			return
		default:
			parts = append(parts, key)
		}
	}
	if len(parts) > 0 {
		i.beginQuarantine(parts, last, now)
	}
}

// isPoison reports whether enough crashes speak against a key, after its last quarantine if it
// had one, and more than against any other request in the crash. The caller holds the lock.
func (i *Isolator) isPoison(id fescuebank.CrashID, key fescuebank.SuspectKey, p policy, last quarantine) bool {
	since, threshold := time.Time{}, p.threshold()
	if slices.Contains(last.keys, key) {
		since, threshold = last.until, repeatedThreshold
	}
	score := i.evidence.score(key, p, since, i.explains)
	return score >= threshold && score > i.evidence.rivalScore(id, key, i.explains)
}

// beginQuarantine begins a quarantine, which is longer than the last one if that had the same keys.
// The caller holds the lock.
func (i *Isolator) beginQuarantine(keys []fescuebank.SuspectKey, last quarantine, now time.Time) {
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

// put remembers a quarantine, drops those that ended longer than their duration ago, and lifts those
// that it refutes. It reports false if there are too many. The caller holds the lock.
func (i *Isolator) put(q quarantine) bool {
	now := i.Clock.Now()
	maps.DeleteFunc(i.quarantines, func(_ quarantineID, old quarantine) bool { return old.isOver(now) })
	if _, known := i.quarantines[q.id]; !known && len(i.quarantines) >= maxQuarantines {
		return false
	}
	i.quarantines[q.id] = q
	for id, old := range i.quarantines {
		if id != q.id && i.isRefuted(old) {
			i.lift(id)
			i.remove(id)
		}
	}
	return true
}

// isRefuted reports whether other quarantines, or runs that completed, explain all crashes that are
// known under a key of the quarantine. The caller holds the lock.
func (i *Isolator) isRefuted(q quarantine) bool {
	return slices.ContainsFunc(q.keys, func(key fescuebank.SuspectKey) bool {
		return i.evidence.names(key) && i.evidence.score(key, partPolicy, time.Time{}, i.explains) == 0
	})
}

// lift ends a quarantine. The caller holds the lock.
func (i *Isolator) lift(id quarantineID) {
	delete(i.quarantines, id)
	i.Log.Info("Quarantine lifted.", "suspect", string(id))
	i.signal()
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
			i.lift(id)
			lifted = append(lifted, id)
		}
	}
	i.signal()
	return lifted
}
