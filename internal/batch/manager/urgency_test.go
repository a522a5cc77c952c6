package manager

import (
	"testing"
	"time"

	"fescuebank"
)

// TestWhichItemRunsFirst checks the order of waiting items: by due time, those that can't be
// done in time any more last, as they would take the slots of those that can.
func TestWhichItemRunsFirst(t *testing.T) {
	now := time.Unix(1_000, 0)
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	for _, tt := range []struct {
		name string
		a, b urgency
		want bool
	}{
		{"earlier due time", urgency{due: at(6), remaining: 4 * time.Second}, urgency{due: at(9), remaining: 4 * time.Second}, true},
		{"due before it can be done", urgency{due: at(3), remaining: 4 * time.Second}, urgency{due: at(9), remaining: 4 * time.Second}, false},
		{"nearly done", urgency{due: at(3), remaining: time.Second}, urgency{due: at(9), remaining: 4 * time.Second}, true},
		{"both too late", urgency{due: at(-5), remaining: 4 * time.Second}, urgency{due: at(1), remaining: 4 * time.Second}, true},
		{"nothing known of the run time", urgency{due: at(3)}, urgency{due: at(9)}, true},
		{"done only after a crest", urgency{due: at(7), remaining: 4 * time.Second, pauses: 2 * time.Second}, urgency{due: at(9), remaining: time.Second}, false},
		{"done in spite of a crest", urgency{due: at(8), remaining: 4 * time.Second, pauses: 2 * time.Second}, urgency{due: at(9), remaining: time.Second}, true},
		{"past due", urgency{due: at(-1)}, urgency{due: at(9)}, false},
	} {
		if got := tt.a.before(tt.b, now); got != tt.want {
			t.Errorf("%s: got first %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestOutcomesAreCommittedByTheDueTime checks how long outcomes wait for others: not beyond the
// due time of their job, if they are from before it.
func TestOutcomesAreCommittedByTheDueTime(t *testing.T) {
	now := time.Unix(1_000, 0)
	for _, tt := range []struct {
		name string
		// due is the due time, relative to now.
		due  time.Duration
		want time.Duration
	}{
		{"due much later", time.Minute, maxCommitDelay},
		{"due soon", time.Second, time.Second - commitTime},
		{"due at once", commitTime / 2, 0},
		{"past due", -time.Second, maxCommitDelay},
	} {
		j := &job{
			spec:    &fescuebank.RoutedJob{Items: make([]fescuebank.RoutedItem, 3)},
			pending: make([]fescuebank.RoutedResult, 1), pendingSince: now,
		}
		if got := j.commitWait(now, now.Add(tt.due)); got != tt.want {
			t.Errorf("%s: got a wait of %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestOverloadLeavesItemsInTime simulates three times as many items as 60 slots can run for a minute:
// 38 a second of 4.8 s, due after 18 s. The slots must be spent on items that are done in time.
// By due time alone, nearly all would be done just too late.
func TestOverloadLeavesItemsInTime(t *testing.T) {
	const (
		slots    = 60
		perSec   = 38
		hold     = 4800 * time.Millisecond
		dueAfter = 18 * time.Second
		length   = time.Minute
		step     = 20 * time.Millisecond
	)
	inTime := func(remaining time.Duration) (done int) {
		start := time.Unix(0, 0)
		var waiting []urgency
		busyUntil := make([]time.Time, slots)
		arrived := 0
		for now := start; now.Before(start.Add(length)); now = now.Add(step) {
			for ; time.Duration(arrived)*time.Second/perSec <= now.Sub(start); arrived++ {
				waiting = append(waiting, urgency{due: now.Add(dueAfter), remaining: remaining})
			}
			for s := range busyUntil {
				if busyUntil[s].After(now) || len(waiting) == 0 {
					continue
				}
				first := 0
				for i := range waiting {
					if waiting[i].before(waiting[first], now) {
						first = i
					}
				}
				busyUntil[s] = now.Add(hold)
				if !busyUntil[s].After(waiting[first].due) {
					done++
				}
				waiting = append(waiting[:first], waiting[first+1:]...)
			}
		}
		return done
	}
	// Items that start in the last seconds are counted too.
	most := int(slots * length / hold)
	if got := inTime(hold); got < most*9/10 {
		t.Errorf("got %d items in time, want at least nine tenths of %d", got, most)
	}
	if got := inTime(0); got > most*2/3 {
		t.Errorf("got %d items in time by due time alone, want at most two thirds of %d, as the control", got, most)
	}
}
