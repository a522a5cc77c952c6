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
	// random returns a random number in [0, n).
	random func(n int) int

	// pools is replaced whenever the endpoints or the models that they serve change.
	pools atomic.Pointer[poolSet]
	// nextIndex counts the selections by the round-robin policy.
	nextIndex atomic.Uint64

	// mu guards targets and the replacement of pools.
	mu      sync.Mutex
	targets map[fescuebank.EndpointID]*Target
}

// poolSet holds the endpoints that serve each model. It is never changed.
type poolSet struct {
	byModel map[fescuebank.ModelName][]*Target
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
		if former := t.spec.Swap(&spec); former != nil && former.URL != spec.URL {
			t.reportedLeaving.Store(false) // The report was that of another endpoint.
		}
		t.leaving.Store(spec.Leaving || t.reportedLeaving.Load())
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
	t.reportedLeaving.Store(r.Leaving)
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

// Available reports whether the endpoint is neither leaving nor ejected.
func (b *Balancer) Available(t *Target) bool {
	return !t.leaving.Load() && b.clock.Now().UnixNano() >= t.ejectedUntilNanos.Load()
}

// RecordFailure ejects the endpoint for a time that doubles with each consecutive
// failure. The endpoint then goes through slow start.
func (b *Balancer) RecordFailure(t *Target) {
	n := t.failures.Add(1)
	// Six doublings already exceed maxEjection; more would overflow in the end.
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
