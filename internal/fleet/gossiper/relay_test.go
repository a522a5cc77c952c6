package gossiper

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/linker"
)

// settleTime is how long the instances of a new fleet take to hear of one another.
const settleTime = 1500 * time.Millisecond

// linkDelay is how long a message takes between two instances of the simulated network.
const linkDelay = 2 * time.Millisecond

// network carries messages between simulated instances.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[fescuebank.MessageKind]linker.NotificationHandler
	// down holds the instances that neither send nor receive, dead the connections, in one
	// direction, that silently lose messages until they are closed.
	down map[string]bool
	dead map[[2]string]bool
	// sent counts the messages that each instance sent.
	sent map[string]int
}

// port is an instance's access to the network.
type port struct {
	network *network
	addr    string
}

func (p port) HandleNotification(kind fescuebank.MessageKind, handler linker.NotificationHandler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.handlers[p.addr] == nil {
		p.network.handlers[p.addr] = make(map[fescuebank.MessageKind]linker.NotificationHandler)
	}
	p.network.handlers[p.addr][kind] = handler
}

func (p port) Notify(addrs []string, kind fescuebank.MessageKind, body []byte) {
	for _, addr := range addrs {
		p.network.mu.Lock()
		p.network.sent[p.addr]++
		lost := p.network.down[p.addr] || p.network.down[addr] || p.network.dead[[2]string{p.addr, addr}]
		handle := p.network.handlers[addr][kind]
		p.network.mu.Unlock()
		if lost {
			continue
		}
		time.AfterFunc(linkDelay, func() { handle(func(into any) error { return linker.Decode(body, into) }) })
	}
}

func (p port) Disconnect(addr string) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	delete(p.network.dead, [2]string{p.addr, addr})
}

func (p port) RemovePeer(string) {}

// simulatedFleet is a fleet whose instances exchange gossip over a simulated network. The
// waiting requests that each instance reports are set by the test.
type simulatedFleet struct {
	network *network
	list    []*Gossiper
	mu      sync.Mutex
	waiting map[fescuebank.InstanceID]int
}

// startFleet starts zones of perZone instances each, which know one another.
func startFleet(ctx context.Context, zones, perZone int) *simulatedFleet {
	f := &simulatedFleet{
		network: &network{
			handlers: make(map[string]map[fescuebank.MessageKind]linker.NotificationHandler),
			down:     make(map[string]bool), dead: make(map[[2]string]bool), sent: make(map[string]int),
		},
		waiting: make(map[fescuebank.InstanceID]int),
	}
	var entries []fescuebank.MemberEntry
	for z := range zones {
		for i := range perZone {
			id := fmt.Sprintf("z%d-%d", z, i)
			entries = append(entries, fescuebank.MemberEntry{
				ID: fescuebank.InstanceID(id), Incarnation: "1", Zone: fescuebank.Zone(fmt.Sprint(z)), PeerAddr: id, Weight: 1,
			})
		}
	}
	for _, e := range entries {
		g := New(Config{
			Self: e, Store: &memorystorer.MemoryStorer{}, Linker: port{f.network, e.PeerAddr}, Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(),
			Fill: func(msg *fescuebank.Gossip, _ bool) { msg.Waiting = f.getWaiting(e.ID) }, OnGossip: func([]fescuebank.Gossip) {},
			OnConnectionsStalled: func() {}, StoreUnreachable: func() bool { return false }, OnTargets: func() {},
			OnAcknowledged: func(fescuebank.Holder, fescuebank.FencingNumber) {},
		})
		f.list = append(f.list, g)
	}
	for _, g := range f.list {
		applyEntries(g, 1, entries...)
		go g.Run(ctx)
	}
	return f
}

func (f *simulatedFleet) getWaiting(id fescuebank.InstanceID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting[id]
}

func (f *simulatedFleet) setWaiting(g *Gossiper, n int) {
	f.mu.Lock()
	f.waiting[g.Self.ID] = n
	f.mu.Unlock()
	g.Wake()
}

func (f *simulatedFleet) setDown(g *Gossiper) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.down[g.Self.PeerAddr] = true
}

func (f *simulatedFleet) isDown(g *Gossiper) bool {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return f.network.down[g.Self.PeerAddr]
}

// relays returns the running relays of a zone.
func (f *simulatedFleet) relays(zone fescuebank.Zone) []*Gossiper {
	var list []*Gossiper
	for _, g := range f.list {
		if g.Self.Zone == zone && isRelaying(g) && !f.isDown(g) {
			list = append(list, g)
		}
	}
	return list
}

func isRelaying(g *Gossiper) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targets.Relaying
}

// uninformed returns the running instances that don't know the sum of the waiting requests
// of all other running instances.
func (f *simulatedFleet) uninformed() []fescuebank.InstanceID {
	total := 0
	for _, g := range f.list {
		if !f.isDown(g) {
			total += f.getWaiting(g.Self.ID)
		}
	}
	var list []fescuebank.InstanceID
	for _, g := range f.list {
		if _, waiting, _ := g.PeerTotals(); !f.isDown(g) && waiting != total-f.getWaiting(g.Self.ID) {
			list = append(list, g.Self.ID)
		}
	}
	return list
}

// silent returns how many running instances some other running instance holds for silent.
func (f *simulatedFleet) silent() int {
	silent := make(map[fescuebank.InstanceID]bool)
	for _, g := range f.list {
		if f.isDown(g) {
			continue
		}
		for _, p := range g.Peers() {
			if !p.Alive {
				silent[p.ID] = true
			}
		}
	}
	for _, g := range f.list {
		if f.isDown(g) {
			delete(silent, g.Self.ID)
		}
	}
	return len(silent)
}

// TestCountsReachAllInstances checks in fleets without and with relays that a change at each
// instance reaches all others within the stated lag.
func TestCountsReachAllInstances(t *testing.T) {
	for _, tt := range []struct{ zones, perZone int }{{3, 4}, {4, 19}, {6, 33}} {
		t.Run(fmt.Sprintf("%d zones of %d", tt.zones, tt.perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := startFleet(ctx, tt.zones, tt.perZone)
				time.Sleep(settleTime)
				for round := 1; round <= 2; round++ {
					for i, g := range f.list {
						f.setWaiting(g, round+i%7)
					}
					time.Sleep(f.list[0].Lag() + 3*linkDelay)
					if got := f.uninformed(); len(got) > 0 {
						t.Errorf("round %d: got %d instances that lack counts after %v, want none: %v", round, len(got), f.list[0].Lag(), got)
					}
				}
			})
		})
	}
}

// TestMessagesPerInstance checks the messages that each instance of a fleet of 198 sends
// while every instance's counts change 10 times a second. Without relays, each would send
// about 670 a second.
func TestMessagesPerInstance(t *testing.T) {
	const maxRelay, maxOther = 800, 60
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := startFleet(ctx, 6, 33)
		time.Sleep(settleTime)
		f.network.mu.Lock()
		clear(f.network.sent)
		f.network.mu.Unlock()
		for step := range 10 {
			for _, g := range f.list {
				f.setWaiting(g, step)
			}
			time.Sleep(100 * time.Millisecond)
		}
		f.network.mu.Lock()
		sent := maps.Clone(f.network.sent)
		f.network.mu.Unlock()
		for _, g := range f.list {
			limit := maxOther
			if isRelaying(g) {
				limit = maxRelay
			}
			if got := sent[g.Self.PeerAddr]; got > limit {
				t.Errorf("%s, relaying %v: got %d messages a second, want at most %d", g.Self.ID, isRelaying(g), got, limit)
			}
		}
	})
}

// TestRelaysAreLost checks that counts reach all running instances again soon after relays of
// a zone have failed, and that no running instance is held for silent meanwhile.
func TestRelaysAreLost(t *testing.T) {
	const within = 2 * time.Second
	for _, tt := range []struct {
		name string
		lost int
	}{{"one", 1}, {"all of a zone", 3}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := startFleet(ctx, 6, 33)
				time.Sleep(settleTime)
				for _, g := range f.relays("0")[:tt.lost] {
					f.setDown(g)
				}
				silent := 0
				for at := time.Duration(0); at < within; at += 200 * time.Millisecond {
					time.Sleep(200 * time.Millisecond)
					silent = max(silent, f.silent())
				}
				for i, g := range f.list {
					f.setWaiting(g, i%5)
				}
				time.Sleep(f.list[0].Lag() + 3*linkDelay)
				if got := f.uninformed(); len(got) > 0 {
					t.Errorf("got %d instances that lack counts %v after the loss, want none: %v", len(got), within, got)
				}
				if silent > 0 {
					t.Errorf("got up to %d running instances held for silent, want none", silent)
				}
			})
		})
	}
}

// TestDeadConnectionsAreReplaced checks that instances whose connections to all their relays
// silently lose messages are heard again, though their relays still reach them.
func TestDeadConnectionsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := startFleet(ctx, 6, 33)
		time.Sleep(settleTime)
		g := f.list[0]
		if isRelaying(g) {
			g = f.list[1]
		}
		f.network.mu.Lock()
		for _, relay := range f.list {
			if relay.Self.Zone == g.Self.Zone {
				f.network.dead[[2]string{g.Self.PeerAddr, relay.Self.PeerAddr}] = true
			}
		}
		f.network.mu.Unlock()
		time.Sleep(4 * time.Second)
		f.setWaiting(g, 9)
		time.Sleep(g.Lag() + 3*linkDelay)
		if got := f.uninformed(); len(got) > 0 {
			t.Errorf("got %d instances that lack counts, want none: %v", len(got), got)
		}
	})
}
