// Package sampler picks endpoints by loads that are partly unknown.
package sampler

import (
	"cmp"
	"slices"
)

// Sampler picks among endpoints whose known loads are a moment old. Requests that
// other instances sent meanwhile fill the emptiest endpoints first, as water would, if
// all pick well; so each endpoint is picked as often as it would be filled by them.
// Picking the emptiest one instead sends all instances to the same endpoint.
type Sampler struct {
	levels []level
}

// level is what is known of one endpoint.
type level struct {
	index int
	load  float64
	slots float64
	// fill is the number of requests that bring it to the common level.
	fill float64
}

// height is the load by place.
func (l level) height() float64 {
	return l.load / l.slots
}

// Add adds an endpoint with its known load by place. Slots are 1 or more.
func (s *Sampler) Add(index int, height float64, slots int) {
	s.levels = append(s.levels, level{index: index, load: height * float64(slots), slots: float64(slots)})
}

// Pick returns the index of an endpoint, or -1 without one. Unseen is the number of
// requests that others are expected to have sent; random is uniform in [0, 1).
func (s *Sampler) Pick(unseen, random float64) int {
	if len(s.levels) == 0 {
		return -1
	}
	slices.SortStableFunc(s.levels, func(a, b level) int { return cmp.Compare(a.height(), b.height()) })
	s.pour(unseen)
	rest := random * s.sum()
	for _, l := range s.levels {
		if rest < l.fill {
			return l.index
		}
		rest -= l.fill
	}
	return s.levels[0].index
}

// pour raises the lowest endpoints to the common level that the requests reach.
func (s *Sampler) pour(requests float64) {
	load, slots := 0.0, 0.0
	count := 0
	for i, l := range s.levels {
		if slots > 0 && l.height()*slots-load >= requests {
			break
		}
		load += l.load
		slots += l.slots
		count = i + 1
	}
	common := (load + requests) / slots
	for i := range s.levels[:count] {
		l := &s.levels[i]
		l.fill = common*l.slots - l.load
	}
}

func (s *Sampler) sum() float64 {
	sum := 0.0
	for _, l := range s.levels {
		sum += l.fill
	}
	return sum
}
