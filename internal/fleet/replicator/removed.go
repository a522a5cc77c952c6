package replicator

import (
	"maps"
	"time"

	"fescuebank"
)

// removalTTL is how long a removed object is remembered. It exceeds the time for which another
// instance may still keep the object in its replica after an outage.
const removalTTL = time.Minute

// removal is the removal of an object.
type removal struct {
	// version is the store version at which the object was known to be absent. Versions of it up to
	// that one are gone, those too that this replica never held.
	version fescuebank.StoreVersion
	at      time.Time
}

// removals are the last removals, by key. Peers may still hold what was removed.
type removals map[string]removal

// add remembers that an object was absent at a version, and forgets old removals.
func (m removals) add(key string, absentAt fescuebank.StoreVersion, now time.Time) {
	maps.DeleteFunc(m, func(_ string, r removal) bool { return now.Sub(r.at) >= removalTTL })
	m[key] = removal{version: absentAt, at: now}
}

// covers reports whether a version of an object was gone when the object was removed.
func (m removals) covers(key string, version fescuebank.StoreVersion) bool {
	r, ok := m[key]
	return ok && version <= r.version
}
