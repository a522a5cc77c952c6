package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuebank"
	"fescuebank/internal/fleet/assigner"
)

const (
	fuzzTTL       = 10 * time.Second
	fuzzMargin    = time.Second
	fuzzInstances = 4
)

// instance is one instance of the fleet. Its process may be paused at any point.
type instance struct {
	holder fescuebank.Holder
	// applied is the assignment that it acts by.
	applied *fescuebank.Assignment
	// validUntil is when its lease expires unless it is renewed.
	validUntil time.Duration
	// stopped holds the former owners that it has found stopped.
	stopped map[string]bool
	// incarnations counts its incarnations.
	incarnations int
	// held is set while the instance holds its lease as far as it knows.
	held bool
}

// observed is a lease and the time when it was first seen in this state.
type observed struct {
	lease fescuebank.Lease
	since time.Duration
}

// fleetMachine is a state machine of leases and assignments that checks that each shard has
// at most one acting owner.
type fleetMachine struct {
	now        time.Duration
	assigner   *assigner.Assigner
	assignment *fescuebank.Assignment
	leases     map[fescuebank.InstanceID]fescuebank.Lease
	seen       map[fescuebank.InstanceID]observed
	instances  []*instance
	// acted counts the checks that found an acting owner.
	acted int
}

func newFleetMachine() *fleetMachine {
	m := &fleetMachine{
		assigner: assigner.New(3), assignment: &fescuebank.Assignment{},
		leases: map[fescuebank.InstanceID]fescuebank.Lease{}, seen: map[fescuebank.InstanceID]observed{},
	}
	for i := range fuzzInstances {
		n := &instance{applied: m.assignment, stopped: map[string]bool{}}
		n.holder.ID = fescuebank.InstanceID(fmt.Sprint("node-", i))
		m.instances = append(m.instances, n)
	}
	return m
}

func (m *fleetMachine) anyInstance(t *rapid.T) *instance {
	return m.instances[rapid.IntRange(0, fuzzInstances-1).Draw(t, "node")]
}

// observe records when each lease was first seen in its current state.
func (m *fleetMachine) observe() {
	for id, l := range m.leases {
		if o, ok := m.seen[id]; !ok || o.lease != l {
			m.seen[id] = observed{lease: l, since: m.now}
		}
	}
}

// expired reports whether a lease has ended or has not changed for longer than its holder may
// act by it.
func (m *fleetMachine) expired(id fescuebank.InstanceID) bool {
	l := m.leases[id]
	o, ok := m.seen[id]
	return l.Ended || (ok && o.lease == l && m.now-o.since >= fuzzTTL+fuzzMargin)
}

// acquire starts a new incarnation if the former one can no longer act.
func (m *fleetMachine) acquire(n *instance) {
	if _, exists := m.leases[n.holder.ID]; exists && !m.expired(n.holder.ID) {
		return
	}
	n.incarnations++
	n.holder.Incarnation = fescuebank.Incarnation(fmt.Sprint("run-", n.incarnations))
	n.applied = m.assignment
	n.held = true
	n.validUntil = m.now + fuzzTTL - fuzzMargin
	m.leases[n.holder.ID] = fescuebank.Lease{
		Holder: fescuebank.Instance{ID: n.holder.ID, Zone: fescuebank.Zone(n.holder.ID), Weight: 1}, Incarnation: n.holder.Incarnation, Acknowledged: n.applied.Version,
	}
}

// renew renews the lease of an instance and acknowledges the assignment that it acts by. The
// validity counts from before the write, which may take a while.
func (m *fleetMachine) renew(t *rapid.T) {
	n := m.anyInstance(t)
	l := m.leases[n.holder.ID]
	if !n.held || l.Incarnation != n.holder.Incarnation || l.Ended {
		n.held = false
		m.acquire(n)
		return
	}
	l.Renewals++
	l.Acknowledged = n.applied.Version
	m.leases[n.holder.ID] = l
	took := time.Duration(rapid.IntRange(0, 3000).Draw(t, "took")) * time.Millisecond
	n.validUntil = max(n.validUntil, m.now-took+fuzzTTL-fuzzMargin)
}

func (m *fleetMachine) endExpired(t *rapid.T) {
	id := m.anyInstance(t).holder.ID
	if l, ok := m.leases[id]; ok && m.expired(id) {
		l.Ended = true
		m.leases[id] = l
	}
}

func (m *fleetMachine) fleetState() assigner.FleetState {
	leases := make(map[fescuebank.InstanceID]fescuebank.Lease, len(m.leases))
	for id, l := range m.leases {
		leases[id] = l
	}
	return assigner.FleetState{Leases: leases}
}

func (m *fleetMachine) rewrite(*rapid.T) {
	if next, changed := m.assigner.Rewrite(m.assignment, m.fleetState()); changed {
		m.assignment = next
	}
}

func (m *fleetMachine) leave(t *rapid.T) {
	n := m.anyInstance(t)
	if l, ok := m.leases[n.holder.ID]; ok && l.Incarnation == n.holder.Incarnation {
		l.Leaving = !l.Leaving
		m.leases[n.holder.ID] = l
	}
}

func stopKey(h fescuebank.Holder, since fescuebank.FencingNumber) string {
	return fmt.Sprint(h.ID, "/", h.Incarnation, "/", since)
}

// readLeases reads the leases of the former owners that an instance waits for.
func (m *fleetMachine) readLeases(t *rapid.T) {
	n := m.anyInstance(t)
	for _, s := range n.applied.Shards {
		for _, h := range s.Former {
			if l, ok := m.leases[h.ID]; !ok || l.HasStopped(h, s.Since) {
				n.stopped[stopKey(h, s.Since)] = true
			}
		}
	}
}

func (m *fleetMachine) mayAct(n *instance, s fescuebank.Ownership) bool {
	stopped := func(h fescuebank.Holder) bool { return n.stopped[stopKey(h, s.Since)] }
	return n.held && m.now < n.validUntil && s.MayAct(n.holder, stopped)
}

func (m *fleetMachine) check(t *rapid.T) {
	for id := range fescuebank.ShardCount {
		var owner *instance
		for _, n := range m.instances {
			s, ok := n.applied.Shard(fescuebank.ShardID(id))
			if !ok || !m.mayAct(n, s) {
				continue
			}
			m.acted++
			if owner != nil {
				t.Fatalf("shard %d: got owners %v and %v acting at once, want one", id, owner.holder, n.holder)
			}
			owner = n
		}
	}
}

// TestOneOwnerActs checks that no shard ever has two acting owners, with pauses, expired
// leases, restarts, assignments that arrive late and concurrent rewrites.
func TestOneOwnerActs(t *testing.T) {
	acted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetMachine()
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond
			},
			"leap":      func(*rapid.T) { m.now += fuzzTTL + fuzzMargin },
			"renew":     m.renew,
			"renewMore": m.renew,
			"apply":     func(t *rapid.T) { m.anyInstance(t).applied = m.assignment },
			"endLapsed": m.endExpired,
			"rewrite":   m.rewrite,
			"look":      m.readLeases,
			"leave":     m.leave,
			"restart":   func(t *rapid.T) { m.acquire(m.anyInstance(t)) },
			"": func(t *rapid.T) {
				m.observe()
				m.check(t)
			},
		})
		acted += m.acted
	})
	if acted == 0 {
		t.Error("got no acting owner in any test run, want some")
	}
}

// TestHomesSpreadOverZones checks that the homes of each shard are in different zones.
func TestHomesSpreadOverZones(t *testing.T) {
	leases := map[fescuebank.InstanceID]fescuebank.Lease{}
	for i := range 8 {
		id := fescuebank.InstanceID(fmt.Sprint("entry-", i))
		zone := fescuebank.Zone(fmt.Sprint("zone-", i%4))
		leases[id] = fescuebank.Lease{Holder: fescuebank.Instance{ID: id, Zone: zone, Weight: 1}, Incarnation: "run"}
	}
	next, changed := assigner.New(4).Rewrite(&fescuebank.Assignment{}, assigner.FleetState{Leases: leases})
	if !changed {
		t.Fatal("got no first assignment, want one")
	}
	for n, s := range next.Shards {
		zones := map[fescuebank.Zone]bool{}
		for _, h := range s.Homes {
			m, _ := next.Member(h.Holder.ID)
			zones[m.Zone] = true
		}
		if len(zones) != 4 {
			t.Errorf("shard %d: got homes in %d zones, want 4", n, len(zones))
		}
	}
}

// TestLossMovesOnlyItsShards checks that only the shards of a lost member move.
func TestLossMovesOnlyItsShards(t *testing.T) {
	leases := map[fescuebank.InstanceID]fescuebank.Lease{}
	for i := range 8 {
		id := fescuebank.InstanceID(fmt.Sprint("entry-", i))
		leases[id] = fescuebank.Lease{Holder: fescuebank.Instance{ID: id, Zone: "zone", Weight: 1}, Incarnation: "run"}
	}
	a := assigner.New(4)
	before, _ := a.Rewrite(&fescuebank.Assignment{}, assigner.FleetState{Leases: leases})
	lost := leases["entry-3"]
	lost.Ended = true
	leases["entry-3"] = lost
	after, _ := a.Rewrite(before, assigner.FleetState{Leases: leases})
	for n := range before.Shards {
		was, is := before.Shards[n].Owner.ID, after.Shards[n].Owner.ID
		if was != "entry-3" && was != is {
			t.Errorf("shard %d: got a move from %s to %s, want none", n, was, is)
		}
	}
}
