// Package objectserver emulates the platform: it serves the object API and the
// list of instances, which lags behind, and injects faults on request.
package objectserver

import (
	"slices"
	"strings"
	"sync"
	"time"

	"fescuebank"
)

// historyLength is the maximum number of events retained for watches to resume from.
const historyLength = 4096

// Faults are the failures that the platform injects.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// Delay is added to the latency of every call.
	Delay time.Duration `json:"delay"`
	// LoseWriteReplies is the number of following writes that take effect but get no
	// reply.
	LoseWriteReplies int `json:"loseWrites"`
	// EndWatches makes watches return immediately, with or without events.
	EndWatches bool `json:"endWatches"`
	// SkipEvents is the number of following events that no watch receives.
	SkipEvents int `json:"skipEvents"`
	// ListLag is how long a change takes to appear in the list of instances.
	ListLag time.Duration `json:"listLag"`
	// CallsPerSecond limits the rate of calls; 0 means no limit.
	CallsPerSecond float64 `json:"callsPerSecond"`
}

// Calls counts the calls to the platform. A watch counts once, however long it
// waits. Calls over the rate limit count as refused only.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
}

// ObjectServer holds objects in memory and serves the operations of a
// fescuebank.ObjectStore over HTTP.
type ObjectServer struct {
	clock fescuebank.Clock

	mu sync.Mutex
	// objects holds the live objects by key.
	objects map[string]fescuebank.Object
	// version is the version of the latest write.
	version fescuebank.StoreVersion
	// history holds the latest events, oldest first.
	history []fescuebank.Object
	// changed is closed and replaced at each event and each change of faults.
	changed chan struct{}
	// entries form the list of instances.
	entries []listEntry
	faults  Faults
	calls   Calls
	// tokens is the number of calls that CallsPerSecond allowed at refilledAt.
	tokens     float64
	refilledAt time.Time
	// prefixWrites counts writes by the first segment of their key.
	prefixWrites map[string]int64
}

// listEntry is the announced state of an instance, when it was announced, and the
// state that the list shows until ListLag has passed; previous is nil if there is
// none.
type listEntry struct {
	instance    fescuebank.ListedInstance
	announcedAt time.Time
	previous    *fescuebank.ListedInstance
}

// New returns an empty platform.
func New(clock fescuebank.Clock) *ObjectServer {
	return &ObjectServer{
		clock:        clock,
		objects:      make(map[string]fescuebank.Object),
		changed:      make(chan struct{}),
		refilledAt:   clock.Now(),
		prefixWrites: make(map[string]int64),
	}
}

// SetFaults replaces the active faults.
func (s *ObjectServer) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Calls returns the call counts so far.
func (s *ObjectServer) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// WritesByPrefix returns the number of writes so far by the first segment of their
// key.
func (s *ObjectServer) WritesByPrefix() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int64, len(s.prefixWrites))
	for prefix, n := range s.prefixWrites {
		copied[prefix] = n
	}
	return copied
}

// notifyWatches makes waiting watches check for events again. The caller holds mu.
func (s *ObjectServer) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// allow reports whether the rate limit admits a call, and counts the call if it
// is refused. The caller holds mu.
func (s *ObjectServer) allow() bool {
	if s.faults.CallsPerSecond <= 0 {
		return true
	}
	now := s.clock.Now()
	s.tokens += now.Sub(s.refilledAt).Seconds() * s.faults.CallsPerSecond
	s.tokens = min(s.tokens, s.faults.CallsPerSecond)
	s.refilledAt = now
	if s.tokens < 1 {
		s.calls.Refused++
		return false
	}
	s.tokens--
	return true
}

// get returns the object of key.
func (s *ObjectServer) get(key string) (fescuebank.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	o, ok := s.objects[key]
	return o, ok
}

// list returns the objects whose keys begin with prefix, sorted by key, and the
// store's version.
func (s *ObjectServer) list(prefix string) ([]fescuebank.Object, fescuebank.StoreVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	var found []fescuebank.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b fescuebank.Object) int { return strings.Compare(a.Key, b.Key) })
	return found, s.version
}

// write applies a conditional write. It returns the outcome and whether the reply
// is to be lost.
func (s *ObjectServer) write(o fescuebank.Object, expected fescuebank.StoreVersion) (version fescuebank.StoreVersion, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	prefix, _, _ := strings.Cut(o.Key, "/")
	s.prefixWrites[prefix]++
	if fescuebank.Bytes(len(o.Value)) > fescuebank.MaxValue {
		return 0, false, fescuebank.ErrTooLarge
	}
	if s.objects[o.Key].Version != expected {
		return 0, false, fescuebank.ErrVersion
	}
	s.version++
	o.Version = s.version
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
	}
	s.appendEvent(o)
	lost = s.faults.LoseWriteReplies > 0
	if lost {
		s.faults.LoseWriteReplies--
	}
	return o.Version, lost, nil
}

// appendEvent adds an event for watches unless it is to be skipped. The caller
// holds mu.
func (s *ObjectServer) appendEvent(o fescuebank.Object) {
	if s.faults.SkipEvents > 0 {
		s.faults.SkipEvents--
		return
	}
	s.history = append(s.history, o)
	if len(s.history) > historyLength {
		s.history = slices.Clone(s.history[len(s.history)-historyLength/2:])
	}
	s.notifyWatches()
}

// eventsAfter returns the events of keys with the given prefix after version from,
// the store's version, and a channel that closes at the next change. It fails if the
// history no longer reaches back to from.
func (s *ObjectServer) eventsAfter(prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.history) > 0 && s.history[0].Version > from+1 && s.version > fescuebank.StoreVersion(len(s.history)) {
		return nil, 0, nil, fescuebank.ErrWatchLost
	}
	var events []fescuebank.Object
	for _, o := range s.history {
		if o.Version > from && strings.HasPrefix(o.Key, prefix) {
			events = append(events, o)
		}
	}
	return events, s.version, s.changed, nil
}

// setInstance records the state of an instance. If the list still shows the instance's
// previous state, the new state replaces the pending one and appears when that one would
// have appeared.
func (s *ObjectServer) setInstance(i fescuebank.ListedInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for n, l := range s.entries {
		if l.instance.ID != i.ID {
			continue
		}
		previous := l.instance
		if now.Sub(l.announcedAt) < s.faults.ListLag {
			s.entries[n] = listEntry{instance: i, announcedAt: l.announcedAt, previous: l.previous}
			return
		}
		s.entries[n] = listEntry{instance: i, announcedAt: now, previous: &previous}
		return
	}
	s.entries = append(s.entries, listEntry{instance: i, announcedAt: now})
}

// instances returns the list of instances, in which a state appears ListLag after it was
// announced.
func (s *ObjectServer) instances() []fescuebank.ListedInstance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	var list []fescuebank.ListedInstance
	for _, l := range s.entries {
		shown := &l.instance
		if s.clock.Now().Sub(l.announcedAt) < s.faults.ListLag {
			shown = l.previous
		}
		if shown != nil {
			list = append(list, *shown)
		}
	}
	return list
}

// RemoveInstance removes an instance from the list, as the platform does when the
// instance no longer exists.
func (s *ObjectServer) RemoveInstance(id fescuebank.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = slices.DeleteFunc(s.entries, func(l listEntry) bool { return l.instance.ID == id })
}

// HasObject reports whether an object exists.
func (s *ObjectServer) HasObject(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[key]
	return ok
}
