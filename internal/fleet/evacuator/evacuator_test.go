package evacuator_test

import (
	"slices"
	"testing"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/evacuator"
	"fescuebank/internal/timing/timekeeper"
)

func TestZonesAreEvacuatedUntilTheirEntriesAreRemoved(t *testing.T) {
	e := evacuator.New(timekeeper.Timekeeper{}, hclog.NewNullLogger())
	if e.Known() || !e.IsEvacuated("a") {
		t.Errorf("got known %v and zone a open before any state, want nothing to be sent", e.Known())
	}
	for _, step := range []struct {
		name      string
		list      []fescuebank.Evacuation
		first     bool
		evacuated []fescuebank.Zone
		ended     []fescuebank.Zone
		closed    []fescuebank.Zone
	}{
		{name: "none", first: true},
		{name: "one", list: []fescuebank.Evacuation{{Zone: "a", Version: 4}}, evacuated: []fescuebank.Zone{"a"}, closed: []fescuebank.Zone{"a"}},
		{name: "two at once", list: []fescuebank.Evacuation{{Zone: "a", Version: 4}, {Zone: "b", Version: 6}}, evacuated: []fescuebank.Zone{"b"}, closed: []fescuebank.Zone{"a", "b"}},
		{name: "removed and requested again", list: []fescuebank.Evacuation{{Zone: "a", Version: 9}, {Zone: "b", Version: 6}}, closed: []fescuebank.Zone{"a", "b"}},
		{name: "one ended", list: []fescuebank.Evacuation{{Zone: "b", Version: 6}}, ended: []fescuebank.Zone{"a"}, closed: []fescuebank.Zone{"b"}},
		{name: "all ended", ended: []fescuebank.Zone{"b"}},
	} {
		change := e.Apply(step.list)
		if change.First != step.first || !slices.Equal(change.Evacuated, step.evacuated) || !slices.Equal(change.Ended, step.ended) {
			t.Errorf("%s: got %+v, want first %v, evacuated %v, ended %v", step.name, change, step.first, step.evacuated, step.ended)
		}
		for _, zone := range []fescuebank.Zone{"a", "b", "c"} {
			if got, want := e.IsEvacuated(zone), slices.Contains(step.closed, zone); got != want {
				t.Errorf("%s: got zone %s evacuated %v, want %v", step.name, zone, got, want)
			}
		}
		if got := len(e.Zones()); got != len(step.list) {
			t.Errorf("%s: got %d zones listed, want %d", step.name, got, len(step.list))
		}
	}
}
