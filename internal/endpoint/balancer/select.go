package balancer

import (
	"time"

	"fescuebank"
)

const (
	// maxSamples bounds the random draws made to find two available endpoints
	// for power-of-two-choices selection.
	maxSamples = 4
	// maxCandidates bounds the endpoints compared for one request.
	maxCandidates = 24
	// affinityMargin is how much more loaded than the best candidate the
	// endpoint that has the prompt's prefix cached may be and still be
	// preferred, as a fraction of an endpoint's capacity.
	affinityMargin = 0.25
	// zonePenalty is the load added to endpoints in other availability zones,
	// in the same unit.
	zonePenalty = 0.02
	// maxReportAge is the age up to which a load report is used.
	maxReportAge = 5 * time.Second
)

// Reserve selects an endpoint with a free slot and counts the request there. It
// returns nil if there is none. prefixHolder is the endpoint that has the prompt's
// prefix cached, or empty; avoid lists endpoints that already failed the request.
func (b *Balancer) Reserve(m fescuebank.ModelName, prefixHolder fescuebank.EndpointID, avoid []fescuebank.EndpointID) *Target {
	pool := b.pools.Load().byModel[m]
	if len(pool) == 0 {
		return nil
	}
	now := b.clock.Now().UnixNano()
	if t := b.pick(pool, now, prefixHolder, avoid); t != nil && t.reserve() {
		return t
	}
	// The sampled endpoints are full, or a concurrent request took the slot.
	return b.reserveLeastLoaded(pool, now, avoid)
}

// pick selects an endpoint by the configured policy, without reserving a slot.
func (b *Balancer) pick(pool []*Target, now int64, prefixHolder fescuebank.EndpointID, avoid []fescuebank.EndpointID) *Target {
	switch b.policy {
	case fescuebank.PolicyRandom:
		return b.firstAvailable(pool, now, b.random(len(pool)), avoid)
	case fescuebank.PolicyRoundRobin:
		return b.firstAvailable(pool, now, int(b.nextIndex.Add(1)%uint64(len(pool))), avoid)
	case fescuebank.PolicyLeastReported:
		return b.leastReported(pool, now, avoid)
	}
	var best *Target
	if b.policy == fescuebank.PolicyTwoChoices || !pool[0].credited.Load() {
		// With stale counts, all instances would choose the same least loaded endpoint.
		best = b.twoChoices(pool, now, avoid)
	} else {
		best = b.leastExpected(pool, now, avoid)
	}
	return b.preferPrefixHolder(best, pool, now, prefixHolder, avoid)
}

// leastExpected returns the available endpoint with the lowest expected load among up
// to maxCandidates, from a random start. It needs counts as fresh as the owners' credits.
func (b *Balancer) leastExpected(pool []*Target, now int64, avoid []fescuebank.EndpointID) *Target {
	return b.leastLoaded(pool, now, b.random(len(pool)), min(len(pool), maxCandidates), avoid)
}

// leastLoaded returns the available endpoint with the lowest expected load among count ones
// from index start on, or nil if none is available.
func (b *Balancer) leastLoaded(pool []*Target, now int64, start, count int, avoid []fescuebank.EndpointID) *Target {
	var best *Target
	var bestLoad float64
	for i := range count {
		t := pool[(start+i)%len(pool)]
		if !t.canAccept(now, avoid) {
			continue
		}
		if load := b.load(t, now); best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best
}

// twoChoices samples up to two available endpoints and returns the one with the lower
// expected load.
func (b *Balancer) twoChoices(pool []*Target, now int64, avoid []fescuebank.EndpointID) *Target {
	var best *Target
	var bestLoad float64
	found := 0
	for i := 0; i < maxSamples && found < 2; i++ {
		t := pool[b.random(len(pool))]
		if t == best || !t.canAccept(now, avoid) {
			continue
		}
		found++
		if load := b.load(t, now); best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best
}

// preferPrefixHolder returns the endpoint that has the prompt's prefix cached if its
// load is within affinityMargin of the best candidate's, and the best candidate otherwise.
func (b *Balancer) preferPrefixHolder(best *Target, pool []*Target, now int64, prefixHolder fescuebank.EndpointID, avoid []fescuebank.EndpointID) *Target {
	if prefixHolder == "" || best == nil {
		return best
	}
	maxLoad := b.load(best, now) + affinityMargin
	for _, t := range pool {
		if t.spec.Load().ID != prefixHolder {
			continue
		}
		if t.canAccept(now, avoid) && b.load(t, now) <= maxLoad {
			return t
		}
	}
	return best
}

// firstAvailable returns the first available endpoint from index start on.
func (b *Balancer) firstAvailable(pool []*Target, now int64, start int, avoid []fescuebank.EndpointID) *Target {
	for i := range pool {
		if t := pool[(start+i)%len(pool)]; t.canAccept(now, avoid) {
			return t
		}
	}
	return nil
}

// leastReported returns the available endpoint with the fewest requests of other
// instances by its last load report.
func (b *Balancer) leastReported(pool []*Target, now int64, avoid []fescuebank.EndpointID) *Target {
	var best *Target
	for _, t := range pool {
		if t.canAccept(now, avoid) && (best == nil || t.reportedOtherRequests.Load() < best.reportedOtherRequests.Load()) {
			best = t
		}
	}
	return best
}

// reserveLeastLoaded reserves a slot at the least loaded available endpoint.
func (b *Balancer) reserveLeastLoaded(pool []*Target, now int64, avoid []fescuebank.EndpointID) *Target {
	best := b.leastLoaded(pool, now, 0, len(pool), avoid)
	if best == nil || !best.reserve() {
		return nil
	}
	return best
}

// load returns the expected load of t, from this instance's counts and the owner's
// credit or, without one, the newest load report.
func (b *Balancer) load(t *Target, now int64) float64 {
	spec := t.spec.Load()
	c := fescuebank.Candidate{ID: spec.ID, Slots: spec.Slots, OwnRequests: int(t.online.Load()), Ramp: t.ramp(now)}
	if t.credited.Load() {
		c.OtherRequests = int(t.creditedOtherRequests.Load())
	} else if now-t.reportedAtNanos.Load() < int64(maxReportAge) {
		c.OtherRequests = int(t.reportedOtherRequests.Load())
	}
	load := c.Load()
	if spec.Zone != b.zone {
		load += zonePenalty
	}
	return load
}
