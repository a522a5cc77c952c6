package allocator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuebank/internal/entry/sampler"
)

const (
	// rateWindow is the time constant of the moving average of the other instances' rate.
	rateWindow = 500 * time.Millisecond
	// unreportedFactor is how many times the requests that arrive within the lag of the
	// counts are taken for unreported. Too many only spread requests more widely; too few
	// send them to the same endpoints.
	unreportedFactor = 2
	// maxPaceWeight bounds how much a free slot of a fast endpoint is preferred, as its count of free
	// slots may be out of date.
	maxPaceWeight = 2.0
)

// SetPeerStarts sets the number of slots that the other instances have assigned to online
// requests, and the maximum age of their counts.
func (a *Allocator) SetPeerStarts(starts uint64, lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if !a.peerRateAt.IsZero() && starts > a.peerStarts {
		a.peerRate = a.currentPeerRate(now) + float64(starts-a.peerStarts)/rateWindow.Seconds()
		a.peerRateAt = now
	}
	if a.peerRateAt.IsZero() {
		a.peerRateAt = now
	}
	a.peerStarts, a.peerLag = starts, lag
}

// currentPeerRate returns the number of slots that the other instances assign per second. The
// caller holds the lock.
func (a *Allocator) currentPeerRate(now time.Time) float64 {
	return a.peerRate * math.Exp(-now.Sub(a.peerRateAt).Seconds()/rateWindow.Seconds())
}

// estimateUnreported estimates how many requests the other instances sent since their last
// counts. The caller holds the lock.
func (a *Allocator) estimateUnreported(now time.Time) float64 {
	return a.currentPeerRate(now) * a.peerLag.Seconds()
}

// pick returns a usable endpoint with room for the request, or nil: the best one, or one sampled by
// load while the other instances are expected to have unreported requests.
func (a *Allocator) pick(request SlotRequest, now time.Time) *endpoint {
	list := a.candidates(request, now)
	if unreported := unreportedFactor * a.estimateUnreported(now); unreported >= 1 {
		return a.pickSampled(list, request, now, unreported)
	}
	return a.pickBest(list, request, now)
}

// candidates returns the usable endpoints with room for the request. Batch work goes to endpoints with
// a request limit if it can, since an item holds its slot for long. Other requests go there only
// if no other endpoint has a free slot, so that the limit is left for times of high load.
func (a *Allocator) candidates(request SlotRequest, now time.Time) []*endpoint {
	var limited, unlimited []*endpoint
	for _, e := range a.usable(request.Service, request.Version, now) {
		if !a.hasRoomFor(e, request, now) {
			continue
		}
		if _, isLimited := a.limiter.Share(e.ID); isLimited {
			limited = append(limited, e)
			continue
		}
		unlimited = append(unlimited, e)
	}
	if len(unlimited) == 0 || (request.batch && len(limited) > 0) {
		return limited
	}
	return unlimited
}

// pickSampled picks among endpoints with a free slot by loads that are out of date.
func (a *Allocator) pickSampled(list []*endpoint, request SlotRequest, now time.Time, unreported float64) *endpoint {
	var s sampler.Sampler
	for i, e := range list {
		s.Add(i, e.utilization(now), e.Slots, a.weight(e, request))
	}
	i := s.Pick(unreported, rand.Float64())
	if i < 0 {
		return nil
	}
	return list[i]
}

// pickBest returns the endpoint with the largest weighted free share. The hash of the prompt's prefix
// and the endpoint breaks ties.
func (a *Allocator) pickBest(list []*endpoint, request SlotRequest, now time.Time) *endpoint {
	var best *endpoint
	var bestKey loadKey
	for _, e := range list {
		key := loadKey{
			level: sampler.Level(e.utilization(now), a.weight(e, request)),
			hash:  xxhash.Sum64String(request.Prefix + "/" + string(e.ID)),
		}
		if best == nil || key.less(bestKey) {
			best, bestKey = e, key
		}
	}
	return best
}

// loadKey orders endpoints by level, then by hash.
type loadKey struct {
	level float64
	hash  uint64
}

func (k loadKey) less(other loadKey) bool {
	if k.level != other.level {
		return k.level < other.level
	}
	return k.hash < other.hash
}

// weight returns how much a free slot of an endpoint is preferred for the request to one of the typical
// endpoint. Online requests go where they end soonest. So do batch items, as they would hold a slot of
// a slow endpoint for long; momentary slowdowns don't count for them, as items outlast these.
func (a *Allocator) weight(e *endpoint, request SlotRequest) float64 {
	pace := a.paces.Pace
	if request.batch {
		pace = a.paces.LastingPace
	}
	return min(max(1/float64(pace(e.ID)), 1/maxPaceWeight), maxPaceWeight)
}
