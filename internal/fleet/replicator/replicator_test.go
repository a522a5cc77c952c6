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
	"fescuebank/internal/standin/memorizer"
	"fescuebank/internal/timing/timekeeper"
)

// mirror is a replicator with what it told last.
type mirror struct {
	*replicator.Replicator
	mu   sync.Mutex
	told []fescuebank.Object
}

func (m *mirror) take(objects []fescuebank.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told = objects
}

// keys returns the keys told last, and their values.
func (m *mirror) values() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	values := make(map[string]string)
	for _, o := range m.told {
		values[o.Key] = string(o.Value)
	}
	return values
}

func start(store fescuebank.ObjectStore) (m *mirror, stop func()) {
	m = &mirror{}
	m.Replicator = replicator.New(store, "k/", timekeeper.Timekeeper{}, hclog.NewNullLogger(), m.take)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	return m, func() {
		cancel()
		<-done
	}
}

func put(t *testing.T, s *memorizer.Memorizer, key, value string) fescuebank.StoreVersion {
	t.Helper()
	o, _ := s.Get(context.Background(), key)
	v, err := s.Put(context.Background(), key, []byte(value), o.Version)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func remove(t *testing.T, s *memorizer.Memorizer, key string) {
	t.Helper()
	o, err := s.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Delete(context.Background(), key, o.Version); err != nil {
		t.Fatal(err)
	}
}

func TestMirrorFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorizer.Memorizer
		put(t, &store, "k/a", "1")
		m, stop := start(&store)
		defer stop()
		time.Sleep(time.Second)
		put(t, &store, "k/a", "2")
		put(t, &store, "k/b", "1")
		put(t, &store, "other/c", "1")
		time.Sleep(time.Second)
		if got := m.values(); len(got) != 2 || got["k/a"] != "2" || got["k/b"] != "1" {
			t.Errorf("got %v, want a changed and b new", got)
		}
		remove(t, &store, "k/a")
		time.Sleep(time.Second)
		if got := m.values(); len(got) != 1 {
			t.Errorf("got %v, want b alone", got)
		}
	})
}

func TestBlindWatchIsFoundOut(t *testing.T) {
	for _, tt := range []struct {
		name string
		find func(m *mirror, changed fescuebank.StoreVersion)
	}{
		{"by a hint", func(m *mirror, changed fescuebank.StoreVersion) { m.Hint(changed) }},
		{"by a poll", func(m *mirror, _ fescuebank.StoreVersion) { m.Poll(context.Background()) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store memorizer.Memorizer
				put(t, &store, "k/a", "1")
				m, stop := start(&store)
				defer stop()
				time.Sleep(time.Second)
				store.SetFaults(memorizer.Faults{Blind: true})
				changed := put(t, &store, "k/a", "2")
				time.Sleep(time.Second)
				if got := m.values()["k/a"]; got != "1" {
					t.Fatalf("got %q from a blind watch, want 1", got)
				}
				tt.find(m, changed)
				time.Sleep(300 * time.Millisecond)
				if got := m.values()["k/a"]; got != "2" {
					t.Errorf("got %q, want 2", got)
				}
				if m.IsBehind(changed) {
					t.Error("got a mirror that lacks the change, want it current")
				}
			})
		})
	}
}

func TestObjectsThatLapseInAnOutageAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorizer.Memorizer
		put(t, &store, "k/lives", "1")
		put(t, &store, "k/gone", "1")
		m, stop := start(&store)
		defer stop()
		time.Sleep(time.Second)
		store.SetFaults(memorizer.Faults{Down: true})
		time.Sleep(3 * time.Second)
		store.SetFaults(memorizer.Faults{})
		remove(t, &store, "k/lives")
		remove(t, &store, "k/gone")
		time.Sleep(1500 * time.Millisecond)
		if got := len(m.values()); got != 2 {
			t.Errorf("got %d objects 1.5 s after an outage, want both", got)
		}
		put(t, &store, "k/lives", "2")
		time.Sleep(2500 * time.Millisecond)
		if got := m.values(); len(got) != 1 || got["k/lives"] != "2" {
			t.Errorf("got %v 4 s after an outage, want the one that came back", got)
		}
	})
}

// TestRemovalAfterAnOutageCountsAtOnce covers an endpoint that leaves right after this
// instance reached the store again.
func TestRemovalAfterAnOutageCountsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorizer.Memorizer
		put(t, &store, "k/a", "1")
		m, stop := start(&store)
		defer stop()
		time.Sleep(time.Second)
		store.SetFaults(memorizer.Faults{Down: true})
		time.Sleep(3 * time.Second)
		store.SetFaults(memorizer.Faults{})
		time.Sleep(1500 * time.Millisecond) // By then the mirror has listed again.
		remove(t, &store, "k/a")
		time.Sleep(400 * time.Millisecond)
		if got := m.values(); len(got) != 0 {
			t.Errorf("got %v 400 ms after the removal, want none", got)
		}
	})
}

func TestRemovalWithoutAnOutageCountsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorizer.Memorizer
		put(t, &store, "k/a", "1")
		m, stop := start(&store)
		defer stop()
		time.Sleep(time.Minute)
		remove(t, &store, "k/a")
		time.Sleep(300 * time.Millisecond)
		if got := m.values(); len(got) != 0 {
			t.Errorf("got %v 300 ms after the removal, want none", got)
		}
	})
}

func TestOlderMirrorOfAPeerChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorizer.Memorizer
		old := put(t, &store, "k/a", "1")
		put(t, &store, "k/a", "2")
		m, stop := start(&store)
		defer stop()
		time.Sleep(time.Second)
		m.ApplyReplica([]fescuebank.Object{{Key: "k/a", Value: []byte("1"), Version: old}}, old)
		if got := m.Objects(); len(got) != 1 || string(got[0].Value) != "2" {
			t.Errorf("got %v, want the newer object", got)
		}
		m.ApplyReplica([]fescuebank.Object{{Key: "k/a", Value: []byte("3"), Version: old + 10}}, old+10)
		if got := m.values()["k/a"]; got != "3" {
			t.Errorf("got %q, want the peer's newer object", got)
		}
	})
}

// counter counts the watches of a store.
type counter struct {
	*memorizer.Memorizer
	mu      sync.Mutex
	watches int
}

func (c *counter) Watch(ctx context.Context, prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	c.mu.Lock()
	c.watches++
	c.mu.Unlock()
	return c.Memorizer.Watch(ctx, prefix, from)
}

// TestFlockOfChangesTakesFewWatches changes an object every 100 ms for 3 s, as when a
// fleet starts. The mirror must not call for each change, nor lag by half a second.
func TestFlockOfChangesTakesFewWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &counter{Memorizer: &memorizer.Memorizer{}}
		m, stop := start(store)
		defer stop()
		const changes, lag = 30, 5
		for i := range changes {
			put(t, store.Memorizer, "k/a", strconv.Itoa(i))
			time.Sleep(100 * time.Millisecond)
			if got, _ := strconv.Atoi(m.values()["k/a"]); got < i-lag {
				t.Errorf("got change %d when %d was made, want %d at least", got, i, i-lag)
			}
		}
		if got, want := store.watches, changes/2; got > want {
			t.Errorf("got %d watches for %d changes, want %d at most", got, changes, want)
		}
	})
}

// TestStoreThatIsAwayAtTheStart has the log tell for how long the store was away since
// the start.
func TestStoreThatIsAwayAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		store := &memorizer.Memorizer{}
		store.SetFaults(memorizer.Faults{Down: true})
		log := hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
		f := replicator.New(store, "k/", timekeeper.Timekeeper{}, log, func([]fescuebank.Object) {})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(3 * time.Second)
		store.SetFaults(memorizer.Faults{})
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
			t.Errorf("got %d ms away, want 3000 to 5000", line.AwayMs)
		}
	})
}

// TestRemovalIsAdoptedFromAPeer has an instance that the store turns away learn from a
// peer's mirror, at once, what is gone.
func TestRemovalIsAdoptedFromAPeer(t *testing.T) {
	for _, tt := range []struct {
		name string
		// gap is how much newer than the last change seen the peer's mirror is.
		gap  fescuebank.StoreVersion
		want int
	}{
		{"newer mirror", 5, 1},
		{"mirror of the same time", 0, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store memorizer.Memorizer
				put(t, &store, "k/a", "1")
				last := put(t, &store, "k/b", "1")
				m, stop := start(&store)
				defer stop()
				time.Sleep(time.Second)
				store.SetFaults(memorizer.Faults{Down: true})
				time.Sleep(5 * time.Second)
				m.ApplyReplica([]fescuebank.Object{{Key: "k/b", Value: []byte("1"), Version: last}}, last+tt.gap)
				if got := len(m.values()); got != tt.want {
					t.Errorf("got %d objects, want %d", got, tt.want)
				}
			})
		})
	}
}
