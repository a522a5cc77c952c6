package replicator_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// callCounter counts the reads of a store, which offers stale lists too.
type callCounter struct {
	*memorystorer.MemoryStorer
	mu                         sync.Mutex
	lists, staleLists, watches int
}

func (c *callCounter) count(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

func (c *callCounter) List(ctx context.Context, prefix string) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	c.count(&c.lists)
	return c.MemoryStorer.List(ctx, prefix)
}

func (c *callCounter) ListStale(ctx context.Context, prefix string) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	c.count(&c.staleLists)
	return c.MemoryStorer.List(ctx, prefix)
}

func (c *callCounter) Watch(ctx context.Context, prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	c.count(&c.watches)
	return c.MemoryStorer.Watch(ctx, prefix, from)
}

func (c *callCounter) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lists + c.staleLists + c.watches
}

// TestFollowingReplicaMakesNoCalls checks that a replica that others watch for makes no calls
// while objects change, receives changes and removals from a peer, and reads the store again
// once it no longer follows.
func TestFollowingReplicaMakesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &callCounter{MemoryStorer: &memorystorer.MemoryStorer{}}
		put(t, store.MemoryStorer, "k/a", "1")
		put(t, store.MemoryStorer, "k/b", "1")
		watching, stopWatching := start(store.MemoryStorer)
		defer stopWatching()
		r, stop := start(store)
		defer stop()
		time.Sleep(time.Second)
		r.SetFollowing(true)
		time.Sleep(time.Second)
		before := store.total()
		put(t, store.MemoryStorer, "k/a", "2")
		remove(t, store.MemoryStorer, "k/b")
		r.Relist()
		time.Sleep(time.Minute)
		if got := store.total(); got != before {
			t.Errorf("got %d calls while following, want none", got-before)
		}
		if !r.IsBehind(watching.ChangedAt()) {
			t.Error("got a replica that counts as current, want it behind the watching one")
		}
		if complete := r.ApplyDelta(watching.Delta(r.AsOf())); !complete {
			t.Error("got an incomplete replica after the peer's changes, want it complete")
		}
		if got := r.values(); len(got) != 1 || got["k/a"] != "2" {
			t.Errorf("got %v, want the changed object and no removed one", got)
		}
		if r.IsBehind(watching.ChangedAt()) {
			t.Error("got a replica that is behind after the peer's changes, want it current")
		}
		put(t, store.MemoryStorer, "k/a", "3")
		r.SetFollowing(false)
		time.Sleep(time.Second)
		if got := r.values()["k/a"]; got != "3" {
			t.Errorf("got %q after the end of following, want 3", got)
		}
	})
}

// TestChangesSinceAVersionMayBeIncomplete checks that a replica notices that a peer holds an
// object that it missed before the version from which it asked for changes.
func TestChangesSinceAVersionMayBeIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		put(t, &store, "k/a", "1")
		peer, stopPeer := start(&store)
		defer stopPeer()
		r, stop := start(&store)
		defer stop()
		time.Sleep(time.Second)
		r.SetFollowing(true)
		synctest.Wait() // The watch in progress ends, or it would still report the changes.
		missed := put(t, &store, "k/b", "1")
		last := put(t, &store, "k/c", "1")
		time.Sleep(time.Second)
		if r.ApplyDelta(peer.Delta(missed)) {
			t.Error("got a complete replica without the missed object, want it incomplete")
		}
		if !r.ApplyDelta(peer.Delta(0)) {
			t.Error("got an incomplete replica after the whole one of the peer, want it complete")
		}
		if got := r.values(); len(got) != 3 || r.IsBehind(last) {
			t.Errorf("got %v, behind %v, want all three objects and a current replica", got, r.IsBehind(last))
		}
	})
}

// blindStore is a store whose watches leave out the changes of one object.
type blindStore struct {
	*memorystorer.MemoryStorer
	hidden string
}

func (s *blindStore) Watch(ctx context.Context, prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	events, next, err := s.MemoryStorer.Watch(ctx, prefix, from)
	events = slices.DeleteFunc(events, func(o fescuebank.Object) bool { return o.Key == s.hidden })
	return events, next, err
}

// TestMissedChangeIsAnnouncedAsNew has all watches miss a change and then see a later one. The
// instance whose poll finds the missed change must state a version that is newer than what the
// others count as current, or they never fetch it.
func TestMissedChangeIsAnnouncedAsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &blindStore{MemoryStorer: &memorystorer.MemoryStorer{}, hidden: "k/a"}
		put(t, store.MemoryStorer, "k/a", "1")
		r, stop := start(store)
		defer stop()
		other, stopOther := start(store)
		defer stopOther()
		time.Sleep(time.Second)
		put(t, store.MemoryStorer, "k/a", "2")
		put(t, store.MemoryStorer, "k/b", "1")
		time.Sleep(time.Second)
		if got := other.values(); got["k/a"] != "1" || got["k/b"] != "1" {
			t.Fatalf("got %v, want only the later change seen", got)
		}
		put(t, store.MemoryStorer, "other/c", "1") // The store's version grows.
		r.Poll(t.Context())
		if !other.IsBehind(r.ChangedAt()) {
			t.Error("got another replica that doesn't count as behind though it lacks the change, want it behind")
		}
	})
}

// TestFirstListMayBeStale checks that a replica that may start with a stale list asks for one
// exactly once.
func TestFirstListMayBeStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &callCounter{MemoryStorer: &memorystorer.MemoryStorer{}}
		put(t, store.MemoryStorer, "k/a", "1")
		r, stop := startStale(store)
		defer stop()
		time.Sleep(time.Second)
		r.Relist()
		time.Sleep(time.Second)
		store.mu.Lock()
		defer store.mu.Unlock()
		if store.staleLists != 1 || store.lists != 1 {
			t.Errorf("got %d stale lists and %d others, want 1 of each", store.staleLists, store.lists)
		}
	})
}

// TestFollowingReplicaDropsKeptObjectsAfterTheirTime guards against an endpoint that left during an outage and
// stays in use at an instance for which others watch the store from then on.
func TestFollowingReplicaDropsKeptObjectsAfterTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		r, stop := startWithOutage(t, &store, 3*time.Second, "k/a")
		defer stop()
		remove(t, &store, "k/a")
		time.Sleep(1500 * time.Millisecond)
		r.SetFollowing(true)
		time.Sleep(3 * time.Second)
		if got := r.values(); len(got) != 0 {
			t.Errorf("got %v 4.5 s after the outage, want none", got)
		}
	})
}
