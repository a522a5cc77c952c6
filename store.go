package fescuebank

import (
	"context"
	"errors"
)

// StoreVersion is the version that the platform assigns to an object at each write.
// It increases over all objects of the store.
type StoreVersion uint64

// Absent as the expected version of a write means that the object must not exist.
const Absent StoreVersion = 0

// MaxValue is the largest size of a value in the platform's store.
const MaxValue = MiB

// Object is one value of the platform's store.
type Object struct {
	// Key is a path without empty segments.
	Key string
	// Value is at most MaxValue bytes long.
	Value []byte
	// Version is the version of the write that set Value.
	Version StoreVersion
	// Deleted marks a deletion among the events of a watch.
	Deleted bool
}

// Errors of an ObjectStore.
var (
	// ErrAbsent means that there is no such object.
	ErrAbsent = errors.New("object absent")
	// ErrVersion means that the object of a conditional write has another version.
	// Nothing was written.
	ErrVersion = errors.New("object has another version")
	// ErrStoreDown means that the call certainly had no effect.
	ErrStoreDown = errors.New("store unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect.
	ErrOutcomeUnknown = errors.New("write outcome unknown")
	// ErrTooLarge means that the value is larger than MaxValue.
	ErrTooLarge = errors.New("value too large")
	// ErrWatchLost means that the watch can't continue from its version; the caller has
	// to list the objects again.
	ErrWatchLost = errors.New("watch lost")
)

// ObjectStore is the platform's object API. Each call counts against its rate limits.
type ObjectStore interface {
	// Get returns the object or ErrAbsent.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key starts with prefix, sorted by key, and the
	// version of the store that the list reflects.
	List(ctx context.Context, prefix string) ([]Object, StoreVersion, error)
	// Put writes value if the object still has the version expected, and returns the
	// new version.
	Put(ctx context.Context, key string, value []byte, expected StoreVersion) (StoreVersion, error)
	// Delete removes the object if it still has the version expected.
	Delete(ctx context.Context, key string, expected StoreVersion) error
	// Watch waits for changes below prefix after version from. It returns at least
	// one event and the version to continue from, or no event if the wait ended
	// without a change.
	Watch(ctx context.Context, prefix string, from StoreVersion) ([]Object, StoreVersion, error)
}

// StaleLister is an ObjectStore that also offers lists that may be seconds old, at a lower
// cost than List. A watch from the version that such a list returns reports all later
// changes.
type StaleLister interface {
	ListStale(ctx context.Context, prefix string) ([]Object, StoreVersion, error)
}

// StaleGetter is an ObjectStore that also offers reads of one object that may be seconds old, at a
// lower cost than Get. Objects that never change need no others, except that ErrAbsent may be out
// of date.
type StaleGetter interface {
	GetStale(ctx context.Context, key string) (Object, error)
}
