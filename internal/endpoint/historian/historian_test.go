package historian

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

const testService = fescuebank.ServiceName("llm")

// instance is an instance that sees one service.
type instance struct {
	*Historian
	stop context.CancelFunc

	mu      sync.Mutex
	started time.Time
	seen    fescuebank.SoleVersion
}

// startInstance starts an instance that lists one version of the service.
func startInstance(t *testing.T, store fescuebank.ObjectStore, version string) *instance {
	ctx, cancel := context.WithCancel(t.Context())
	i := &instance{stop: cancel, started: time.Now()}
	i.list(version)
	i.seen.Since = i.started
	i.Historian = New(Config{
		Store: store, IsWriter: func() bool { return true }, Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(),
		Started: func() time.Time { return i.started },
		Versions: func() map[fescuebank.ServiceName]fescuebank.SoleVersion {
			i.mu.Lock()
			defer i.mu.Unlock()
			return map[fescuebank.ServiceName]fescuebank.SoleVersion{testService: i.seen}
		},
	})
	go i.Run(ctx)
	return i
}

// list changes the versions that the instance lists; empty means several.
func (i *instance) list(version string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seen = fescuebank.SoleVersion{Version: version, Since: time.Now()}
}

// TestSoleVersionOutlivesARestartOfAll checks what an instance that has just started, and knows of one
// version only, learns of the time before.
func TestSoleVersionOutlivesARestartOfAll(t *testing.T) {
	type step struct {
		// version is the only one listed, empty for several, for the time that it lasts.
		version string
		lasts   time.Duration
	}
	for _, tt := range []struct {
		name   string
		before []step
		// after is the only version listed after the restart.
		after string
		want  bool
	}{
		{"one version for long", []step{{"v1", time.Minute}}, "v1", true},
		{"one version for a moment", []step{{"v1", 10 * time.Second}}, "v1", false},
		{"another version now", []step{{"v1", time.Minute}}, "v2", false},
		{"several versions until the restart", []step{{"v1", time.Minute}, {"", 5 * time.Second}}, "v1", false},
		{"the other version left a moment ago", []step{{"", time.Minute}, {"v2", 5 * time.Second}}, "v2", false},
		{"the other version left long ago", []step{{"", time.Minute}, {"v2", time.Minute}}, "v2", true},
		{"another version for a moment", []step{{"v1", time.Minute}, {"", 300 * time.Millisecond}, {"v1", 5 * time.Second}}, "v1", false},
		{"versions were never recorded", nil, "v1", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store memorystorer.MemoryStorer
				if len(tt.before) > 0 {
					before := startInstance(t, &store, tt.before[0].version)
					for n, s := range tt.before {
						if n > 0 {
							before.list(s.version)
						}
						time.Sleep(s.lasts)
					}
					before.stop()
					time.Sleep(2 * writeInterval)
				}
				after := startInstance(t, &store, tt.after)
				defer after.stop()
				time.Sleep(time.Second)
				if got := after.WasSole(t.Context(), testService, tt.after); got != tt.want {
					t.Errorf("got %s the only version before the restart %v, want %v", tt.after, got, tt.want)
				}
			})
		})
	}
}

// TestRestartKeepsTheRecord checks that the writer that follows a restart of all doesn't replace the time
// since which a version has been the only one by that of its own start.
func TestRestartKeepsTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		startInstance(t, &store, "v1").stop()
		first := startInstance(t, &store, "v1")
		time.Sleep(time.Minute)
		first.stop()
		second := startInstance(t, &store, "v1")
		time.Sleep(5 * time.Second)
		second.stop()
		third := startInstance(t, &store, "v1")
		defer third.stop()
		if !third.WasSole(t.Context(), testService, "v1") {
			t.Error("got the record of the first instance lost, want it kept")
		}
	})
}

// TestStoreIsAskedOnce checks that many streams that continue at once cost one read.
func TestStoreIsAskedOnce(t *testing.T) {
	store := &countingStore{}
	i := startInstance(t, store, "v1")
	defer i.stop()
	var group sync.WaitGroup
	for range 100 {
		group.Go(func() { i.WasSole(t.Context(), testService, "v1") })
	}
	group.Wait()
	if got := store.gets.Load(); got != 1 {
		t.Errorf("got %d reads, want 1", got)
	}
}

// countingStore counts reads.
type countingStore struct {
	memorystorer.MemoryStorer
	gets atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, key string) (fescuebank.Object, error) {
	s.gets.Add(1)
	time.Sleep(10 * time.Millisecond)
	return s.MemoryStorer.Get(ctx, key)
}
