package replicator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// TestRemovedObjectDoesNotComeBackWithLaterVersion guards against an endpoint that left and gets requests again
// because a peer that is behind still holds a version of its entry that this instance never saw.
func TestRemovedObjectDoesNotComeBackWithLaterVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		first := put(t, &store, "k/a", "1")
		last := put(t, &store, "k/b", "1")
		r, stop := start(&store)
		defer stop()
		time.Sleep(time.Second)
		r.SetFollowing(true)
		unseen := fescuebank.Object{Key: "k/a", Value: []byte("2"), Version: last + 1}
		b := fescuebank.Object{Key: "k/b", Value: []byte("1"), Version: last}
		r.ApplyDelta(wholeReplica(last+5, b)) // k/a, of which this instance knows the version first, has left.
		r.ApplyDelta(wholeReplica(last+2, unseen, b))
		if got := len(r.values()); got != 1 {
			t.Errorf("got %d objects after a peer stated a version of k/a between %d and its removal, want 1", got, first)
		}
		again := fescuebank.Object{Key: "k/a", Value: []byte("3"), Version: last + 6}
		r.ApplyDelta(wholeReplica(last+6, again, b))
		if got := r.values()["k/a"]; got != "3" {
			t.Errorf("got %q, want the object that was written again after its removal", got)
		}
	})
}

// TestRemovalIsNotOverlookedBesideNewObject guards against an endpoint that left and stays in use because the
// peer's newer replica that lacks it also holds a newer entry, by which this one counts as current.
func TestRemovalIsNotOverlookedBesideNewObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		put(t, &store, "k/a", "1")
		last := put(t, &store, "k/b", "1")
		r, stop := start(&store)
		defer stop()
		time.Sleep(10 * time.Millisecond) // The store has just answered.
		store.SetFaults(memorystorer.Faults{Down: true})
		b := fescuebank.Object{Key: "k/b", Value: []byte("1"), Version: last}
		c := fescuebank.Object{Key: "k/c", Value: []byte("1"), Version: last + 2}
		r.ApplyDelta(wholeReplica(last+2, b, c)) // k/a was removed at the version between.
		got := r.values()
		if _, held := got["k/a"]; held && !r.IsBehind(last+2) {
			t.Errorf("got %v and a replica that counts as current, want k/a removed or the replica behind", got)
		}
		if got["k/c"] != "1" {
			t.Errorf("got %v, want the peer's new object", got)
		}
	})
}
