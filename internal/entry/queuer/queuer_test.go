package queuer_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"fescuebank"
	"fescuebank/internal/entry/queuer"
)

func item(team string, cost int) *queuer.Item {
	return &queuer.Item{Team: fescuebank.TeamID(team), Weight: 1, Cost: fescuebank.Tokens(cost)}
}

// TestServesEachOnceInOrder checks the queue against a list per team: no request is lost
// or duplicated, and each team's requests keep their order.
func TestServesEachOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queuer.New(8)
		waiting := map[fescuebank.TeamID][]*queuer.Item{}
		length := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := item(fmt.Sprint("team-", rapid.IntRange(0, 3).Draw(t, "team")), rapid.IntRange(1, 100).Draw(t, "cost"))
				want := len(waiting[it.Team]) < 8
				if got := q.Push(it); got != want {
					t.Fatalf("push: got %v, want %v", got, want)
				}
				if want {
					waiting[it.Team] = append(waiting[it.Team], it)
					length++
				}
			},
			"pop": func(t *rapid.T) {
				it := q.Pop()
				if (it == nil) != (length == 0) {
					t.Fatalf("pop with %d waiting: got %v, want an item only if some wait", length, it)
				}
				if it == nil {
					return
				}
				if first := waiting[it.Team][0]; first != it {
					t.Fatalf("got %v, want the team's first %v", it, first)
				}
				waiting[it.Team] = waiting[it.Team][1:]
				length--
			},
			"remove": func(t *rapid.T) {
				team := fescuebank.TeamID(fmt.Sprint("team-", rapid.IntRange(0, 3).Draw(t, "team")))
				if n := len(waiting[team]); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "index")
					q.Remove(waiting[team][i])
					waiting[team] = append(waiting[team][:i:i], waiting[team][i+1:]...)
					length--
				}
			},
			"correct": func(t *rapid.T) {
				team := fescuebank.TeamID(fmt.Sprint("team-", rapid.IntRange(0, 3).Draw(t, "team")))
				q.CorrectCharge(team, 1, fescuebank.Tokens(rapid.IntRange(-50, 50).Draw(t, "extra")))
			},
			"": func(t *rapid.T) {
				if q.Len() != length {
					t.Fatalf("length: got %d, want %d", q.Len(), length)
				}
			},
		})
	})
}

// TestBackloggedTeamsGetTheirShares checks that each backlogged team's served cost per
// weight stays within one request's cost of every other's.
func TestBackloggedTeamsGetTheirShares(t *testing.T) {
	for _, tt := range []struct {
		name    string
		weights map[string]float64
		costs   map[string]int
	}{
		{"equal weights", map[string]float64{"a": 1, "b": 1}, map[string]int{"a": 100, "b": 10}},
		{"weights", map[string]float64{"a": 3, "b": 1}, map[string]int{"a": 20, "b": 20}},
		{"three teams", map[string]float64{"a": 1, "b": 2, "c": 1}, map[string]int{"a": 7, "b": 50, "c": 90}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := queuer.New(1 << 20)
			for team, cost := range tt.costs {
				for range 4000 {
					it := item(team, cost)
					it.Weight = tt.weights[team]
					q.Push(it)
				}
			}
			served := map[string]float64{}
			for range 2000 {
				it := q.Pop()
				served[string(it.Team)] += float64(it.Cost) / it.Weight
			}
			for team, got := range served {
				for other, want := range served {
					bound := float64(tt.costs[team])/tt.weights[team] + float64(tt.costs[other])/tt.weights[other]
					if got > want+bound {
						t.Errorf("%s got %.0f per weight, %s %.0f, want them within %.0f", team, got, other, want, bound)
					}
				}
			}
		})
	}
}

func BenchmarkPushPop(b *testing.B) {
	for _, teams := range []int{8, 1000, 45000} {
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			q := queuer.New(1024)
			items := make([]*queuer.Item, teams)
			for i := range items {
				items[i] = item(fmt.Sprint("team-", i), 50)
				q.Push(items[i])
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Push(&queuer.Item{Team: q.Pop().Team, Weight: 1, Cost: 50})
			}
		})
	}
}

// TestNewTeamIsNotEvictedAmongMany queues and removes one request of each of more teams than
// are kept while idle. The flow of a new team is idle until its request is queued.
func TestNewTeamIsNotEvictedAmongMany(t *testing.T) {
	q := queuer.New(10)
	for i := range 3000 {
		item := &queuer.Item{Team: fescuebank.TeamID(fmt.Sprintf("team-%d", i)), Weight: 1, Cost: 1}
		if !q.Push(item) {
			t.Fatalf("team %d: got the request rejected, want it queued", i)
		}
		q.Remove(item)
	}
	if got := q.Len(); got != 0 {
		t.Errorf("got %d waiting requests, want none", got)
	}
}
