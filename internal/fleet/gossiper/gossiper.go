// Package gossiper tracks the instances of the fleet: it maintains this instance's
// member entry in the store and exchanges gossip messages with all other instances.
package gossiper

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/wire/linker"
)

const (
	// removeAfter is how long a peer must be silent before its member entry is removed
	// from the store.
	removeAfter = 30 * time.Second
	// entryLivenessTTL is how long a peer counts as reachable after a change of its
	// member entry.
	entryLivenessTTL = 2500 * time.Millisecond
)

// Linker sends notifications to other instances and receives theirs.
type Linker interface {
	HandleNotification(kind fescuebank.MessageKind, handler linker.NotificationHandler)
	// Notify sends a notification to each address. It doesn't wait, and drops the
	// notification where it can't be sent.
	Notify(addrs []string, kind fescuebank.MessageKind, body []byte)
	// Disconnect closes the connection to addr, so that the next use makes a new one.
	Disconnect(addr string)
	// RemovePeer closes the connection to a peer that has left the fleet.
	RemovePeer(addr string)
}

// Config holds the dependencies of a gossiper.
type Config struct {
	Self   fescuebank.MemberEntry
	Store  fescuebank.ObjectStore
	Linker Linker
	Clock  fescuebank.Clock
	Log    hclog.Logger
	// Fill completes a gossip message of this instance.
	Fill func(*fescuebank.Gossip)
	// OnGossip is called after gossip messages of peers have been applied.
	OnGossip func([]fescuebank.Gossip)
	// StoreUnreachable reports whether this instance can't reach the store.
	StoreUnreachable func() bool
	// OnTargets is called after the peers that gossip is sent to were selected.
	OnTargets func()
	// OnAcknowledged is called when a peer reports that an incarnation acknowledged an
	// epoch.
	OnAcknowledged func(fescuebank.Holder, fescuebank.FencingNumber)
	// OnConnectionsStalled is called when at least half of the peers, and more than one,
	// become silent at the same time: their connections may be dead but not closed.
	OnConnectionsStalled func()
}

// Gossiper tracks the other members of the fleet.
type Gossiper struct {
	Config
	wake chan struct{}
	// changed is set when this instance's state has changed since its last message.
	changed atomic.Bool

	// tag is the tag of this incarnation.
	tag fescuebank.IncarnationTag

	mu sync.Mutex
	// sequence is the number of the newest message sent.
	sequence uint64
	// members holds all other instances. byTag holds the same ones by the tags of their
	// incarnations, and reportOrder the tags in the order of reportNext.
	members     map[fescuebank.InstanceID]*member
	byTag       map[fescuebank.IncarnationTag]*member
	reportOrder []fescuebank.IncarnationTag
	// reportNext counts through reportOrder: the next message reports what was received
	// from the incarnations that follow there.
	reportNext int
	// liveCount is the number of live instances at the last heartbeat, including this one.
	liveCount int
	// totals sums the requests of the members that have counted set.
	totals totals
	// peerStarts counts the online requests that all other instances, also former ones, are
	// known to have sent to endpoints.
	peerStarts uint64
	// targets are the peers that gossip is sent to, and selections counts how often they were
	// selected.
	targets    targets
	selections uint64
	// pendingFleet are messages of the own zone that this instance has to relay to all
	// others, and pendingZone those of other zones that it has to relay to its own.
	pendingFleet []fescuebank.RelayedGossip
	pendingZone  []fescuebank.RelayedGossip
	// entryLost is set while the store doesn't contain the member entry of this incarnation.
	entryLost bool
	// version is the store version of this instance's member entry.
	version fescuebank.StoreVersion
}

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
	// entryChangedAt is when the entry of this incarnation last changed.
	entryChangedAt time.Time
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

// New returns a gossiper without members.
func New(c Config) *Gossiper {
	g := &Gossiper{
		Config: c, wake: make(chan struct{}, 1), entryLost: true,
		tag:     fescuebank.Holder{ID: c.Self.ID, Incarnation: c.Self.Incarnation}.Tag(),
		members: make(map[fescuebank.InstanceID]*member), totals: totals{counts: make(fescuebank.EndpointCounts)},
	}
	g.targets.Direct = true
	c.Linker.HandleNotification(fescuebank.KindGossip, g.handleGossip)
	c.Linker.HandleNotification(fescuebank.KindGossipBundle, g.handleBundle)
	return g
}

// Wake makes Run send a message of this instance as soon as the update interval allows.
func (g *Gossiper) Wake() {
	g.changed.Store(true)
	g.signal()
}

// signal makes Run send what is due as soon as the update interval allows.
func (g *Gossiper) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// ApplyObjects replaces the members by the member entries of the store.
func (g *Gossiper) ApplyObjects(objects []fescuebank.Object) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	seen := make(map[fescuebank.InstanceID]bool)
	g.entryLost = true
	for _, o := range objects {
		var e fescuebank.MemberEntry
		if err := json.Unmarshal(o.Value, &e); err != nil || o.Key != fescuebank.MemberPrefix+string(e.ID) {
			g.Log.Warn("Invalid member entry skipped.", "key", o.Key)
			continue
		}
		if e.ID == g.Self.ID {
			g.entryLost = e.Incarnation != g.Self.Incarnation
			g.version = max(g.version, o.Version)
			continue
		}
		seen[e.ID] = true
		g.applyEntry(e, o.Version, now)
	}
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

// isAlive reports whether gossip from the peer arrived here within the suspect timeout.
func (m *member) isAlive(now time.Time, intervals intervals) bool {
	return now.Sub(m.receivedAt) < intervals.suspectTimeout()
}

// isReachable reports whether gossip from the peer arrived at any instance within the
// suspect timeout, or its entry changed within entryLivenessTTL.
func (m *member) isReachable(now time.Time, intervals intervals) bool {
	return now.Sub(m.lastSeen()) < intervals.suspectTimeout() || now.Sub(m.entryChangedAt) < entryLivenessTTL
}

// Run maintains the member entry and sends gossip until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	go g.register(ctx)
	nextHeartbeat := g.Clock.Now()
	for ctx.Err() == nil {
		intervals := g.currentIntervals()
		full := !g.Clock.Now().Before(nextHeartbeat)
		if full {
			nextHeartbeat = g.Clock.Now().Add(intervals.heartbeat())
			g.checkPeers(ctx)
		}
		if g.changed.Swap(false) || full {
			g.send(full)
		}
		g.flush()
		_ = fescuebank.Sleep(ctx, g.Clock, intervals.update())
		select {
		case <-ctx.Done():
		case <-g.wake:
		case <-g.Clock.After(nextHeartbeat.Sub(g.Clock.Now())):
		}
	}
}

func (g *Gossiper) currentIntervals() intervals {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.intervals()
}

// intervals returns the intervals for the current number of members. The caller holds
// the lock.
func (g *Gossiper) intervals() intervals {
	if g.targets.Direct {
		return intervals{members: len(g.members), fanout: len(g.members)}
	}
	return intervals{members: len(g.members), fanout: g.targets.Fanout(), relayed: true}
}

// checkPeers drops the connections to unresponsive peers that gossip is sent to, so that
// they are re-established, and selects anew which ones it is sent to. A peer is unresponsive if it has sent nothing within the suspect timeout or
// acknowledged nothing within the acknowledgement timeout. The live instance with the
// lowest id also removes the member entries of peers that have been silent for removeAfter.
func (g *Gossiper) checkPeers(ctx context.Context) {
	now := g.Clock.Now()
	g.mu.Lock()
	intervals := g.intervals()
	var reconnect []string
	var remove []*member
	silent := 0
	g.liveCount = 1
	for _, m := range g.members {
		if m.isAlive(now, intervals) {
			g.liveCount++
		}
		since := fescuebank.Latest(m.receivedAt, m.addedAt)
		isTarget := !m.targetSince.IsZero()
		unresponsive := now.Sub(since) >= intervals.suspectTimeout() || now.Sub(fescuebank.Latest(m.ackedAt, m.targetSince)) >= intervals.ackTimeout()
		if isTarget && unresponsive && now.Sub(m.reconnectedAt) >= intervals.ackTimeout() {
			m.reconnectedAt = now
			reconnect = append(reconnect, m.entry.PeerAddr)
		}
		if now.Sub(since) >= intervals.suspectTimeout() && !m.silent {
			m.silent = true
			silent++
			g.subtract(m)
			g.Log.Warn("Instance is silent.", "peer", string(m.entry.ID), "heardMsAgo", now.Sub(since).Milliseconds())
		}
		if now.Sub(fescuebank.Latest(since, fescuebank.Latest(m.reportedAt, m.entryChangedAt))) >= removeAfter {
			remove = append(remove, m)
		}
	}
	manySilent := silent > 1 && silent*2 >= len(g.members)
	first := g.isFirst(now)
	g.checkRelays(now)
	g.selectTargets(now)
	g.mu.Unlock()
	for _, addr := range reconnect {
		g.Linker.Disconnect(addr)
	}
	g.OnTargets()
	if manySilent {
		g.OnConnectionsStalled()
	}
	if first {
		g.removeEntries(ctx, remove)
	}
}

// isFirst reports whether no live peer has a lower id. The caller holds the lock.
func (g *Gossiper) isFirst(now time.Time) bool {
	for id, m := range g.members {
		if id < g.Self.ID && m.isAlive(now, g.intervals()) {
			return false
		}
	}
	return true
}

// removeEntries removes the member entries of silent members from the store.
func (g *Gossiper) removeEntries(ctx context.Context, members []*member) {
	for _, m := range members {
		err := g.Store.Delete(ctx, fescuebank.MemberPrefix+string(m.entry.ID), m.version)
		g.Log.Info("Member entry of a silent instance removed.", "peer", string(m.entry.ID), "err", errText(err))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Peer is the state of another member.
type Peer struct {
	fescuebank.MemberEntry
	// Alive is set while gossip from the peer arrives here; Reachable is set while it
	// arrives at any instance or the peer's member entry changes.
	Alive     bool
	Reachable bool
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
	return Peer{MemberEntry: m.entry, Alive: m.isAlive(now, intervals), Reachable: m.isReachable(now, intervals), Gossip: m.gossip}
}
