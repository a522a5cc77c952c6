// Package arbiter runs at the owner of an endpoint and divides the endpoint's slots
// between the online requests of all instances and batch work.
package arbiter

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

const (
	// noticeTTL is how long an instance's notice of its use is valid.
	noticeTTL = 3 * time.Second
	// overcommit is the number of online requests that an endpoint may hold beyond
	// its slots, so that a freed slot is reused without a round trip.
	overcommit = 1
	// riseWindow is the time within which a rise of online requests is too fast for
	// batch work to free slots for it.
	riseWindow = 25 * time.Millisecond
	// riseHalfLife is the half-life of a measured rise.
	riseHalfLife = 300 * time.Millisecond
)

// Arbiter tracks the use of owned endpoints. It does no I/O.
type Arbiter struct {
	weight func(fescuebank.TeamID) float64
	// reservedShare is the fraction of slots that batch work always leaves free,
	// on average over the endpoints.
	reservedShare float64

	mu        sync.Mutex
	endpoints map[fescuebank.EndpointID]*endpoint
}

// endpoint is the use of one endpoint.
type endpoint struct {
	uses map[fescuebank.InstanceID]use
	// minima are the samples within riseWindow that are lower than all later ones, so
	// that they ascend. The first is the minimum of the window.
	minima []sample
	// rise is the largest recent rise, measured at riseAt.
	rise   float64
	riseAt time.Time
}

// use is the use of the endpoint by one instance, from its newest notice.
type use struct {
	sequence uint64
	online   int
	demands  []fescuebank.TeamDemand
	at       time.Time
}

// sample is the number of online requests at one time.
type sample struct {
	online int
	at     time.Time
}

// New returns an arbiter without notices. weight returns a team's weight;
// reservedShare is the fraction of slots that batch work always leaves free.
func New(weight func(fescuebank.TeamID) float64, reservedShare float64) *Arbiter {
	return &Arbiter{weight: weight, reservedShare: reservedShare, endpoints: make(map[fescuebank.EndpointID]*endpoint)}
}

// endpoint returns the entry of an endpoint. The caller holds mu.
func (a *Arbiter) endpoint(id fescuebank.EndpointID) *endpoint {
	e, ok := a.endpoints[id]
	if !ok {
		e = &endpoint{uses: make(map[fescuebank.InstanceID]use)}
		a.endpoints[id] = e
	}
	return e
}

// Allocate records one instance's use of an endpoint and returns its credit. A notice
// that arrives after a newer one doesn't replace it.
func (a *Arbiter) Allocate(now time.Time, from fescuebank.InstanceID, sequence uint64, u fescuebank.EndpointUse, slots int) fescuebank.EndpointCredit {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.endpoint(u.ID)
	if old, ok := e.uses[from]; !ok || sequence > old.sequence || now.Sub(old.at) > noticeTTL {
		e.uses[from] = use{sequence: sequence, online: u.Online, demands: u.Demands, at: now}
	}
	e.dropExpired(now)
	e.updateRise(now)
	total := e.online()
	own := e.uses[from].online
	credit := fescuebank.EndpointCredit{ID: u.ID, OtherRequests: total - own}
	credit.Limit = e.limit(from, slots+overcommit, a.weight)
	return credit
}

// dropExpired drops expired notices. An instance with requests renews its notice well
// before it expires.
func (e *endpoint) dropExpired(now time.Time) {
	for id, u := range e.uses {
		if now.Sub(u.at) > noticeTTL {
			delete(e.uses, id)
		}
	}
}

// online returns the number of online requests of all instances.
func (e *endpoint) online() int {
	total := 0
	for _, u := range e.uses {
		total += u.online
	}
	return total
}

// limit returns how many online requests an instance may have at the endpoint. While no
// requests wait at any instance, it may use all free slots; otherwise its teams' shares
// decide.
func (e *endpoint) limit(id fescuebank.InstanceID, capacity int, weight func(fescuebank.TeamID) float64) int {
	contended := false
	for _, u := range e.uses {
		contended = contended || len(u.demands) > 0
	}
	own := e.uses[id]
	if !contended {
		return max(1, capacity-(e.online()-own.online))
	}
	shares := e.shares(float64(capacity), weight)
	total := 0.0
	for _, d := range own.demands {
		total += shares[d.Team] * float64(d.Count)
	}
	// An instance without waiting requests keeps the slots it uses.
	if len(own.demands) == 0 {
		return max(1, own.online)
	}
	return max(1, int(math.Round(total)))
}

// shares returns, for each team, the fraction of a slot that each of its requests gets
// under weighted max-min fairness: capacity is divided by weight, and what a team can't
// use goes to the others.
func (e *endpoint) shares(capacity float64, weight func(fescuebank.TeamID) float64) map[fescuebank.TeamID]float64 {
	demand := make(map[fescuebank.TeamID]float64)
	for _, u := range e.uses {
		for _, d := range u.demands {
			demand[d.Team] += float64(d.Count)
		}
		if len(u.demands) == 0 {
			capacity -= float64(u.online)
		}
	}
	capacity = max(0, capacity)
	teams := make([]fescuebank.TeamID, 0, len(demand))
	total := 0.0
	for t := range demand {
		teams = append(teams, t)
		total += weight(t)
	}
	// Teams are served in ascending order of demand per weight.
	slices.SortFunc(teams, func(a, b fescuebank.TeamID) int {
		if demand[a]*weight(b) < demand[b]*weight(a) {
			return -1
		}
		return 1
	})
	share := make(map[fescuebank.TeamID]float64, len(teams))
	for _, t := range teams {
		granted := min(demand[t], capacity*weight(t)/total)
		share[t] = granted / max(demand[t], 1)
		capacity -= granted
		total -= weight(t)
	}
	return share
}

// updateRise updates the largest rise of online requests within riseWindow.
func (e *endpoint) updateRise(now time.Time) {
	online := e.online()
	for len(e.minima) > 0 && now.Sub(e.minima[0].at) > riseWindow {
		e.minima = e.minima[1:]
	}
	for len(e.minima) > 0 && e.minima[len(e.minima)-1].online >= online {
		e.minima = e.minima[:len(e.minima)-1]
	}
	e.minima = append(e.minima, sample{online: online, at: now})
	rise := float64(online - e.minima[0].online)
	if rise >= e.decayedRise(now) {
		e.rise, e.riseAt = rise, now
	}
}

// decayedRise returns the largest recent rise, decayed by its age.
func (e *endpoint) decayedRise(now time.Time) float64 {
	age := now.Sub(e.riseAt)
	if e.riseAt.IsZero() {
		return 0
	}
	return e.rise * math.Exp2(-age.Seconds()/riseHalfLife.Seconds())
}

// BatchLimit returns how many batch requests the endpoint may run now.
func (a *Arbiter) BatchLimit(now time.Time, id fescuebank.EndpointID, slots int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.endpoint(id)
	e.dropExpired(now)
	// The rounding offset differs by endpoint, so that the average over all endpoints
	// is reservedShare.
	const steps = 1 << 16
	rounding := float64(xxhash.Sum64String(string(id))%steps) / steps
	minReserved := max(1, int(float64(slots)*a.reservedShare+rounding))
	reserved := max(minReserved, int(math.Ceil(e.decayedRise(now))))
	return max(0, slots-e.online()-min(reserved, max(minReserved, slots/2)))
}

// RetainEndpoints drops the endpoints for which keep returns false.
func (a *Arbiter) RetainEndpoints(keep func(fescuebank.EndpointID) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.endpoints {
		if !keep(id) {
			delete(a.endpoints, id)
		}
	}
}
