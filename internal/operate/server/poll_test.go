package server

import (
	"testing"
	"time"
)

// longestGap returns the longest time between two turns of any of the working instances of a
// fleet, over three periods.
func longestGap(count int, works func(rank int) bool, offset time.Duration) time.Duration {
	period := pollTurns{count: count}.period()
	start := time.Unix(1_000_000, 0)
	var longest time.Duration
	last := start
	for at := start; at.Before(start.Add(3 * period)); {
		wait := period
		for rank := range count {
			if works(rank) {
				wait = min(wait, pollTurns{rank: rank, count: count}.next(at, offset))
			}
		}
		at = at.Add(wait)
		if last != start {
			longest = max(longest, at.Sub(last))
		}
		last = at
	}
	return longest
}

// TestLongestGapBetweenPolls checks the time within which some instance reads what all
// watches have missed. With the gossip that follows it has to stay below the shortest bound
// on withdrawn keys and changed configurations, 2 s in small fleets and 4 s in large ones.
func TestLongestGapBetweenPolls(t *testing.T) {
	for _, tt := range []struct {
		name  string
		count int
		works func(rank int) bool
		want  time.Duration
	}{
		{"small fleet", 11, func(int) bool { return true }, 700 * time.Millisecond},
		{"every second instance cut off", 11, func(rank int) bool { return rank%2 == 0 }, 1300 * time.Millisecond},
		{"three in a row cut off", 11, func(rank int) bool { return rank > 2 }, 2500 * time.Millisecond},
		{"78 instances", 78, func(int) bool { return true }, 700 * time.Millisecond},
		{"195 instances", 195, func(int) bool { return true }, 700 * time.Millisecond},
		{"200 instances, four in a row cut off", 200, func(rank int) bool { return rank%8 > 3 }, 2600 * time.Millisecond},
	} {
		for _, offset := range []time.Duration{0, pollTurns{count: tt.count}.period() / 2} {
			if got := longestGap(tt.count, tt.works, offset); got > tt.want {
				t.Errorf("%s: got a gap of %v, want at most %v", tt.name, got, tt.want)
			}
		}
	}
}

// TestTurnComesOncePerPeriod checks that an instance that polls as soon as its turn comes waits
// a whole period for the next one.
func TestTurnComesOncePerPeriod(t *testing.T) {
	turns := pollTurns{rank: 3, count: 40}
	at := time.Unix(1_000_000, 0)
	at = at.Add(turns.next(at, 0))
	if got, want := turns.next(at, 0), turns.period(); got != want {
		t.Errorf("got %v until the next turn, want %v", got, want)
	}
}
