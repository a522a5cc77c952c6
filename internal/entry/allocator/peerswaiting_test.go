package allocator_test

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// TestRequestsThatWaitForOneServiceLeaveTheOthersToBatchWork guards against batch items that don't start, or are preempted, because online
// requests wait for another service.
func TestRequestsThatWaitForOneServiceLeaveTheOthersToBatchWork(t *testing.T) {
	const (
		slots   = 8
		waiting = 3
	)
	for _, tt := range []struct {
		name string
		at   fescuebank.ServiceCounts
		// room and excess are those of the service b.
		room, excess int
	}{
		{"all for the other service", fescuebank.ServiceCounts{"a": waiting}, slots, 0},
		{"some for the service", fescuebank.ServiceCounts{"a": waiting - 1, "b": 1}, 0, 0},
		{"an older build doesn't state which", nil, 0, 0},
		{"an older build beside newer ones", fescuebank.ServiceCounts{"a": waiting - 1}, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := allocator.New(timekeeper.Timekeeper{}, func() {})
			a.SetEndpoints([]fescuebank.ServedEndpoint{{ID: "i-a", Service: "a", Slots: slots}, {ID: "i-b", Service: "b", Slots: slots}})
			a.SetPeersWaitingAt(tt.at)
			a.SetPeerCounts(nil, waiting, 0)
			if got := a.BatchRoom("b", 0); got != tt.room {
				t.Errorf("got room for %d items, want %d", got, tt.room)
			}
			if got := a.BatchExcess("b", 0); got != tt.excess {
				t.Errorf("got an excess of %d items, want %d", got, tt.excess)
			}
			for range slots - 1 {
				a.SetPeersWaitingAt(fescuebank.ServiceCounts{"a": waiting})
				if a.AcquireBatch("b", "", 0) == nil {
					t.Fatal("got no slot while requests wait for the other service, want one")
				}
			}
			if got := a.BatchExcess("b", 0); got != 0 {
				t.Errorf("got an excess of %d items while requests wait for the other service, want none", got)
			}
		})
	}
}

// TestWaitingRequestsAreStatedByService checks which of an instance's waiting requests its gossip states for each service.
func TestWaitingRequestsAreStatedByService(t *testing.T) {
	one := []fescuebank.ServedEndpoint{{ID: "i-a", Service: "a", Slots: 1}}
	for _, tt := range []struct {
		name      string
		endpoints []fescuebank.ServedEndpoint
		services  []fescuebank.ServiceName
		want      fescuebank.ServiceCounts
	}{
		{"one service", one, []fescuebank.ServiceName{"a", "a", "a"}, nil},
		{"none waits", append(one, fescuebank.ServedEndpoint{ID: "i-b", Service: "b", Slots: 1}), []fescuebank.ServiceName{"a", "b"}, nil},
		{"two services", append(one, fescuebank.ServedEndpoint{ID: "i-b", Service: "b", Slots: 1}), []fescuebank.ServiceName{"a", "b", "a", "b", "a"}, fescuebank.ServiceCounts{"a": 2, "b": 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := allocator.New(timekeeper.Timekeeper{}, func() {})
				a.SetEndpoints(tt.endpoints)
				ctx, cancel := context.WithCancel(t.Context())
				for _, service := range tt.services {
					go func() {
						_, _ = a.Acquire(ctx, allocator.SlotRequest{Service: service, Deadline: time.Now().Add(time.Hour)})
					}()
				}
				synctest.Wait()
				if got := a.WaitingAt(); !maps.Equal(got, tt.want) {
					t.Errorf("got %v, want %v", got, tt.want)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
