// Package selector selects the instances that relay gossip and watch the store for the others
// in a large fleet, so that not every instance has to send to every other one and each
// change doesn't end a watch of every instance.
package selector

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

const (
	// maxDirect is the largest number of peers that an instance sends gossip to without
	// relays.
	maxDirect = 24
	// relaysPerZone is the number of instances of a zone that relay its gossip. Each one
	// relays all of it, so the loss of all but one delays nothing.
	relaysPerZone = 3
	// watchersPerZone is the number of instances of a zone that watch the store for it.
	watchersPerZone = 2
)

// Candidate is an instance that may relay gossip and watch the store.
type Candidate struct {
	ID     fescuebank.InstanceID
	Zone   fescuebank.Zone
	Weight float64
	// Eligible is set while the instance can be expected to do either.
	Eligible bool
	// StoreUnreachable is set while the instance reports that it can't reach the store.
	StoreUnreachable bool
}

// Selector selects relays from the point of view of one instance. Instances with the same
// view of the fleet select the same relays.
type Selector struct {
	// Self is the instance that selects.
	Self Candidate
	// Attempt varies which instances of a zone are tried while none of it is eligible.
	Attempt uint64
}

// Selection states how an instance sends its gossip.
type Selection struct {
	// Direct is set if the instance sends to all others itself.
	Direct bool
	// Relaying is set if the instance is a relay of its zone.
	Relaying bool
	// Watching is set if the instance watches the store itself.
	Watching bool
	// Relays are the other relays of the zone.
	Relays []fescuebank.InstanceID
	// ZonePeers are all other instances of the zone, to which a relay sends.
	ZonePeers []fescuebank.InstanceID
	// RemoteRelays are the relays of the other zones.
	RemoteRelays []fescuebank.InstanceID
}

// Fanout returns the number of instances that a relay sends to, or that every instance
// sends to without relays.
func (s *Selection) Fanout() int {
	return len(s.ZonePeers) + len(s.RemoteRelays)
}

// Select selects the relays among the other instances of the fleet.
func (s Selector) Select(others []Candidate) Selection {
	zones := make(map[fescuebank.Zone][]Candidate)
	for _, c := range others {
		zones[c.Zone] = append(zones[c.Zone], c)
	}
	selection := Selection{Direct: len(others) <= maxDirect}
	for zone, members := range zones {
		if zone == s.Self.Zone {
			selection.ZonePeers = ids(members)
			continue
		}
		selection.RemoteRelays = append(selection.RemoteRelays, ids(s.remoteRelays(members))...)
	}
	own := append(zones[s.Self.Zone], s.Self)
	selection.Watching = selection.Direct || slices.Contains(watchers(own), s.Self)
	for _, c := range first(own, relaysPerZone) {
		if c.ID == s.Self.ID {
			selection.Relaying = true
			continue
		}
		selection.Relays = append(selection.Relays, c.ID)
	}
	slices.Sort(selection.RemoteRelays)
	return selection
}

// remoteRelays returns the relays of another zone. If none is eligible, it returns some
// instances to try: the connection between the zones may have been lost at both ends, and
// would not come back if neither sent anything.
func (s Selector) remoteRelays(members []Candidate) []Candidate {
	if list := first(members, relaysPerZone); len(list) > 0 {
		return list
	}
	list := slices.Clone(members)
	slices.SortFunc(list, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	start := int(s.Attempt * relaysPerZone % uint64(len(list)))
	list = append(list[start:], list[:start]...)
	return list[:min(relaysPerZone, len(list))]
}

// watchers returns the instances of a zone that watch the store: those that reach it, or any
// if none does.
func watchers(members []Candidate) []Candidate {
	reachable := slices.DeleteFunc(slices.Clone(members), func(c Candidate) bool { return c.StoreUnreachable })
	if list := first(reachable, watchersPerZone); len(list) > 0 {
		return list
	}
	return first(members, watchersPerZone)
}

// first returns the eligible instances with the highest weights. A hash of the id orders
// those of the same weight.
func first(members []Candidate, count int) []Candidate {
	list := slices.DeleteFunc(slices.Clone(members), func(c Candidate) bool { return !c.Eligible })
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(hash(a), hash(b)), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(count, len(list))]
}

func hash(c Candidate) uint64 {
	return xxhash.Sum64String(string(c.ID))
}

func ids(list []Candidate) []fescuebank.InstanceID {
	var out []fescuebank.InstanceID
	for _, c := range list {
		out = append(out, c.ID)
	}
	return out
}
