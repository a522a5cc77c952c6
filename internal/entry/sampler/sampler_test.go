package sampler_test

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"

	"fescuebank/internal/entry/sampler"
)

// The seed is fixed, so that each run gives the same verdict. -rapid.seed=0
// draws a fresh one.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// shares returns how often each endpoint is picked, by trying many random numbers.
func shares(loads, slots []int, unseen float64) []float64 {
	const tries = 4000
	got := make([]float64, len(loads))
	for i := range tries {
		var s sampler.Sampler
		for j := range loads {
			s.Add(j, float64(loads[j])/float64(slots[j]), slots[j])
		}
		got[s.Pick(unseen, (float64(i)+0.5)/tries)] += 1.0 / tries
	}
	return got
}

func TestPick(t *testing.T) {
	for _, tt := range []struct {
		name   string
		loads  []int
		slots  []int
		unseen float64
		want   []float64
	}{
		{"few unseen go to the emptiest", []int{5, 2, 4}, []int{8, 8, 8}, 1, []float64{0, 1, 0}},
		{"more reach the next", []int{5, 2, 4}, []int{8, 8, 8}, 4, []float64{0, 0.75, 0.25}},
		{"many reach all", []int{5, 2, 4}, []int{8, 8, 8}, 13, []float64{3. / 13, 6. / 13, 4. / 13}},
		{"equal ones share", []int{3, 3}, []int{8, 8}, 2, []float64{0.5, 0.5}},
		{"large ones take more", []int{0, 0}, []int{4, 12}, 8, []float64{0.25, 0.75}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for i, got := range shares(tt.loads, tt.slots, tt.unseen) {
				if math.Abs(got-tt.want[i]) > 0.01 {
					t.Errorf("endpoint %d: got share %.2f, want %.2f", i, got, tt.want[i])
				}
			}
		})
	}
}

func TestPickWithoutEndpoints(t *testing.T) {
	var s sampler.Sampler
	if got := s.Pick(3, 0.5); got != -1 {
		t.Errorf("got %d, want -1", got)
	}
}

// TestPickFillsLikeWater compares the shares with an oracle that places requests one by
// one on the endpoint that is emptiest then.
func TestPickFillsLikeWater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "endpoints")
		var loads, slots []int
		for range count {
			loads = append(loads, rapid.IntRange(0, 8).Draw(t, "load"))
			slots = append(slots, rapid.IntRange(1, 12).Draw(t, "slots"))
		}
		unseen := float64(rapid.IntRange(1, 40).Draw(t, "unseen"))
		const step = 0.01
		filled := make([]float64, count)
		for poured := 0.0; poured < unseen; poured += step {
			lowest := 0
			height := func(i int) float64 { return (float64(loads[i]) + filled[i]) / float64(slots[i]) }
			for i := range count {
				if height(i) < height(lowest) {
					lowest = i
				}
			}
			filled[lowest] += step
		}
		for i, got := range shares(loads, slots, unseen) {
			if want := filled[i] / unseen; math.Abs(got-want) > 0.03 {
				t.Fatalf("endpoint %d of loads %v, places %v: got share %.3f, want %.3f", i, loads, slots, got, want)
			}
		}
	})
}
