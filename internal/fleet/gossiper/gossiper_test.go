package gossiper

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/linker"
)

// manualClock is a clock that a test advances.
type manualClock struct {
	timekeeper.Timekeeper
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

func newGossiper(t *testing.T, owner bool) (*Gossiper, *manualClock) {
	t.Helper()
	l, err := linker.New("127.0.0.1:0", timekeeper.Timekeeper{}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	clock := &manualClock{now: time.Unix(1_000_000, 0)}
	return New(Config{
		Self:  fescuebank.MemberEntry{ID: "me", Incarnation: "me1", Owner: owner},
		Store: &memorystorer.MemoryStorer{}, Linker: l, Clock: clock, Log: hclog.NewNullLogger(),
		Fill: func(*fescuebank.Gossip, bool) {}, OnGossip: func([]fescuebank.Gossip) {}, OnConnectionsStalled: func() {},
		StoreUnreachable: func() bool { return false }, OnTargets: func() {},
		OnAcknowledged: func(fescuebank.Holder, fescuebank.FencingNumber) {},
	}), clock
}

// applyEntries applies member entries as if they had been read from the store.
func applyEntries(g *Gossiper, version fescuebank.StoreVersion, list ...fescuebank.MemberEntry) {
	var objects []fescuebank.Object
	for _, e := range list {
		value, _ := json.Marshal(e)
		objects = append(objects, fescuebank.Object{Key: fescuebank.MemberPrefix + string(e.ID), Value: value, Version: version})
	}
	g.ApplyObjects(objects, version)
}

// receive applies a gossip message as if it had arrived from a peer.
func receive(g *Gossiper, msg fescuebank.Gossip) {
	g.handleGossip(func(into any) error {
		*into.(*fescuebank.Gossip) = msg
		return nil
	})
}

func findPeer(t *testing.T, g *Gossiper, id fescuebank.InstanceID) Peer {
	t.Helper()
	for _, p := range g.Peers() {
		if p.ID == id {
			return p
		}
	}
	t.Fatalf("got no peer %s, want it", id)
	return Peer{}
}

func owner(id fescuebank.InstanceID, incarnation fescuebank.Incarnation) fescuebank.MemberEntry {
	return fescuebank.MemberEntry{ID: id, Incarnation: incarnation, Owner: true, PeerAddr: "127.0.0.1:1"}
}

func tagOf(id fescuebank.InstanceID, incarnation fescuebank.Incarnation) fescuebank.IncarnationTag {
	return fescuebank.Holder{ID: id, Incarnation: incarnation}.Tag()
}

// TestPeerReportedByAnotherIsReachable checks that a peer counts as reachable while a third
// instance reports gossip from its current incarnation. The sequence number of an earlier
// incarnation, which is higher here, must not hide the newer reports.
func TestPeerReportedByAnotherIsReachable(t *testing.T) {
	for _, tt := range []struct {
		name string
		// early is set if gossip of the peer's next incarnation arrives before its entry.
		early bool
	}{{"entry before gossip", false}, {"gossip before entry", true}} {
		t.Run(tt.name, func(t *testing.T) {
			g, clock := newGossiper(t, true)
			applyEntries(g, 1, owner("far", "far1"), owner("third", "third1"))
			receive(g, fescuebank.Gossip{From: "far", Incarnation: "far1", Sequence: 5000})
			receive(g, fescuebank.Gossip{From: "third", Incarnation: "third1", Sequence: 1, Received: map[fescuebank.IncarnationTag]fescuebank.ReceivedFrom{
				tagOf("far", "far1"): {Sequence: 5000},
			}})
			// The peer restarts and counts from 1. After that, only a third instance
			// receives its gossip.
			first := fescuebank.Gossip{From: "far", Incarnation: "far2", Sequence: 1}
			if tt.early {
				receive(g, first)
			}
			applyEntries(g, 2, owner("far", "far2"), owner("third", "third1"))
			if !tt.early {
				receive(g, first)
			}
			clock.now = clock.now.Add(2 * time.Second)
			receive(g, fescuebank.Gossip{From: "third", Incarnation: "third1", Sequence: 2, Received: map[fescuebank.IncarnationTag]fescuebank.ReceivedFrom{
				tagOf("far", "far2"): {Sequence: 9},
			}})
			if p := findPeer(t, g, "far"); p.Alive || !p.Reachable {
				t.Errorf("got alive %v, reachable %v for a peer that only a third instance receives from, want reachable and not alive", p.Alive, p.Reachable)
			}
			clock.now = clock.now.Add(2 * time.Second)
			if p := findPeer(t, g, "far"); p.Reachable {
				t.Error("got reachable 2 s after the last report, want not")
			}
		})
	}
}

func TestEntryChangeMakesAPeerReachable(t *testing.T) {
	g, clock := newGossiper(t, true)
	applyEntries(g, 1, owner("far", "far1"))
	receive(g, fescuebank.Gossip{From: "far", Incarnation: "far1", Sequence: 1})
	clock.now = clock.now.Add(5 * time.Second)
	if findPeer(t, g, "far").Reachable {
		t.Error("got reachable after 5 s of silence, want not")
	}
	applyEntries(g, 2, owner("far", "far1"))
	if !findPeer(t, g, "far").Reachable {
		t.Error("got not reachable right after a change of the entry, want reachable")
	}
}

// TestWhenOwnersSendHeartbeats checks that an owner writes heartbeats to its member entry if
// most other owners are silent, or if a silent one writes heartbeats itself.
func TestWhenOwnersSendHeartbeats(t *testing.T) {
	for _, tt := range []struct {
		name string
		// received are those of the three peers that gossip is received from.
		// heartbeat is set if the entry of a silent one changed.
		received  []fescuebank.InstanceID
		heartbeat bool
		want      bool
	}{
		{"gossip from all", []fescuebank.InstanceID{"a", "b", "c"}, false, false},
		{"one silent", []fescuebank.InstanceID{"a", "b"}, false, false},
		{"one silent that sends heartbeats", []fescuebank.InstanceID{"a", "b"}, true, true},
		{"most silent", []fescuebank.InstanceID{"a"}, false, true},
	} {
		g, clock := newGossiper(t, true)
		list := []fescuebank.MemberEntry{owner("a", "1"), owner("b", "1"), owner("c", "1")}
		applyEntries(g, 1, list...)
		clock.now = clock.now.Add(3 * time.Second)
		for _, id := range tt.received {
			receive(g, fescuebank.Gossip{From: id, Incarnation: "1", Sequence: 1})
		}
		if tt.heartbeat {
			applyEntries(g, 2, list...)
		}
		if got := g.mustHeartbeat(); got != tt.want {
			t.Errorf("%s: got heartbeats %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestOldGossipIsIgnored(t *testing.T) {
	g, _ := newGossiper(t, false)
	applyEntries(g, 1, owner("a", "1"))
	receive(g, fescuebank.Gossip{From: "a", Incarnation: "1", Sequence: 7, Waiting: 3})
	receive(g, fescuebank.Gossip{From: "a", Incarnation: "1", Sequence: 6, Waiting: 9})
	if _, waiting, _ := g.PeerTotals(); waiting != 3 {
		t.Errorf("got %d waiting, want 3 by the newest gossip", waiting)
	}
}
