package allocator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// versionedEndpoints returns one endpoint of 2 slots for each version.
func versionedEndpoints(versions ...string) []fescuebank.ServedEndpoint {
	list := endpoints(len(versions), 2)
	for i := range list {
		list[i].Version = versions[i]
	}
	return list
}

// TestSoleVersionIsNotAssumed guards against streams that continue at the only version listed
// although another one may have begun them.
func TestSoleVersionIsNotAssumed(t *testing.T) {
	type step struct {
		versions []string
		// lasts is how long the list is in force.
		lasts time.Duration
	}
	for _, tt := range []struct {
		name  string
		steps []step
		want  string
		ok    bool
	}{
		{"no endpoints", nil, "", false},
		{"one version since long", []step{{[]string{"v1", "v1"}, time.Minute}}, "v1", true},
		{"one version since the start of the instance", []step{{[]string{"v1", "v1"}, 10 * time.Second}}, "", false},
		{"two versions", []step{{[]string{"v1", "v2"}, time.Minute}}, "", false},
		{"the other one left a moment ago", []step{{[]string{"v1", "v2"}, time.Minute}, {[]string{"v2", "v2"}, 5 * time.Second}}, "", false},
		{"the other one left long ago", []step{{[]string{"v1", "v2"}, time.Minute}, {[]string{"v2", "v2"}, 31 * time.Second}}, "v2", true},
		{"endpoints state no version", []step{{[]string{"", ""}, time.Second}}, "", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := allocator.New(timekeeper.Timekeeper{}, func() {})
				for _, s := range tt.steps {
					a.SetEndpoints(versionedEndpoints(s.versions...))
					time.Sleep(s.lasts)
				}
				got, ok := a.SoleVersion("s")
				if ok != tt.ok || (ok && got != tt.want) {
					t.Errorf("got %q, %v, want %q, %v", got, ok, tt.want, tt.ok)
				}
			})
		})
	}
}

// TestResumingStreamGoesFirst guards against streams that don't go on because requests that
// arrived before them take the slots of their version.
func TestResumingStreamGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := allocator.New(timekeeper.Timekeeper{}, func() {})
		a.SetEndpoints(versionedEndpoints("v1", "v2"))
		held := make(map[string][]*allocator.Slot)
		for range 4 {
			slot := mustAcquire(t, a)
			held[slot.Endpoint.Version] = append(held[slot.Endpoint.Version], slot)
		}
		assigned := make(chan string, 2)
		acquire := func(name string, request allocator.SlotRequest) {
			request.Service, request.Deadline = "s", time.Now().Add(2*time.Second)
			slot, err := a.Acquire(context.Background(), request)
			if err != nil {
				t.Errorf("%s: got %v, want a slot", name, err)
				return
			}
			assigned <- name + " at " + slot.Endpoint.Version
		}
		go acquire("first", allocator.SlotRequest{})
		synctest.Wait()
		go acquire("resuming", allocator.SlotRequest{Version: "v1", Resuming: true})
		synctest.Wait()
		held["v1"][0].Release()
		if got, want := <-assigned, "resuming at v1"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		held["v2"][0].Release()
		if got, want := <-assigned, "first at v2"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// TestResumingStreamIsRefusedWithoutItsVersion guards against a wait that can't succeed.
func TestResumingStreamIsRefusedWithoutItsVersion(t *testing.T) {
	a := allocator.New(timekeeper.Timekeeper{}, func() {})
	list := versionedEndpoints("v1", "v2")
	list[0].Leaving = true
	a.SetEndpoints(list)
	_, err := a.Acquire(context.Background(), allocator.SlotRequest{Service: "s", Version: "v1", Resuming: true, Deadline: time.Now().Add(time.Second)})
	if !errors.Is(err, allocator.ErrNoEndpoint) {
		t.Errorf("got %v, want %v", err, allocator.ErrNoEndpoint)
	}
}

// TestBatchWorkPrefersItsVersion guards against items that begin anew although an endpoint of
// their version has a free slot.
func TestBatchWorkPrefersItsVersion(t *testing.T) {
	a := allocator.New(timekeeper.Timekeeper{}, func() {})
	a.SetEndpoints(versionedEndpoints("v1", "v2", "v2", "v2"))
	for _, want := range []string{"v1", "v1", "v2"} {
		slot := a.AcquireBatch("s", "v1", 0)
		if slot == nil || slot.Endpoint.Version != want {
			t.Fatalf("got slot %+v, want one at an endpoint of %s", slot, want)
		}
	}
}

// TestRequestDoesNotWaitBehindAFullVersion guards against requests that wait although a slot is
// free, because a stream waits for a version whose slots are all taken.
func TestRequestDoesNotWaitBehindAFullVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := allocator.New(timekeeper.Timekeeper{}, func() {})
		a.SetEndpoints(versionedEndpoints("v1", "v2"))
		held := holdVersion(t, a, "v1", 2)
		go func() {
			request := allocator.SlotRequest{Service: "s", Version: "v1", Resuming: true, Deadline: time.Now().Add(time.Second)}
			if slot, err := a.Acquire(context.Background(), request); err == nil {
				slot.Release()
			}
		}()
		synctest.Wait()
		started := time.Now()
		slot, err := a.Acquire(context.Background(), slotRequest(300*time.Millisecond))
		if err != nil || slot.Endpoint.Version != "v2" || time.Since(started) > 0 {
			t.Errorf("got %+v, %v after %v, want a slot of v2 at once", slot, err, time.Since(started))
		}
		held[0].Release()
	})
}

// TestRequestsForOtherSlotsAreNotAhead guards against requests that are refused because others wait
// for slots of another version or service.
func TestRequestsForOtherSlotsAreNotAhead(t *testing.T) {
	for _, tt := range []struct {
		name         string
		ahead, later allocator.SlotRequest
	}{
		{"another version", allocator.SlotRequest{Service: "s", Version: "v1", Resuming: true}, allocator.SlotRequest{Service: "s", Version: "v2", Resuming: true}},
		{"another service", allocator.SlotRequest{Service: "s"}, allocator.SlotRequest{Service: "t"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := allocator.New(timekeeper.Timekeeper{}, func() {})
				list := versionedEndpoints("v1", "v2", "v3")
				list[2].Service = "t"
				a.SetEndpoints(list)
				held := append(holdVersion(t, a, "v1", 2), holdVersion(t, a, "v2", 2)...)
				held = append(held, mustTryAcquire(t, a, allocator.SlotRequest{Service: "t"}), mustTryAcquire(t, a, allocator.SlotRequest{Service: "t"}))
				for _, request := range []allocator.SlotRequest{tt.ahead, tt.ahead, tt.later} {
					request.Deadline = time.Now().Add(time.Second)
					go func() {
						if _, err := a.Acquire(t.Context(), request); err != nil {
							t.Errorf("%s of %s: got %v, want a slot", request.Version, request.Service, err)
						}
					}()
					synctest.Wait()
				}
				for _, slot := range held {
					slot.Release()
				}
			})
		})
	}
}

// holdVersion takes count slots of a version.
func holdVersion(t *testing.T, a *allocator.Allocator, version string, count int) []*allocator.Slot {
	t.Helper()
	var held []*allocator.Slot
	for range count {
		held = append(held, mustTryAcquire(t, a, allocator.SlotRequest{Service: "s", Version: version}))
	}
	return held
}

// mustTryAcquire fails the test unless a slot is free.
func mustTryAcquire(t *testing.T, a *allocator.Allocator, request allocator.SlotRequest) *allocator.Slot {
	t.Helper()
	slot := a.TryAcquire(request)
	if slot == nil {
		t.Fatalf("got no slot for %+v, want one", request)
	}
	return slot
}
