// Package detector decides which instances are suspected to have failed, from the outcome of
// probes and from the health updates of other instances.
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
	// successorCount is the number of next instances on the hash ring that an instance
	// probes in each round.
	successorCount = 3
	// maxUpdates is the maximum number of health updates in one message.
	maxUpdates = 8
	// sendsPerUpdate is how many times an instance sends a health update.
	sendsPerUpdate = 12
)

// Detector tracks the health of each instance as far as known. It does no I/O.
type Detector struct {
	self           fescuebank.InstanceID
	suspectTimeout time.Duration

	mu sync.Mutex
	// listed holds the instances to probe, sorted by their distance on the hash ring.
	listed []fescuebank.Instance
	states map[fescuebank.InstanceID]*instanceState
	// counter is the counter of the health updates about this instance. It is increased
	// to refute a suspicion.
	counter uint64
	// health is the health of this instance.
	health fescuebank.Health
	// nextExtra selects the additional target of a round.
	nextExtra int
}

// instanceState is what is known of one instance.
type instanceState struct {
	// update is the newest health update about the instance.
	update fescuebank.HealthUpdate
	// lastReply is when it last answered a probe of this instance.
	lastReply time.Time
	// failingSince is when a probe first failed after the last reply, or zero if none
	// has failed since.
	failingSince time.Time
	// sendsLeft is how many more times the update has to be sent.
	sendsLeft int
}

// New returns a detector that suspects an instance after its probes have failed for
// suspectTimeout.
func New(self fescuebank.InstanceID, suspectTimeout time.Duration) *Detector {
	return &Detector{self: self, suspectTimeout: suspectTimeout, states: make(map[fescuebank.InstanceID]*instanceState)}
}

// SetListed replaces the instances to probe by the platform's list.
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
			s := d.state(i.ID)
			d.apply(s, fescuebank.HealthUpdate{ID: i.ID, Counter: s.update.Counter, Health: fescuebank.Leaving})
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

// ringDistance returns the distance of an instance from this one on the hash ring.
func (d *Detector) ringDistance(id fescuebank.InstanceID) uint64 {
	return xxhash.Sum64String(string(id)) - xxhash.Sum64String(string(d.self))
}

// Targets returns the instances to probe in this round: the next ones on the hash ring and one
// of the others in turn. Their number does not grow with the fleet.
func (d *Detector) Targets() []fescuebank.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.listed) <= successorCount {
		return slices.Clone(d.listed)
	}
	targets := slices.Clone(d.listed[:successorCount])
	rest := d.listed[successorCount:]
	d.nextExtra++
	return append(targets, rest[d.nextExtra%len(rest)])
}

// RecordReply records that an instance has answered a probe.
func (d *Detector) RecordReply(id fescuebank.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(id)
	s.lastReply = now
	s.failingSince = time.Time{}
	if s.update.Health == fescuebank.Suspect {
		d.apply(s, fescuebank.HealthUpdate{ID: id, Counter: s.update.Counter + 1, Health: fescuebank.Alive})
	}
}

// RecordFailure records that an instance has not answered a probe.
func (d *Detector) RecordFailure(id fescuebank.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(id)
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
	if now.Sub(s.failingSince) >= d.suspectTimeout {
		d.apply(s, fescuebank.HealthUpdate{ID: id, Counter: s.update.Counter, Health: fescuebank.Suspect})
	}
}

// ApplyUpdates applies health updates that another instance sent.
func (d *Detector) ApplyUpdates(updates []fescuebank.HealthUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range updates {
		if u.ID == d.self {
			d.refute(u)
			continue
		}
		d.apply(d.state(u.ID), u)
	}
}

// refute overrides a wrong health update about this instance by one with a higher counter.
// The caller holds mu.
func (d *Detector) refute(u fescuebank.HealthUpdate) {
	current := fescuebank.HealthUpdate{ID: d.self, Counter: d.counter, Health: d.health}
	if !u.Overrides(current) {
		return
	}
	d.counter = u.Counter + 1
	d.announceSelf()
}

// SetLeaving announces that this instance is draining.
func (d *Detector) SetLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health = fescuebank.Leaving
	d.counter++
	d.announceSelf()
}

// announceSelf queues the current health of this instance for sending. The caller holds mu.
func (d *Detector) announceSelf() {
	s := d.state(d.self)
	s.update = fescuebank.HealthUpdate{ID: d.self, Counter: d.counter, Health: d.health}
	s.sendsLeft = sendsPerUpdate
}

// NextUpdates returns the health updates to send with the next message. Those that have been
// sent the fewest times come first.
func (d *Detector) NextUpdates() []fescuebank.HealthUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var pending []*instanceState
	for _, s := range d.states {
		if s.sendsLeft > 0 {
			pending = append(pending, s)
		}
	}
	slices.SortFunc(pending, func(a, b *instanceState) int { return b.sendsLeft - a.sendsLeft })
	pending = pending[:min(len(pending), maxUpdates)]
	updates := make([]fescuebank.HealthUpdate, 0, len(pending))
	for _, s := range pending {
		s.sendsLeft--
		updates = append(updates, s.update)
	}
	return updates
}

// Health returns the health of an instance as far as known.
func (d *Detector) Health(id fescuebank.InstanceID) fescuebank.Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == d.self {
		return d.health
	}
	if s, ok := d.states[id]; ok {
		return s.update.Health
	}
	return fescuebank.Alive
}

// state returns the state of an instance and creates it if needed. The caller holds mu.
func (d *Detector) state(id fescuebank.InstanceID) *instanceState {
	s, ok := d.states[id]
	if !ok {
		s = &instanceState{update: fescuebank.HealthUpdate{ID: id}}
		d.states[id] = s
	}
	return s
}

// apply replaces the update of s by u if u is newer. The caller holds mu.
func (d *Detector) apply(s *instanceState, u fescuebank.HealthUpdate) {
	if !u.Overrides(s.update) {
		return
	}
	s.update = u
	s.sendsLeft = sendsPerUpdate
}
