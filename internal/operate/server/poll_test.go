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

// TestLongestGapBetweenPollsOfEvacuations checks the same for the evacuations, which have to be in force
// within 5 s.
func TestLongestGapBetweenPollsOfEvacuations(t *testing.T) {
	for _, tt := range []struct {
		name  string
		count int
		lost  func(rank int) bool
		want  time.Duration
	}{
		{"alone", 1, func(int) bool { return false }, 2 * time.Second},
		{"small fleet", 11, func(int) bool { return false }, 2 * time.Second},
		{"73 instances", 73, func(int) bool { return false }, 2 * time.Second},
		{"every second instance cut off", 73, func(rank int) bool { return rank%2 == 1 }, 4 * time.Second},
	} {
		start := time.Unix(1_000_000, 0)
		longest, last := time.Duration(0), start
		for at := start; at.Before(start.Add(time.Duration(3*tt.count) * evacuationPollPerInstance)); {
			wait := time.Hour
			for rank := range tt.count {
				if !tt.lost(rank) {
					wait = min(wait, pollTurns{rank: rank, count: tt.count}.every(evacuationPollPerInstance).next(at, time.Second))
				}
			}
			at = at.Add(wait)
			if last != start {
				longest = max(longest, at.Sub(last))
			}
			last = at
		}
		if longest > tt.want+time.Millisecond {
			t.Errorf("%s: got a gap of %v, want at most %v", tt.name, longest, tt.want)
		}
	}
}
