package persister

import (
	"context"
	"errors"
	"testing"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

// laggingStore is a store whose stale reads lack the newest objects. It counts its reads.
type laggingStore struct {
	memorystorer.MemoryStorer
	// lacks are the keys that stale reads don't find yet.
	lacks         map[string]bool
	reads, stales int
}

func (s *laggingStore) Get(ctx context.Context, key string) (fescuebank.Object, error) {
	s.reads++
	return s.MemoryStorer.Get(ctx, key)
}

func (s *laggingStore) GetStale(ctx context.Context, key string) (fescuebank.Object, error) {
	s.stales++
	if s.lacks[key] {
		return fescuebank.Object{}, fescuebank.ErrAbsent
	}
	return s.MemoryStorer.Get(ctx, key)
}

// TestLoadOfResultsIsCheap bounds the reads with which a new owner loads the results of a job: stale reads
// find all segments but the newest ones, and only those and the end need a current read.
func TestLoadOfResultsIsCheap(t *testing.T) {
	const segments = 6
	store := &laggingStore{lacks: map[string]bool{objectKey(resultPrefix, "job", segments-1): true}}
	p, err := New(store, timekeeper.Timekeeper{})
	if err != nil {
		t.Fatal(err)
	}
	for n := range segments {
		if _, err := p.PutSegment(t.Context(), "job", n, Segment{Epoch: fescuebank.FencingNumber(n + 1)}); err != nil {
			t.Fatal(err)
		}
	}
	found := 0
	for ; ; found++ {
		segment, err := p.Segment(t.Context(), "job", found)
		if errors.Is(err, fescuebank.ErrAbsent) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if got, want := segment.Epoch, fescuebank.FencingNumber(found+1); got != want {
			t.Errorf("got segment %d of epoch %d, want %d", found, got, want)
		}
	}
	if found != segments {
		t.Errorf("got %d segments, want %d", found, segments)
	}
	if store.reads != 2 {
		t.Errorf("got %d current reads, want 2: the segment that stale reads lack, and the end", store.reads)
	}
	if want := segments + 1; store.stales != want {
		t.Errorf("got %d stale reads, want %d", store.stales, want)
	}
}
