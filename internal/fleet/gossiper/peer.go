package gossiper

import (
	"slices"
	"strings"
	"time"

	"fescuebank"
)

// Peer is the state of another member.
type Peer struct {
	fescuebank.MemberEntry
	// Alive is set while gossip from the peer arrives here; Reachable is set while it
	// arrives at any instance or the peer's member entry changes.
	Alive     bool
	Reachable bool
	// Replaces is the former incarnation whose entry was seen to be replaced by this one's.
	Replaces fescuebank.Incarnation
	// Gossip is the newest message from the peer.
	Gossip fescuebank.Gossip
}

// Peers returns all other members, sorted by id.
func (g *Gossiper) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	list := make([]Peer, 0, len(g.members))
	for _, m := range g.members {
		list = append(list, g.peer(m, now))
	}
	slices.SortFunc(list, func(a, b Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Find returns the other member with an id.
func (g *Gossiper) Find(id fescuebank.InstanceID) (Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return Peer{}, false
	}
	return g.peer(m, g.Clock.Now()), true
}

// LiveCount returns the number of instances that were alive at the last heartbeat,
// including this one.
func (g *Gossiper) LiveCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(1, g.liveCount)
}

// Lag returns how old the counts reported by the members may be.
func (g *Gossiper) Lag() time.Duration {
	return g.currentIntervals().lag()
}

// peer returns the state of a member. The caller holds the lock.
func (g *Gossiper) peer(m *member, now time.Time) Peer {
	intervals := g.intervals()
	return Peer{MemberEntry: m.entry, Alive: m.isAlive(now, intervals), Reachable: m.isReachable(now, intervals), Replaces: m.replaces, Gossip: m.gossip}
}
