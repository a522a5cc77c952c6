package gossiper

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/linker"
)

// TestRestartedInstanceRegistersAtOnce checks that an instance whose former incarnation left
// its member entry replaces that entry without a pause: until it is registered it may not use
// its floors, so callers within their rates are refused.
func TestRestartedInstanceRegistersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		key := fescuebank.MemberPrefix + "me"
		if _, err := store.Put(t.Context(), key, []byte(`{"id":"me","incarnation":"before"}`), fescuebank.Absent); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g := New(Config{
			Self:  fescuebank.MemberEntry{ID: "me", Incarnation: "now"},
			Store: &store, Linker: port{&network{handlers: make(map[string]map[fescuebank.MessageKind]linker.NotificationHandler)}, "me"},
			Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(),
		})
		go g.register(ctx)
		time.Sleep(registerRetry / 2)
		if !g.Registered() {
			t.Errorf("got no registration within %v, want it", registerRetry/2)
		}
	})
}

// TestOldListDoesNotUnregister checks that a list of the members that is older than this instance's
// last write of its entry doesn't count as the loss of the entry: callers would be refused until it
// has been written once more.
func TestOldListDoesNotUnregister(t *testing.T) {
	for _, tt := range []struct {
		name  string
		own   string
		asOf  fescuebank.StoreVersion
		wants bool
	}{
		{"entry of the former incarnation, older than the write", "before", 5, true},
		{"no entry, list older than the write", "", 5, true},
		{"entry of another incarnation, newer than the write", "after", 20, false},
		{"no entry any more", "", 20, false},
		{"own entry", "me1", 20, true},
	} {
		g, _ := newGossiper(t, false)
		g.version, g.entryLost = 10, false
		var list []fescuebank.MemberEntry
		if tt.own != "" {
			list = append(list, fescuebank.MemberEntry{ID: "me", Incarnation: fescuebank.Incarnation(tt.own)})
		}
		applyEntries(g, tt.asOf, list...)
		if got := g.Registered(); got != tt.wants {
			t.Errorf("%s: got registered %v, want %v", tt.name, got, tt.wants)
		}
	}
}

// callCounter counts the calls to a store.
type callCounter struct {
	memorystorer.MemoryStorer
	calls atomic.Int64
}

func (s *callCounter) Get(ctx context.Context, key string) (fescuebank.Object, error) {
	s.calls.Add(1)
	return s.MemoryStorer.Get(ctx, key)
}

func (s *callCounter) Put(ctx context.Context, key string, value []byte, expected fescuebank.StoreVersion) (fescuebank.StoreVersion, error) {
	s.calls.Add(1)
	return s.MemoryStorer.Put(ctx, key, value, expected)
}

// TestRegistrationAfterTheFirstListTakesOneCall checks that an instance that restarts replaces its entry
// with one call, as the first list of the members tells the version that it replaces.
func TestRegistrationAfterTheFirstListTakesOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &callCounter{}
		key := fescuebank.MemberPrefix + "me"
		value := []byte(`{"id":"me","incarnation":"before"}`)
		version, err := store.Put(t.Context(), key, value, fescuebank.Absent)
		if err != nil {
			t.Fatal(err)
		}
		store.calls.Store(0)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g := New(Config{
			Self:  fescuebank.MemberEntry{ID: "me", Incarnation: "now"},
			Store: store, Linker: port{&network{handlers: make(map[string]map[fescuebank.MessageKind]linker.NotificationHandler)}, "me"},
			Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(), StoreUnreachable: func() bool { return false },
		})
		go g.register(ctx)
		time.Sleep(maxListWait / 10)
		g.ApplyObjects([]fescuebank.Object{{Key: key, Value: value, Version: version}}, version)
		time.Sleep(maxListWait / 10)
		if !g.Registered() {
			t.Error("got no registration after the first list, want it")
		}
		if got := store.calls.Load(); got != 1 {
			t.Errorf("got %d calls to the store, want 1", got)
		}
	})
}

// TestReplacedEntryIsKnown checks that an entry counts as the successor of another one only if it was seen
// to replace that, and its instance as reachable for that time.
func TestReplacedEntryIsKnown(t *testing.T) {
	g, _ := newGossiper(t, false)
	applyEntries(g, 1, fescuebank.MemberEntry{ID: "me", Incarnation: "me1"}, fescuebank.MemberEntry{ID: "p", Incarnation: "p1"})
	if got := findPeer(t, g, "p"); got.Replaces != "" || got.Reachable {
		t.Errorf("got the first entry replacing %q, reachable %v, want neither", got.Replaces, got.Reachable)
	}
	applyEntries(g, 2, fescuebank.MemberEntry{ID: "me", Incarnation: "me1"}, fescuebank.MemberEntry{ID: "p", Incarnation: "p2"})
	if got := findPeer(t, g, "p"); got.Replaces != "p1" || !got.Reachable {
		t.Errorf("got the second entry replacing %q, reachable %v, want p1, reachable", got.Replaces, got.Reachable)
	}
}
