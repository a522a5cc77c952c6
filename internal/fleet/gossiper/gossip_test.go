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

// The seed is fixed, so that each run tests the same cases. -rapid.seed=0 draws a random
// one.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// TestPeerTotalsAreTheSumsOfTheLivePeers compares the totals, which are updated
// incrementally, with an oracle that adds up the newest gossip of every live peer, while
// peers send gossip, become silent, restart and leave.
func TestPeerTotalsAreTheSumsOfTheLivePeers(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		g, clock := newGossiper(outer, true)
		type peer struct {
			incarnation int
			sequence    uint64
			receivedAt  time.Time
			gossip      *fescuebank.Gossip
		}
		peers := map[fescuebank.InstanceID]*peer{}
		version := fescuebank.StoreVersion(0)
		applyAll := func() {
			version++
			var list []fescuebank.MemberEntry
			for id, p := range peers {
				list = append(list, owner(id, fescuebank.Incarnation(fmt.Sprint(p.incarnation))))
			}
			applyEntries(g, version, list...)
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
				applyAll()
			},
			"restart": func(t *rapid.T) {
				if p := peers[pick(t)]; p != nil {
					*p = peer{incarnation: p.incarnation + 1}
				}
				applyAll()
			},
			"leave": func(t *rapid.T) {
				delete(peers, pick(t))
				applyAll()
			},
			"talk": func(t *rapid.T) {
				id := pick(t)
				p := peers[id]
				if p == nil {
					return
				}
				p.sequence++
				p.receivedAt = clock.now
				p.gossip = &fescuebank.Gossip{
					From: id, Incarnation: fescuebank.Incarnation(fmt.Sprint(p.incarnation)), Sequence: p.sequence,
					Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"),
					Online:  fescuebank.EndpointCounts{fescuebank.EndpointTag(rapid.IntRange(1, 3).Draw(t, "endpoint")): rapid.IntRange(1, 8).Draw(t, "count")},
					Batch:   fescuebank.EndpointCounts{fescuebank.EndpointTag(rapid.IntRange(1, 3).Draw(t, "endpoint")): rapid.IntRange(1, 8).Draw(t, "count")},
				}
				if rapid.Bool().Draw(t, "short") {
					p.gossip.Demand = &fescuebank.SlotDemand{
						Use: rapid.IntRange(0, 9).Draw(t, "use"), Behind: rapid.IntRange(0, 9).Draw(t, "behind"), Returning: rapid.IntRange(0, 9).Draw(t, "returning"),
						Teams: map[fescuebank.TeamTag]int{fescuebank.TeamTag(rapid.IntRange(1, 3).Draw(t, "team")): rapid.IntRange(1, 8).Draw(t, "teamUse")},
					}
				}
				if rapid.Bool().Draw(t, "several services") {
					p.gossip.WaitingAt = fescuebank.ServiceCounts{fescuebank.ServiceName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")): rapid.IntRange(1, 9).Draw(t, "waitingAt")}
				}
				receive(g, *p.gossip)
			},
			"wait": func(t *rapid.T) {
				clock.now = clock.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
				g.checkPeers(outer.Context())
			},
			"": func(t *rapid.T) {
				want, waiting, batch := fescuebank.EndpointCounts{}, 0, 0
				var demand fescuebank.SlotDemand
				waitingAt := fescuebank.ServiceCounts{}
				for _, p := range peers {
					if p.gossip != nil && clock.now.Sub(p.receivedAt) < minSuspectTimeout {
						want.Add(p.gossip.Online)
						want.Add(p.gossip.Batch)
						batch += p.gossip.Batch.Sum()
						waiting += p.gossip.Waiting
						demand.Add(p.gossip.Demand)
						waitingAt.Add(p.gossip.WaitingAt)
					}
				}
				got, gotWaiting, gotBatch := g.PeerTotals()
				if !maps.Equal(got, want) || gotWaiting != waiting || gotBatch != batch {
					t.Fatalf("got %v, %d waiting, %d of batch, want %v, %d, %d", got, gotWaiting, gotBatch, want, waiting, batch)
				}
				if got := g.PeerWaitingAt(); !maps.Equal(got, waitingAt) {
					t.Fatalf("got %v waiting at services, want %v", got, waitingAt)
				}
				if got := g.PeerDemand(); got.Use != demand.Use || got.Behind != demand.Behind || got.Returning != demand.Returning || !maps.Equal(got.Teams, demand.Teams) {
					t.Fatalf("got demand %+v, want %+v", got, demand)
				}
			},
		})
	})
}

// TestIntervalsBoundTheMessageRate checks that the number of messages per second, heartbeats
// and updates together, stays below a bound that doesn't grow with the fleet.
func TestIntervalsBoundTheMessageRate(t *testing.T) {
	const maxMessagesPerSecond = 900
	for _, tt := range []struct {
		peers int
		// fanout is the number of peers that an instance sends to.
		fanout int
		// suspect is the longest suspect timeout allowed.
		suspect time.Duration
	}{
		{10, 10, time.Second}, {60, 60, 1500 * time.Millisecond}, {77, 77, 1500 * time.Millisecond}, {400, 400, 8 * time.Second},
		{195, 47, 2 * time.Second}, {400, 82, 4 * time.Second},
	} {
		intervals := intervals{members: tt.peers, fanout: tt.fanout}
		sent := float64(tt.fanout) * (1/intervals.update().Seconds() + 1/intervals.heartbeat().Seconds())
		if sent > maxMessagesPerSecond {
			t.Errorf("%d peers: got %.0f messages a second, want at most %d", tt.peers, sent, maxMessagesPerSecond)
		}
		if got := intervals.suspectTimeout(); got > tt.suspect {
			t.Errorf("%d peers: got a suspect timeout of %v, want at most %v", tt.peers, got, tt.suspect)
		}
	}
}

// TestEveryIncarnationIsReportedInTurn checks that each of 60 peers gets an acknowledgement
// before its acknowledgement timeout, though one message acknowledges only some of them.
func TestEveryIncarnationIsReportedInTurn(t *testing.T) {
	g, _ := newGossiper(t, true)
	var list []fescuebank.MemberEntry
	for i := range 60 {
		list = append(list, owner(fescuebank.InstanceID(fmt.Sprintf("p%d", i)), "1"))
	}
	applyEntries(g, 1, list...)
	for _, e := range list {
		receive(g, fescuebank.Gossip{From: e.ID, Incarnation: "1", Sequence: 1})
	}
	reported := map[fescuebank.IncarnationTag]bool{}
	intervals := g.currentIntervals()
	for at := time.Duration(0); at < intervals.ackTimeout(); at += intervals.heartbeat() {
		for tag := range g.nextReports() {
			reported[tag] = true
		}
	}
	if got := len(reported); got != len(list) {
		t.Errorf("got %d incarnations reported, want all %d", got, len(list))
	}
}
