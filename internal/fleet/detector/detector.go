// Package detector decides which instances are suspected to be gone, from
// probes and from what others pass on.
package detector

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

const (
	// successors is the number of instances each one probes.
	successors = 3
	// maxRumors bounds the rumors of one message.
	maxRumors = 8
	// rumorRounds is how often a rumor is passed on before it rests.
	rumorRounds = 12
)

// Detector keeps what is known of each instance's health. It does no I/O.
type Detector struct {
	self    fescuebank.InstanceID
	suspect time.Duration

	mu sync.Mutex
	// listed are the instances to probe, by their place on a hash ring.
	listed []fescuebank.Instance
	known  map[fescuebank.InstanceID]*knowledge
	// counter is this instance's own, raised to refute suspicions.
	counter uint64
	health  fescuebank.Health
	// round picks one more target each time.
	round int
}

// knowledge is what is known of one instance.
type knowledge struct {
	rumor fescuebank.HealthUpdate
	// answered is when it last answered a probe of this instance.
	answered time.Time
	// failing is when its unanswered probes began; zero if it answered.
	failing time.Time
	// rounds is how often the rumor still has to be passed on.
	rounds int
}

// New returns a detector that suspects an instance after suspect without answer.
func New(self fescuebank.InstanceID, suspect time.Duration) *Detector {
	return &Detector{self: self, suspect: suspect, known: make(map[fescuebank.InstanceID]*knowledge)}
}

// SetListed replaces the instances to look after.
func (d *Detector) SetListed(list []fescuebank.ListedInstance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = nil
	present := map[fescuebank.InstanceID]bool{}
	for _, i := range list {
		present[i.ID] = true
		if i.ID == d.self {
			continue
		}
		d.listed = append(d.listed, i.Instance)
		if i.Leaving {
			k := d.know(i.ID)
			d.learn(k, fescuebank.HealthUpdate{ID: i.ID, Counter: k.rumor.Counter, Health: fescuebank.Leaving})
		}
	}
	slices.SortFunc(d.listed, func(a, b fescuebank.Instance) int {
		if d.ringPlace(a.ID) < d.ringPlace(b.ID) {
			return -1
		}
		return 1
	})
	maps.DeleteFunc(d.known, func(id fescuebank.InstanceID, _ *knowledge) bool { return !present[id] })
}

// ringPlace is the distance from this instance on the hash ring.
func (d *Detector) ringPlace(id fescuebank.InstanceID) uint64 {
	return xxhash.Sum64String(string(id)) - xxhash.Sum64String(string(d.self))
}

// Targets returns the instances to probe this round: the next ones on the ring
// and one more in turn. Their number does not grow with the fleet.
func (d *Detector) Targets() []fescuebank.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.listed) <= successors {
		return slices.Clone(d.listed)
	}
	targets := slices.Clone(d.listed[:successors])
	rest := d.listed[successors:]
	d.round++
	return append(targets, rest[d.round%len(rest)])
}

// RecordReply records an answer to a probe.
func (d *Detector) RecordReply(id fescuebank.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.know(id)
	k.answered = now
	k.failing = time.Time{}
	if k.rumor.Health == fescuebank.Suspect {
		d.learn(k, fescuebank.HealthUpdate{ID: id, Counter: k.rumor.Counter + 1, Health: fescuebank.Alive})
	}
}

// RecordFailure records a probe without answer.
func (d *Detector) RecordFailure(id fescuebank.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.know(id)
	if k.failing.IsZero() {
		k.failing = now
	}
	if now.Sub(k.failing) >= d.suspect {
		d.learn(k, fescuebank.HealthUpdate{ID: id, Counter: k.rumor.Counter, Health: fescuebank.Suspect})
	}
}

// ApplyUpdates takes in updates of another instance.
func (d *Detector) ApplyUpdates(rumors []fescuebank.HealthUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range rumors {
		if r.ID == d.self {
			d.refute(r)
			continue
		}
		d.learn(d.know(r.ID), r)
	}
}

// refute outbids a rumor about this instance that is not true.
func (d *Detector) refute(r fescuebank.HealthUpdate) {
	own := fescuebank.HealthUpdate{ID: d.self, Counter: d.counter, Health: d.health}
	if !r.Overrides(own) {
		return
	}
	d.counter = r.Counter + 1
	d.spreadOwn()
}

// SetLeaving spreads that this instance is draining.
func (d *Detector) SetLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health = fescuebank.Leaving
	d.counter++
	d.spreadOwn()
}

func (d *Detector) spreadOwn() {
	k := d.know(d.self)
	k.rumor = fescuebank.HealthUpdate{ID: d.self, Counter: d.counter, Health: d.health}
	k.rounds = rumorRounds
}

// NextUpdates returns what to pass on with the next message, the least told first.
func (d *Detector) NextUpdates() []fescuebank.HealthUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var fresh []*knowledge
	for _, k := range d.known {
		if k.rounds > 0 {
			fresh = append(fresh, k)
		}
	}
	slices.SortFunc(fresh, func(a, b *knowledge) int { return b.rounds - a.rounds })
	fresh = fresh[:min(len(fresh), maxRumors)]
	rumors := make([]fescuebank.HealthUpdate, 0, len(fresh))
	for _, k := range fresh {
		k.rounds--
		rumors = append(rumors, k.rumor)
	}
	return rumors
}

// Health returns what is known of id.
func (d *Detector) Health(id fescuebank.InstanceID) fescuebank.Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == d.self {
		return d.health
	}
	if k, ok := d.known[id]; ok {
		return k.rumor.Health
	}
	return fescuebank.Alive
}

// know returns the entry of id. The caller holds mu.
func (d *Detector) know(id fescuebank.InstanceID) *knowledge {
	k, ok := d.known[id]
	if !ok {
		k = &knowledge{rumor: fescuebank.HealthUpdate{ID: id}}
		d.known[id] = k
	}
	return k
}

// learn replaces what is known if r is newer. The caller holds mu.
func (d *Detector) learn(k *knowledge, r fescuebank.HealthUpdate) {
	if !r.Overrides(k.rumor) {
		return
	}
	k.rumor = r
	k.rounds = rumorRounds
}
