package replicator

import (
	"maps"
	"slices"
	"strings"

	"fescuebank"
)

// IsBehind reports whether the replica may lack a change at a version. It doesn't count as
// behind during the pause before the next watch, which will return the change.
func (r *Replicator) IsBehind(version fescuebank.StoreVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return version > r.asOf && !r.pausing
}

// ChangedAt returns the store version of the newest change applied.
func (r *Replicator) ChangedAt() fescuebank.StoreVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changedAt
}

// Objects returns the objects of the replica, sorted by key.
func (r *Replicator) Objects() []fescuebank.Object {
	list, _ := r.Replica()
	return list
}

// Replica returns the objects of the replica, sorted by key, and the store version up to
// which it is current.
func (r *Replicator) Replica() ([]fescuebank.Object, fescuebank.StoreVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]fescuebank.Object, 0, len(r.objects))
	for _, o := range r.objects {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b fescuebank.Object) int { return strings.Compare(a.Key, b.Key) })
	return list, r.asOf
}

// Delta returns the objects of the replica that changed after a version, and the versions of
// all of its objects.
func (r *Replicator) Delta(since fescuebank.StoreVersion) fescuebank.ReplicaDelta {
	objects, at := r.Replica()
	delta := fescuebank.ReplicaDelta{At: at, Versions: make(map[string]fescuebank.StoreVersion, len(objects))}
	for _, o := range objects {
		delta.Versions[o.Key] = o.Version
		if o.Version > since {
			delta.Objects = append(delta.Objects, o)
		}
	}
	return delta
}

// AsOf returns the store version up to which the replica is current.
func (r *Replicator) AsOf() fescuebank.StoreVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf
}

// ApplyDelta applies changes from the replica of another instance and reports whether this
// replica now holds all that the peer's does. Newer objects of the peer replace those of this
// replica, but what was removed here doesn't come back unless it was written again since. If the
// peer's replica is newer, objects that it lacks are removed, unless they are newer still. Only with
// all of that does this replica count as current as the peer's.
func (r *Replicator) ApplyDelta(delta fescuebank.ReplicaDelta) (complete bool) {
	r.mu.Lock()
	changed := r.putChanges(delta.Objects)
	if delta.At > r.asOf {
		changed = r.removeAbsent(delta) || changed
	}
	complete = r.holdsAll(delta.Versions)
	if complete {
		r.asOf = max(r.asOf, delta.At)
	}
	// A peer that has read the prefix states a version, also if there are no objects.
	first := !r.listed && (len(delta.Versions) > 0 || delta.At > 0)
	r.listed = r.listed || first
	r.mu.Unlock()
	if changed || first {
		r.notify()
	}
	return complete
}

// putChanges stores the objects of a peer that are newer than those of this replica and weren't removed
// here. The caller holds the lock.
func (r *Replicator) putChanges(objects []fescuebank.Object) (changed bool) {
	for _, o := range objects {
		if r.removed.covers(o.Key, o.Version) {
			r.returned++
			continue
		}
		changed = r.put(o) || changed
	}
	return changed
}

// removeAbsent removes the objects that a peer's newer replica lacks. The caller holds the lock.
func (r *Replicator) removeAbsent(delta fescuebank.ReplicaDelta) (changed bool) {
	for key, o := range r.objects {
		if _, known := delta.Versions[key]; !known && o.Version <= delta.At {
			changed = r.remove(key, delta.At) || changed
		}
	}
	return changed
}

// holdsAll reports whether the replica holds these versions or later ones, or has removed them. The caller
// holds the lock.
func (r *Replicator) holdsAll(versions map[string]fescuebank.StoreVersion) bool {
	for key, version := range versions {
		if r.objects[key].Version < version && !r.removed.covers(key, version) {
			return false
		}
	}
	return true
}

// Listed reports whether the prefix has been read at least once.
func (r *Replicator) Listed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// replace replaces the replica by a list that is current up to a version, and reports
// whether the replica changed. A list that is older than the replica is ignored.
func (r *Replicator) replace(objects []fescuebank.Object, at fescuebank.StoreVersion) bool {
	r.mu.Lock()
	if at < r.asOf {
		r.mu.Unlock()
		return false
	}
	listed := make(map[string]bool, len(objects))
	changed := !r.listed
	r.listed = true
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		listed[o.Key] = true
		changed = r.put(o) || changed
	}
	for key := range r.objects {
		if listed[key] {
			continue
		}
		if r.recovering {
			r.missingUntil[key] = r.recoveredAt.Add(missingGrace)
		}
		changed = r.remove(key, at) || changed
	}
	if r.recovering && len(r.missingUntil) > 0 {
		r.log.Info("Missing objects kept for a while.", "prefix", r.prefix, "objects", len(r.missingUntil), "keys", r.missingKeys(), "revision", uint64(at))
	}
	r.recovering = false
	r.asOf = at
	r.mu.Unlock()
	if changed {
		r.notify()
	}
	return changed
}

// apply applies events in order, which make the replica current up to a version.
func (r *Replicator) apply(events []fescuebank.Object, at fescuebank.StoreVersion) {
	r.mu.Lock()
	changed := false
	for _, o := range events {
		if o.Deleted {
			changed = r.remove(o.Key, at) || changed
			continue
		}
		changed = r.put(o) || changed
	}
	r.asOf = max(r.asOf, at)
	r.mu.Unlock()
	if changed {
		r.notify()
	}
}

// put stores an object if it is newer than the one in the replica. The caller holds the
// lock.
func (r *Replicator) put(o fescuebank.Object) (changed bool) {
	delete(r.missingUntil, o.Key)
	delete(r.removed, o.Key)
	if current, ok := r.objects[o.Key]; ok && current.Version >= o.Version {
		return false
	}
	r.changedAt = max(r.changedAt, o.Version)
	r.objects[o.Key] = o
	return true
}

// remove removes an object that was absent at a version, unless it may have expired during an outage
// of the store and its writer still has time to write it again. The caller holds the lock.
func (r *Replicator) remove(key string, at fescuebank.StoreVersion) (changed bool) {
	o, ok := r.objects[key]
	if !ok {
		return false
	}
	if until, isMissing := r.missingUntil[key]; isMissing && r.clock.Now().Before(until) {
		return false
	}
	delete(r.missingUntil, key)
	delete(r.objects, key)
	r.removed.add(key, max(at, o.Version), r.clock.Now())
	r.changedAt = max(r.changedAt, at)
	return true
}

// maxLoggedKeys is the number of keys that a log line names.
const maxLoggedKeys = 8

// missingKeys returns some of the keys of the objects that are missing after an outage, for the
// log. The caller holds the lock.
func (r *Replicator) missingKeys() string {
	keys := slices.Sorted(maps.Keys(r.missingUntil))
	return strings.Join(keys[:min(len(keys), maxLoggedKeys)], ",")
}

// notify passes a copy of the replica to onChange. It is taken while no other one is delivered, so that the
// last one delivered is the newest. The caller doesn't hold the lock.
func (r *Replicator) notify() {
	r.delivering.Lock()
	defer r.delivering.Unlock()
	r.onChange(r.Objects())
}
