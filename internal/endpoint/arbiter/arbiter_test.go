package arbiter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuebank"
	"fescuebank/internal/endpoint/arbiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func equalWeight(fescuebank.TeamID) float64 { return 1 }

// TestTeamsShareByWeightAcrossInstances has two teams wait at different numbers of
// instances. Each team's limit over all instances must follow its weight, not the number
// of instances that it uses.
func TestTeamsShareByWeightAcrossInstances(t *testing.T) {
	for _, tt := range []struct {
		name    string
		weights map[fescuebank.TeamID]float64
		// demands are the waiting requests by instance and team.
		demands []map[fescuebank.TeamID]int
		want    map[fescuebank.TeamID]int
	}{
		{
			"one team at three instances, the other at one",
			map[fescuebank.TeamID]float64{"a": 1, "b": 1},
			[]map[fescuebank.TeamID]int{{"a": 40}, {"a": 40}, {"a": 40}, {"b": 40}},
			map[fescuebank.TeamID]int{"a": 15, "b": 15},
		},
		{
			"weights",
			map[fescuebank.TeamID]float64{"a": 2, "b": 1},
			[]map[fescuebank.TeamID]int{{"a": 40}, {"b": 40}},
			map[fescuebank.TeamID]int{"a": 20, "b": 10},
		},
		{
			"a small demand is met in full",
			map[fescuebank.TeamID]float64{"a": 1, "b": 1},
			[]map[fescuebank.TeamID]int{{"a": 100}, {"b": 4}},
			map[fescuebank.TeamID]int{"a": 26, "b": 4},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := arbiter.New(func(id fescuebank.TeamID) float64 { return tt.weights[id] }, 0)
			got := map[fescuebank.TeamID]int{}
			for round := range 2 {
				for n, demands := range tt.demands {
					u := fescuebank.EndpointUse{ID: "e"}
					for team, count := range demands {
						u.Demands = append(u.Demands, fescuebank.TeamDemand{Team: team, Count: count})
					}
					credit := a.Allocate(start, fescuebank.InstanceID(fmt.Sprint(n)), uint64(round+1), u, 29)
					if round == 0 {
						continue
					}
					for team := range demands {
						got[team] += credit.Limit
					}
				}
			}
			for team, want := range tt.want {
				if got[team] < want-1 || got[team] > want+1 {
					t.Errorf("%s: got %d slots over all instances, want %d", team, got[team], want)
				}
			}
		})
	}
}

// TestBatchLimitLeavesFreeSlot checks that batch and online requests together leave a slot
// free, and that notices that arrive late change nothing.
func TestBatchLimitLeavesFreeSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 16
		a := arbiter.New(equalWeight, 0.08)
		now := start
		uses := map[fescuebank.InstanceID]int{}
		sequence := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"notice": func(t *rapid.T) {
				sequence++
				id := fescuebank.InstanceID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "instance")))
				uses[id] = rapid.IntRange(0, 8).Draw(t, "online")
				a.Allocate(now, id, sequence, fescuebank.EndpointUse{ID: "e", Online: uses[id]}, slots)
			},
			"late": func(t *rapid.T) {
				if sequence == 0 {
					return
				}
				// A notice older than the newest one changes nothing.
				id := fescuebank.InstanceID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "instance")))
				if _, known := uses[id]; known {
					a.Allocate(now, id, 0, fescuebank.EndpointUse{ID: "e", Online: 16}, slots)
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "milliseconds")) * time.Millisecond)
				for id, online := range uses {
					sequence++
					a.Allocate(now, id, sequence, fescuebank.EndpointUse{ID: "e", Online: online}, slots)
				}
			},
			"": func(t *rapid.T) {
				online := 0
				for _, n := range uses {
					online += n
				}
				got := a.BatchLimit(now, "e", slots)
				if got < 0 || got+online >= slots && got > 0 {
					t.Fatalf("got a batch limit of %d with %d online requests, want a free slot out of %d", got, online, slots)
				}
			},
		})
	})
}

// TestIdleEndpointIsFilled checks that batch work keeps slots free shortly after online
// requests rose, and gets nearly all slots after a minute without them.
func TestIdleEndpointIsFilled(t *testing.T) {
	a := arbiter.New(equalWeight, 0.08)
	for n := range 40 {
		a.Allocate(start.Add(time.Duration(n)*time.Millisecond), "i", uint64(n+1), fescuebank.EndpointUse{ID: "e", Online: n % 6}, 16)
	}
	if got := a.BatchLimit(start.Add(40*time.Millisecond), "e", 16); got > 10 {
		t.Errorf("after a rise: got %d, want slots reserved for another rise", got)
	}
	if got := a.BatchLimit(start.Add(time.Minute), "e", 16); got < 14 {
		t.Errorf("a minute later: got %d of 16 slots, want at least 14", got)
	}
}
