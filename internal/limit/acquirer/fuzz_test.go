package acquirer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"fescuebank"
	"fescuebank/internal/limit/acquirer"
	"fescuebank/internal/limit/issuer"
)

// hand is a clock that a test moves.
type hand struct{ now time.Time }

func (h *hand) Now() time.Time { return h.now }

// After moves the clock: what waits here is alone.
func (h *hand) After(d time.Duration) <-chan time.Time {
	h.now = h.now.Add(d)
	c := make(chan time.Time, 1)
	c <- h.now
	return c
}

// world is a fleet of buyers of one team's tokens.
type world struct {
	clock *hand
	table *fescuebank.RouteTable
	nodes []*acquirer.Acquirer
	// owner is the index of the node that owns the team; epoch grows with each
	// change; stalled is set while a former owner may still sell.
	owner   int
	epoch   fescuebank.FencingNumber
	stalled bool
	// cut nodes reach no other.
	cut []bool
	// slots is the number of floor slots.
	slots int
	// admitted are the times at which requests were let through.
	admitted []time.Time
}

const team = fescuebank.TeamID("team")

func holder(i int) fescuebank.Holder {
	return fescuebank.Holder{ID: fescuebank.InstanceID(rune('a' + i)), Incarnation: "1"}
}

// view is one node's view of the owners.
type view struct {
	*world
	node int
}

func (v view) Owner(fescuebank.TeamID) (fescuebank.Holder, bool) { return holder(v.owner), true }
func (v view) MayAct(fescuebank.TeamID) (fescuebank.FencingNumber, bool) {
	return v.epoch, v.owner == v.node && !v.stalled
}
func (v view) IsOwner(fescuebank.TeamID) bool { return v.owner == v.node }
func (v view) FloorSlot() (int, int, bool)    { return v.node, v.slots, v.node < v.slots }
func (v view) Call(ctx context.Context, _ fescuebank.InstanceID, _ fescuebank.MessageKind, message, reply any) error {
	if v.cut[v.node] || v.cut[v.owner] {
		return fescuebank.ErrPeerUnreached
	}
	decode := func(into any) error {
		*into.(*fescuebank.AcquireRequest) = *message.(*fescuebank.AcquireRequest)
		return nil
	}
	answer, err := v.nodes[v.owner].Handle(ctx, decode)
	if err != nil {
		return err
	}
	*reply.(*fescuebank.AcquireReply) = *answer.(*fescuebank.AcquireReply)
	return nil
}

func newWorld(q fescuebank.Quota, count, slots int) *world {
	w := &world{
		clock: &hand{now: time.Unix(1_000_000, 0)}, epoch: 1, slots: slots, cut: make([]bool, count),
		table: &fescuebank.RouteTable{Teams: map[fescuebank.TeamID]fescuebank.TeamSettings{team: {ID: team, Quota: q}}},
	}
	for i := range count {
		v := view{world: w, node: i}
		w.nodes = append(w.nodes, acquirer.New(acquirer.Config{
			Self: holder(i), Owners: v, Caller: v, Issuer: issuer.New(w.clock),
			Registered: func() bool { return true }, Table: func() *fescuebank.RouteTable { return w.table },
			Clock: w.clock, Log: hclog.NewNullLogger(),
		}))
	}
	return w
}

func (w *world) admit(node int) {
	err := w.nodes[node].Admit(context.Background(), team)
	if err == nil {
		w.admitted = append(w.admitted, w.clock.now)
	}
}

// move gives the team to another node, as a new list that all have applied does.
func (w *world) move(to int) {
	w.owner = to
	w.epoch++
	for _, n := range w.nodes {
		n.Reassign()
	}
}

// excess returns by how much the worst window exceeds rate and burst.
func (w *world) excess(q fescuebank.Quota) float64 {
	worst := 0.0
	for i := range w.admitted {
		for j := i; j < len(w.admitted); j++ {
			allowed := float64(q.Rate)*w.admitted[j].Sub(w.admitted[i]).Seconds() + float64(q.Burst)
			worst = max(worst, float64(j-i+1)-allowed)
		}
	}
	return worst
}

// TestRateAndBurst holds the fleet to the team's rate and burst in every window,
// however owners move and instances are cut off.
func TestRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fescuebank.Quota{
			Rate:  fescuebank.RequestRate(rapid.Float64Range(0.5, 60).Draw(t, "rate")),
			Burst: fescuebank.Requests(rapid.IntRange(1, 60).Draw(t, "burst")),
		}
		w := newWorld(q, 4, 3)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				node := rapid.IntRange(0, 3).Draw(t, "node")
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					w.admit(node)
				}
			},
			"wait": func(t *rapid.T) {
				ms := rapid.IntRange(1, 1500).Draw(t, "ms")
				w.clock.now = w.clock.now.Add(time.Duration(ms) * time.Millisecond)
			},
			"move":  func(t *rapid.T) { w.move(rapid.IntRange(0, 3).Draw(t, "owner")) },
			"stall": func(t *rapid.T) { w.stalled = rapid.Bool().Draw(t, "stalled") },
			"cut":   func(t *rapid.T) { w.cut[rapid.IntRange(0, 3).Draw(t, "node")] = rapid.Bool().Draw(t, "cut") },
			"":      func(t *rapid.T) { check(t, w, q) },
		})
	})
}

func check(t *rapid.T, w *world, q fescuebank.Quota) {
	const rounding = 1e-6
	if got := w.excess(q); got > rounding {
		t.Fatalf("got %f requests over rate and burst, want none", got)
	}
}

func TestAdmitInHealthLetsTheRateThrough(t *testing.T) {
	for _, tt := range []struct {
		name  string
		quota fescuebank.Quota
	}{
		{"large team", fescuebank.Quota{Rate: 35, Burst: 35}},
		{"small team", fescuebank.Quota{Rate: 3, Burst: 3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(tt.quota, 9, 9)
			const length = 30 * time.Second
			// The team sends 0.62 of its rate, spread evenly over the instances.
			gap := time.Duration(float64(time.Second) / (0.62 * float64(tt.quota.Rate)))
			asked := 0
			for began := w.clock.now; w.clock.now.Sub(began) < length; w.clock.now = w.clock.now.Add(gap) {
				w.admit(asked % 9)
				asked++
			}
			if got := len(w.admitted); got != asked {
				t.Errorf("got %d of %d requests within the rate let through, want all", got, asked)
			}
		})
	}
}

func TestAdmitWithoutAnOwner(t *testing.T) {
	w := newWorld(fescuebank.Quota{Rate: 40, Burst: 40}, 9, 9)
	w.stalled = true
	for i := range 200 {
		w.admit(i % 9)
		w.clock.now = w.clock.now.Add(50 * time.Millisecond)
	}
	// Half of the rate of 40 over 10 s and more, less what falls between slots.
	if got, want := len(w.admitted), 150; got < want {
		t.Errorf("got %d requests let through on the floors, want %d at least", got, want)
	}
}

// TestTakeoverRefusesNobodyWithinTheRate moves a busy team to another owner, whose
// bucket begins empty.
func TestTakeoverRefusesNobodyWithinTheRate(t *testing.T) {
	w := newWorld(fescuebank.Quota{Rate: 9, Burst: 9}, 9, 9)
	asked := 0
	gap := time.Second * 10 / 62 // 0.69 of the rate
	for range 40 {
		w.admit(asked % 9)
		asked++
		if asked == 20 {
			w.move(3)
		}
		w.clock.now = w.clock.now.Add(gap)
	}
	if got := len(w.admitted); got != asked {
		t.Errorf("got %d of %d requests let through, want all", got, asked)
	}
}

func TestRefusalSaysWhenToReturn(t *testing.T) {
	w := newWorld(fescuebank.Quota{Rate: 2, Burst: 1}, 1, 0)
	w.admit(0)
	err := w.nodes[0].Admit(context.Background(), team)
	var r *fescuebank.Refusal
	if !errors.As(err, &r) || r.Status != 429 || r.State != fescuebank.NotRun {
		t.Fatalf("got %v, want a 429 that did not run", err)
	}
	if r.RetryAfter < 400*time.Millisecond || r.RetryAfter > 500*time.Millisecond {
		t.Errorf("got %v to wait, want the time of one token", r.RetryAfter)
	}
}
