package allocator_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// twoZones returns the entries of one endpoint in zone a and one in zone b.
func twoZones() []fescuebank.ServedEndpoint {
	list := endpoints(2, 1)
	list[0].Zone, list[1].Zone = "a", "b"
	return list
}

func TestEvacuatedZoneGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := allocator.New(timekeeper.Timekeeper{}, func() {})
		a.SetEvacuated([]fescuebank.Zone{"a"})
		a.SetEndpoints(twoZones())
		request := allocator.SlotRequest{Service: "s", Deadline: time.Now().Add(time.Second)}
		for _, tt := range []struct {
			name  string
			take  func() *allocator.Slot
			zones []fescuebank.Zone
			want  fescuebank.Zone
		}{
			{"request", func() *allocator.Slot { return a.TryAcquire(request) }, []fescuebank.Zone{"a"}, "b"},
			{"batch item", func() *allocator.Slot { return a.AcquireBatch("s", "", 0) }, []fescuebank.Zone{"a"}, "b"},
			{"another zone", func() *allocator.Slot { return a.TryAcquire(request) }, []fescuebank.Zone{"b"}, "a"},
			{"all zones", func() *allocator.Slot { return a.TryAcquire(request) }, []fescuebank.Zone{"a", "b"}, ""},
			{"all zones, batch item", func() *allocator.Slot { return a.AcquireBatch("s", "", 0) }, []fescuebank.Zone{"a", "b"}, ""},
		} {
			a.SetEvacuated(tt.zones)
			a.SetEndpoints(twoZones())
			slot := tt.take()
			var got fescuebank.Zone
			if slot != nil {
				got = slot.Endpoint.Zone
				slot.Release()
			}
			if got != tt.want {
				t.Errorf("%s: got a slot in zone %q, want %q", tt.name, got, tt.want)
			}
			for _, e := range a.OpenEndpoints() {
				if slices.Contains(tt.zones, e.Zone) {
					t.Errorf("%s: got %s among the open endpoints, want none of zone %s", tt.name, e.ID, e.Zone)
				}
			}
		}
		a.SetEvacuated([]fescuebank.Zone{"a", "b"})
		if _, err := a.Acquire(context.Background(), request); !errors.Is(err, allocator.ErrNoEndpoint) {
			t.Errorf("got %v with all zones evacuated, want %v", err, allocator.ErrNoEndpoint)
		}
		a.SetEvacuated(nil)
		if slot := a.TryAcquire(request); slot == nil {
			t.Error("got no slot after the evacuations, want one")
		}
	})
}

// TestWaitEndsWhenItsZonesAreEvacuated guards against requests that wait for endpoints that will get
// nothing, while their callers could go elsewhere.
func TestWaitEndsWhenItsZonesAreEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := allocator.New(timekeeper.Timekeeper{}, func() {})
		a.SetEndpoints(twoZones())
		request := allocator.SlotRequest{Service: "s", Deadline: time.Now().Add(time.Minute)}
		held := []*allocator.Slot{a.TryAcquire(request), a.TryAcquire(request)}
		ended := make(chan error, 1)
		started := time.Now()
		go func() {
			_, err := a.Acquire(context.Background(), request)
			ended <- err
		}()
		synctest.Wait()
		a.SetEvacuated([]fescuebank.Zone{"a"})
		synctest.Wait()
		if len(ended) > 0 {
			t.Fatalf("got the end of a wait that zone b may still serve: %v", <-ended)
		}
		if slot := held[0]; !slot.Limited() && slot.Endpoint.Zone == "a" {
			t.Error("got a slot in an evacuated zone that batch work should yield, want it left alone")
		}
		a.SetEvacuated([]fescuebank.Zone{"a", "b"})
		if err := <-ended; !errors.Is(err, allocator.ErrNoEndpoint) || time.Since(started) > 0 {
			t.Errorf("got %v after %v, want %v at once", err, time.Since(started), allocator.ErrNoEndpoint)
		}
		for _, slot := range held {
			slot.Release()
		}
	})
}

// TestNoTunnelsToEndpointsThatLeave guards against requests that reach an endpoint that leaves by way of an
// instance that knows so.
func TestNoTunnelsToEndpointsThatLeave(t *testing.T) {
	a := allocator.New(timekeeper.Timekeeper{}, func() {})
	list := twoZones()
	list[0].Leaving = true
	a.SetEndpoints(list)
	if got := a.OpenEndpoints(); len(got) != 1 || got[0].ID != list[1].ID {
		t.Errorf("got %v, want only the endpoint that stays", got)
	}
}
