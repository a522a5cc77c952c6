package requester_test

import (
	"fmt"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/limit/granter"
	"fescuebank/internal/limit/requester"
)

var timing = fescuebank.TokenTiming{Lifetime: time.Second, FloorWaiver: 1500 * time.Millisecond, ClockError: 0.001}

// TestNoRefusalWithinRate sends a team's full rate and bursts to changing homes,
// without failures. Every request must be admitted.
func TestNoRefusalWithinRate(t *testing.T) {
	const slots = 4
	quota := fescuebank.Quota{Rate: 20, Burst: 40}
	quotaOf := func(fescuebank.TeamID) (fescuebank.Quota, bool) { return quota, true }
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var homes []*requester.Requester
	var homeSlots []granter.Slot
	for n := range slots {
		homes = append(homes, requester.New(timing, 0, slots))
		homes[n].SetSlot(now, n)
		homeSlots = append(homeSlots, granter.Slot{Holder: holder(n), FormerStopped: true})
	}
	g := granter.New(timing, 1, now, homeSlots)
	exchange := func(n int) {
		r := homes[n].NextRequest(now)
		homes[n].ApplyReply(now, g.HandleRequest(now, holder(n), r, quotaOf))
	}
	for range 40 {
		now = now.Add(200 * time.Millisecond)
		for n := range homes {
			exchange(n)
		}
	}
	// The team stays within its own bucket, 1 % below its quota to allow for clock error.
	level, last := 0.99*float64(quota.Burst), now
	refused, sent := 0, 0
	for step := range 3000 {
		now = now.Add(10 * time.Millisecond)
		if step%40 == 0 {
			for n := range homes {
				exchange(n)
			}
		}
		level = min(0.99*float64(quota.Burst), level+0.99*float64(quota.Rate.Over(now.Sub(last))))
		last = now
		burst := 1
		if step%500 == 0 {
			burst = 30
		}
		for range burst {
			if level < 1 {
				break
			}
			level--
			sent++
			if !admit(homes, step/100%slots, now, quota, exchange) {
				refused++
			}
		}
	}
	if refused != 0 {
		t.Errorf("got %d of %d requests refused, want none", refused, sent)
	}
}

func holder(n int) fescuebank.Holder {
	return fescuebank.Holder{ID: fescuebank.InstanceID(fmt.Sprint("home-", n)), Incarnation: "run"}
}

// admit tries what an instance tries: its own tokens and floor, then the owner, then
// the other homes.
func admit(homes []*requester.Requester, n int, now time.Time, q fescuebank.Quota, exchange func(int)) bool {
	if homes[n].TakeToken(now, "team", q) {
		return true
	}
	endWait := homes[n].AddWaiter("team")
	exchange(n)
	endWait()
	if homes[n].TakeToken(now, "team", q) {
		return true
	}
	for other := range homes {
		if other == n {
			continue
		}
		homes[n].AddLent(now, "team", homes[other].Lend(now, "team", 1, q).Lent)
		if homes[n].TakeToken(now, "team", q) {
			return true
		}
	}
	return false
}

func BenchmarkTake(b *testing.B) {
	quota := fescuebank.Quota{Rate: 1e6, Burst: 1e6}
	for _, teams := range []int{8, 1000, 45000} {
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			home := requester.New(timing, 0, 1)
			home.SetSlot(now, 0)
			ids := make([]fescuebank.TeamID, teams)
			for i := range ids {
				ids[i] = fescuebank.TeamID(fmt.Sprint("team-", i))
			}
			now = now.Add(time.Minute)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				home.TakeToken(now, ids[n%teams], quota)
				n++
			}
		})
	}
}
