// Package balancer picks endpoints and keeps this instance's view of them.
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
	// samples is how many endpoints are looked at for two choices.
	samples = 4
	// mostLooks bounds the endpoints that are compared for one request.
	mostLooks = 24
	// affinityBound is how much busier than another pick the holder of a
	// prompt's prefix may be, in units of an endpoint's capacity.
	affinityBound = 0.25
	// zonePenalty is what another availability zone counts as, in the same units.
	zonePenalty = 0.02
	// rampTime is how long a new or returned endpoint takes to its full share.
	rampTime = 10 * time.Second
	// reportAge is how long a load report is used.
	reportAge = 5 * time.Second
	// firstEjection and longestEjection bound how long a failing endpoint gets no work.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 15 * time.Second
)

// Balancer picks endpoints for one model at a time. Its lists are replaced
// whole, and counters are atomic, so that picking takes no lock.
type Balancer struct {
	zone   fescuebank.Zone
	clock  fescuebank.Clock
	policy fescuebank.Policy
	random func(n int) int

	pools atomic.Pointer[poolSet]

	mu      sync.Mutex
	targets map[fescuebank.EndpointID]*Target
	turn    atomic.Uint64
}

type poolSet struct {
	byModel map[fescuebank.ModelName][]*Target
}

// Target is an endpoint as this instance sees it.
type Target struct {
	spec atomic.Pointer[fescuebank.EndpointSpec]
	// online and batch count this instance's requests there.
	online atomic.Int64
	batch  atomic.Int64
	// limit bounds online. It is set by the owner's credits, and adapted to
	// first-token latency while there are none.
	limit    atomic.Int64
	credited atomic.Bool
	// others is the estimate of other instances' requests, from a report.
	others atomic.Int64
	// creditOthers is the owner's count of other instances' online requests.
	creditOthers atomic.Int64
	reportedAt   atomic.Int64
	// since is when the endpoint was added or came back, in Unix nanoseconds.
	since atomic.Int64
	// ejectedUntil is in Unix nanoseconds.
	ejectedUntil atomic.Int64
	failures     atomic.Int64
	leaving      atomic.Bool
	// models are those it reported to serve; nil until the first report.
	models atomic.Pointer[[]fescuebank.ModelName]
}

// New returns a balancer without endpoints.
func New(zone fescuebank.Zone, policy fescuebank.Policy, clock fescuebank.Clock) *Balancer {
	b := &Balancer{zone: zone, clock: clock, policy: policy, random: rand.IntN, targets: make(map[fescuebank.EndpointID]*Target)}
	b.pools.Store(&poolSet{})
	return b
}

// SetRandom replaces the source of random numbers in [0, n).
func (b *Balancer) SetRandom(random func(n int) int) {
	b.random = random
}

// SetEndpoints replaces the endpoints. Those that stay keep their counters.
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
				t.since.Store(now.UnixNano())
			}
		}
		t.spec.Store(&spec)
		t.leaving.Store(spec.Leaving)
		next[spec.ID] = t
	}
	b.targets = next
	b.rebuild()
}

// rebuild replaces the pools. The caller holds mu.
func (b *Balancer) rebuild() {
	set := &poolSet{byModel: make(map[fescuebank.ModelName][]*Target)}
	ids := make([]fescuebank.EndpointID, 0, len(b.targets))
	for id := range b.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := b.targets[id]
		for _, m := range t.serves() {
			set.byModel[m] = append(set.byModel[m], t)
		}
	}
	b.pools.Store(set)
}

// serves returns the models the endpoint can serve now.
func (t *Target) serves() []fescuebank.ModelName {
	spec := t.spec.Load()
	reported := t.models.Load()
	if reported == nil {
		return spec.Models
	}
	var both []fescuebank.ModelName
	for _, m := range *reported {
		if slices.Contains(spec.Models, m) {
			both = append(both, m)
		}
	}
	return both
}

// Target returns the view of one endpoint.
func (b *Balancer) Target(id fescuebank.EndpointID) (*Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.targets[id]
	return t, ok
}

// Targets returns the view of all endpoints.
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

// ApplyReport takes in a load report that was asked for at asked.
func (b *Balancer) ApplyReport(id fescuebank.EndpointID, r fescuebank.LoadReport) {
	t, ok := b.Target(id)
	if !ok {
		return
	}
	own := t.online.Load() + t.batch.Load()
	t.others.Store(max(0, int64(r.Running+r.Waiting)-own))
	t.reportedAt.Store(b.clock.Now().UnixNano())
	t.leaving.Store(r.Leaving || t.spec.Load().Leaving)
	old := t.models.Load()
	if old != nil && slices.Equal(*old, r.Models) {
		return
	}
	models := slices.Clone(r.Models)
	t.models.Store(&models)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rebuild()
}

// Reserve picks an endpoint with room and counts the request there. It returns
// nil if there is none. prefix is an endpoint to prefer, or empty; avoid lists
// endpoints that already failed the request.
func (b *Balancer) Reserve(m fescuebank.ModelName, prefix fescuebank.EndpointID, avoid []fescuebank.EndpointID) *Target {
	pool := b.pools.Load().byModel[m]
	if len(pool) == 0 {
		return nil
	}
	now := b.clock.Now().UnixNano()
	if t := b.pick(pool, now, prefix, avoid); t != nil && t.reserve() {
		return t
	}
	// The sampled ones are full, or another request was faster.
	return b.scan(pool, now, avoid)
}

func (b *Balancer) pick(pool []*Target, now int64, prefix fescuebank.EndpointID, avoid []fescuebank.EndpointID) *Target {
	switch b.policy {
	case fescuebank.PolicyRandom:
		return b.firstOpen(pool, now, b.random(len(pool)), avoid)
	case fescuebank.PolicyRoundRobin:
		return b.firstOpen(pool, now, int(b.turn.Add(1)%uint64(len(pool))), avoid)
	case fescuebank.PolicyLeastReported:
		return b.leastReported(pool, now, avoid)
	}
	var best *Target
	if b.policy == fescuebank.PolicyTwoChoices || !pool[0].credited.Load() {
		// Counts that lie behind would send everybody to the same endpoint.
		best = b.twoChoices(pool, now, avoid)
	} else {
		best = b.leastExpected(pool, now, avoid)
	}
	return b.preferHolder(best, pool, now, prefix, avoid)
}

// leastExpected takes the endpoint with the least expected work among up to
// mostLooks, from a random start. It needs counts as fresh as owners' credits.
func (b *Balancer) leastExpected(pool []*Target, now int64, avoid []fescuebank.EndpointID) *Target {
	var best *Target
	var bestLoad float64
	start := b.random(len(pool))
	for i := range min(len(pool), mostLooks) {
		t := pool[(start+i)%len(pool)]
		if !t.open(now, avoid) {
			continue
		}
		if load := b.load(t, now); best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best
}

// twoChoices samples until two endpoints with room are found and takes the one
// with less expected work.
func (b *Balancer) twoChoices(pool []*Target, now int64, avoid []fescuebank.EndpointID) *Target {
	var best *Target
	var bestLoad float64
	found := 0
	for i := 0; i < samples && found < 2; i++ {
		t := pool[b.random(len(pool))]
		if t == best || !t.open(now, avoid) {
			continue
		}
		found++
		if load := b.load(t, now); best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best
}

// preferHolder returns the holder of the prompt's prefix if it is about as good
// as the best pick.
func (b *Balancer) preferHolder(best *Target, pool []*Target, now int64, prefix fescuebank.EndpointID, avoid []fescuebank.EndpointID) *Target {
	if prefix == "" || best == nil {
		return best
	}
	bound := b.load(best, now) + affinityBound
	for _, t := range pool {
		if t.spec.Load().ID != prefix {
			continue
		}
		if t.open(now, avoid) && b.load(t, now) <= bound {
			return t
		}
	}
	return best
}

func (b *Balancer) firstOpen(pool []*Target, now int64, start int, avoid []fescuebank.EndpointID) *Target {
	for i := range pool {
		if t := pool[(start+i)%len(pool)]; t.open(now, avoid) {
			return t
		}
	}
	return nil
}

func (b *Balancer) leastReported(pool []*Target, now int64, avoid []fescuebank.EndpointID) *Target {
	var best *Target
	for _, t := range pool {
		if t.open(now, avoid) && (best == nil || t.others.Load() < best.others.Load()) {
			best = t
		}
	}
	return best
}

// scan takes the least loaded endpoint that has room.
func (b *Balancer) scan(pool []*Target, now int64, avoid []fescuebank.EndpointID) *Target {
	var best *Target
	var bestLoad float64
	for _, t := range pool {
		if !t.open(now, avoid) {
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

// load is the expected work at t, from own counts and the newest report.
func (b *Balancer) load(t *Target, now int64) float64 {
	spec := t.spec.Load()
	c := fescuebank.Candidate{ID: spec.ID, Slots: spec.Slots, Own: int(t.online.Load()), Ramp: t.ramp(now)}
	if t.credited.Load() {
		c.Others = int(t.creditOthers.Load())
	} else if now-t.reportedAt.Load() < int64(reportAge) {
		c.Others = int(t.others.Load())
	}
	load := c.Load()
	if spec.Zone != b.zone {
		load += zonePenalty
	}
	return load
}

// ramp is the share of its capacity that a new endpoint may use.
func (t *Target) ramp(now int64) float64 {
	since := t.since.Load()
	if since == 0 || now-since >= int64(rampTime) {
		return 1
	}
	return float64(now-since) / float64(rampTime)
}

// open reports whether the endpoint may take one more online request.
func (t *Target) open(now int64, avoid []fescuebank.EndpointID) bool {
	if t.leaving.Load() || now < t.ejectedUntil.Load() || t.online.Load() >= t.limit.Load() {
		return false
	}
	return len(avoid) == 0 || !slices.Contains(avoid, t.spec.Load().ID)
}

// reserve counts one more online request unless the endpoint is full.
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

// Release ends a reservation.
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

// Online returns the number of this instance's online requests there.
func (t *Target) Online() int {
	return int(t.online.Load())
}

// Others returns the estimated number of other instances' requests there.
func (t *Target) Others() int {
	return int(t.others.Load())
}

// Batch returns the number of this instance's batch requests there.
func (t *Target) Batch() int {
	return int(t.batch.Load())
}

// AddBatch counts batch requests of this instance there.
func (t *Target) AddBatch(n int) {
	t.batch.Add(int64(n))
}

// Limit returns the bound of Online.
func (t *Target) Limit() int {
	return int(t.limit.Load())
}

// ApplyCredit takes in what the endpoint's owner allows and what it knows of other
// instances' online requests.
func (t *Target) ApplyCredit(limit, others int) {
	t.credited.Store(true)
	t.limit.Store(int64(max(1, limit)))
	t.creditOthers.Store(int64(others))
}

// ExpireCredit notes that the owner's word has become too old.
func (t *Target) ExpireCredit() {
	t.credited.Store(false)
}

// AdaptLimit changes the limit by a first token's latency while no owner gives
// credits: it grows by one while tokens are timely and shrinks by a tenth
// when one is late.
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

// Available reports whether the endpoint takes work at all.
func (b *Balancer) Available(t *Target) bool {
	return !t.leaving.Load() && b.clock.Now().UnixNano() >= t.ejectedUntil.Load()
}

// RecordSuccess ends a run of failures.
func (t *Target) RecordSuccess() {
	if t.failures.Load() != 0 {
		t.failures.Store(0)
	}
}

// RecordFailure keeps work away from the endpoint, longer with each failure in a row.
// It then starts slowly.
func (b *Balancer) RecordFailure(t *Target) {
	n := t.failures.Add(1)
	d := firstEjection << min(n-1, 6)
	until := b.clock.Now().Add(min(d, longestEjection))
	t.ejectedUntil.Store(until.UnixNano())
	t.since.Store(until.UnixNano())
}

// HasFreeSlot reports whether any endpoint of m may take one more online request.
func (b *Balancer) HasFreeSlot(m fescuebank.ModelName) bool {
	now := b.clock.Now().UnixNano()
	for _, t := range b.pools.Load().byModel[m] {
		if t.open(now, nil) {
			return true
		}
	}
	return false
}
