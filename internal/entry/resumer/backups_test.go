package resumer

import (
	"fmt"
	"slices"
	"testing"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
)

// makePeers returns live peers in zones of the given sizes.
func makePeers(zoneSizes ...int) []gossiper.Peer {
	var peers []gossiper.Peer
	for zone, size := range zoneSizes {
		for i := range size {
			peers = append(peers, gossiper.Peer{Alive: true, MemberEntry: fescuebank.MemberEntry{
				ID: fescuebank.InstanceID(fmt.Sprintf("entry-%d-%d", zone, i)), Zone: fescuebank.Zone(fmt.Sprintf("zone-%d", zone)),
			}})
		}
	}
	return peers
}

func backupsOf(peers []gossiper.Peer, key string) []member {
	order := rank(candidates(peers, toStore, storeCandidates), key)
	return order[:min(len(order), copies)]
}

func TestLossOfAZoneLeavesACopyInEachOther(t *testing.T) {
	for _, tt := range []struct {
		zoneSizes []int
		wantZones int
	}{
		{[]int{4, 4, 4}, 3}, {[]int{1, 5, 5}, 3}, {[]int{6, 5}, 2}, {[]int{1, 10}, 2}, {[]int{11}, 1},
		{[]int{3, 3, 3, 2}, 4}, {[]int{3, 2, 2, 2, 2}, 4}, {[]int{67, 66, 66}, 3}, {[]int{190, 5, 4}, 3}, {[]int{1}, 1}, {nil, 0},
	} {
		peers := makePeers(tt.zoneSizes...)
		for i := range 200 {
			backups := backupsOf(peers, fmt.Sprintf("request-%d", i))
			zones := make(map[fescuebank.Zone]bool)
			for _, m := range backups {
				zones[m.zone] = true
			}
			if len(zones) != tt.wantZones || len(backups) != min(copies, len(peers)) {
				t.Fatalf("zones of %v: got %d backups in %d zones, want %d in %d", tt.zoneSizes, len(backups), len(zones), min(copies, len(peers)), tt.wantZones)
			}
		}
	}
}

func TestBackupsAreFoundAfterTheViewOfTheFleetChanged(t *testing.T) {
	silence := func(p *gossiper.Peer) { p.Alive = false }
	leave := func(p *gossiper.Peer) { p.Gossip.Leaving = true }
	restart := func(p *gossiper.Peer) { p.Incarnation = "next" }
	for _, tt := range []struct {
		name      string
		zoneSizes []int
		change    func(*gossiper.Peer)
		// every is the share of the members that change: one in every.
		every int
		// asked is the number of members among which all surviving backups must be.
		asked int
	}{
		{"one of 12 silent", []int{4, 4, 3}, silence, 11, askedAtOnce},
		{"half of 12 silent", []int{4, 4, 3}, silence, 2, askedAtOnce},
		{"half of 12 silent in one zone", []int{11}, silence, 2, askedAtOnce},
		{"half of 12 leaving", []int{4, 4, 3}, leave, 2, askedAtOnce},
		{"all restarted", []int{4, 4, 3}, restart, 1, copies},
		{"one of ten of 200 silent", []int{67, 66, 66}, silence, 10, askCandidates},
		{"half of 200 leaving", []int{67, 66, 66}, leave, 2, askCandidates},
		{"half of 200 silent", []int{67, 66, 66}, silence, 2, askCandidates},
	} {
		before, after := makePeers(tt.zoneSizes...), makePeers(tt.zoneSizes...)
		live := make(map[fescuebank.InstanceID]bool)
		for i := range after {
			if i%tt.every == 0 {
				tt.change(&after[i])
			}
			live[after[i].ID] = after[i].Alive
		}
		for i := range 200 {
			key := fmt.Sprintf("request-%d", i)
			order := rank(candidates(after, toAsk, askCandidates), key)
			asked := order[:min(len(order), tt.asked)]
			for _, b := range backupsOf(before, key) {
				isAsked := slices.ContainsFunc(asked, func(m member) bool { return m.id == b.id })
				if live[b.id] && !isAsked {
					t.Fatalf("%s: surviving backup %s of %s: got not among the first %d to ask, want among them", tt.name, b.id, key, tt.asked)
				}
			}
		}
	}
}

func TestBackupsAreFoundIfTheInstanceThatBeganTheStreamIsACandidate(t *testing.T) {
	peers := makePeers(67, 66, 66)
	asking := slices.Concat(peers[:66], peers[67:])
	for i := range 66 {
		storing := slices.Concat(peers[:i], peers[i+1:])
		for k := range 10 {
			key := fmt.Sprintf("request-%d-%d", i, k)
			order := rank(candidates(asking, toAsk, askCandidates), key)
			for _, b := range backupsOf(storing, key) {
				if b.id != peers[66].ID && !slices.ContainsFunc(order, func(m member) bool { return m.id == b.id }) {
					t.Fatalf("backup %s of %s: got not among those to ask, want among them", b.id, key)
				}
			}
		}
	}
}

func TestSilentAndLeavingMembersAreSelectedLast(t *testing.T) {
	peers := makePeers(2, 2, 2)
	peers[0].Alive, peers[2].Gossip.Leaving, peers[4].Gossip.Leaving = false, true, true
	for i := range 100 {
		order := rank(candidates(peers, toStore, storeCandidates), fmt.Sprintf("request-%d", i))
		var got []preference
		for _, m := range order {
			got = append(got, m.preference)
		}
		want := []preference{preferred, preferred, preferred, leavingLast, leavingLast, silentLast}
		if !slices.Equal(got, want) {
			t.Fatalf("got preferences %v, want %v", got, want)
		}
	}
}

func TestLargeFleetNeedsConnectionsToFewInstances(t *testing.T) {
	used := make(map[fescuebank.InstanceID]int)
	peers := makePeers(67, 66, 66)
	const requests = 2400
	for i := range requests {
		for _, m := range backupsOf(peers, fmt.Sprintf("request-%d", i)) {
			used[m.id]++
		}
	}
	if len(used) > storeCandidates {
		t.Errorf("got %d backups in use, want at most %d", len(used), storeCandidates)
	}
	for id, n := range used {
		if mean := requests * copies / storeCandidates; n > mean*3/2 {
			t.Errorf("%s: got %d records, want at most %d", id, n, mean*3/2)
		}
	}
}
