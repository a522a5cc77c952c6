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

// manualClock is a clock that a test advances.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// After advances the clock by d at once, since only one request at a time waits.
func (c *manualClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}

// fleet is a set of instances that acquire tokens of one team.
type fleet struct {
	clock     *manualClock
	table     *fescuebank.RouteTable
	instances []*acquirer.Acquirer
	// owner is the index of the instance that owns the team; epoch grows with each
	// change; stalled is set while a former owner may still grant tokens.
	owner   int
	epoch   fescuebank.FencingNumber
	stalled bool
	// restarted is set while the owner's team belonged to its former incarnation, which ended at
	// restartedAt.
	restarted   bool
	restartedAt time.Time
	// disconnected is set for each instance that is disconnected from all others.
	disconnected []bool
	// slots is the number of floor slots.
	slots int
	// admitted are the times at which requests were admitted.
	admitted []time.Time
}

const testTeam = fescuebank.TeamID("team")

func holder(i int) fescuebank.Holder {
	return fescuebank.Holder{ID: fescuebank.InstanceID(rune('a' + i)), Incarnation: "1"}
}

// instanceView is one instance's view of the owners.
type instanceView struct {
	*fleet
	self int
}

func (v instanceView) Owner(fescuebank.TeamID) (fescuebank.Holder, bool) {
	return holder(v.owner), true
}
func (v instanceView) MayAct(fescuebank.TeamID) (fescuebank.FencingNumber, bool) {
	return v.epoch, v.owner == v.self && !v.stalled
}
func (v instanceView) IsOwner(fescuebank.TeamID) bool { return v.owner == v.self }
func (v instanceView) VacantSince(fescuebank.TeamID) (time.Time, bool) {
	return v.restartedAt, v.owner == v.self && v.restarted
}
func (v instanceView) FloorSlot() (int, int, bool) { return v.self, v.slots, v.self < v.slots }
func (v instanceView) Call(ctx context.Context, _ fescuebank.InstanceID, _ fescuebank.MessageKind, message, reply any) error {
	if v.disconnected[v.self] || v.disconnected[v.owner] {
		return fescuebank.ErrPeerUnreachable
	}
	decode := func(into any) error {
		*into.(*fescuebank.AcquireRequest) = *message.(*fescuebank.AcquireRequest)
		return nil
	}
	result, err := v.instances[v.owner].Handle(ctx, decode)
	if err != nil {
		return err
	}
	*reply.(*fescuebank.AcquireReply) = *result.(*fescuebank.AcquireReply)
	return nil
}

func newFleet(q fescuebank.Quota, count, slots int) *fleet {
	f := &fleet{
		clock: &manualClock{now: time.Unix(1_000_000, 0)}, epoch: 1, slots: slots, disconnected: make([]bool, count),
		table: &fescuebank.RouteTable{Teams: map[fescuebank.TeamID]fescuebank.TeamSettings{testTeam: {ID: testTeam, Quota: q}}},
	}
	for i := range count {
		f.instances = append(f.instances, f.newInstance(i))
	}
	return f
}

func (f *fleet) newInstance(i int) *acquirer.Acquirer {
	v := instanceView{fleet: f, self: i}
	return acquirer.New(acquirer.Config{
		Self: holder(i), Owners: v, Caller: v, Issuer: issuer.New(f.clock),
		Registered: func() bool { return true }, Table: func() *fescuebank.RouteTable { return f.table },
		Clock: f.clock, Log: hclog.NewNullLogger(),
	})
}

func (f *fleet) admit(instance int) {
	err := f.instances[instance].Admit(context.Background(), testTeam)
	if err == nil {
		f.admitted = append(f.admitted, f.clock.now)
	}
}

// move gives the team to another instance, by a new list of owners that all instances
// have applied.
func (f *fleet) move(to int) {
	f.owner = to
	f.epoch++
	f.restarted = false
	for _, n := range f.instances {
		n.UpdateOwnership()
	}
}

// restartOwner replaces the owner's incarnation. The next list names the new one after a while.
func (f *fleet) restartOwner(listedAfter time.Duration) {
	f.instances[f.owner] = f.newInstance(f.owner)
	restartedAt := f.clock.now
	f.clock.now = f.clock.now.Add(listedAfter)
	f.move(f.owner)
	f.restarted, f.restartedAt = true, restartedAt
}

// excess returns the largest excess over rate and burst in any time window.
func (f *fleet) excess(q fescuebank.Quota) float64 {
	worst := 0.0
	for i := range f.admitted {
		for j := i; j < len(f.admitted); j++ {
			allowed := float64(q.Rate)*f.admitted[j].Sub(f.admitted[i]).Seconds() + float64(q.Burst)
			worst = max(worst, float64(j-i+1)-allowed)
		}
	}
	return worst
}

// TestRateAndBurst checks that the fleet admits no more than the team's rate and burst
// in any time window, while owners change and instances are disconnected.
func TestRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fescuebank.Quota{
			Rate:  fescuebank.RequestRate(rapid.Float64Range(0.5, 60).Draw(t, "rate")),
			Burst: fescuebank.Requests(rapid.IntRange(1, 60).Draw(t, "burst")),
		}
		f := newFleet(q, 4, 3)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				node := rapid.IntRange(0, 3).Draw(t, "node")
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					f.admit(node)
				}
			},
			"wait": func(t *rapid.T) {
				ms := rapid.IntRange(1, 1500).Draw(t, "ms")
				f.clock.now = f.clock.now.Add(time.Duration(ms) * time.Millisecond)
			},
			"move": func(t *rapid.T) { f.move(rapid.IntRange(0, 3).Draw(t, "owner")) },
			"restart": func(t *rapid.T) {
				ms := rapid.IntRange(0, 3000).Draw(t, "listedAfter")
				f.restartOwner(time.Duration(ms) * time.Millisecond)
			},
			"stall": func(t *rapid.T) { f.stalled = rapid.Bool().Draw(t, "stalled") },
			"cut":   func(t *rapid.T) { f.disconnected[rapid.IntRange(0, 3).Draw(t, "node")] = rapid.Bool().Draw(t, "cut") },
			"":      func(t *rapid.T) { check(t, f, q) },
		})
	})
}

func check(t *rapid.T, f *fleet, q fescuebank.Quota) {
	const rounding = 1e-6
	if got := f.excess(q); got > rounding {
		t.Fatalf("got %f requests over rate and burst, want none", got)
	}
}

func TestAllRequestsWithinTheRateAreAdmitted(t *testing.T) {
	for _, tt := range []struct {
		name  string
		quota fescuebank.Quota
	}{
		{"large team", fescuebank.Quota{Rate: 35, Burst: 35}},
		{"small team", fescuebank.Quota{Rate: 3, Burst: 3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(tt.quota, 9, 9)
			const length = 30 * time.Second
			// The team sends 0.62 of its rate, spread evenly over the instances.
			gap := time.Duration(float64(time.Second) / (0.62 * float64(tt.quota.Rate)))
			sent := 0
			for began := f.clock.now; f.clock.now.Sub(began) < length; f.clock.now = f.clock.now.Add(gap) {
				f.admit(sent % 9)
				sent++
			}
			if got := len(f.admitted); got != sent {
				t.Errorf("got %d of %d requests within the rate admitted, want all", got, sent)
			}
		})
	}
}

func TestAdmitWithoutAnOwner(t *testing.T) {
	f := newFleet(fescuebank.Quota{Rate: 40, Burst: 40}, 9, 9)
	f.stalled = true
	for i := range 200 {
		f.admit(i % 9)
		f.clock.now = f.clock.now.Add(50 * time.Millisecond)
	}
	// The floors have half of the rate of 40 for at least 10 s, less the fractions of a
	// request that remain in single slots.
	if got, want := len(f.admitted), 150; got < want {
		t.Errorf("got %d requests admitted from the floors, want at least %d", got, want)
	}
}

// TestOwnerChangeRefusesNoRequestWithinTheRate gives a busy team to another owner,
// whose bucket begins empty.
func TestOwnerChangeRefusesNoRequestWithinTheRate(t *testing.T) {
	f := newFleet(fescuebank.Quota{Rate: 9, Burst: 9}, 9, 9)
	sent := 0
	gap := time.Second * 10 / 62 // 0.69 of the rate
	for range 40 {
		f.admit(sent % 9)
		sent++
		if sent == 20 {
			f.move(3)
		}
		f.clock.now = f.clock.now.Add(gap)
	}
	if got := len(f.admitted); got != sent {
		t.Errorf("got %d of %d requests admitted, want all", got, sent)
	}
}

// TestRestartedOwnerGrantsWhatAccruedSinceItsStart restarts the owner of a team that sends nothing
// until the new list of owners names the new incarnation, 2 s later. Nobody granted tokens
// meanwhile, so the callers who return all at once find those that accrued.
func TestRestartedOwnerGrantsWhatAccruedSinceItsStart(t *testing.T) {
	q := fescuebank.Quota{Rate: 20, Burst: 20}
	f := newFleet(q, 4, 0)
	for range 20 {
		f.admit(0)
	}
	f.restartOwner(2 * time.Second)
	before := len(f.admitted)
	for range 16 {
		f.admit(1)
	}
	// Without floor slots, the owner grants four fifths of the quota, so its bucket holds 16.
	if got, want := len(f.admitted)-before, 16; got != want {
		t.Errorf("got %d requests admitted, want %d", got, want)
	}
	if got := f.excess(q); got > 1e-6 {
		t.Errorf("got %f requests over rate and burst, want none", got)
	}
}

// TestFirstRequestsFindTheFloorsFilled sends the first requests of a team at all instances at once, while
// its owner can't be reached. The floors have accrued since the instances hold their slots.
func TestFirstRequestsFindTheFloorsFilled(t *testing.T) {
	const instances = 9
	f := newFleet(fescuebank.Quota{Rate: 40, Burst: 40}, instances, instances)
	f.stalled = true
	for _, a := range f.instances {
		a.UpdateOwnership()
	}
	f.clock.now = f.clock.now.Add(5 * time.Second)
	for i := range instances {
		f.admit(i)
	}
	if got := len(f.admitted); got != instances {
		t.Errorf("got %d of %d first requests admitted from the floors, want all", got, instances)
	}
}

func TestRefusalHasRetryAfter(t *testing.T) {
	f := newFleet(fescuebank.Quota{Rate: 2, Burst: 1}, 1, 0)
	f.admit(0)
	err := f.instances[0].Admit(context.Background(), testTeam)
	var r *fescuebank.Refusal
	if !errors.As(err, &r) || r.Status != 429 || r.State != fescuebank.NotRun {
		t.Fatalf("got %v, want a 429 that did not run", err)
	}
	if r.RetryAfter < 400*time.Millisecond || r.RetryAfter > 500*time.Millisecond {
		t.Errorf("got Retry-After %v, want the time in which one token accrues", r.RetryAfter)
	}
}
