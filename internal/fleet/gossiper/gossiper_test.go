package gossiper

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/standin/memorizer"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/linker"
)

// hand is a clock that a test moves.
type hand struct {
	timekeeper.Timekeeper
	now time.Time
}

func (h *hand) Now() time.Time { return h.now }

func newRoster(t *testing.T, owner bool) (*Gossiper, *hand) {
	t.Helper()
	l, err := linker.New("127.0.0.1:0", timekeeper.Timekeeper{}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	clock := &hand{now: time.Unix(1_000_000, 0)}
	return New(Config{
		Self:  fescuebank.MemberEntry{ID: "me", Incarnation: "me1", Owner: owner},
		Store: &memorizer.Memorizer{}, Linker: l, Clock: clock, Log: hclog.NewNullLogger(),
		Fill: func(*fescuebank.Gossip) {}, OnGossip: func(*fescuebank.Gossip) {}, OnConnectionsStalled: func() {},
		OnAcknowledged: func(fescuebank.Holder, fescuebank.FencingNumber) {},
	}), clock
}

// entries shows the gossiper the entries of the store.
func entries(r *Gossiper, version fescuebank.StoreVersion, list ...fescuebank.MemberEntry) {
	var objects []fescuebank.Object
	for _, e := range list {
		value, _ := json.Marshal(e)
		objects = append(objects, fescuebank.Object{Key: fescuebank.MemberPrefix + string(e.ID), Value: value, Version: version})
	}
	r.Apply(objects)
}

func hear(r *Gossiper, n fescuebank.Gossip) {
	r.hear(func(into any) error {
		*into.(*fescuebank.Gossip) = n
		return nil
	})
}

func find(t *testing.T, r *Gossiper, id fescuebank.InstanceID) Peer {
	t.Helper()
	for _, p := range r.Peers() {
		if p.ID == id {
			return p
		}
	}
	t.Fatalf("got no peer %s, want it", id)
	return Peer{}
}

func owner(id fescuebank.InstanceID, run fescuebank.Incarnation) fescuebank.MemberEntry {
	return fescuebank.MemberEntry{ID: id, Incarnation: run, Owner: true, PeerAddr: "127.0.0.1:1"}
}

func run(id fescuebank.InstanceID, incarnation fescuebank.Incarnation) fescuebank.IncarnationTag {
	return fescuebank.Holder{ID: id, Incarnation: incarnation}.Tag()
}

func TestPeerThatOthersHearIsReachable(t *testing.T) {
	for _, tt := range []struct {
		name string
		// early is set where the news of the peer's later run come before its entry.
		early bool
	}{{"entry before news", false}, {"news before entry", true}} {
		t.Run(tt.name, func(t *testing.T) {
			r, clock := newRoster(t, true)
			entries(r, 1, owner("far", "far1"), owner("third", "third1"))
			hear(r, fescuebank.Gossip{From: "far", Incarnation: "far1", Sequence: 5000})
			hear(r, fescuebank.Gossip{From: "third", Incarnation: "third1", Sequence: 1, Received: map[fescuebank.IncarnationTag]fescuebank.ReceivedFrom{
				run("far", "far1"): {Sequence: 5000},
			}})
			// The peer starts again and counts from 1; then only a third hears it.
			first := fescuebank.Gossip{From: "far", Incarnation: "far2", Sequence: 1}
			if tt.early {
				hear(r, first)
			}
			entries(r, 2, owner("far", "far2"), owner("third", "third1"))
			if !tt.early {
				hear(r, first)
			}
			clock.now = clock.now.Add(2 * time.Second)
			hear(r, fescuebank.Gossip{From: "third", Incarnation: "third1", Sequence: 2, Received: map[fescuebank.IncarnationTag]fescuebank.ReceivedFrom{
				run("far", "far2"): {Sequence: 9},
			}})
			if p := find(t, r, "far"); p.Alive || !p.Reachable {
				t.Errorf("got alive %v, reachable %v for a peer that a third hears, want reachable alone", p.Alive, p.Reachable)
			}
			clock.now = clock.now.Add(2 * time.Second)
			if p := find(t, r, "far"); p.Reachable {
				t.Error("got reachable 2 s after the last sign, want not")
			}
		})
	}
}

func TestChangeOfTheEntryShowsThatAPeerLives(t *testing.T) {
	r, clock := newRoster(t, true)
	entries(r, 1, owner("far", "far1"))
	hear(r, fescuebank.Gossip{From: "far", Incarnation: "far1", Sequence: 1})
	clock.now = clock.now.Add(5 * time.Second)
	if find(t, r, "far").Reachable {
		t.Error("got reachable after 5 s of silence, want not")
	}
	entries(r, 2, owner("far", "far1"))
	if !find(t, r, "far").Reachable {
		t.Error("got not reachable right after a change of the entry, want reachable")
	}
}

func TestWhoBeats(t *testing.T) {
	for _, tt := range []struct {
		name string
		// heard are the peers that are heard, of three; beat is set where a silent
		// one's entry changed.
		heard []fescuebank.InstanceID
		beat  bool
		want  bool
	}{
		{"all heard", []fescuebank.InstanceID{"a", "b", "c"}, false, false},
		{"one silent", []fescuebank.InstanceID{"a", "b"}, false, false},
		{"one silent that beats", []fescuebank.InstanceID{"a", "b"}, true, true},
		{"most silent", []fescuebank.InstanceID{"a"}, false, true},
	} {
		r, clock := newRoster(t, true)
		list := []fescuebank.MemberEntry{owner("a", "1"), owner("b", "1"), owner("c", "1")}
		entries(r, 1, list...)
		clock.now = clock.now.Add(3 * time.Second)
		for _, id := range tt.heard {
			hear(r, fescuebank.Gossip{From: id, Incarnation: "1", Sequence: 1})
		}
		if tt.beat {
			entries(r, 2, list...)
		}
		if got := r.mustBeat(); got != tt.want {
			t.Errorf("%s: got beating %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestOldNewsAreIgnored(t *testing.T) {
	r, _ := newRoster(t, false)
	entries(r, 1, owner("a", "1"))
	hear(r, fescuebank.Gossip{From: "a", Incarnation: "1", Sequence: 7, Waiting: 3})
	hear(r, fescuebank.Gossip{From: "a", Incarnation: "1", Sequence: 6, Waiting: 9})
	if _, waiting, _ := r.PeerTotals(); waiting != 3 {
		t.Errorf("got %d waiting, want 3 by the newest news", waiting)
	}
}
