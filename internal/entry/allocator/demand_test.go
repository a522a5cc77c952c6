package allocator_test

import (
	"testing"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// TestOnlineDemands checks that the demand of each service counts online requests at its endpoints and
// its part of those that wait, but no batch items.
func TestOnlineDemands(t *testing.T) {
	a := allocator.New(timekeeper.Timekeeper{}, func() {})
	a.SetEndpoints([]fescuebank.ServedEndpoint{{ID: "i-1", Service: "s", Slots: 8}, {ID: "i-2", Service: "t", Slots: 8}, {ID: "i-3", Service: "idle", Slots: 8}})
	tags := []fescuebank.EndpointTag{fescuebank.EndpointID("i-1").Tag(), fescuebank.EndpointID("i-2").Tag()}
	a.SetPeerCounts(fescuebank.EndpointCounts{tags[0]: 8, tags[1]: 2}, 4, 2)
	a.SetPeerOnline(fescuebank.EndpointCounts{tags[0]: 6, tags[1]: 2})
	got := a.OnlineDemands()
	for service, want := range map[fescuebank.ServiceName]float64{"s": 9, "t": 3, "idle": 0} {
		if got[service] != want {
			t.Errorf("service %s: got a demand of %v slots, want %v", service, got[service], want)
		}
	}
}
