package allocator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuebank/internal/entry/sampler"
)

// rateTime is over what time the rate of places given is averaged.
const rateTime = time.Second

// SetFleet says how many instances use the endpoints, this one included, and how old
// the counts of the others may be.
func (a *Allocator) SetFleet(instances int, lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances, a.lag = instances, lag
}

// currentRate returns the rate of places given here. The caller holds the lock.
func (a *Allocator) currentRate(now time.Time) float64 {
	return a.rate * math.Exp(-now.Sub(a.rated).Seconds()/rateTime.Seconds())
}

// unseen estimates how many requests the others sent since their counts were told, if
// each sends as many as this instance.
func (a *Allocator) unseen(now time.Time) float64 {
	return a.currentRate(now) * a.lag.Seconds() * float64(max(0, a.instances-1))
}

// pick returns a usable endpoint with a free place: the least loaded one, or, while
// others send requests unseen, one that is filled by them no more than the rest.
func (a *Allocator) pick(ask SlotRequest, now time.Time) *endpoint {
	var list []*endpoint
	for _, e := range a.usable(ask.Service, now) {
		if e.fits(ask, now) && (!ask.spare || !e.avoided.After(now)) {
			list = append(list, e)
		}
	}
	if unseen := a.unseen(now); unseen >= 1 {
		return spread(list, now, unseen)
	}
	return pickLeast(list, ask.Prefix, now)
}

// spread picks among endpoints with a free place by loads that are out of date.
func spread(list []*endpoint, now time.Time, unseen float64) *endpoint {
	var s sampler.Sampler
	for i, e := range list {
		s.Add(i, e.height(now), e.Slots)
	}
	i := s.Pick(unseen, rand.Float64())
	if i < 0 {
		return nil
	}
	return list[i]
}

// pickLeast returns the endpoint with the least load. Among those that are equal, the
// prefix decides.
func pickLeast(list []*endpoint, prefix string, now time.Time) *endpoint {
	var best *endpoint
	var bestKey pickKey
	for _, e := range list {
		key := pickKey{load: e.height(now), hash: xxhash.Sum64String(prefix + "/" + string(e.ID))}
		if best == nil || key.before(bestKey) {
			best, bestKey = e, key
		}
	}
	return best
}

// pickKey orders endpoints.
type pickKey struct {
	load float64
	hash uint64
}

func (k pickKey) before(other pickKey) bool {
	if k.load != other.load {
		return k.load < other.load
	}
	return k.hash < other.hash
}
