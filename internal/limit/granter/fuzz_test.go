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
	fuzzTeam  = fescuebank.TeamID("team")
	fuzzShard = fescuebank.ShardID(0)
	fuzzNodes = 5
	fuzzSlots = 3
)

// node is one instance with a clock that runs at its own rate.
type node struct {
	holder fescuebank.Holder
	rate   float64
	// asleep is how long its clock has stood still.
	asleep   time.Duration
	slept    int
	borrower *requester.Requester
	granter  *granter.Granter
	// slot is the slot that the node believes to hold, or borrower.NoSlot.
	slot int
}

// slotState is the truth about one slot, as the assignment and the evidence of
// former holders give it.
type slotState struct {
	holder int
	// former holds nodes that may still use the floor.
	former map[int]bool
}

// tokenMachine drives buyers and owners of one shard against the one
// inequality that must hold.
type tokenMachine struct {
	now    time.Duration
	quota  fescuebank.Quota
	timing fescuebank.TokenTiming
	nodes  []*node
	slots  []slotState
	// owner is the node that may sell, or -1.
	owner   int
	fencing fescuebank.FencingNumber
	// calls are messages under way. Each may be delivered, repeated or lost.
	calls []func()
	// level is the oracle: a bucket that leaks at the rate and must never hold
	// more than the burst.
	level   float64
	levelAt time.Duration
	// admitted counts requests let through, so that a run can't pass by refusing.
	admitted int
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (m *tokenMachine) clock(n *node) time.Time {
	return epoch.Add(time.Duration(float64(m.now-n.asleep) * n.rate))
}

func (m *tokenMachine) quotaOf(fescuebank.TeamID) (fescuebank.Quota, bool) {
	return m.quota, true
}

// admit feeds the oracle.
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
	for i := range fuzzNodes {
		m.nodes = append(m.nodes, &node{
			holder:   fescuebank.Holder{ID: fescuebank.InstanceID(fmt.Sprint("node-", i)), Incarnation: "run"},
			rate:     1 + clockError*rapid.SampledFrom([]float64{-1, 0, 1}).Draw(t, "clockRate"),
			borrower: requester.New(m.timing, fuzzShard, fuzzSlots),
			slot:     requester.NoSlot,
		})
	}
	for i := range fuzzSlots {
		m.slots = append(m.slots, slotState{holder: i, former: map[int]bool{}})
		m.hold(i, i)
	}
	m.startOwner(0)
	if rapid.Bool().Draw(t, "first") {
		m.nodes[0].granter.StartFull(m.clock(m.nodes[0]))
	}
	for range rapid.IntRange(0, 6).Draw(t, "rounds") {
		m.round(t)
	}
	return m
}

// hold makes a node believe that it holds a slot nobody else can use.
func (m *tokenMachine) hold(n, slot int) {
	m.nodes[n].slot = slot
	m.nodes[n].borrower.SetSlot(m.clock(m.nodes[n]), slot)
}

func (m *tokenMachine) granterSlots() []granter.Slot {
	slots := make([]granter.Slot, len(m.slots))
	for i, s := range m.slots {
		slots[i].Clear = len(s.former) == 0
		if s.holder >= 0 {
			slots[i].Holder = m.nodes[s.holder].holder
		}
	}
	return slots
}

func (m *tokenMachine) startOwner(n int) {
	m.fencing++
	m.owner = n
	m.nodes[n].granter = granter.New(m.timing, m.fencing, m.clock(m.nodes[n]), m.granterSlots())
}

func (m *tokenMachine) anyNode(t *rapid.T) *node {
	return m.nodes[rapid.IntRange(0, fuzzNodes-1).Draw(t, "node")]
}

func (m *tokenMachine) send(deliver func()) {
	m.calls = append(m.calls, deliver)
}

// request sends a buyer's request to whoever owns the shard when it arrives.
func (m *tokenMachine) request(buyer *node) {
	r := buyer.borrower.Request(m.clock(buyer))
	m.send(func() {
		if m.owner < 0 {
			return
		}
		seller := m.nodes[m.owner]
		reply := seller.granter.HandleRequest(m.clock(seller), buyer.holder, r, m.quotaOf)
		m.send(func() { buyer.borrower.ApplyReply(m.clock(buyer), reply) })
	})
}

// lend asks another node for tokens, or for a place on its floor.
func (m *tokenMachine) lend(t *rapid.T, buyer, lender *node) {
	asked := m.clock(buyer)
	m.send(func() {
		reply := lender.borrower.Lend(m.clock(lender), fuzzTeam, 2, m.quota)
		for range reply.Floor {
			m.admit(t, "floor of "+string(lender.holder.ID))
		}
		received := false
		m.send(func() {
			// Each answer is taken in at most once: the transport matches it to its call.
			if !received {
				buyer.borrower.AddLent(asked, fuzzTeam, reply.Lent)
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
			n := m.anyNode(t)
			for range rapid.IntRange(1, 8).Draw(t, "count") {
				if n.borrower.Take(m.clock(n), fuzzTeam, m.quota) {
					m.admit(t, "take at "+string(n.holder.ID))
				}
			}
		},
		"request":   func(t *rapid.T) { m.request(m.anyNode(t)) },
		"round":     m.round,
		"nextRound": m.round,
		"buy": func(t *rapid.T) {
			m.buy(m.anyNode(t), rapid.IntRange(1, 12).Draw(t, "need"))
			m.deliverNewest()
			m.deliverNewest()
		},
		"buyLate": func(t *rapid.T) {
			m.buy(m.anyNode(t), rapid.IntRange(1, 12).Draw(t, "need"))
			m.deliverNewest()
		},
		"takeAll": func(t *rapid.T) {
			for _, n := range m.nodes {
				for n.borrower.Take(m.clock(n), fuzzTeam, m.quota) {
					m.admit(t, "take at "+string(n.holder.ID))
				}
			}
		},
		"deliver": func(t *rapid.T) {
			if len(m.calls) > 0 {
				m.deliver(rapid.IntRange(0, len(m.calls)-1).Draw(t, "message"), true)
			}
		},
		"repeat": func(t *rapid.T) {
			if len(m.calls) > 0 {
				m.deliver(rapid.IntRange(0, len(m.calls)-1).Draw(t, "message"), false)
			}
		},
		"lose": func(*rapid.T) { m.calls = nil },
		"lend": func(t *rapid.T) {
			m.lend(t, m.anyNode(t), m.anyNode(t))
			m.deliverNewest()
		},
		"loseOwner": func(*rapid.T) { m.owner = -1 },
		"startOwner": func(t *rapid.T) {
			m.startOwner(rapid.IntRange(0, fuzzNodes-1).Draw(t, "owner"))
		},
		"suspend":   m.suspend,
		"handOver":  m.handOver,
		"moveSlot":  m.moveSlot,
		"learnMove": m.learnMove,
		"clearSlot": m.clearSlot,
	}
}

// round lets every node but a few talk to the owner, and time pass.
func (m *tokenMachine) round(t *rapid.T) {
	silent := rapid.IntRange(-3, fuzzNodes-1).Draw(t, "silent")
	for i, n := range m.nodes {
		if i == silent {
			continue
		}
		m.request(n)
		m.deliverNewest()
		m.deliverNewest()
	}
	m.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "milliseconds")) * time.Millisecond
}

// buy sends a request for as many tokens as requests wait.
func (m *tokenMachine) buy(n *node, need int) {
	var stops []func()
	for range need {
		stops = append(stops, n.borrower.AddWaiter(fuzzTeam))
	}
	m.request(n)
	for _, stop := range stops {
		stop()
	}
}

func (m *tokenMachine) deliver(n int, consume bool) {
	call := m.calls[n]
	if consume {
		m.calls = append(m.calls[:n:n], m.calls[n+1:]...)
	}
	call()
}

func (m *tokenMachine) deliverNewest() {
	if len(m.calls) > 0 {
		m.deliver(len(m.calls)-1, true)
	}
}

// suspend makes a node's clock stand still while time passes. It notices at
// once when it wakes up.
func (m *tokenMachine) suspend(t *rapid.T) {
	n := m.anyNode(t)
	d := time.Duration(rapid.IntRange(100, 9000).Draw(t, "milliseconds")) * time.Millisecond
	m.now += d
	n.asleep += d
	n.borrower.OnClockJump(m.clock(n))
	if n.granter != nil {
		n.granter.OnClockJump(m.clock(n), m.quotaOf)
	}
	n.slept++
}

// handOver makes the owner stop and another one ask for what it left.
func (m *tokenMachine) handOver(t *rapid.T) {
	if m.owner < 0 {
		return
	}
	former := m.nodes[m.owner]
	stopped, slept := m.clock(former), former.slept
	left := former.granter.Retire(stopped, m.quotaOf)
	m.startOwner(rapid.IntRange(0, fuzzNodes-1).Draw(t, "heir"))
	heir := m.nodes[m.owner]
	granter := heir.granter
	m.send(func() {
		asked := m.clock(heir)
		given := false
		m.send(func() {
			// What a suspended node had left is dropped with the rest.
			if given || former.slept != slept {
				return
			}
			given = true
			left.SinceStop += m.clock(former).Sub(stopped)
			m.send(func() { granter.ApplyHandover(asked, left) })
		})
	})
	if rapid.Bool().Draw(t, "prompt") {
		m.deliverNewest()
		m.deliverNewest()
		m.deliverNewest()
	}
}

// moveSlot rewrites the assignment. The former holder does not know yet.
func (m *tokenMachine) moveSlot(t *rapid.T) {
	i := rapid.IntRange(0, fuzzSlots-1).Draw(t, "slot")
	to := rapid.IntRange(0, fuzzNodes-1).Draw(t, "to")
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
	m.tellOwner()
}

// learnMove makes a former holder stop and acknowledge.
func (m *tokenMachine) learnMove(t *rapid.T) {
	i := rapid.IntRange(0, fuzzSlots-1).Draw(t, "slot")
	for n := range m.slots[i].former {
		m.hold(n, requester.NoSlot)
	}
}

// clearSlot lets the new holder in once every former one has stopped.
func (m *tokenMachine) clearSlot(t *rapid.T) {
	i := rapid.IntRange(0, fuzzSlots-1).Draw(t, "slot")
	s := &m.slots[i]
	for n := range s.former {
		if m.nodes[n].slot == i {
			return
		}
	}
	s.former = map[int]bool{}
	if s.holder >= 0 && m.nodes[s.holder].slot != i {
		m.hold(s.holder, i)
	}
	m.tellOwner()
}

func (m *tokenMachine) tellOwner() {
	if m.owner >= 0 {
		seller := m.nodes[m.owner]
		seller.granter.SetSlots(m.clock(seller), m.granterSlots(), m.quotaOf)
	}
}

// TestRateAndBurstNeverExceeded checks that in every window all instances
// together let through at most burst plus rate times its length, over lost,
// late and repeated messages, pauses, changes of owner and of homes, and
// clocks that run at different rates.
func TestRateAndBurstNeverExceeded(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newTokenMachine(t)
		t.Repeat(m.actions())
		total += m.admitted
	})
	if total == 0 {
		t.Error("got no request through in any run, want some")
	}
}
