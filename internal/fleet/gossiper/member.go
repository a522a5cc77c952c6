package gossiper

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"fescuebank"
)

// entryLivenessTTL is how long a peer counts as reachable after a change of its
// member entry.
const entryLivenessTTL = 2500 * time.Millisecond

// member is what is known of a peer.
type member struct {
	entry fescuebank.MemberEntry
	// version is the store version of the entry.
	version fescuebank.StoreVersion
	// addedAt is when the entry of this incarnation was first seen.
	addedAt time.Time
	// gossip is the newest message received from the peer, at receivedAt.
	receivedAt time.Time
	gossip     fescuebank.Gossip
	// counted is set while gossip is included in the totals of the gossiper.
	counted bool
	// directAt is when the peer last sent a message or a bundle to this instance itself,
	// and directSequence the newest of its own messages that arrived so.
	directAt       time.Time
	directSequence uint64
	// targetSince is since when this instance has been sending gossip to the peer; zero if
	// it doesn't.
	targetSince time.Time
	// relayFailedAt is when the peer last failed as a relay of this instance.
	relayFailedAt time.Time
	// reportedSequence is the newest message of the peer that another instance reported
	// to have received, and reportedAt when that report arrived.
	reportedSequence uint64
	reportedAt       time.Time
	// entryChangedAt is when the entry of this incarnation last changed, or replaced that of the one
	// before.
	entryChangedAt time.Time
	// replaces is the incarnation whose entry this one was seen to replace; empty if none was.
	replaces fescuebank.Incarnation
	// ackedSequence is the newest message of this instance that the peer acknowledged,
	// and ackedAt when the acknowledgement arrived.
	ackedSequence uint64
	ackedAt       time.Time
	// reconnectedAt is when the connection to the peer was last dropped, to be
	// re-established.
	reconnectedAt time.Time
	// silent is set while no gossip has arrived from the peer within the suspect timeout.
	silent bool
}

// ApplyObjects replaces the members by the member entries of the store as of a version. The entry
// of this instance counts as lost unless the entries are older than its last write.
func (g *Gossiper) ApplyObjects(objects []fescuebank.Object, asOf fescuebank.StoreVersion) {
	defer g.markListed.Do(func() { close(g.listed) })
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	seen := make(map[fescuebank.InstanceID]bool)
	lost := g.entryLost || asOf >= g.version
	for _, o := range objects {
		var e fescuebank.MemberEntry
		if err := json.Unmarshal(o.Value, &e); err != nil || o.Key != fescuebank.MemberPrefix+string(e.ID) {
			g.Log.Warn("Invalid member entry skipped.", "key", o.Key)
			continue
		}
		if e.ID == g.Self.ID {
			lost = g.isReplaced(e, o.Version)
			continue
		}
		seen[e.ID] = true
		g.applyEntry(e, o.Version, now)
	}
	g.entryLost = lost
	for id, m := range g.members {
		if !seen[id] {
			g.Log.Info("Instance removed from the members.", "peer", string(id))
			g.Linker.RemovePeer(m.entry.PeerAddr)
			g.subtract(m)
			delete(g.members, id)
		}
	}
	g.index()
	g.selectTargets(now)
}

// isReplaced reports whether the entry of this instance is that of another incarnation. An entry
// older than the last write of this one says nothing. The caller holds the lock.
func (g *Gossiper) isReplaced(e fescuebank.MemberEntry, version fescuebank.StoreVersion) bool {
	if version < g.version {
		return g.entryLost
	}
	g.version = version
	return e.Incarnation != g.Self.Incarnation
}

// index rebuilds byTag and reportOrder from the members. The caller holds the lock.
func (g *Gossiper) index() {
	g.byTag = make(map[fescuebank.IncarnationTag]*member, len(g.members))
	for _, m := range g.members {
		g.byTag[m.holder().Tag()] = m
	}
	g.reportOrder = slices.Sorted(maps.Keys(g.byTag))
}

// applyEntry applies the member entry of a peer. The state of a new incarnation starts
// empty, unless its gossip arrived before its entry. The caller holds the lock.
func (g *Gossiper) applyEntry(e fescuebank.MemberEntry, version fescuebank.StoreVersion, now time.Time) {
	m := g.members[e.ID]
	if m != nil && m.entry.Incarnation == e.Incarnation {
		if version > m.version {
			m.version, m.entryChangedAt = version, now
		}
		return
	}
	if m != nil && m.entry.PeerAddr != e.PeerAddr {
		g.Linker.RemovePeer(m.entry.PeerAddr)
	}
	next := &member{entry: e, version: version, addedAt: now}
	if m != nil && m.gossip.Incarnation == e.Incarnation {
		next.gossip, next.receivedAt, next.ackedSequence, next.ackedAt, next.counted = m.gossip, m.receivedAt, m.ackedSequence, m.ackedAt, m.counted
		next.directAt, next.directSequence = m.directAt, m.directSequence
	} else if m != nil {
		g.subtract(m)
	}
	if m != nil {
		next.entryChangedAt, next.replaces = now, m.entry.Incarnation
	}
	g.members[e.ID] = next
	g.Log.Info("Instance added to the members.", "peer", string(e.ID), "incarnation", string(e.Incarnation), "addr", e.PeerAddr)
}

// holder returns the incarnation that the peer's entry names.
func (m *member) holder() fescuebank.Holder {
	return fescuebank.Holder{ID: m.entry.ID, Incarnation: m.entry.Incarnation}
}

// lastSeen returns when gossip from the peer last arrived, here or by the report of
// another instance.
func (m *member) lastSeen() time.Time {
	return fescuebank.Latest(m.receivedAt, m.reportedAt)
}

// heardAt returns when gossip from the peer last arrived here, or when its entry was first
// seen if that was later.
func (m *member) heardAt() time.Time {
	return fescuebank.Latest(m.receivedAt, m.addedAt)
}

// isAlive reports whether gossip from the peer arrived here within the suspect timeout.
func (m *member) isAlive(now time.Time, intervals intervals) bool {
	return now.Sub(m.receivedAt) < intervals.suspectTimeout()
}

// isReachable reports whether gossip from the peer arrived at any instance within the
// suspect timeout, or its entry changed within entryLivenessTTL.
func (m *member) isReachable(now time.Time, intervals intervals) bool {
	return now.Sub(m.lastSeen()) < intervals.suspectTimeout() || now.Sub(m.entryChangedAt) < entryLivenessTTL
}
