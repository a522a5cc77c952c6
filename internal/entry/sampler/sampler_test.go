package sampler_test

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"

	"fescuebank/internal/entry/sampler"
)

// The seed is fixed, so that each run tests the same cases. -rapid.seed=0 draws a random
// one.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// shares returns how often each endpoint is picked, over evenly spaced values of random.
func shares(loads, slots []int, unreported float64) []float64 {
	const tries = 4000
	got := make([]float64, len(loads))
	for i := range tries {
		var s sampler.Sampler
		for j := range loads {
			s.Add(j, float64(loads[j])/float64(slots[j]), slots[j], 1)
		}
		got[s.Pick(unreported, (float64(i)+0.5)/tries)] += 1.0 / tries
	}
	return got
}

func TestPick(t *testing.T) {
	for _, tt := range []struct {
		name       string
		loads      []int
		slots      []int
		unreported float64
		want       []float64
	}{
		{"few unreported go to the least utilized", []int{5, 2, 4}, []int{8, 8, 8}, 1, []float64{0, 1, 0}},
		{"more reach the second", []int{5, 2, 4}, []int{8, 8, 8}, 4, []float64{0, 0.75, 0.25}},
		{"many reach all", []int{5, 2, 4}, []int{8, 8, 8}, 13, []float64{3. / 13, 6. / 13, 4. / 13}},
		{"equal endpoints share equally", []int{3, 3}, []int{8, 8}, 2, []float64{0.5, 0.5}},
		{"larger endpoints take more", []int{0, 0}, []int{4, 12}, 8, []float64{0.25, 0.75}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for i, got := range shares(tt.loads, tt.slots, tt.unreported) {
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

// TestPickFillsLeastUtilizedFirst compares the shares with a model that adds requests in
// small steps, each to the endpoint that is least utilized then.
func TestPickFillsLeastUtilizedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "endpoints")
		var loads, slots []int
		for range count {
			loads = append(loads, rapid.IntRange(0, 8).Draw(t, "load"))
			slots = append(slots, rapid.IntRange(1, 12).Draw(t, "slots"))
		}
		unreported := float64(rapid.IntRange(1, 40).Draw(t, "unseen"))
		const step = 0.01
		filled := make([]float64, count)
		for added := 0.0; added < unreported; added += step {
			lowest := 0
			utilization := func(i int) float64 { return (float64(loads[i]) + filled[i]) / float64(slots[i]) }
			for i := range count {
				if utilization(i) < utilization(lowest) {
					lowest = i
				}
			}
			filled[lowest] += step
		}
		for i, got := range shares(loads, slots, unreported) {
			if want := filled[i] / unreported; math.Abs(got-want) > 0.03 {
				t.Fatalf("endpoint %d of loads %v, slots %v: got share %.3f, want %.3f", i, loads, slots, got, want)
			}
		}
	})
}
