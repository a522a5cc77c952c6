package acquirer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/limit/acquirer"
	"fescuebank/internal/limit/issuer"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/breaker"
)

// unresponsiveOwner is a fleet whose only owner may leave calls without a reply.
type unresponsiveOwner struct {
	mu        sync.Mutex
	dropCalls bool
}

func (o *unresponsiveOwner) Owner(fescuebank.TeamID) (fescuebank.Holder, bool) {
	return holder(1), true
}
func (o *unresponsiveOwner) MayAct(fescuebank.TeamID) (fescuebank.FencingNumber, bool) {
	return 1, false
}
func (o *unresponsiveOwner) IsOwner(fescuebank.TeamID) bool { return false }
func (o *unresponsiveOwner) VacantSince(fescuebank.TeamID) (time.Time, bool) {
	return time.Time{}, false
}
func (o *unresponsiveOwner) FloorSlot() (int, int, bool) { return 0, 0, false }

func (o *unresponsiveOwner) Call(ctx context.Context, _ fescuebank.InstanceID, _ fescuebank.MessageKind, _, reply any) error {
	o.mu.Lock()
	dropCalls := o.dropCalls
	o.mu.Unlock()
	if dropCalls {
		<-ctx.Done()
		return fescuebank.ErrPeerLost
	}
	time.Sleep(3 * time.Millisecond)
	reply.(*fescuebank.AcquireReply).Count = 1
	return nil
}

// TestAdmitWhileTheOwnerDoesNotReply sends 60 requests a second while the owner doesn't
// reply for 3 seconds. Callers have an objective of 300 ms: they must be refused within a
// quarter of it, and be admitted again soon after the owner recovers.
func TestAdmitWhileTheOwnerDoesNotReply(t *testing.T) {
	const (
		gap           = time.Second / 60
		latencyBound  = 75 * time.Millisecond
		outage        = 3 * time.Second
		detectionTime = 400 * time.Millisecond
		recoveryTime  = 400 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		owner := &unresponsiveOwner{}
		clock := timekeeper.Timekeeper{}
		a := acquirer.New(acquirer.Config{
			Self: holder(0), Owners: owner, Caller: breaker.New(owner, clock), Issuer: issuer.New(clock),
			Registered: func() bool { return true },
			Table: func() *fescuebank.RouteTable {
				q := fescuebank.Quota{Rate: 100, Burst: 100}
				return &fescuebank.RouteTable{Teams: map[fescuebank.TeamID]fescuebank.TeamSettings{testTeam: {ID: testTeam, Quota: q}}}
			},
			Clock: clock, Log: hclog.NewNullLogger(),
		})
		var mu sync.Mutex
		var late, refused, sent int
		send := func(at time.Duration) {
			began := time.Now()
			err := a.Admit(t.Context(), testTeam)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			duringOutage := at > detectionTime && at < outage
			if duringOutage {
				sent++
			}
			if duringOutage && took > latencyBound {
				late++
			}
			if at > outage+recoveryTime && err != nil {
				refused++
			}
		}
		owner.dropCalls = true
		for at := time.Duration(0); at < outage+2*time.Second; at += gap {
			if at >= outage {
				owner.mu.Lock()
				owner.dropCalls = false
				owner.mu.Unlock()
			}
			go send(at)
			time.Sleep(gap)
		}
		time.Sleep(time.Second)
		if got, want := late, sent/10; got > want {
			t.Errorf("got %d of %d requests that took longer than %v, want at most %d", got, sent, latencyBound, want)
		}
		if got := refused; got != 0 {
			t.Errorf("got %d requests refused after the owner had recovered, want none", got)
		}
	})
}
