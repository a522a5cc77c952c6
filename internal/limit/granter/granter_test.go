package granter_test

import (
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/limit/granter"
)

var trap = fescuebank.TokenTiming{Lifetime: time.Second, FloorWaiver: 1500 * time.Millisecond}

// owner is a granter of one slot, and its only home.
type owner struct {
	*granter.Granter
	now      time.Time
	sequence uint64
	stamp    fescuebank.Timestamp
}

var (
	trapHome  = fescuebank.Holder{ID: "home", Incarnation: "run"}
	trapQuota = fescuebank.Quota{Rate: 10, Burst: 10}
)

func trapQuotaOf(fescuebank.TeamID) (fescuebank.Quota, bool) { return trapQuota, true }

func newOwner(slot granter.Slot) *owner {
	return &owner{Granter: granter.New(trap, 1, epoch, []granter.Slot{slot}), now: epoch}
}

// ask sends a request with the newest stamp and returns the tokens sold.
func (o *owner) ask(need int) int {
	o.sequence++
	reply := o.HandleRequest(o.now, trapHome, fescuebank.ShardTokenRequest{
		Sequence: o.sequence, Owner: 1, Echo: o.stamp, Demands: []fescuebank.TokenDemand{{Team: "team", Need: need}},
	}, trapQuotaOf)
	o.stamp = reply.Timestamp
	if len(reply.Grants) == 0 {
		return 0
	}
	return reply.Grants[0].Count
}

// TestTraps sets up each schedule in which an owner must not sell yet.
func TestTraps(t *testing.T) {
	closable := granter.Slot{Holder: trapHome, Clear: true}
	for _, tt := range []struct {
		name string
		slot granter.Slot
		run  func(o *owner) int
		want int
	}{
		{"in health the burst is sold", closable, func(o *owner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.ask(0)
			}
			return o.ask(100)
		}, 10},
		{"tokens of the former owner may still live", closable, func(o *owner) int {
			for range 3 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.ask(0)
			}
			return o.ask(5)
		}, 0},
		{"the home has not confirmed that it is off its floor", closable, func(o *owner) int {
			o.now = o.now.Add(10 * time.Second)
			return o.ask(5)
		}, 0},
		{"a former home may still be on the floor", granter.Slot{Holder: trapHome}, func(o *owner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.ask(0)
			}
			return o.ask(5)
		}, 0},
		{"the confirmation has run out", closable, func(o *owner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.ask(0)
			}
			o.now = o.now.Add(2 * time.Second)
			o.stamp = 0
			return o.ask(5)
		}, 0},
		{"a stamp echoed after it ran out confirms nothing", closable, func(o *owner) int {
			o.now = o.now.Add(2 * time.Second)
			o.ask(0)
			o.now = o.now.Add(2 * time.Second)
			return o.ask(5)
		}, 0},
		{"a stamp from before the owner was suspended", closable, func(o *owner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.ask(0)
			}
			old := o.stamp
			o.OnClockJump(o.now, trapQuotaOf)
			for range 2 {
				o.now = o.now.Add(400 * time.Millisecond)
				o.stamp = old
				o.ask(0)
			}
			o.stamp = old
			return o.ask(5)
		}, 0},
		{"a repeated request sells nothing", closable, func(o *owner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.ask(0)
			}
			o.sequence--
			return o.ask(5)
		}, 0},
		{"unspent tokens count against the burst", closable, func(o *owner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.ask(0)
			}
			o.ask(10)
			o.now = o.now.Add(500 * time.Millisecond)
			return o.ask(10)
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.run(newOwner(tt.slot)); got != tt.want {
				t.Errorf("got %d tokens sold, want %d", got, tt.want)
			}
		})
	}
}

// TestInheritedLevelWanes wants what a former owner left, less the rate since.
func TestInheritedLevelWanes(t *testing.T) {
	for _, tt := range []struct {
		name string
		age  time.Duration
		want int
	}{
		{"at once", 0, 10},
		{"after a while", 500 * time.Millisecond, 10},
		{"too late", 10 * time.Second, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := newOwner(granter.Slot{Holder: trapHome, Clear: true})
			level := fescuebank.Requests(40)
			o.ApplyHandover(epoch.Add(time.Nanosecond), fescuebank.BucketHandoverReply{SinceStop: tt.age, Levels: []fescuebank.BucketLevel{{Team: "team", Level: level}}})
			o.now = o.now.Add(1001 * time.Millisecond)
			o.ask(0)
			if got := o.ask(100); got != tt.want {
				t.Errorf("got %d tokens sold, want %d", got, tt.want)
			}
		})
	}
}
