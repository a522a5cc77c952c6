package gossiper

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/linker"
)

// countingStore counts the calls of a store.
type countingStore struct {
	*memorystorer.MemoryStorer
	mu    sync.Mutex
	calls int
}

func (s *countingStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *countingStore) Get(ctx context.Context, key string) (fescuebank.Object, error) {
	s.count()
	return s.MemoryStorer.Get(ctx, key)
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, expected fescuebank.StoreVersion) (fescuebank.StoreVersion, error) {
	s.count()
	return s.MemoryStorer.Put(ctx, key, value, expected)
}

// TestRestartedInstanceRegistersAtOnce checks that an instance whose former incarnation left
// its member entry replaces that entry without a pause: until it is registered it may not use
// its floors, so callers within their rates are refused. If the list of members shows that
// entry, one call must do; a whole fleet that restarts makes it at the same time.
func TestRestartedInstanceRegistersAtOnce(t *testing.T) {
	for _, tt := range []struct {
		name string
		// listed is set if the list of members arrives before the entry is written.
		listed   bool
		maxCalls int
	}{
		{"members listed", true, 1},
		{"members not listed", false, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &countingStore{MemoryStorer: &memorystorer.MemoryStorer{}}
				key, former := fescuebank.MemberPrefix+"me", []byte(`{"id":"me","incarnation":"before"}`)
				version, err := store.MemoryStorer.Put(t.Context(), key, former, fescuebank.Absent)
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				g := New(Config{
					Self:  fescuebank.MemberEntry{ID: "me", Incarnation: "now"},
					Store: store, Linker: port{&network{handlers: make(map[string]map[fescuebank.MessageKind]linker.NotificationHandler)}, "me"},
					Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(), StoreUnreachable: func() bool { return false },
				})
				go g.register(ctx)
				time.Sleep(20 * time.Millisecond)
				if tt.listed {
					g.ApplyObjects([]fescuebank.Object{{Key: key, Value: former, Version: version}})
				}
				time.Sleep(maxMembersWait)
				if !g.Registered() {
					t.Errorf("got no registration within %v, want it", maxMembersWait)
				}
				store.mu.Lock()
				defer store.mu.Unlock()
				if store.calls > tt.maxCalls {
					t.Errorf("got %d calls to the store, want at most %d", store.calls, tt.maxCalls)
				}
			})
		})
	}
}
