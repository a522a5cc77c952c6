package replicator_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// cutStore is a store that cuts its watches off once, without an answer. Its watches wait long otherwise.
type cutStore struct {
	*memorystorer.MemoryStorer
	cut  chan struct{}
	cuts atomic.Int64
}

func (s *cutStore) Watch(ctx context.Context, prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	if s.cuts.Load() > 0 {
		return s.MemoryStorer.Watch(ctx, prefix, from)
	}
	select {
	case <-s.cut:
		s.cuts.Add(1)
		return nil, 0, fescuebank.ErrStoreDown
	case <-ctx.Done():
		return nil, 0, fescuebank.ErrStoreDown
	}
}

// TestWatchThatIsCutOffIsNoOutage guards against an endpoint that is kept after it has left because a watch that
// had waited for long was cut off.
func TestWatchThatIsCutOffIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &cutStore{MemoryStorer: &memorystorer.MemoryStorer{}, cut: make(chan struct{})}
		put(t, store.MemoryStorer, "k/a", "1")
		r, stop := start(store)
		defer stop()
		time.Sleep(10 * time.Second)
		remove(t, store.MemoryStorer, "k/a")
		close(store.cut)
		time.Sleep(time.Second)
		if got := r.values(); len(got) != 0 {
			t.Errorf("got %v 1 s after the removal, want none", got)
		}
	})
}

// TestPollAfterAnOutageKeepsMissingObjects guards against dropping endpoints that run because the poll, and not
// the watch, reads the first list after an outage.
func TestPollAfterAnOutageKeepsMissingObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		r, stop := startWithOutage(t, &store, 5*time.Second, "k/lives")
		defer stop()
		remove(t, &store, "k/lives")
		if !r.Poll(t.Context()) {
			t.Fatal("got no answer from the store, want one")
		}
		if got := len(r.values()); got != 1 {
			t.Errorf("got %d objects after the first poll, want the one that may have expired", got)
		}
		time.Sleep(3500 * time.Millisecond)
		if got := r.values(); len(got) != 0 {
			t.Errorf("got %v 3.5 s after the outage, want none", got)
		}
	})
}

// TestListIsReadAtOnceAfterAnOutage guards against an endpoint that stays in use because the list that lacks it is
// read only after the backoff of the calls that failed before.
func TestListIsReadAtOnceAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		r, stop := startWithOutage(t, &store, 10*time.Second, "k/a")
		defer stop()
		put(t, &store, "k/a", "2")
		r.Recover()
		time.Sleep(time.Millisecond)
		if got := r.values()["k/a"]; got != "2" {
			t.Errorf("got %q 1 ms after it was known that the store answers again, want 2", got)
		}
	})
}

// TestOutageThatOnlyOtherCallsNoticeKeepsMissingObjects guards against dropping endpoints that run after an
// outage during which this replica's watch only waited.
func TestOutageThatOnlyOtherCallsNoticeKeepsMissingObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &cutStore{MemoryStorer: &memorystorer.MemoryStorer{}, cut: make(chan struct{})}
		put(t, store.MemoryStorer, "k/lives", "1")
		r, stop := start(store)
		defer stop()
		time.Sleep(10 * time.Second)
		remove(t, store.MemoryStorer, "k/lives")
		store.cuts.Add(1)
		r.Recover()
		time.Sleep(1500 * time.Millisecond)
		if got := len(r.values()); got != 1 {
			t.Errorf("got %d objects 1.5 s after the outage, want the one that may have expired", got)
		}
		time.Sleep(1500 * time.Millisecond)
		if got := len(r.values()); got != 0 {
			t.Errorf("got %d objects 3 s after the outage, want none", got)
		}
	})
}
