package fescuebank

import (
	"context"
	"errors"
)

// StoreVersion is the version the platform gives an object at each write. It
// grows over the whole store.
type StoreVersion uint64

// Absent as the expected version of a write means that the object must not exist.
const Absent StoreVersion = 0

// MaxValue is the largest value the platform's store takes.
const MaxValue = MiB

// Object is one value of the platform's store.
type Object struct {
	// Key is a path of segments without empty ones.
	Key string
	// Value is at most MaxValue long.
	Value []byte
	// Version is that of the write that set Value.
	Version StoreVersion
	// Deleted marks the event of a deletion in a watch.
	Deleted bool
}

// Errors of an ObjectStore.
var (
	// ErrAbsent means that there is no such object.
	ErrAbsent = errors.New("object absent")
	// ErrVersion means that a conditional write met another version. Nothing was written.
	ErrVersion = errors.New("object has another version")
	// ErrStoreDown means that the call surely took no effect.
	ErrStoreDown = errors.New("store unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect.
	ErrOutcomeUnknown = errors.New("write outcome unknown")
	// ErrTooLarge means that the value is over MaxValue.
	ErrTooLarge = errors.New("value too large")
	// ErrWatchLost means that the watch can't go on from its version; list again.
	ErrWatchLost = errors.New("watch lost")
)

// ObjectStore is the platform's object API. Each call counts against its rates.
type ObjectStore interface {
	// Get returns the object or ErrAbsent.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key starts with prefix, by key, and the
	// version of the store that the list shows.
	List(ctx context.Context, prefix string) ([]Object, StoreVersion, error)
	// Put writes value if the object's version is still expected, and returns
	// the new version.
	Put(ctx context.Context, key string, value []byte, expected StoreVersion) (StoreVersion, error)
	// Delete removes the object if its version is still expected.
	Delete(ctx context.Context, key string, expected StoreVersion) error
	// Watch waits for changes below prefix after version from. It returns at
	// least one event and the version to go on from, or none if the wait ended
	// without a change.
	Watch(ctx context.Context, prefix string, from StoreVersion) ([]Object, StoreVersion, error)
}
