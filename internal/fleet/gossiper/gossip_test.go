package gossiper

import (
	"flag"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuebank"
)

// The seed is fixed, so that each run gives the same verdict. -rapid.seed=0
// draws a fresh one.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// TestOthersIsTheSumOfTheLivePeers compares the kept sums with an oracle that adds up
// the newest news of every live peer, while peers talk, fall silent, start again and go.
func TestOthersIsTheSumOfTheLivePeers(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		r, clock := newRoster(outer, true)
		type peer struct {
			incarnation int
			sequence    uint64
			heard       time.Time
			news        *fescuebank.Gossip
		}
		peers := map[fescuebank.InstanceID]*peer{}
		version := fescuebank.StoreVersion(0)
		show := func() {
			version++
			var list []fescuebank.MemberEntry
			for id, p := range peers {
				list = append(list, owner(id, fescuebank.Incarnation(fmt.Sprint(p.incarnation))))
			}
			entries(r, version, list...)
		}
		pick := func(t *rapid.T) fescuebank.InstanceID {
			return fescuebank.InstanceID(fmt.Sprintf("p%d", rapid.IntRange(0, 4).Draw(t, "peer")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				id := pick(t)
				if peers[id] == nil {
					peers[id] = &peer{incarnation: 1}
				}
				show()
			},
			"restart": func(t *rapid.T) {
				if p := peers[pick(t)]; p != nil {
					*p = peer{incarnation: p.incarnation + 1}
				}
				show()
			},
			"leave": func(t *rapid.T) {
				delete(peers, pick(t))
				show()
			},
			"talk": func(t *rapid.T) {
				id := pick(t)
				p := peers[id]
				if p == nil {
					return
				}
				p.sequence++
				p.heard = clock.now
				p.news = &fescuebank.Gossip{
					From: id, Incarnation: fescuebank.Incarnation(fmt.Sprint(p.incarnation)), Sequence: p.sequence,
					Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"),
					Online:  fescuebank.EndpointCounts{fescuebank.EndpointTag(rapid.IntRange(1, 3).Draw(t, "endpoint")): rapid.IntRange(1, 8).Draw(t, "count")},
					Batch:   fescuebank.EndpointCounts{fescuebank.EndpointTag(rapid.IntRange(1, 3).Draw(t, "endpoint")): rapid.IntRange(1, 8).Draw(t, "count")},
				}
				hear(r, *p.news)
			},
			"wait": func(t *rapid.T) {
				clock.now = clock.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
				r.check(outer.Context())
			},
			"": func(t *rapid.T) {
				want, waiting, batch := fescuebank.EndpointCounts{}, 0, 0
				for _, p := range peers {
					if p.news != nil && clock.now.Sub(p.heard) < leastSuspect {
						want.Add(p.news.Online)
						want.Add(p.news.Batch)
						batch += p.news.Batch.Sum()
						waiting += p.news.Waiting
					}
				}
				got, gotWaiting, gotBatch := r.PeerTotals()
				if !maps.Equal(got, want) || gotWaiting != waiting || gotBatch != batch {
					t.Fatalf("got %v, %d waiting, %d of batch, want %v, %d, %d", got, gotWaiting, gotBatch, want, waiting, batch)
				}
			},
		})
	})
}

// TestPaceBoundsWhatAnInstanceSends holds the messages that an instance sends in a
// second to a bound that doesn't grow with the fleet, and what it tells at once too.
func TestPaceBoundsWhatAnInstanceSends(t *testing.T) {
	const most = 900
	for _, tt := range []struct {
		peers int
		// suspect is the longest silence that may go unnoticed.
		suspect time.Duration
	}{
		{10, time.Second}, {60, 1500 * time.Millisecond}, {77, 1500 * time.Millisecond}, {400, 8 * time.Second},
	} {
		p := pace(tt.peers)
		sent := float64(tt.peers) * (1/p.change().Seconds() + 1/p.beat().Seconds())
		if sent > most {
			t.Errorf("%d peers: got %.0f messages a second, want %d at most", tt.peers, sent, most)
		}
		if got := p.suspect(); got > tt.suspect {
			t.Errorf("%d peers: got %v until a silent one is left out, want %v at most", tt.peers, got, tt.suspect)
		}
	}
}

// TestEveryRunIsToldOfInTurn has each of 60 peers heard of before this instance would
// count as deaf to it.
func TestEveryRunIsToldOfInTurn(t *testing.T) {
	r, _ := newRoster(t, true)
	var list []fescuebank.MemberEntry
	for i := range 60 {
		list = append(list, owner(fescuebank.InstanceID(fmt.Sprintf("p%d", i)), "1"))
	}
	entries(r, 1, list...)
	for _, e := range list {
		hear(r, fescuebank.Gossip{From: e.ID, Incarnation: "1", Sequence: 1})
	}
	told := map[fescuebank.IncarnationTag]bool{}
	pace := r.currentPace()
	for at := time.Duration(0); at < pace.deaf(); at += pace.beat() {
		for tag := range r.tell() {
			told[tag] = true
		}
	}
	if got := len(told); got != len(list) {
		t.Errorf("got %d runs told of, want all %d", got, len(list))
	}
}
