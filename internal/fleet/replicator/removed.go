package replicator

import (
	"maps"
	"time"

	"fescuebank"
)

// removalTTL is how long a removed object is remembered. It exceeds the time for which another
// instance may still keep the object in its replica after an outage.
const removalTTL = time.Minute

// removal is the removal of a version of an object.
type removal struct {
	version fescuebank.StoreVersion
	at      time.Time
}

// removals are the last removals, by key. Peers may still hold what was removed.
type removals map[string]removal

// add remembers the removal of an object and forgets old ones.
func (m removals) add(o fescuebank.Object, now time.Time) {
	maps.DeleteFunc(m, func(_ string, r removal) bool { return now.Sub(r.at) >= removalTTL })
	m[o.Key] = removal{version: o.Version, at: now}
}

// covers reports whether a version of an object, or a later one, was removed.
func (m removals) covers(key string, version fescuebank.StoreVersion) bool {
	r, ok := m[key]
	return ok && version <= r.version
}
