package replicator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/fleet/replicator"
	"fescuebank/internal/standin/memorystorer"
)

// agedStore is a store whose stale lists are those of another store.
type agedStore struct {
	*memorystorer.MemoryStorer
	former *memorystorer.MemoryStorer
}

func (s *agedStore) ListStale(ctx context.Context, prefix string) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	return s.former.List(ctx, prefix)
}

// TestFollowingReplicaDropsWhatItsStaleFirstListStillHeld guards against an endpoint that left before a restart
// of all instances and is used by one whose first list was stale: the others, which never saw the entry, announce
// no newer version.
func TestFollowingReplicaDropsWhatItsStaleFirstListStillHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &agedStore{MemoryStorer: &memorystorer.MemoryStorer{}, former: &memorystorer.MemoryStorer{}}
		for _, s := range []*memorystorer.MemoryStorer{store.MemoryStorer, store.former} {
			put(t, s, "k/a", "1")
			put(t, s, "k/b", "1")
		}
		remove(t, store.MemoryStorer, "k/a")
		r, stop := startWith(store, func(r *replicator.Replicator) {
			r.AllowStaleStart()
			r.ConfirmStart()
			r.SetFollowing(true)
		})
		defer stop()
		time.Sleep(2 * time.Second)
		if got := r.values(); len(got) != 1 || got["k/b"] != "1" {
			t.Errorf("got %v 2 s after the start, want only the object that is still there", got)
		}
	})
}
