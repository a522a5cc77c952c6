// Package sampler picks endpoints by weighted random sampling, from loads that are slightly
// out of date.
package sampler

import (
	"cmp"
	"slices"
)

// Sampler picks among endpoints whose known loads are slightly out of date. Requests that
// other instances sent meanwhile are assumed to have gone to the least utilized endpoints
// first (water-filling). Each endpoint is picked with a probability proportional to the
// requests assigned to it by that rule. Picking the least utilized endpoint instead would
// send all instances to the same one.
type Sampler struct {
	candidates []candidate
}

// candidate is the known state of one endpoint.
type candidate struct {
	index int
	load  float64
	slots float64
	// fill is the number of requests that raise it to the common level.
	fill float64
}

// utilization is the load per slot.
func (c candidate) utilization() float64 {
	return c.load / c.slots
}

// Add adds an endpoint with its known load per slot. Slots must be at least 1.
func (s *Sampler) Add(index int, utilization float64, slots int) {
	s.candidates = append(s.candidates, candidate{index: index, load: utilization * float64(slots), slots: float64(slots)})
}

// Pick returns the index of an endpoint, or -1 if there is none. unreported is the number
// of requests that other instances are expected to have sent; random is uniform in
// [0, 1).
func (s *Sampler) Pick(unreported, random float64) int {
	if len(s.candidates) == 0 {
		return -1
	}
	slices.SortStableFunc(s.candidates, func(a, b candidate) int { return cmp.Compare(a.utilization(), b.utilization()) })
	s.fillLevels(unreported)
	rest := random * s.sum()
	for _, c := range s.candidates {
		if rest < c.fill {
			return c.index
		}
		rest -= c.fill
	}
	return s.candidates[0].index
}

// fillLevels distributes the requests over the least utilized endpoints so that these
// reach a common utilization.
func (s *Sampler) fillLevels(requests float64) {
	load, slots := 0.0, 0.0
	count := 0
	for i, c := range s.candidates {
		if slots > 0 && c.utilization()*slots-load >= requests {
			break
		}
		load += c.load
		slots += c.slots
		count = i + 1
	}
	level := (load + requests) / slots
	for i := range s.candidates[:count] {
		c := &s.candidates[i]
		c.fill = level*c.slots - c.load
	}
}

func (s *Sampler) sum() float64 {
	sum := 0.0
	for _, c := range s.candidates {
		sum += c.fill
	}
	return sum
}
