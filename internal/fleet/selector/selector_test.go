package selector

import (
	"fmt"
	"slices"
	"testing"

	"fescuebank"
)

// fleet returns instances in zones of the same size, each with one large instance and
// small ones.
func fleet(zones, perZone int) []Candidate {
	var list []Candidate
	for z := range zones {
		for i := range perZone {
			weight := 0.2
			if i == 0 {
				weight = 0.8
			}
			list = append(list, Candidate{
				ID: fescuebank.InstanceID(fmt.Sprintf("z%d-%d", z, i)), Zone: fescuebank.Zone(fmt.Sprintf("z%d", z)), Weight: weight, Eligible: true,
			})
		}
	}
	return list
}

// selections returns the selection of every instance of the fleet.
func selections(fleet []Candidate) map[fescuebank.InstanceID]Selection {
	all := make(map[fescuebank.InstanceID]Selection)
	for i, self := range fleet {
		all[self.ID] = Selector{Self: self}.Select(slices.Delete(slices.Clone(fleet), i, i+1))
	}
	return all
}

func TestSmallFleetSendsDirectly(t *testing.T) {
	for id, s := range selections(fleet(4, 6)) {
		if !s.Direct || !s.Watching {
			t.Errorf("%s: got direct %v, watching %v, want both in a fleet of 24", id, s.Direct, s.Watching)
		}
	}
}

// TestInstancesAgreeOnRelays checks that instances with the same view select the same
// relays: those that an instance sends to count themselves as relays, and the relays of
// each zone send to those of all others.
func TestInstancesAgreeOnRelays(t *testing.T) {
	for _, tt := range []struct{ zones, perZone int }{{1, 30}, {4, 15}, {6, 33}, {6, 67}} {
		t.Run(fmt.Sprintf("%d zones of %d", tt.zones, tt.perZone), func(t *testing.T) {
			all := selections(fleet(tt.zones, tt.perZone))
			relaying, watching := 0, 0
			for id, s := range all {
				for _, relay := range s.Relays {
					if !all[relay].Relaying {
						t.Errorf("%s sends to %s, which doesn't count itself as a relay", id, relay)
					}
				}
				for _, relay := range s.RemoteRelays {
					if !all[relay].Relaying {
						t.Errorf("%s sends to %s of another zone, which doesn't count itself as a relay", id, relay)
					}
				}
				if s.Relaying {
					relaying++
				}
				if s.Watching {
					watching++
				}
				if got, want := s.Fanout(), tt.perZone-1+relaysPerZone*(tt.zones-1); got != want {
					t.Errorf("%s: got a fan-out of %d, want %d", id, got, want)
				}
			}
			if want := relaysPerZone * tt.zones; relaying != want {
				t.Errorf("got %d relays, want %d", relaying, want)
			}
			if want := watchersPerZone * tt.zones; watching != want {
				t.Errorf("got %d instances that watch the store, want %d", watching, want)
			}
		})
	}
}

func TestLargeInstancesRelayFirst(t *testing.T) {
	for id, s := range selections(fleet(6, 33)) {
		if id == "z0-0" && !s.Relaying {
			t.Errorf("got %s not relaying, want the largest instance of its zone to relay", id)
		}
	}
}

// TestRelaysAreReplaced checks that instances that are silent, or that can't reach the store,
// are replaced by others of their zone.
func TestRelaysAreReplaced(t *testing.T) {
	for _, tt := range []struct {
		name string
		// down changes the state of an instance of zone z0.
		down func(*Candidate)
		// wantRelaying and wantWatching are the numbers of relays and of instances that
		// watch the store among those that are not down.
		wantRelaying, wantWatching int
	}{
		{"silent", func(c *Candidate) { c.Eligible = false }, relaysPerZone, watchersPerZone},
		{"store unreachable", func(c *Candidate) { c.StoreUnreachable = true }, 0, watchersPerZone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			all := fleet(6, 33)
			before := selections(all)
			down := map[fescuebank.InstanceID]bool{}
			for i := range all {
				if c := &all[i]; c.Zone == "z0" && before[c.ID].Relaying {
					tt.down(c)
					down[c.ID] = true
				}
			}
			relaying, watching := 0, 0
			for id, s := range selections(all) {
				if down[id] || id[:2] != "z0" {
					continue
				}
				if s.Relaying {
					relaying++
				}
				if s.Watching {
					watching++
				}
			}
			if relaying != tt.wantRelaying || watching != tt.wantWatching {
				t.Errorf("got %d relays and %d that watch, want %d and %d", relaying, watching, tt.wantRelaying, tt.wantWatching)
			}
		})
	}
}

// TestStoreUnreachableFromAll checks that some instances go on trying to watch the store
// while none reaches it, so that its return is noticed.
func TestStoreUnreachableFromAll(t *testing.T) {
	all := fleet(6, 33)
	for i := range all {
		all[i].StoreUnreachable = true
	}
	watching := 0
	for _, s := range selections(all) {
		if s.Watching {
			watching++
		}
	}
	if want := 6 * watchersPerZone; watching != want {
		t.Errorf("got %d instances that watch the store, want %d", watching, want)
	}
}
