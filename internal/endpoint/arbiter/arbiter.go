// Package arbiter divides the slots of endpoints, at their owner, between
// the online requests of all instances and batch work.
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
	// noticeAge is how long an instance's notice counts.
	noticeAge = 3 * time.Second
	// overcommit is how many online requests beyond its slots an endpoint may
	// hold, so that a slot that gets free is taken without a round trip.
	overcommit = 1
	// riseWindow is within which a rise of online requests comes too fast for
	// batch work to make room.
	riseWindow = 25 * time.Millisecond
	// riseHalfLife is how fast a rise is forgotten.
	riseHalfLife = 300 * time.Millisecond
)

// Arbiter keeps the use of owned endpoints. It does no I/O.
type Arbiter struct {
	weight func(fescuebank.TeamID) float64
	// headroom is the share of slots that batch work always leaves free, on
	// average over the endpoints.
	headroom float64

	mu        sync.Mutex
	endpoints map[fescuebank.EndpointID]*endpoint
}

// endpoint is the use of one endpoint.
type endpoint struct {
	uses map[fescuebank.InstanceID]use
	// lows are recent counts of online requests, to measure rises from.
	lows []count
	// rise is the largest recent rise, at riseAt.
	rise   float64
	riseAt time.Time
}

// use is one instance's newest notice.
type use struct {
	sequence uint64
	online   int
	demands  []fescuebank.TeamDemand
	at       time.Time
}

type count struct {
	online int
	at     time.Time
}

// New returns an arbiter that knows of no use. weight gives a team's share;
// headroom is the share of slots that batch work always leaves free.
func New(weight func(fescuebank.TeamID) float64, headroom float64) *Arbiter {
	return &Arbiter{weight: weight, headroom: headroom, endpoints: make(map[fescuebank.EndpointID]*endpoint)}
}

func (c *Arbiter) endpoint(id fescuebank.EndpointID) *endpoint {
	e, ok := c.endpoints[id]
	if !ok {
		e = &endpoint{uses: make(map[fescuebank.InstanceID]use)}
		c.endpoints[id] = e
	}
	return e
}

// Allocate takes in one instance's use and returns what it is allowed.
func (c *Arbiter) Allocate(now time.Time, from fescuebank.InstanceID, sequence uint64, u fescuebank.EndpointUse, slots int) fescuebank.EndpointCredit {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoint(u.ID)
	if old, ok := e.uses[from]; !ok || sequence > old.sequence || now.Sub(old.at) > noticeAge {
		e.uses[from] = use{sequence: sequence, online: u.Online, demands: u.Demands, at: now}
	}
	e.forget(now)
	e.measureRise(now)
	total := e.online()
	mine := e.uses[from].online
	credit := fescuebank.EndpointCredit{ID: u.ID, Others: total - mine}
	credit.Limit = e.limit(from, slots+overcommit, c.weight)
	return credit
}

// forget drops notices that are too old. An instance with requests renews its
// notice well before.
func (e *endpoint) forget(now time.Time) {
	for id, u := range e.uses {
		if now.Sub(u.at) > noticeAge {
			delete(e.uses, id)
		}
	}
}

func (e *endpoint) online() int {
	total := 0
	for _, u := range e.uses {
		total += u.online
	}
	return total
}

// limit is what an instance may have at the endpoint. While nobody waits it
// may take all that is free; otherwise its teams' shares decide.
func (e *endpoint) limit(id fescuebank.InstanceID, capacity int, weight func(fescuebank.TeamID) float64) int {
	contended := false
	for _, u := range e.uses {
		contended = contended || len(u.demands) > 0
	}
	mine := e.uses[id]
	if !contended {
		return max(1, capacity-(e.online()-mine.online))
	}
	shares := e.shares(float64(capacity), weight)
	total := 0.0
	for _, d := range mine.demands {
		total += shares[d.Team] * float64(d.Count)
	}
	// An instance without waiting requests keeps what it has.
	if len(mine.demands) == 0 {
		return max(1, mine.online)
	}
	return max(1, int(math.Round(total)))
}

// shares returns, for each team, the share of a slot that each of its requests
// gets: capacity is dealt out by weight, and what a team can't use goes to the
// others.
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
	// The team whose demand is smallest for its weight is satisfied first.
	slices.SortFunc(teams, func(a, b fescuebank.TeamID) int {
		if demand[a]*weight(b) < demand[b]*weight(a) {
			return -1
		}
		return 1
	})
	share := make(map[fescuebank.TeamID]float64, len(teams))
	for _, t := range teams {
		given := min(demand[t], capacity*weight(t)/total)
		share[t] = given / max(demand[t], 1)
		capacity -= given
		total -= weight(t)
	}
	return share
}

// measureRise notes how much online requests grew within a short time.
func (e *endpoint) measureRise(now time.Time) {
	online := e.online()
	for len(e.lows) > 0 && now.Sub(e.lows[0].at) > riseWindow {
		e.lows = e.lows[1:]
	}
	for len(e.lows) > 0 && e.lows[len(e.lows)-1].online >= online {
		e.lows = e.lows[:len(e.lows)-1]
	}
	e.lows = append(e.lows, count{online: online, at: now})
	rise := float64(online - e.lows[0].online)
	if rise >= e.risen(now) {
		e.rise, e.riseAt = rise, now
	}
}

// risen is the largest recent rise, halved with age.
func (e *endpoint) risen(now time.Time) float64 {
	age := now.Sub(e.riseAt)
	if e.riseAt.IsZero() {
		return 0
	}
	return e.rise * math.Exp2(-age.Seconds()/riseHalfLife.Seconds())
}

// BatchLimit returns how many batch requests the endpoint may run now.
func (c *Arbiter) BatchLimit(now time.Time, id fescuebank.EndpointID, slots int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoint(id)
	e.forget(now)
	// Rounding differs by endpoint, so that the average is kept.
	const steps = 1 << 16
	rounding := float64(xxhash.Sum64String(string(id))%steps) / steps
	least := max(1, int(float64(slots)*c.headroom+rounding))
	headroom := max(least, int(math.Ceil(e.risen(now))))
	return max(0, slots-e.online()-min(headroom, max(least, slots/2)))
}

// Retain drops endpoints that are not in use any more.
func (c *Arbiter) Retain(keep func(fescuebank.EndpointID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.endpoints {
		if !keep(id) {
			delete(c.endpoints, id)
		}
	}
}
