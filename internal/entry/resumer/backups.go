package resumer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
)

const (
	// copies is the number of backups of each record. If half of the other instances are lost
	// at once, a backup of about 15 of 16 records survives.
	copies = 4
	// storeCandidates is the number of instances among which backups are selected. In fleets
	// up to this size gossip needs all connections anyway; in larger ones an instance needs
	// connections to these only.
	storeCandidates = 24
	// askCandidates is the number of instances that may be asked for a record. It exceeds
	// storeCandidates because the asking instance's view of the fleet may differ from that of
	// the instance that selected the backups.
	askCandidates = 32
	// candidateKey is the key by which the members of a large fleet are ranked as candidates.
	candidateKey = "candidates"
)

// preference orders members for the selection of backups, the lowest first.
type preference int

const (
	preferred preference = iota
	// leavingLast are members that are about to shut down.
	leavingLast
	// silentLast are members from which no gossip arrives.
	silentLast
)

// member is another instance of the fleet, as a possible backup.
type member struct {
	id         fescuebank.InstanceID
	zone       fescuebank.Zone
	addr       string
	preference preference
}

// toStore returns how well a member is suited to store a record.
func toStore(p *gossiper.Peer) preference {
	switch {
	case !p.Alive:
		return silentLast
	case p.Gossip.Leaving:
		return leavingLast
	}
	return preferred
}

// toAsk returns how well a member is suited to be asked for a record. It may have stored the
// record before it started to leave.
func toAsk(p *gossiper.Peer) preference {
	if !p.Alive {
		return silentLast
	}
	return preferred
}

// candidates returns the peers as members, in a large fleet only the first limit in an order
// that is the same for all streams.
func candidates(peers []gossiper.Peer, prefer func(*gossiper.Peer) preference, limit int) []member {
	members := make([]member, 0, len(peers))
	for i := range peers {
		p := &peers[i]
		members = append(members, member{id: p.ID, zone: p.Zone, addr: p.PeerAddr, preference: prefer(p)})
	}
	if len(members) <= limit {
		return members
	}
	return rank(members, candidateKey)[:limit]
}

// rankedMember is a member with its position in the order of rank.
type rankedMember struct {
	member
	hash uint64
	// zoneRank is the member's position among those of its zone and preference.
	zoneRank int
}

// rank returns the members by preference. Those of the same preference are in the order of a
// rendezvous hash of the key and the id, but the first of each zone precede the second of any
// zone, and so on. So the order needs no state, depends on no incarnation, and hardly changes
// if members are lost.
func rank(members []member, key string) []member {
	ranked := make([]rankedMember, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, rankedMember{member: m, hash: xxhash.Sum64String(key + "/" + string(m.id))})
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(a.preference, b.preference), cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
	})
	type group struct {
		zone       fescuebank.Zone
		preference preference
	}
	counts := make(map[group]int)
	for i := range ranked {
		g := group{zone: ranked[i].zone, preference: ranked[i].preference}
		ranked[i].zoneRank = counts[g]
		counts[g]++
	}
	slices.SortStableFunc(ranked, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(a.preference, b.preference), cmp.Compare(a.zoneRank, b.zoneRank))
	})
	order := make([]member, 0, len(ranked))
	for i := range ranked {
		order = append(order, ranked[i].member)
	}
	return order
}
