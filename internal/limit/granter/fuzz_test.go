package granter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuebank"
	"fescuebank/internal/limit/granter"
	"fescuebank/internal/limit/requester"
)

const (
	fuzzTeam      = fescuebank.TeamID("team")
	fuzzShard     = fescuebank.ShardID(0)
	fuzzInstances = 5
	fuzzSlots     = 3
)

// instance is one instance of the fleet, with a clock that runs at its own rate.
type instance struct {
	holder fescuebank.Holder
	rate   float64
	// suspendedFor is how long its clock was stopped in total; suspensions counts how
	// often.
	suspendedFor time.Duration
	suspensions  int
	requester    *requester.Requester
	granter      *granter.Granter
	// slot is the slot that the instance believes it holds, or requester.NoSlot.
	slot int
}

// slotState is the true state of one slot, given by the assignment and the
// acknowledgements of former holders.
type slotState struct {
	holder int
	// former holds the instances that may still use the floor.
	former map[int]bool
}

// tokenMachine drives the requesters and owners of one shard and checks after each
// admitted request that the fleet is within the team's rate and burst.
type tokenMachine struct {
	now       time.Duration
	quota     fescuebank.Quota
	timing    fescuebank.TokenTiming
	instances []*instance
	slots     []slotState
	// owner is the index of the instance that may grant tokens, or -1.
	owner   int
	fencing fescuebank.FencingNumber
	// messages are in flight. Each may be delivered, repeated or lost.
	messages []func()
	// level is the oracle: the level at levelAt of a leaky bucket that drains at the
	// team's rate and must never hold more than the burst.
	level   float64
	levelAt time.Duration
	// admitted counts admitted requests, so that a test run can't pass by refusing all.
	admitted int
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (m *tokenMachine) clock(n *instance) time.Time {
	return start.Add(time.Duration(float64(m.now-n.suspendedFor) * n.rate))
}

func (m *tokenMachine) quotaOf(fescuebank.TeamID) (fescuebank.Quota, bool) {
	return m.quota, true
}

// admit counts an admitted request in the oracle.
func (m *tokenMachine) admit(t *rapid.T, what string) {
	const rounding = 1e-6
	leaked := float64(m.quota.Rate.Over(m.now - m.levelAt))
	m.level = max(0, m.level-leaked) + 1
	m.levelAt = m.now
	m.admitted++
	if m.level > float64(m.quota.Burst)+rounding {
		t.Fatalf("%s at %s: got %.3f requests over the rate, want at most the burst %g", what, m.now, m.level, m.quota.Burst)
	}
}

func newTokenMachine(t *rapid.T) *tokenMachine {
	clockError := rapid.SampledFrom([]float64{0, 0.001, 0.02}).Draw(t, "clockError")
	m := &tokenMachine{
		quota: fescuebank.Quota{
			Rate:  fescuebank.RequestRate(rapid.IntRange(1, 40).Draw(t, "rate")),
			Burst: fescuebank.Requests(rapid.IntRange(1, 20).Draw(t, "burst")),
		},
		timing: fescuebank.TokenTiming{Lifetime: time.Second, FloorWaiver: 1500 * time.Millisecond, ClockError: clockError},
		owner:  -1,
	}
	for i := range fuzzInstances {
		m.instances = append(m.instances, &instance{
			holder:    fescuebank.Holder{ID: fescuebank.InstanceID(fmt.Sprint("node-", i)), Incarnation: "run"},
			rate:      1 + clockError*rapid.SampledFrom([]float64{-1, 0, 1}).Draw(t, "clockRate"),
			requester: requester.New(m.timing, fuzzShard, fuzzSlots),
			slot:      requester.NoSlot,
		})
	}
	for i := range fuzzSlots {
		m.slots = append(m.slots, slotState{holder: i, former: map[int]bool{}})
		m.setSlot(i, i)
	}
	m.startOwner(0)
	if rapid.Bool().Draw(t, "first") {
		m.instances[0].granter.StartFull(m.clock(m.instances[0]))
	}
	for range rapid.IntRange(0, 6).Draw(t, "rounds") {
		m.round(t)
	}
	return m
}

// setSlot makes an instance believe that it holds a slot that no other instance can use.
func (m *tokenMachine) setSlot(n, slot int) {
	m.instances[n].slot = slot
	m.instances[n].requester.SetSlot(m.clock(m.instances[n]), slot)
}

func (m *tokenMachine) granterSlots() []granter.Slot {
	slots := make([]granter.Slot, len(m.slots))
	for i, s := range m.slots {
		slots[i].FormerStopped = len(s.former) == 0
		if s.holder >= 0 {
			slots[i].Holder = m.instances[s.holder].holder
		}
	}
	return slots
}

func (m *tokenMachine) startOwner(n int) {
	m.fencing++
	m.owner = n
	m.instances[n].granter = granter.New(m.timing, m.fencing, m.clock(m.instances[n]), m.granterSlots())
}

func (m *tokenMachine) anyInstance(t *rapid.T) *instance {
	return m.instances[rapid.IntRange(0, fuzzInstances-1).Draw(t, "node")]
}

func (m *tokenMachine) send(deliver func()) {
	m.messages = append(m.messages, deliver)
}

// request sends a token request to the instance that owns the shard when it arrives.
func (m *tokenMachine) request(requester *instance) {
	r := requester.requester.NextRequest(m.clock(requester))
	m.send(func() {
		if m.owner < 0 {
			return
		}
		owner := m.instances[m.owner]
		reply := owner.granter.HandleRequest(m.clock(owner), requester.holder, r, m.quotaOf)
		m.send(func() { requester.requester.ApplyReply(m.clock(requester), reply) })
	})
}

// lend asks another instance for tokens, or to admit the requests from its floor.
func (m *tokenMachine) lend(t *rapid.T, requester, lender *instance) {
	requestedAt := m.clock(requester)
	m.send(func() {
		reply := lender.requester.Lend(m.clock(lender), fuzzTeam, 2, m.quota)
		for range reply.Floor {
			m.admit(t, "floor of "+string(lender.holder.ID))
		}
		received := false
		m.send(func() {
			// A reply is applied at most once: the transport matches it to its call.
			if !received {
				requester.requester.AddLent(requestedAt, fuzzTeam, reply.Lent)
			}
			received = true
		})
	})
}

func (m *tokenMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond
		},
		"leap": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second
		},
		"take": func(t *rapid.T) {
			n := m.anyInstance(t)
			for range rapid.IntRange(1, 8).Draw(t, "count") {
				if n.requester.TakeToken(m.clock(n), fuzzTeam, m.quota) {
					m.admit(t, "take at "+string(n.holder.ID))
				}
			}
		},
		"request":   func(t *rapid.T) { m.request(m.anyInstance(t)) },
		"round":     m.round,
		"nextRound": m.round,
		"buy": func(t *rapid.T) {
			m.requestFor(m.anyInstance(t), rapid.IntRange(1, 12).Draw(t, "need"))
			m.deliverNewest()
			m.deliverNewest()
		},
		"buyLate": func(t *rapid.T) {
			m.requestFor(m.anyInstance(t), rapid.IntRange(1, 12).Draw(t, "need"))
			m.deliverNewest()
		},
		"takeAll": func(t *rapid.T) {
			for _, n := range m.instances {
				for n.requester.TakeToken(m.clock(n), fuzzTeam, m.quota) {
					m.admit(t, "take at "+string(n.holder.ID))
				}
			}
		},
		"deliver": func(t *rapid.T) {
			if len(m.messages) > 0 {
				m.deliver(rapid.IntRange(0, len(m.messages)-1).Draw(t, "message"), true)
			}
		},
		"repeat": func(t *rapid.T) {
			if len(m.messages) > 0 {
				m.deliver(rapid.IntRange(0, len(m.messages)-1).Draw(t, "message"), false)
			}
		},
		"lose": func(*rapid.T) { m.messages = nil },
		"lend": func(t *rapid.T) {
			m.lend(t, m.anyInstance(t), m.anyInstance(t))
			m.deliverNewest()
		},
		"loseOwner": func(*rapid.T) { m.owner = -1 },
		"startOwner": func(t *rapid.T) {
			m.startOwner(rapid.IntRange(0, fuzzInstances-1).Draw(t, "owner"))
		},
		"suspend":   m.suspend,
		"handOver":  m.handOver,
		"moveSlot":  m.moveSlot,
		"learnMove": m.acknowledgeMove,
		"clearSlot": m.clearSlot,
	}
}

// round lets every instance exchange messages with the owner, except one that may be
// skipped, and advances the time.
func (m *tokenMachine) round(t *rapid.T) {
	skipped := rapid.IntRange(-3, fuzzInstances-1).Draw(t, "silent")
	for i, n := range m.instances {
		if i == skipped {
			continue
		}
		m.request(n)
		m.deliverNewest()
		m.deliverNewest()
	}
	m.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "milliseconds")) * time.Millisecond
}

// requestFor sends a token request while need requests wait for tokens.
func (m *tokenMachine) requestFor(n *instance, need int) {
	var endWaits []func()
	for range need {
		endWaits = append(endWaits, n.requester.AddWaiter(fuzzTeam))
	}
	m.request(n)
	for _, endWait := range endWaits {
		endWait()
	}
}

func (m *tokenMachine) deliver(n int, consume bool) {
	message := m.messages[n]
	if consume {
		m.messages = append(m.messages[:n:n], m.messages[n+1:]...)
	}
	message()
}

func (m *tokenMachine) deliverNewest() {
	if len(m.messages) > 0 {
		m.deliver(len(m.messages)-1, true)
	}
}

// suspend stops an instance's clock while time passes. The instance detects it as soon
// as it resumes.
func (m *tokenMachine) suspend(t *rapid.T) {
	n := m.anyInstance(t)
	d := time.Duration(rapid.IntRange(100, 9000).Draw(t, "milliseconds")) * time.Millisecond
	m.now += d
	n.suspendedFor += d
	n.requester.OnClockJump(m.clock(n))
	if n.granter != nil {
		n.granter.OnClockJump(m.clock(n), m.quotaOf)
	}
	n.suspensions++
}

// handOver makes the owner stop and another one ask for its handover state.
func (m *tokenMachine) handOver(t *rapid.T) {
	if m.owner < 0 {
		return
	}
	former := m.instances[m.owner]
	stoppedAt, suspensions := m.clock(former), former.suspensions
	handover := former.granter.Retire(stoppedAt, m.quotaOf)
	m.startOwner(rapid.IntRange(0, fuzzInstances-1).Draw(t, "heir"))
	successor := m.instances[m.owner]
	nextGranter := successor.granter
	m.send(func() {
		requestedAt := m.clock(successor)
		delivered := false
		m.send(func() {
			// An instance that was suspended has dropped its handover state.
			if delivered || former.suspensions != suspensions {
				return
			}
			delivered = true
			handover.SinceStop += m.clock(former).Sub(stoppedAt)
			m.send(func() { nextGranter.ApplyHandover(requestedAt, handover) })
		})
	})
	if rapid.Bool().Draw(t, "prompt") {
		m.deliverNewest()
		m.deliverNewest()
		m.deliverNewest()
	}
}

// moveSlot gives a slot to another instance in the assignment. The former holder has not
// received that assignment yet.
func (m *tokenMachine) moveSlot(t *rapid.T) {
	i := rapid.IntRange(0, fuzzSlots-1).Draw(t, "slot")
	to := rapid.IntRange(0, fuzzInstances-1).Draw(t, "to")
	for _, s := range m.slots {
		if s.holder == to || s.former[to] {
			return
		}
	}
	s := &m.slots[i]
	if s.holder >= 0 {
		s.former[s.holder] = true
	}
	s.holder = to
	m.updateOwnerSlots()
}

// acknowledgeMove makes the former holders of a slot apply the new assignment.
func (m *tokenMachine) acknowledgeMove(t *rapid.T) {
	i := rapid.IntRange(0, fuzzSlots-1).Draw(t, "slot")
	for n := range m.slots[i].former {
		m.setSlot(n, requester.NoSlot)
	}
}

// clearSlot lets the new holder use a slot after all former holders have stopped.
func (m *tokenMachine) clearSlot(t *rapid.T) {
	i := rapid.IntRange(0, fuzzSlots-1).Draw(t, "slot")
	s := &m.slots[i]
	for n := range s.former {
		if m.instances[n].slot == i {
			return
		}
	}
	s.former = map[int]bool{}
	if s.holder >= 0 && m.instances[s.holder].slot != i {
		m.setSlot(s.holder, i)
	}
	m.updateOwnerSlots()
}

func (m *tokenMachine) updateOwnerSlots() {
	if m.owner >= 0 {
		owner := m.instances[m.owner]
		owner.granter.SetSlots(m.clock(owner), m.granterSlots(), m.quotaOf)
	}
}

// TestRateAndBurstNeverExceeded checks that in every time window all instances
// together admit at most burst plus rate times its length, under lost, late and
// repeated messages, suspended machines, changes of owner and of homes, and clocks
// that run at different rates.
func TestRateAndBurstNeverExceeded(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newTokenMachine(t)
		t.Repeat(m.actions())
		total += m.admitted
	})
	if total == 0 {
		t.Error("got no request admitted in any case, want some")
	}
}
