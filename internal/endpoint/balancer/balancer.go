// Package balancer selects an endpoint for each request and tracks this
// instance's view of endpoint load and health.
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
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
	// rampTime is the slow-start period of a new or recovered endpoint.
	rampTime = 10 * time.Second
	// maxReportAge is the age up to which a load report is used.
	maxReportAge = 5 * time.Second
	// minEjection and maxEjection bound how long a failing endpoint gets no
	// requests.
	minEjection = 500 * time.Millisecond
	maxEjection = 15 * time.Second
)

// Balancer selects endpoints by model. The endpoint lists are replaced
// atomically and the counters are atomic, so that selection takes no lock.
type Balancer struct {
	zone   fescuebank.Zone
	clock  fescuebank.Clock
	policy fescuebank.Policy
	random func(n int) int

	pools atomic.Pointer[poolSet]

	mu        sync.Mutex
	targets   map[fescuebank.EndpointID]*Target
	nextIndex atomic.Uint64
}

// poolSet holds the endpoints that serve each model.
type poolSet struct {
	byModel map[fescuebank.ModelName][]*Target
}

// Target is this instance's view of one endpoint.
type Target struct {
	spec atomic.Pointer[fescuebank.EndpointSpec]
	// online and batch count this instance's requests in flight at the endpoint.
	online atomic.Int64
	batch  atomic.Int64
	// limit bounds online. The endpoint's owner sets it through credits; without
	// a valid credit it is adapted to the first-token latency.
	limit    atomic.Int64
	credited atomic.Bool
	// reportedOtherRequests estimates the other instances' requests from the endpoint's
	// load report.
	reportedOtherRequests atomic.Int64
	// creditedOtherRequests is the owner's count of other instances' online requests.
	creditedOtherRequests atomic.Int64
	reportedAtNanos       atomic.Int64
	// rampStartNanos is when the endpoint was added or recovered, in Unix nanoseconds. It is 0
	// for the endpoints of the first list, which start at full capacity.
	rampStartNanos atomic.Int64
	// ejectedUntilNanos is in Unix nanoseconds.
	ejectedUntilNanos atomic.Int64
	failures          atomic.Int64
	leaving           atomic.Bool
	// reportedModels are the models in the newest load report; nil until the first report.
	reportedModels atomic.Pointer[[]fescuebank.ModelName]
}

// New returns a balancer without endpoints.
func New(zone fescuebank.Zone, policy fescuebank.Policy, clock fescuebank.Clock) *Balancer {
	b := &Balancer{zone: zone, clock: clock, policy: policy, random: rand.IntN, targets: make(map[fescuebank.EndpointID]*Target)}
	b.pools.Store(&poolSet{})
	return b
}

// SetRandom replaces the source of random numbers, which returns values in [0, n).
func (b *Balancer) SetRandom(random func(n int) int) {
	b.random = random
}

// SetEndpoints replaces the endpoints. Remaining endpoints keep their counters.
func (b *Balancer) SetEndpoints(specs []fescuebank.EndpointSpec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	first := len(b.targets) == 0
	next := make(map[fescuebank.EndpointID]*Target, len(specs))
	for i := range specs {
		spec := specs[i]
		t, ok := b.targets[spec.ID]
		if !ok {
			t = &Target{}
			t.limit.Store(int64(spec.Slots))
			if !first {
				t.rampStartNanos.Store(now.UnixNano())
			}
		}
		t.spec.Store(&spec)
		t.leaving.Store(spec.Leaving)
		next[spec.ID] = t
	}
	b.targets = next
	b.rebuild()
}

// rebuild recomputes the endpoints of each model. The caller holds mu.
func (b *Balancer) rebuild() {
	set := &poolSet{byModel: make(map[fescuebank.ModelName][]*Target)}
	ids := make([]fescuebank.EndpointID, 0, len(b.targets))
	for id := range b.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := b.targets[id]
		for _, m := range t.servedModels() {
			set.byModel[m] = append(set.byModel[m], t)
		}
	}
	b.pools.Store(set)
}

// servedModels returns the models that the endpoint can serve now: those that are
// both configured and reported, or all configured ones before the first report.
func (t *Target) servedModels() []fescuebank.ModelName {
	spec := t.spec.Load()
	reported := t.reportedModels.Load()
	if reported == nil {
		return spec.Models
	}
	var served []fescuebank.ModelName
	for _, m := range *reported {
		if slices.Contains(spec.Models, m) {
			served = append(served, m)
		}
	}
	return served
}

// Target returns the endpoint with the given id.
func (b *Balancer) Target(id fescuebank.EndpointID) (*Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.targets[id]
	return t, ok
}

// Targets returns all endpoints.
func (b *Balancer) Targets() []*Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*Target, 0, len(b.targets))
	for _, t := range b.targets {
		list = append(list, t)
	}
	return list
}

// Serves reports whether any endpoint can serve m.
func (b *Balancer) Serves(m fescuebank.ModelName) bool {
	return len(b.pools.Load().byModel[m]) > 0
}

// ApplyReport updates an endpoint from its load report.
func (b *Balancer) ApplyReport(id fescuebank.EndpointID, r fescuebank.LoadReport) {
	t, ok := b.Target(id)
	if !ok {
		return
	}
	own := t.online.Load() + t.batch.Load()
	t.reportedOtherRequests.Store(max(0, int64(r.Running+r.Waiting)-own))
	t.reportedAtNanos.Store(b.clock.Now().UnixNano())
	t.leaving.Store(r.Leaving || t.spec.Load().Leaving)
	old := t.reportedModels.Load()
	if old != nil && slices.Equal(*old, r.Models) {
		return
	}
	models := slices.Clone(r.Models)
	t.reportedModels.Store(&models)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rebuild()
}

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
	var best *Target
	var bestLoad float64
	start := b.random(len(pool))
	for i := range min(len(pool), maxCandidates) {
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
	var best *Target
	var bestLoad float64
	for _, t := range pool {
		if !t.canAccept(now, avoid) {
			continue
		}
		if load := b.load(t, now); best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
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

// ramp returns the fraction of its capacity that an endpoint in slow start may use.
func (t *Target) ramp(now int64) float64 {
	start := t.rampStartNanos.Load()
	if start == 0 || now-start >= int64(rampTime) {
		return 1
	}
	return float64(now-start) / float64(rampTime)
}

// canAccept reports whether the endpoint can accept one more online request.
func (t *Target) canAccept(now int64, avoid []fescuebank.EndpointID) bool {
	if t.leaving.Load() || now < t.ejectedUntilNanos.Load() || t.online.Load() >= t.limit.Load() {
		return false
	}
	return len(avoid) == 0 || !slices.Contains(avoid, t.spec.Load().ID)
}

// reserve counts one more online request, or returns false if the endpoint is full.
func (t *Target) reserve() bool {
	for {
		n := t.online.Load()
		if n >= t.limit.Load() {
			return false
		}
		if t.online.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release frees a reserved slot.
func (t *Target) Release() {
	t.online.Add(-1)
}

// ID returns the endpoint's id.
func (t *Target) ID() fescuebank.EndpointID {
	return t.spec.Load().ID
}

// Spec returns the endpoint's description.
func (t *Target) Spec() fescuebank.EndpointSpec {
	return *t.spec.Load()
}

// Online returns the number of this instance's online requests in flight.
func (t *Target) Online() int {
	return int(t.online.Load())
}

// OtherRequests returns the number of other instances' requests, estimated from the load
// report.
func (t *Target) OtherRequests() int {
	return int(t.reportedOtherRequests.Load())
}

// Batch returns the number of this instance's batch requests in flight.
func (t *Target) Batch() int {
	return int(t.batch.Load())
}

// AddBatch adds n to the number of this instance's batch requests in flight.
func (t *Target) AddBatch(n int) {
	t.batch.Add(int64(n))
}

// Limit returns the maximum number of this instance's online requests.
func (t *Target) Limit() int {
	return int(t.limit.Load())
}

// ApplyCredit sets the limit granted by the endpoint's owner and the owner's count of
// other instances' online requests.
func (t *Target) ApplyCredit(limit, otherRequests int) {
	t.credited.Store(true)
	t.limit.Store(int64(max(1, limit)))
	t.creditedOtherRequests.Store(int64(otherRequests))
}

// ExpireCredit marks the owner's last credit as expired.
func (t *Target) ExpireCredit() {
	t.credited.Store(false)
}

// AdaptLimit adjusts the limit to a first-token latency while there is no valid credit
// from the owner: multiplicative decrease by a tenth if the latency is above the bound;
// otherwise additive increase by one, up to the endpoint's slots, if the limit is nearly
// used up.
func (t *Target) AdaptLimit(latency, bound time.Duration) {
	if t.credited.Load() {
		return
	}
	limit := t.limit.Load()
	if latency > bound {
		t.limit.CompareAndSwap(limit, max(1, limit*9/10))
		return
	}
	if t.online.Load()+1 >= limit && limit < int64(t.spec.Load().Slots) {
		t.limit.CompareAndSwap(limit, limit+1)
	}
}

// Available reports whether the endpoint is neither leaving nor ejected.
func (b *Balancer) Available(t *Target) bool {
	return !t.leaving.Load() && b.clock.Now().UnixNano() >= t.ejectedUntilNanos.Load()
}

// RecordSuccess resets the count of consecutive failures.
func (t *Target) RecordSuccess() {
	if t.failures.Load() != 0 {
		t.failures.Store(0)
	}
}

// RecordFailure ejects the endpoint for a time that doubles with each consecutive
// failure. The endpoint then goes through slow start.
func (b *Balancer) RecordFailure(t *Target) {
	n := t.failures.Add(1)
	d := minEjection << min(n-1, 6)
	until := b.clock.Now().Add(min(d, maxEjection))
	t.ejectedUntilNanos.Store(until.UnixNano())
	t.rampStartNanos.Store(until.UnixNano())
}

// HasFreeSlot reports whether any endpoint of m can accept one more online request.
func (b *Balancer) HasFreeSlot(m fescuebank.ModelName) bool {
	now := b.clock.Now().UnixNano()
	for _, t := range b.pools.Load().byModel[m] {
		if t.canAccept(now, nil) {
			return true
		}
	}
	return false
}
