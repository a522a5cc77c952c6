package ranker_test

import (
	"fmt"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/ranker"
)

var began = time.Unix(1_000_000, 0)

func team(i int) fescuebank.TeamID {
	return fescuebank.TeamID(fmt.Sprintf("team-%d", i))
}

// newRanker returns a ranker of n teams with the same limit.
func newRanker(n int) *ranker.Ranker {
	r := ranker.New()
	rates := make(map[fescuebank.TeamID]fescuebank.RequestRate)
	for i := range n {
		rates[team(i)] = 10
	}
	r.SetRates(rates)
	return r
}

func TestTeamFarAboveItsShareIsBehind(t *testing.T) {
	for _, tt := range []struct {
		name string
		// requests is the number of requests of team 0 beside 10 of each other team, and
		// peerUse its use at other instances.
		requests, peerUse int
		resuming          bool
		elapsed           time.Duration
		want              bool
	}{
		{"usual rate", 10, 0, false, 0, false},
		{"chance", 15, 0, false, 0, false},
		{"eight times", 80, 0, false, 0, true},
		{"eight times elsewhere", 1, 600, false, 0, true},
		{"a stream that has begun", 80, 0, true, 0, false},
		{"long ago", 80, 0, false, 15 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newRanker(20)
			for i := range 20 {
				for range 10 {
					r.Record(team(i), 0, began)
				}
			}
			for range tt.requests - 10 {
				r.Record(team(0), 0, began)
			}
			if tt.peerUse > 0 {
				r.SetPeers(fescuebank.SlotDemand{Use: 2000, Teams: map[fescuebank.TeamTag]int{team(0).Tag(): tt.peerUse}})
			}
			now := began.Add(tt.elapsed)
			if got := r.IsBehind(ranker.Request{Team: team(0), Resuming: tt.resuming}, now); got != tt.want {
				t.Errorf("got behind %t, want %t (%+v)", got, tt.want, r.Share(team(0), now))
			}
			if r.IsBehind(ranker.Request{Team: team(1)}, now) {
				t.Errorf("got a team at its usual rate behind, want it before the others (%+v)", r.Share(team(1), now))
			}
		})
	}
}

func TestSharesFollowTheLimits(t *testing.T) {
	r := ranker.New()
	r.SetRates(map[fescuebank.TeamID]fescuebank.RequestRate{"large": 90, "small": 10, "unlimited": 0})
	r.Record("unlimited", 0, began)
	for range 90 {
		r.Record("large", 0, began)
	}
	for range 60 {
		r.Record("small", 0, began)
	}
	for team, want := range map[fescuebank.TeamID]bool{"large": false, "small": true, "unlimited": false, "": false} {
		if got := r.IsBehind(ranker.Request{Team: team}, began); got != want {
			t.Errorf("team %q: got behind %t, want %t (%+v)", team, got, want, r.Share(team, began))
		}
	}
}

// TestShareOfIdleTeamsBelongsToTheOthers guards against a team that is slowed although nobody else wants
// its slots.
func TestShareOfIdleTeamsBelongsToTheOthers(t *testing.T) {
	r := newRanker(20)
	for range 100 {
		r.Record(team(0), 0, began)
	}
	if share := r.Share(team(0), began); share.IsExceeded() {
		t.Errorf("got %+v for the only team that sends, want its share not exceeded", share)
	}
}

func TestCostCountsRelativeToTheAverage(t *testing.T) {
	r := newRanker(10)
	for range 20 {
		for i := range 10 {
			r.Record(team(i), 1000, began)
		}
	}
	for range 10 {
		r.Record(team(0), 10_000, began)
	}
	if share := r.Share(team(0), began); !share.IsExceeded() {
		t.Errorf("got %+v for a team with large requests, want its share exceeded", share)
	}
}

func TestOrder(t *testing.T) {
	r := newRanker(20)
	for i := range 20 {
		r.Record(team(i), 0, began)
	}
	for range 100 {
		r.Record(team(0), 0, began)
	}
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	first := ranker.Request{Team: team(1), Priority: 1, Deadline: at(200)}
	for _, tt := range []struct {
		name   string
		before ranker.Request
		after  ranker.Request
	}{
		{"a stream that has begun", ranker.Request{Team: team(0), Resuming: true, Priority: 3, Deadline: at(900)}, first},
		{"team within its share", ranker.Request{Team: team(1), Priority: 2, Deadline: at(900)}, ranker.Request{Team: team(0), Deadline: at(100)}},
		{"priority", first, ranker.Request{Team: team(2), Priority: 2, Deadline: at(100)}},
		{"deadline", first, ranker.Request{Team: team(2), Priority: 1, Deadline: at(201)}},
		{"returned after a refusal", ranker.Request{Team: team(2), Priority: 1, Spent: 950 * time.Millisecond, Deadline: at(250)}, first},
		{"both returned", ranker.Request{Team: team(2), Priority: 1, Spent: 950 * time.Millisecond, Deadline: at(250)}, ranker.Request{Team: team(3), Priority: 1, Spent: 750 * time.Millisecond, Deadline: at(250)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := r.Compare(tt.before, tt.after, began); got >= 0 {
				t.Errorf("got %d, want a negative number", got)
			}
			if got := r.Compare(tt.after, tt.before, began); got <= 0 {
				t.Errorf("reversed: got %d, want a positive number", got)
			}
		})
	}
}

func TestReportIsBounded(t *testing.T) {
	r := newRanker(100)
	for i := range 100 {
		for range i + 1 {
			r.Record(team(i), 0, began)
		}
	}
	got := r.Report(began)
	const wantTeams = 6
	if len(got.Teams) != wantTeams || got.Teams[team(99).Tag()] != 100 || got.Use != 5050 {
		t.Errorf("got %+v, want the %d teams with the highest use of 5050", got, wantTeams)
	}
}

func TestTimeBehindEndsNearTheShare(t *testing.T) {
	r := newRanker(20)
	for i := range 20 {
		for range 200 {
			r.Record(team(i), 0, began)
		}
	}
	for range 200 {
		r.Record(team(0), 0, began)
	}
	request := ranker.Request{Team: team(0)}
	got := r.TimeBehind(request, began)
	if got <= 0 || r.TimeBehind(ranker.Request{Team: team(1)}, began) != 0 {
		t.Fatalf("got %v, want a time for the team above its share alone", got)
	}
	// The others go on to use their shares. The share shrinks a little with the use of the team itself.
	later := began.Add(got * 5 / 4)
	for i := 1; i < 20; i++ {
		for r.Share(team(i), later).Use < 200 {
			r.Record(team(i), 0, later)
		}
	}
	if r.IsBehind(request, later) {
		t.Errorf("got the team behind after %v (%+v), want it within its share", got, r.Share(team(0), later))
	}
}
