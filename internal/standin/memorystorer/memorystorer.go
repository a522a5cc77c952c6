// Package memorystorer is an object store in memory with faults, for tests.
package memorystorer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuebank"
)

// MemoryStorer is a fescuebank.ObjectStore. The zero value is empty and sound.
type MemoryStorer struct {
	mu      sync.Mutex
	objects map[string]fescuebank.Object
	version fescuebank.StoreVersion
	history []fescuebank.Object
	faults  Faults
	calls   int
	// changed closes at the next change, and is then replaced.
	changed chan struct{}
}

// Faults are what goes wrong with calls.
type Faults struct {
	// Down fails every call without effect.
	Down bool
	// LoseReplies applies writes but fails their calls with an unknown outcome.
	LoseReplies bool
	// HideChanges keeps changes from watches.
	HideChanges bool
}

// watchWait bounds a watch without a change.
const watchWait = 50 * time.Millisecond

// SetFaults replaces the faults.
func (m *MemoryStorer) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Calls returns the number of calls so far.
func (m *MemoryStorer) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

func (m *MemoryStorer) enter() error {
	m.calls++
	if m.faults.Down {
		return fescuebank.ErrStoreDown
	}
	return nil
}

// Get returns the object or fescuebank.ErrAbsent.
func (m *MemoryStorer) Get(_ context.Context, key string) (fescuebank.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
		return fescuebank.Object{}, err
	}
	o, ok := m.objects[key]
	if !ok {
		return fescuebank.Object{}, fescuebank.ErrAbsent
	}
	return o, nil
}

// List returns the objects below prefix, by key.
func (m *MemoryStorer) List(_ context.Context, prefix string) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
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

// Put writes value if the object's version is still expected.
func (m *MemoryStorer) Put(_ context.Context, key string, value []byte, expected fescuebank.StoreVersion) (fescuebank.StoreVersion, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
		return 0, err
	}
	if fescuebank.Bytes(len(value)) > fescuebank.MaxValue {
		return 0, fescuebank.ErrTooLarge
	}
	if m.objects[key].Version != expected {
		return 0, fescuebank.ErrVersion
	}
	m.version++
	m.change(fescuebank.Object{Key: key, Value: slices.Clone(value), Version: m.version})
	if m.faults.LoseReplies {
		return 0, fescuebank.ErrOutcomeUnknown
	}
	return m.version, nil
}

// Delete removes the object if its version is still expected.
func (m *MemoryStorer) Delete(_ context.Context, key string, expected fescuebank.StoreVersion) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
		return err
	}
	if o, ok := m.objects[key]; !ok || o.Version != expected {
		return fescuebank.ErrVersion
	}
	m.version++
	m.change(fescuebank.Object{Key: key, Version: m.version, Deleted: true})
	return nil
}

func (m *MemoryStorer) change(o fescuebank.Object) {
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

// Watch waits for changes below prefix after version from.
func (m *MemoryStorer) Watch(ctx context.Context, prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	due := time.After(watchWait)
	for {
		m.mu.Lock()
		if err := m.enter(); err != nil {
			m.mu.Unlock()
			return nil, 0, err
		}
		events, at := m.since(prefix, from)
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

func (m *MemoryStorer) since(prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion) {
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
