package granter_test

import (
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/limit/granter"
)

var testTiming = fescuebank.TokenTiming{Lifetime: time.Second, FloorWaiver: 1500 * time.Millisecond}

// testOwner is a granter of one slot together with that slot's holder.
type testOwner struct {
	*granter.Granter
	now       time.Time
	sequence  uint64
	timestamp fescuebank.Timestamp
}

var (
	testHome  = fescuebank.Holder{ID: "home", Incarnation: "run"}
	testQuota = fescuebank.Quota{Rate: 10, Burst: 10}
)

func testQuotaOf(fescuebank.TeamID) (fescuebank.Quota, bool) { return testQuota, true }

func newTestOwner(slot granter.Slot) *testOwner {
	return &testOwner{Granter: granter.New(testTiming, 1, start, []granter.Slot{slot}), now: start}
}

// request sends a token request that echoes the newest timestamp and returns the
// number of tokens granted.
func (o *testOwner) request(need int) int {
	o.sequence++
	reply := o.HandleRequest(o.now, testHome, fescuebank.ShardTokenRequest{
		Sequence: o.sequence, OwnerFencing: 1, Echo: o.timestamp, Demands: []fescuebank.TokenDemand{{Team: "team", Need: need}},
	}, testQuotaOf)
	o.timestamp = reply.Timestamp
	if len(reply.Grants) == 0 {
		return 0
	}
	return reply.Grants[0].Count
}

// TestGrantedTokens checks each situation in which an owner must not grant tokens
// yet, and one in which it must.
func TestGrantedTokens(t *testing.T) {
	clearSlot := granter.Slot{Holder: testHome, FormerStopped: true}
	for _, tt := range []struct {
		name string
		slot granter.Slot
		run  func(o *testOwner) int
		want int
	}{
		{"without failures the burst is granted", clearSlot, func(o *testOwner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.request(0)
			}
			return o.request(100)
		}, 10},
		{"tokens of the former owner may not have expired", clearSlot, func(o *testOwner) int {
			for range 3 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.request(0)
			}
			return o.request(5)
		}, 0},
		{"the home has not waived its floor", clearSlot, func(o *testOwner) int {
			o.now = o.now.Add(10 * time.Second)
			return o.request(5)
		}, 0},
		{"a former home may still use its floor", granter.Slot{Holder: testHome}, func(o *testOwner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.request(0)
			}
			return o.request(5)
		}, 0},
		{"the floor waiver has ended", clearSlot, func(o *testOwner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.request(0)
			}
			o.now = o.now.Add(2 * time.Second)
			o.timestamp = 0
			return o.request(5)
		}, 0},
		{"a timestamp echoed too late renews no waiver", clearSlot, func(o *testOwner) int {
			o.now = o.now.Add(2 * time.Second)
			o.request(0)
			o.now = o.now.Add(2 * time.Second)
			return o.request(5)
		}, 0},
		{"a timestamp from before the owner was suspended", clearSlot, func(o *testOwner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.request(0)
			}
			oldTimestamp := o.timestamp
			o.OnClockJump(o.now, testQuotaOf)
			for range 2 {
				o.now = o.now.Add(400 * time.Millisecond)
				o.timestamp = oldTimestamp
				o.request(0)
			}
			o.timestamp = oldTimestamp
			return o.request(5)
		}, 0},
		{"a repeated request is granted nothing", clearSlot, func(o *testOwner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.request(0)
			}
			o.sequence--
			return o.request(5)
		}, 0},
		{"unspent tokens count against the burst", clearSlot, func(o *testOwner) int {
			for range 20 {
				o.now = o.now.Add(300 * time.Millisecond)
				o.request(0)
			}
			o.request(10)
			o.now = o.now.Add(500 * time.Millisecond)
			return o.request(10)
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.run(newTestOwner(tt.slot)); got != tt.want {
				t.Errorf("got %d tokens granted, want %d", got, tt.want)
			}
		})
	}
}

// TestHandoverLevelDecays checks that a new owner grants the level handed over by the
// former owner, less what the rate allowed since it stopped.
func TestHandoverLevelDecays(t *testing.T) {
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
			o := newTestOwner(granter.Slot{Holder: testHome, FormerStopped: true})
			level := fescuebank.Requests(40)
			o.ApplyHandover(start.Add(time.Nanosecond), fescuebank.BucketHandoverReply{SinceStop: tt.age, Levels: []fescuebank.BucketLevel{{Team: "team", Level: level}}})
			o.now = o.now.Add(1001 * time.Millisecond)
			o.request(0)
			if got := o.request(100); got != tt.want {
				t.Errorf("got %d tokens granted, want %d", got, tt.want)
			}
		})
	}
}
