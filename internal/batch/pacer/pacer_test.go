package pacer

import (
	"testing"
	"time"
)

func TestShareOfTheExcess(t *testing.T) {
	for _, tt := range []struct {
		name string
		load Load
		want int
	}{
		{"no excess", Load{Running: 5, Others: 5}, 0},
		{"all here", Load{Excess: 3, Running: 5}, 3},
		{"half here", Load{Excess: 4, Running: 5, Others: 5}, 2},
		{"rounded up", Load{Excess: 1, Running: 1, Others: 29}, 1},
		{"more than running", Load{Excess: 9, Running: 2}, 2},
		{"already cancelled", Load{Excess: 3, Running: 3, Cancelled: 3}, 0},
		{"none running", Load{Excess: 3, Others: 5}, 0},
	} {
		if got := New().Cancel("s", time.Unix(0, 0), tt.load); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

// TestExcessIsCancelledOnce plays 30 instances that run 8 items each and see one another's
// counts only after 200 ms, while 40 slots are needed at once. Each checks every 5 ms. The
// sum of what they cancel must cover the need, with at most one item too many for each
// instance.
func TestExcessIsCancelledOnce(t *testing.T) {
	const (
		instances = 30
		items     = 8
		need      = 40
		lag       = 200 * time.Millisecond
		interval  = 5 * time.Millisecond
	)
	start := time.Unix(0, 0)
	pacers := make([]*Pacer, instances)
	cancelled := make([]int, instances)
	for i := range pacers {
		pacers[i] = New()
	}
	total := func() int {
		sum := 0
		for _, n := range cancelled {
			sum += n
		}
		return sum
	}
	// history holds the totals at each check.
	var history []int
	for at := time.Duration(0); at < time.Second; at += interval {
		history = append(history, total())
		seen := 0
		if back := int(lag / interval); len(history) > back {
			seen = history[len(history)-1-back]
		}
		for i, p := range pacers {
			// This instance's own releases are known at once, the others' after the lag.
			known := max(seen, cancelled[i])
			n := p.Cancel("s", start.Add(at), Load{
				Excess: max(0, need-known), Running: items - cancelled[i], Others: (instances - 1) * items, Lag: lag,
			})
			cancelled[i] += n
		}
	}
	if got := total(); got < need || got > need+instances {
		t.Errorf("got %d items cancelled, want %d to %d", got, need, need+instances)
	}
}

// TestFreeSlotsAreTakenOnce plays 30 instances with many items, which see one another's counts
// only after 200 ms, while 400 slots are free. They may take little more than those.
func TestFreeSlotsAreTakenOnce(t *testing.T) {
	const (
		instances = 30
		free      = 400
		lag       = 200 * time.Millisecond
		interval  = 5 * time.Millisecond
	)
	start := time.Unix(0, 0)
	pacers := make([]*Pacer, instances)
	started := make([]int, instances)
	for i := range pacers {
		pacers[i] = New()
	}
	total := func() int {
		sum := 0
		for _, n := range started {
			sum += n
		}
		return sum
	}
	// history holds what each instance had started at each check.
	var history [][]int
	for at := time.Duration(0); at < time.Second; at += interval {
		history = append(history, append([]int(nil), started...))
		seen := make([]int, instances)
		if back := int(lag / interval); len(history) > back {
			seen = history[len(history)-1-back]
		}
		for i, p := range pacers {
			for {
				known := started[i]
				for j, n := range seen {
					if j != i {
						known += n
					}
				}
				now := start.Add(at)
				if !p.MayStart("s", now, Room{Free: free - known, Instances: instances, Lag: lag}) {
					break
				}
				p.RecordStart("s", now)
				started[i]++
			}
		}
	}
	if got := total(); got < free || got > free+instances {
		t.Errorf("got %d items started, want %d to %d", got, free, free+instances)
	}
}
