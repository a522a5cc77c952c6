package planner

import (
	"slices"
	"testing"
	"time"

	"fescuebank"
)

// fixedClock is a clock that stands still.
type fixedClock struct{ now time.Time }

func (c fixedClock) Now() time.Time { return c.now }

func (fixedClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// wave is a load that needs all slots in its crests; it begins with a trough.
type wave struct {
	start         time.Time
	trough, crest time.Duration
	known         bool
}

func (w wave) Forecast(_ fescuebank.ServiceName, at time.Time) (float64, bool) {
	if at.Sub(w.start)%(w.trough+w.crest) < w.trough {
		return 20, w.known
	}
	return 100, w.known
}

func TestTimeToEnd(t *testing.T) {
	start := time.Unix(100, 0)
	for _, tt := range []struct {
		name        string
		known       bool
		run         time.Duration
		want, pause time.Duration
	}{
		{"within the trough", true, 2 * time.Second, 2 * time.Second, 5 * time.Second},
		{"over one crest", true, 4 * time.Second, 6 * time.Second, 5 * time.Second},
		{"over two crests", true, 7 * time.Second, 11 * time.Second, 5 * time.Second},
		{"load not known in advance", false, 4 * time.Second, 4 * time.Second, 0},
		{"nothing left", true, 0, 0, 5 * time.Second},
	} {
		p := New(wave{start: start, trough: 3 * time.Second, crest: 2 * time.Second, known: tt.known},
			func(fescuebank.ServiceName) int { return 100 }, fixedClock{start})
		if got := p.TimeToEnd("s", tt.run); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
		if got := p.Pause("s"); got != tt.pause {
			t.Errorf("%s: got a pause until %v, want %v", tt.name, got, tt.pause)
		}
	}
}

func TestOrderOfYielding(t *testing.T) {
	now := time.Unix(100, 0)
	due := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	const pause = 3 * time.Second
	for _, tt := range []struct {
		name string
		list []Candidate
		want []int
	}{
		{"too late first", []Candidate{{1, due(20), 4 * time.Second}, {2, due(2), 4 * time.Second}}, []int{2, 1}},
		{"due soon last", []Candidate{{1, due(6), 4 * time.Second}, {2, due(20), time.Second}}, []int{2, 1}},
		{"nearly done kept", []Candidate{{1, due(20), time.Second}, {2, due(20), 4 * time.Second}}, []int{2, 1}},
		{"equal ones by due time", []Candidate{{1, due(18), time.Second}, {2, due(20), time.Second}}, []int{2, 1}},
		{"nothing known", []Candidate{{1, due(18), 0}, {2, due(20), 0}}, []int{2, 1}},
		{"none", nil, nil},
	} {
		list := slices.Clone(tt.list)
		Order(list, now, pause)
		var got []int
		for _, c := range list {
			got = append(got, c.Index)
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
