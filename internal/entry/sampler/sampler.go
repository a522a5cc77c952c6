// Package sampler picks endpoints by weighted random sampling, from loads that are slightly
// out of date.
package sampler

import (
	"cmp"
	"slices"
)

// Sampler picks among endpoints whose known loads are slightly out of date. Requests that
// other instances sent meanwhile are assumed to have gone to the best endpoints first
// (water-filling): those with the largest free share of their slots times their weight. Each
// endpoint is picked with a probability proportional to the requests assigned to it by that
// rule. Picking the best endpoint instead would send all instances to the same one.
type Sampler struct {
	candidates []candidate
}

// candidate is the known state of one endpoint.
type candidate struct {
	index  int
	load   float64
	slots  float64
	weight float64
	// fill is the number of requests that raise it to the common level.
	fill float64
}

// Level returns the level of an endpoint by which it is compared with others, lowest first: 0 if it is full,
// and -weight if it is empty.
func Level(utilization, weight float64) float64 {
	return (utilization - 1) * weight
}

func (c candidate) level() float64 {
	return Level(c.load/c.slots, c.weight)
}

// Add adds an endpoint with its known load per slot. Slots must be at least 1. The weight, above 0,
// is how much a free slot there is preferred to one at other endpoints; the fuller endpoints are,
// the less it counts.
func (s *Sampler) Add(index int, utilization float64, slots int, weight float64) {
	s.candidates = append(s.candidates, candidate{index: index, load: utilization * float64(slots), slots: float64(slots), weight: weight})
}

// Pick returns the index of an endpoint, or -1 if there is none. unreported is the number
// of requests that other instances are expected to have sent; random is uniform in
// [0, 1).
func (s *Sampler) Pick(unreported, random float64) int {
	if len(s.candidates) == 0 {
		return -1
	}
	slices.SortStableFunc(s.candidates, func(a, b candidate) int { return cmp.Compare(a.level(), b.level()) })
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

// fillLevels distributes the requests over the best endpoints so that these reach a common level. What
// exceeds the free slots is distributed by the number of slots.
func (s *Sampler) fillLevels(requests float64) {
	// At a level, the endpoints have room slots, plus perLevel times the level, for requests.
	room, perLevel, slots := 0.0, 0.0, 0.0
	count := 0
	for i, c := range s.candidates {
		if count > 0 && room+perLevel*c.level() >= requests {
			break
		}
		room += c.slots - c.load
		perLevel += c.slots / c.weight
		slots += c.slots
		count = i + 1
	}
	level := (requests - room) / perLevel
	for i := range s.candidates[:count] {
		c := &s.candidates[i]
		if level > 0 {
			c.fill = max(0, c.slots-c.load+(requests-room)*c.slots/slots)
			continue
		}
		c.fill = max(0, c.slots*(1+level/c.weight)-c.load)
	}
}

func (s *Sampler) sum() float64 {
	sum := 0.0
	for _, c := range s.candidates {
		sum += c.fill
	}
	return sum
}
