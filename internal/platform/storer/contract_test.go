package storer_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/platform/storer"
	"fescuebank/internal/standin/platformer"
	"fescuebank/internal/timing/timekeeper"
)

func newStore(t *testing.T) (*storer.Storer, *platformer.Platformer) {
	t.Helper()
	clock := timekeeper.Timekeeper{}
	p := platformer.New(clock)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return storer.New(server.URL, "token", 1e6, clock), p
}

// TestObjectStoreContract is what every fescuebank.ObjectStore must do.
func TestObjectStoreContract(t *testing.T) {
	ctx := context.Background()
	for _, tt := range []struct {
		name string
		run  func(t *testing.T, s fescuebank.ObjectStore)
	}{
		{"get of an absent object", func(t *testing.T, s fescuebank.ObjectStore) {
			if _, err := s.Get(ctx, "a/none"); !errors.Is(err, fescuebank.ErrAbsent) {
				t.Errorf("got %v, want %v", err, fescuebank.ErrAbsent)
			}
		}},
		{"create is conditional", func(t *testing.T, s fescuebank.ObjectStore) {
			if _, err := s.Put(ctx, "a/x", []byte("1"), fescuebank.Absent); err != nil {
				t.Fatal(err)
			}
			if _, err := s.Put(ctx, "a/x", []byte("2"), fescuebank.Absent); !errors.Is(err, fescuebank.ErrVersion) {
				t.Errorf("got %v, want %v", err, fescuebank.ErrVersion)
			}
			if o, err := s.Get(ctx, "a/x"); err != nil || string(o.Value) != "1" {
				t.Errorf("got %q, %v, want 1", o.Value, err)
			}
		}},
		{"update meets its version only", func(t *testing.T, s fescuebank.ObjectStore) {
			first, _ := s.Put(ctx, "a/x", []byte("1"), fescuebank.Absent)
			second, err := s.Put(ctx, "a/x", []byte("2"), first)
			if err != nil || second <= first {
				t.Fatalf("got version %d, %v, want above %d", second, err, first)
			}
			if _, err := s.Put(ctx, "a/x", []byte("3"), first); !errors.Is(err, fescuebank.ErrVersion) {
				t.Errorf("got %v, want %v", err, fescuebank.ErrVersion)
			}
		}},
		{"delete meets its version only", func(t *testing.T, s fescuebank.ObjectStore) {
			v, _ := s.Put(ctx, "a/x", []byte("1"), fescuebank.Absent)
			if err := s.Delete(ctx, "a/x", v+1); !errors.Is(err, fescuebank.ErrVersion) {
				t.Errorf("got %v, want %v", err, fescuebank.ErrVersion)
			}
			if err := s.Delete(ctx, "a/x", v); err != nil {
				t.Errorf("got %v, want none", err)
			}
			if _, err := s.Get(ctx, "a/x"); !errors.Is(err, fescuebank.ErrAbsent) {
				t.Errorf("got %v, want %v", err, fescuebank.ErrAbsent)
			}
		}},
		{"list by prefix, in order", func(t *testing.T, s fescuebank.ObjectStore) {
			for _, key := range []string{"b/2", "b/1", "c/1"} {
				if _, err := s.Put(ctx, key, nil, fescuebank.Absent); err != nil {
					t.Fatal(err)
				}
			}
			objects, _, err := s.List(ctx, "b/")
			if err != nil || len(objects) != 2 || objects[0].Key != "b/1" {
				t.Errorf("got %v, %v, want b/1 and b/2", objects, err)
			}
		}},
		{"watch resumes from a version", func(t *testing.T, s fescuebank.ObjectStore) {
			from, _ := s.Put(ctx, "w/x", []byte("1"), fescuebank.Absent)
			second, _ := s.Put(ctx, "w/x", []byte("2"), from)
			events, next, err := s.Watch(ctx, "w/", from)
			if err != nil || len(events) != 1 || string(events[0].Value) != "2" || next < second {
				t.Errorf("got %v, next %d, %v, want the second write", events, next, err)
			}
		}},
		{"watch tells a deletion", func(t *testing.T, s fescuebank.ObjectStore) {
			from, _ := s.Put(ctx, "w/x", []byte("1"), fescuebank.Absent)
			_ = s.Delete(ctx, "w/x", from)
			events, _, err := s.Watch(ctx, "w/", from)
			if err != nil || len(events) != 1 || !events[0].Deleted {
				t.Errorf("got %v, %v, want a deletion", events, err)
			}
		}},
		{"value over the limit", func(t *testing.T, s fescuebank.ObjectStore) {
			if _, err := s.Put(ctx, "a/big", make([]byte, fescuebank.MaxValue+1), fescuebank.Absent); !errors.Is(err, fescuebank.ErrTooLarge) {
				t.Errorf("got %v, want %v", err, fescuebank.ErrTooLarge)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := newStore(t)
			tt.run(t, s)
		})
	}
}

func TestStoreFaults(t *testing.T) {
	ctx := context.Background()
	for _, tt := range []struct {
		name   string
		faults platformer.Faults
		call   func(s *storer.Storer) error
		want   error
	}{
		{"down read", platformer.Faults{Down: true}, func(s *storer.Storer) error { _, err := s.Get(ctx, "a"); return err }, fescuebank.ErrStoreDown},
		{"down write", platformer.Faults{Down: true}, func(s *storer.Storer) error { _, err := s.Put(ctx, "a", nil, 0); return err }, fescuebank.ErrStoreDown},
		{"lost answer", platformer.Faults{LoseWrites: 1}, func(s *storer.Storer) error { _, err := s.Put(ctx, "a", nil, 0); return err }, fescuebank.ErrOutcomeUnknown},
		{"over the rate", platformer.Faults{CallsPerSecond: 1e-9}, func(s *storer.Storer) error { _, err := s.Put(ctx, "a", nil, 0); return err }, fescuebank.ErrStoreDown},
		{"watch ends", platformer.Faults{EndWatches: true}, func(s *storer.Storer) error { _, _, err := s.Watch(ctx, "a", 0); return err }, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, p := newStore(t)
			p.SetFaults(tt.faults)
			if got := tt.call(s); !errors.Is(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestLostAnswerTookEffect(t *testing.T) {
	ctx := context.Background()
	s, p := newStore(t)
	p.SetFaults(platformer.Faults{LoseWrites: 1})
	_, err := s.Put(ctx, "a", []byte("1"), fescuebank.Absent)
	if !errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want %v", err, fescuebank.ErrOutcomeUnknown)
	}
	if o, err := s.Get(ctx, "a"); err != nil || string(o.Value) != "1" {
		t.Errorf("got %q, %v, want the write to have taken effect", o.Value, err)
	}
}

func TestWatchWaitsForAChange(t *testing.T) {
	s, _ := newStore(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	got := make(chan []fescuebank.Object, 1)
	go func() {
		events, _, _ := s.Watch(ctx, "w/", 0)
		got <- events
	}()
	if _, err := s.Put(ctx, "w/x", []byte("1"), fescuebank.Absent); err != nil {
		t.Fatal(err)
	}
	if events := <-got; len(events) != 1 || events[0].Key != "w/x" {
		t.Errorf("got %v, want the write", events)
	}
}
