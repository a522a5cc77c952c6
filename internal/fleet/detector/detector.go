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
	maxUpdates = 8
	// rumorRounds is how often a rumor is passed on before it rests.
	sendsPerUpdate = 12
)

// Detector keeps what is known of each instance's health. It does no I/O.
type Detector struct {
	self           fescuebank.InstanceID
	suspectTimeout time.Duration

	mu sync.Mutex
	// listed are the instances to probe, by their place on a hash ring.
	listed []fescuebank.Instance
	states map[fescuebank.InstanceID]*instanceState
	// counter is this instance's own, raised to refute suspicions.
	counter uint64
	health  fescuebank.Health
	// round picks one more target each time.
	nextExtra int
}

// knowledge is what is known of one instance.
type instanceState struct {
	update fescuebank.HealthUpdate
	// answered is when it last answered a probe of this instance.
	lastReply time.Time
	// failing is when its unanswered probes began; zero if it answered.
	failingSince time.Time
	// rounds is how often the rumor still has to be passed on.
	sendsLeft int
}

// New returns a detector that suspects an instance after suspect without answer.
func New(self fescuebank.InstanceID, suspectTimeout time.Duration) *Detector {
	return &Detector{self: self, suspectTimeout: suspectTimeout, states: make(map[fescuebank.InstanceID]*instanceState)}
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
			k := d.state(i.ID)
			d.apply(k, fescuebank.HealthUpdate{ID: i.ID, Counter: k.update.Counter, Health: fescuebank.Leaving})
		}
	}
	slices.SortFunc(d.listed, func(a, b fescuebank.Instance) int {
		if d.ringDistance(a.ID) < d.ringDistance(b.ID) {
			return -1
		}
		return 1
	})
	maps.DeleteFunc(d.states, func(id fescuebank.InstanceID, _ *instanceState) bool { return !present[id] })
}

// ringPlace is the distance from this instance on the hash ring.
func (d *Detector) ringDistance(id fescuebank.InstanceID) uint64 {
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
	d.nextExtra++
	return append(targets, rest[d.nextExtra%len(rest)])
}

// RecordReply records an answer to a probe.
func (d *Detector) RecordReply(id fescuebank.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.state(id)
	k.lastReply = now
	k.failingSince = time.Time{}
	if k.update.Health == fescuebank.Suspect {
		d.apply(k, fescuebank.HealthUpdate{ID: id, Counter: k.update.Counter + 1, Health: fescuebank.Alive})
	}
}

// RecordFailure records a probe without answer.
func (d *Detector) RecordFailure(id fescuebank.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.state(id)
	if k.failingSince.IsZero() {
		k.failingSince = now
	}
	if now.Sub(k.failingSince) >= d.suspectTimeout {
		d.apply(k, fescuebank.HealthUpdate{ID: id, Counter: k.update.Counter, Health: fescuebank.Suspect})
	}
}

// ApplyUpdates takes in updates of another instance.
func (d *Detector) ApplyUpdates(updates []fescuebank.HealthUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range updates {
		if r.ID == d.self {
			d.refute(r)
			continue
		}
		d.apply(d.state(r.ID), r)
	}
}

// refute outbids a rumor about this instance that is not true.
func (d *Detector) refute(r fescuebank.HealthUpdate) {
	own := fescuebank.HealthUpdate{ID: d.self, Counter: d.counter, Health: d.health}
	if !r.Overrides(own) {
		return
	}
	d.counter = r.Counter + 1
	d.announceSelf()
}

// SetLeaving spreads that this instance is draining.
func (d *Detector) SetLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health = fescuebank.Leaving
	d.counter++
	d.announceSelf()
}

func (d *Detector) announceSelf() {
	k := d.state(d.self)
	k.update = fescuebank.HealthUpdate{ID: d.self, Counter: d.counter, Health: d.health}
	k.sendsLeft = sendsPerUpdate
}

// NextUpdates returns what to pass on with the next message, the least told first.
func (d *Detector) NextUpdates() []fescuebank.HealthUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var pending []*instanceState
	for _, k := range d.states {
		if k.sendsLeft > 0 {
			pending = append(pending, k)
		}
	}
	slices.SortFunc(pending, func(a, b *instanceState) int { return b.sendsLeft - a.sendsLeft })
	pending = pending[:min(len(pending), maxUpdates)]
	updates := make([]fescuebank.HealthUpdate, 0, len(pending))
	for _, k := range pending {
		k.sendsLeft--
		updates = append(updates, k.update)
	}
	return updates
}

// Health returns what is known of id.
func (d *Detector) Health(id fescuebank.InstanceID) fescuebank.Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == d.self {
		return d.health
	}
	if k, ok := d.states[id]; ok {
		return k.update.Health
	}
	return fescuebank.Alive
}

// know returns the entry of id. The caller holds mu.
func (d *Detector) state(id fescuebank.InstanceID) *instanceState {
	k, ok := d.states[id]
	if !ok {
		k = &instanceState{update: fescuebank.HealthUpdate{ID: id}}
		d.states[id] = k
	}
	return k
}

// learn replaces what is known if r is newer. The caller holds mu.
func (d *Detector) apply(k *instanceState, r fescuebank.HealthUpdate) {
	if !r.Overrides(k.update) {
		return
	}
	k.update = r
	k.sendsLeft = sendsPerUpdate
}
