// Package memorystorer is an in-memory object store with fault injection, for tests.
package memorystorer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuebank"
)

// MemoryStorer is a fescuebank.ObjectStore. The zero value is empty and has no
// faults.
type MemoryStorer struct {
	mu      sync.Mutex
	objects map[string]fescuebank.Object
	version fescuebank.StoreVersion
	history []fescuebank.Object
	faults  Faults
	calls   int
	// writes counts the calls of Put since the faults were set.
	writes int
	// changed is closed at the next change. It is nil until a watch waits.
	changed chan struct{}
}

// Faults are the failures that the store injects.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseReplies makes Put write the object but fail with an unknown outcome. Delete is
	// not affected.
	LoseReplies bool
	// DownAfterWrites makes every Put after this number of them fail without effect, unless it is 0.
	DownAfterWrites int
	// HideChanges makes watches return no changes.
	HideChanges bool
}

// watchTimeout is the time after which a watch returns without a change.
const watchTimeout = 50 * time.Millisecond

// SetFaults replaces the faults.
func (m *MemoryStorer) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults, m.writes = f, 0
}

// Calls returns the number of calls so far.
func (m *MemoryStorer) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// beginCall counts a call and fails if the store is down. The caller holds mu.
func (m *MemoryStorer) beginCall() error {
	m.calls++
	if m.faults.Down {
		return fescuebank.ErrStoreDown
	}
	return nil
}

// Get returns an object, or fescuebank.ErrAbsent.
func (m *MemoryStorer) Get(_ context.Context, key string) (fescuebank.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return fescuebank.Object{}, err
	}
	o, ok := m.objects[key]
	if !ok {
		return fescuebank.Object{}, fescuebank.ErrAbsent
	}
	return o, nil
}

// List returns the objects whose keys begin with prefix, sorted by key.
func (m *MemoryStorer) List(_ context.Context, prefix string) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return nil, 0, err
	}
	var list []fescuebank.Object
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b fescuebank.Object) int { return strings.Compare(a.Key, b.Key) })
	return list, m.version, nil
}

// Put writes value if the object's version equals expected.
func (m *MemoryStorer) Put(_ context.Context, key string, value []byte, expected fescuebank.StoreVersion) (fescuebank.StoreVersion, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return 0, err
	}
	m.writes++
	if m.faults.DownAfterWrites > 0 && m.writes > m.faults.DownAfterWrites {
		return 0, fescuebank.ErrStoreDown
	}
	if fescuebank.Bytes(len(value)) > fescuebank.MaxValue {
		return 0, fescuebank.ErrTooLarge
	}
	if m.objects[key].Version != expected {
		return 0, fescuebank.ErrVersion
	}
	m.version++
	m.applyWrite(fescuebank.Object{Key: key, Value: slices.Clone(value), Version: m.version})
	if m.faults.LoseReplies {
		return 0, fescuebank.ErrOutcomeUnknown
	}
	return m.version, nil
}

// Delete removes the object if its version equals expected.
func (m *MemoryStorer) Delete(_ context.Context, key string, expected fescuebank.StoreVersion) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return err
	}
	if o, ok := m.objects[key]; !ok || o.Version != expected {
		return fescuebank.ErrVersion
	}
	m.version++
	m.applyWrite(fescuebank.Object{Key: key, Version: m.version, Deleted: true})
	return nil
}

// applyWrite stores or deletes an object and notifies watches. The caller holds mu.
func (m *MemoryStorer) applyWrite(o fescuebank.Object) {
	if m.objects == nil {
		m.objects = make(map[string]fescuebank.Object)
	}
	if o.Deleted {
		delete(m.objects, o.Key)
	} else {
		m.objects[o.Key] = o
	}
	m.history = append(m.history, o)
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Watch waits for changes after version from to keys that begin with prefix, for
// watchTimeout at most.
func (m *MemoryStorer) Watch(ctx context.Context, prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	due := time.After(watchTimeout)
	for {
		m.mu.Lock()
		if err := m.beginCall(); err != nil {
			m.mu.Unlock()
			return nil, 0, err
		}
		events, at := m.eventsAfter(prefix, from)
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		if len(events) > 0 {
			return events, at, nil
		}
		select {
		case <-changed:
		case <-due:
			return nil, from, nil
		case <-ctx.Done():
			return nil, 0, fescuebank.ErrStoreDown
		}
	}
}

// eventsAfter returns the changes after version from and the version they lead to.
// The caller holds mu.
func (m *MemoryStorer) eventsAfter(prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion) {
	var events []fescuebank.Object
	if m.faults.HideChanges {
		return nil, from
	}
	for _, o := range m.history {
		if o.Version > from && strings.HasPrefix(o.Key, prefix) {
			events = append(events, o)
		}
	}
	return events, m.version
}
