package replicator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/replicator"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

// replica is a replicator that records the objects it delivered last.
type replica struct {
	*replicator.Replicator
	mu        sync.Mutex
	delivered []fescuebank.Object
}

func (r *replica) record(objects []fescuebank.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delivered = objects
}

// values returns the values of the objects delivered last, by key.
func (r *replica) values() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	values := make(map[string]string)
	for _, o := range r.delivered {
		values[o.Key] = string(o.Value)
	}
	return values
}

func start(store fescuebank.ObjectStore) (r *replica, stop func()) {
	return startWith(store, func(*replicator.Replicator) {})
}

// startStale starts a replica whose first list may be out of date.
func startStale(store fescuebank.ObjectStore) (r *replica, stop func()) {
	return startWith(store, (*replicator.Replicator).AllowStaleStart)
}

func startWith(store fescuebank.ObjectStore, configure func(*replicator.Replicator)) (r *replica, stop func()) {
	r = &replica{}
	r.Replicator = replicator.New(store, "k/", timekeeper.Timekeeper{}, hclog.NewNullLogger(), r.record)
	configure(r.Replicator)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	return r, func() {
		cancel()
		<-done
	}
}

// startWithOutage starts a replica of objects with these keys. It returns after an outage of the store that
// began a second later.
func startWithOutage(t *testing.T, store *memorystorer.MemoryStorer, outage time.Duration, keys ...string) (r *replica, stop func()) {
	t.Helper()
	for _, key := range keys {
		put(t, store, key, "1")
	}
	r, stop = start(store)
	time.Sleep(time.Second)
	store.SetFaults(memorystorer.Faults{Down: true})
	time.Sleep(outage)
	store.SetFaults(memorystorer.Faults{})
	return r, stop
}

func put(t *testing.T, s *memorystorer.MemoryStorer, key, value string) fescuebank.StoreVersion {
	t.Helper()
	o, _ := s.Get(context.Background(), key)
	v, err := s.Put(context.Background(), key, []byte(value), o.Version)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func remove(t *testing.T, s *memorystorer.MemoryStorer, key string) {
	t.Helper()
	o, err := s.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Delete(context.Background(), key, o.Version); err != nil {
		t.Fatal(err)
	}
}

func TestReplicaFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		put(t, &store, "k/a", "1")
		r, stop := start(&store)
		defer stop()
		time.Sleep(time.Second)
		put(t, &store, "k/a", "2")
		put(t, &store, "k/b", "1")
		put(t, &store, "other/c", "1")
		time.Sleep(time.Second)
		if got := r.values(); len(got) != 2 || got["k/a"] != "2" || got["k/b"] != "1" {
			t.Errorf("got %v, want a changed and b new", got)
		}
		remove(t, &store, "k/a")
		time.Sleep(time.Second)
		if got := r.values(); len(got) != 1 {
			t.Errorf("got %v, want only b", got)
		}
	})
}

// TestMissedWatchEventIsDetected has the watch miss a change. A hint of a newer version, or a
// poll, must make the replicator list again.
func TestMissedWatchEventIsDetected(t *testing.T) {
	for _, tt := range []struct {
		name string
		find func(r *replica, changed fescuebank.StoreVersion)
	}{
		{"by a hint", func(r *replica, changed fescuebank.StoreVersion) { r.Hint(changed) }},
		{"by a poll", func(r *replica, _ fescuebank.StoreVersion) { r.Poll(context.Background()) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store memorystorer.MemoryStorer
				put(t, &store, "k/a", "1")
				r, stop := start(&store)
				defer stop()
				time.Sleep(time.Second)
				store.SetFaults(memorystorer.Faults{HideChanges: true}) // The watch returns no events.
				changed := put(t, &store, "k/a", "2")
				time.Sleep(time.Second)
				if got := r.values()["k/a"]; got != "1" {
					t.Fatalf("got %q though the watch missed the change, want 1", got)
				}
				tt.find(r, changed)
				time.Sleep(300 * time.Millisecond)
				if got := r.values()["k/a"]; got != "2" {
					t.Errorf("got %q, want 2", got)
				}
				if r.IsBehind(changed) {
					t.Error("got a replica that lacks the change, want it current")
				}
			})
		})
	}
}

// TestObjectsMissingAfterAnOutageAreKeptForAWhile guards against removing endpoints that run:
// their objects may only have expired during the outage, and are written again after it.
func TestObjectsMissingAfterAnOutageAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		r, stop := startWithOutage(t, &store, 3*time.Second, "k/lives", "k/gone")
		defer stop()
		remove(t, &store, "k/lives")
		remove(t, &store, "k/gone")
		time.Sleep(1500 * time.Millisecond)
		if got := len(r.values()); got != 2 {
			t.Errorf("got %d objects 1.5 s after an outage, want both", got)
		}
		put(t, &store, "k/lives", "2")
		time.Sleep(2500 * time.Millisecond)
		if got := r.values(); len(got) != 1 || got["k/lives"] != "2" {
			t.Errorf("got %v 4 s after an outage, want only the object that was written again", got)
		}
	})
}

// TestRemovalAfterAnOutageAppliesAtOnce guards against keeping an endpoint that is removed
// right after the store has recovered from an outage: it was not missing after the outage.
func TestRemovalAfterAnOutageAppliesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		r, stop := startWithOutage(t, &store, 3*time.Second, "k/a")
		defer stop()
		time.Sleep(1500 * time.Millisecond) // By then the replicator has listed again.
		remove(t, &store, "k/a")
		time.Sleep(400 * time.Millisecond)
		if got := r.values(); len(got) != 0 {
			t.Errorf("got %v 400 ms after the removal, want none", got)
		}
	})
}

func TestRemovalWithoutAnOutageAppliesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		put(t, &store, "k/a", "1")
		r, stop := start(&store)
		defer stop()
		time.Sleep(time.Minute)
		remove(t, &store, "k/a")
		time.Sleep(300 * time.Millisecond)
		if got := r.values(); len(got) != 0 {
			t.Errorf("got %v 300 ms after the removal, want none", got)
		}
	})
}

// wholeReplica returns a peer's whole replica, which is current up to the version at.
func wholeReplica(at fescuebank.StoreVersion, objects ...fescuebank.Object) fescuebank.ReplicaDelta {
	delta := fescuebank.ReplicaDelta{Objects: objects, At: at, Versions: make(map[string]fescuebank.StoreVersion)}
	for _, o := range objects {
		delta.Versions[o.Key] = o.Version
	}
	return delta
}

func TestOlderReplicaOfAPeerChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		old := put(t, &store, "k/a", "1")
		put(t, &store, "k/a", "2")
		r, stop := start(&store)
		defer stop()
		time.Sleep(time.Second)
		r.ApplyDelta(wholeReplica(old, fescuebank.Object{Key: "k/a", Value: []byte("1"), Version: old}))
		if got := r.Objects(); len(got) != 1 || string(got[0].Value) != "2" {
			t.Errorf("got %v, want the newer object", got)
		}
		r.ApplyDelta(wholeReplica(old+10, fescuebank.Object{Key: "k/a", Value: []byte("3"), Version: old + 10}))
		if got := r.values()["k/a"]; got != "3" {
			t.Errorf("got %q, want the peer's newer object", got)
		}
	})
}

// watchCounter counts the watches of a store.
type watchCounter struct {
	*memorystorer.MemoryStorer
	mu      sync.Mutex
	watches int
}

func (c *watchCounter) Watch(ctx context.Context, prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	c.mu.Lock()
	c.watches++
	c.mu.Unlock()
	return c.MemoryStorer.Watch(ctx, prefix, from)
}

// TestBurstOfChangesTakesFewWatches changes an object every 100 ms for 3 s, as happens when
// a fleet starts. The replicator must neither start a watch for each change nor lag by more
// than half a second.
func TestBurstOfChangesTakesFewWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &watchCounter{MemoryStorer: &memorystorer.MemoryStorer{}}
		r, stop := start(store)
		defer stop()
		const changes, lag = 30, 5
		for i := range changes {
			put(t, store.MemoryStorer, "k/a", strconv.Itoa(i))
			time.Sleep(100 * time.Millisecond)
			if got, _ := strconv.Atoi(r.values()["k/a"]); got < i-lag {
				t.Errorf("got change %d when %d was made, want at least %d", got, i, i-lag)
			}
		}
		if got, want := store.watches, changes/2; got > want {
			t.Errorf("got %d watches for %d changes, want at most %d", got, changes, want)
		}
	})
}

// TestStoreUnreachableAtStart checks that the log reports the duration of an outage of the
// store that began before the start.
func TestStoreUnreachableAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		store := &memorystorer.MemoryStorer{}
		store.SetFaults(memorystorer.Faults{Down: true})
		log := hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
		r := replicator.New(store, "k/", timekeeper.Timekeeper{}, log, func([]fescuebank.Object) {})
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		time.Sleep(3 * time.Second)
		store.SetFaults(memorystorer.Faults{})
		time.Sleep(2 * time.Second)
		cancel()
		synctest.Wait()
		var line struct {
			AwayMs int64 `json:"awayMs"`
		}
		for l := range bytes.Lines(lines.Bytes()) {
			if bytes.Contains(l, []byte("Store is back.")) {
				if err := json.Unmarshal(l, &line); err != nil {
					t.Fatal(err)
				}
			}
		}
		if line.AwayMs < 3000 || line.AwayMs > 5000 {
			t.Errorf("got an outage of %d ms, want 3000 to 5000", line.AwayMs)
		}
	})
}

// TestEmptyPrefixIsLearntFromAPeer checks that an instance that starts while the store is away learns from
// a peer that there are no objects, and doesn't take a peer for one that knows that which has read nothing.
func TestEmptyPrefixIsLearntFromAPeer(t *testing.T) {
	for _, tt := range []struct {
		name string
		at   fescuebank.StoreVersion
		want int
	}{
		{"peer that has read the prefix", 7, 1},
		{"peer that has read nothing", 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			notified := 0
			r := replicator.New(&memorystorer.MemoryStorer{}, "k/", timekeeper.Timekeeper{}, hclog.NewNullLogger(), func([]fescuebank.Object) { notified++ })
			for range 2 {
				r.ApplyDelta(wholeReplica(tt.at))
			}
			if r.Listed() != (tt.want > 0) || notified != tt.want || r.AsOf() != tt.at {
				t.Errorf("got listed %v, %d notifications and version %d, want %d notifications and version %d", r.Listed(), notified, r.AsOf(), tt.want, tt.at)
			}
		})
	}
}

// TestRemovalIsAppliedFromPeerReplica checks that an instance that can't reach the store
// removes objects at once that a peer's newer replica lacks. Otherwise it keeps sending
// requests to endpoints that have left.
func TestRemovalIsAppliedFromPeerReplica(t *testing.T) {
	for _, tt := range []struct {
		name string
		// gap is how much newer the peer's replica is than the last change seen here.
		gap  fescuebank.StoreVersion
		want int
	}{
		{"newer replica", 5, 1},
		{"replica of the same version", 0, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store memorystorer.MemoryStorer
				put(t, &store, "k/a", "1")
				last := put(t, &store, "k/b", "1")
				r, stop := start(&store)
				defer stop()
				time.Sleep(time.Second)
				store.SetFaults(memorystorer.Faults{Down: true})
				time.Sleep(5 * time.Second)
				r.ApplyDelta(wholeReplica(last+tt.gap, fescuebank.Object{Key: "k/b", Value: []byte("1"), Version: last}))
				if got := len(r.values()); got != tt.want {
					t.Errorf("got %d objects, want %d", got, tt.want)
				}
			})
		})
	}
}

// TestRemovedObjectDoesNotComeBackFromPeerReplica guards against an endpoint that left and gets requests
// again because a peer that was partitioned still holds its entry.
func TestRemovedObjectDoesNotComeBackFromPeerReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		first := put(t, &store, "k/a", "1")
		last := put(t, &store, "k/b", "1")
		r, stop := start(&store)
		defer stop()
		time.Sleep(time.Second)
		r.SetFollowing(true)
		a := fescuebank.Object{Key: "k/a", Value: []byte("1"), Version: first}
		b := fescuebank.Object{Key: "k/b", Value: []byte("1"), Version: last}
		r.ApplyDelta(wholeReplica(last+5, b))
		r.ApplyDelta(wholeReplica(last+5, a, b))
		if got := len(r.values()); got != 1 {
			t.Errorf("got %d objects, want 1", got)
		}
	})
}
