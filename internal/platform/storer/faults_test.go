package storer_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/platform/storer"
	"fescuebank/internal/standin/objectserver"
	"fescuebank/internal/timing/timekeeper"
)

func newStore(t *testing.T) (*storer.Storer, *objectserver.ObjectServer) {
	t.Helper()
	clock := timekeeper.Timekeeper{}
	p := objectserver.New(clock)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return storer.New(server.URL, "token", 1e6, clock), p
}

func TestStoreFaults(t *testing.T) {
	ctx := context.Background()
	for _, tt := range []struct {
		name   string
		faults objectserver.Faults
		call   func(s *storer.Storer) error
		want   error
	}{
		{"read while down", objectserver.Faults{Down: true}, func(s *storer.Storer) error { _, err := s.Get(ctx, "a"); return err }, fescuebank.ErrStoreDown},
		{"write while down", objectserver.Faults{Down: true}, func(s *storer.Storer) error { _, err := s.Put(ctx, "a", nil, 0); return err }, fescuebank.ErrStoreDown},
		{"lost response", objectserver.Faults{LoseWriteReplies: 1}, func(s *storer.Storer) error { _, err := s.Put(ctx, "a", nil, 0); return err }, fescuebank.ErrOutcomeUnknown},
		{"over the rate limit", objectserver.Faults{CallsPerSecond: 1e-9}, func(s *storer.Storer) error { _, err := s.Put(ctx, "a", nil, 0); return err }, fescuebank.ErrStoreDown},
		{"watch ends", objectserver.Faults{EndWatches: true}, func(s *storer.Storer) error { _, _, err := s.Watch(ctx, "a", 0); return err }, nil},
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

func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	ctx := context.Background()
	s, p := newStore(t)
	p.SetFaults(objectserver.Faults{LoseWriteReplies: 1})
	_, err := s.Put(ctx, "a", []byte("1"), fescuebank.Absent)
	if !errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want %v", err, fescuebank.ErrOutcomeUnknown)
	}
	if o, err := s.Get(ctx, "a"); err != nil || string(o.Value) != "1" {
		t.Errorf("got %q, %v, want the write to have taken effect", o.Value, err)
	}
}

func TestWatchReturnsChange(t *testing.T) {
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
