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

// pick returns a usable endpoint with room for the request, or nil: the least loaded one, or one
// sampled by load while the other instances are expected to have unreported requests.
func (a *Allocator) pick(request SlotRequest, now time.Time) *endpoint {
	list := a.candidates(request, now)
	if unreported := unreportedFactor * a.estimateUnreported(now); unreported >= 1 {
		return pickSampled(list, now, unreported)
	}
	return pickLeastLoaded(list, request.Prefix, now)
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
func pickSampled(list []*endpoint, now time.Time, unreported float64) *endpoint {
	var s sampler.Sampler
	for i, e := range list {
		s.Add(i, e.utilization(now), e.Slots)
	}
	i := s.Pick(unreported, rand.Float64())
	if i < 0 {
		return nil
	}
	return list[i]
}

// pickLeastLoaded returns the endpoint with the lowest utilization. The hash of prefix
// and endpoint breaks ties.
func pickLeastLoaded(list []*endpoint, prefix string, now time.Time) *endpoint {
	var best *endpoint
	var bestKey loadKey
	for _, e := range list {
		key := loadKey{utilization: e.utilization(now), hash: xxhash.Sum64String(prefix + "/" + string(e.ID))}
		if best == nil || key.less(bestKey) {
			best, bestKey = e, key
		}
	}
	return best
}

// loadKey orders endpoints by utilization, then by hash.
type loadKey struct {
	utilization float64
	hash        uint64
}

func (k loadKey) less(other loadKey) bool {
	if k.utilization != other.utilization {
		return k.utilization < other.utilization
	}
	return k.hash < other.hash
}
