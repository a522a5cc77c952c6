package retainer

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/timing/timekeeper"
)

// decode takes a value for the version of an endpoint's software; an empty one is invalid.
func decode(o fescuebank.Object) (fescuebank.ServedEndpoint, error) {
	if len(o.Value) == 0 {
		return fescuebank.ServedEndpoint{}, errors.New("no version")
	}
	return fescuebank.ServedEndpoint{ID: fescuebank.EndpointID(o.Key), Version: string(o.Value)}, nil
}

// TestEndpointOutlivesAnObjectInPlaceOfItsEntry guards against endpoints that are lost at once, or kept for good, as another writer's objects
// replace their entries.
func TestEndpointOutlivesAnObjectInPlaceOfItsEntry(t *testing.T) {
	// step is a list of the store, in which the value is that of the one entry.
	type step struct {
		after  time.Duration
		value  string
		listed bool
		want   string
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{"replaced for a moment", []step{{0, "v1", true, "v1"}, {time.Second, "", true, "v1"}, {time.Second, "v1", true, "v1"}, {time.Second, "", true, "v1"}}},
		{"replaced for good", []step{{0, "v1", true, "v1"}, {time.Second, "", true, "v1"}, {keepTime, "", true, ""}, {time.Second, "", true, ""}}},
		{"removed", []step{{0, "v1", true, "v1"}, {time.Second, "", true, "v1"}, {0, "", false, ""}, {0, "", true, ""}}},
		{"invalid from the start", []step{{0, "", true, ""}, {time.Second, "v1", true, "v1"}}},
		{"another version", []step{{0, "v1", true, "v1"}, {time.Second, "", true, "v1"}, {0, "v2", true, "v2"}, {0, "", true, "v2"}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := New(timekeeper.Timekeeper{}, decode)
				for i, s := range tt.steps {
					time.Sleep(s.after)
					var objects []fescuebank.Object
					if s.listed {
						objects = []fescuebank.Object{{Key: "i-1", Value: []byte(s.value)}}
					}
					wantFaults := 0
					if s.listed && s.value == "" {
						wantFaults = 1
					}
					list, faults, wait := r.Endpoints(objects)
					got := ""
					if len(list) > 0 {
						got = list[0].Version
					}
					isRetained := got != "" && s.value == ""
					if got != s.want || (wait > 0) != isRetained || len(faults) != wantFaults {
						t.Errorf("list %d: got version %q, %d faults, wait %v, want version %q, %d faults", i, got, len(faults), wait, s.want, wantFaults)
					}
				}
			})
		})
	}
}
