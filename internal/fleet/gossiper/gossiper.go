// Package gossiper tracks the instances of the fleet: it maintains this instance's
// member entry in the store and exchanges gossip messages with all other instances.
package gossiper

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/wire/linker"
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
	// Fill completes a gossip message of this instance, which is full if it also reports what
	// was received.
	Fill func(g *fescuebank.Gossip, full bool)
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
	// wake makes Run send what is due.
	wake chan struct{}
	// changed is set when this instance's state has changed since its last message.
	changed atomic.Bool

	// listed is closed once the members were listed.
	listed     chan struct{}
	markListed sync.Once

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

// New returns a gossiper without members.
func New(c Config) *Gossiper {
	g := &Gossiper{
		Config: c, wake: make(chan struct{}, 1), listed: make(chan struct{}), entryLost: true,
		tag:     fescuebank.Holder{ID: c.Self.ID, Incarnation: c.Self.Incarnation}.Tag(),
		members: make(map[fescuebank.InstanceID]*member), totals: totals{counts: make(fescuebank.EndpointCounts), online: make(fescuebank.EndpointCounts), waitingAt: make(fescuebank.ServiceCounts)},
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

// currentIntervals is intervals for callers that don't hold the lock.
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
