package acquirer_test

import (
	"context"
	"errors"
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

// idleOwner is a fleet whose only owner responds that it isn't the owner until a time.
type idleOwner struct {
	unresponsiveOwner
	idleUntil time.Time
}

func (o *idleOwner) Call(_ context.Context, _ fescuebank.InstanceID, _ fescuebank.MessageKind, _, reply any) error {
	time.Sleep(3 * time.Millisecond)
	if time.Now().Before(o.idleUntil) {
		return fescuebank.ErrNotOwner
	}
	reply.(*fescuebank.AcquireReply).Count = 1
	return nil
}

// TestAdmitWhileTheOwnerGrantsNothing sends 60 requests a second while the owner, which has restarted
// with the whole fleet, grants nothing for 1.5 seconds. Callers have an objective of 300 ms and may
// retry in time only if they are refused within a quarter of it. The first requests wait, as
// an ordinary change of the owner takes less.
func TestAdmitWhileTheOwnerGrantsNothing(t *testing.T) {
	const (
		gap           = time.Second / 60
		latencyBound  = 75 * time.Millisecond
		idle          = 1500 * time.Millisecond
		detectionTime = 200 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		owner := &idleOwner{idleUntil: time.Now().Add(idle)}
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
		late, refused := 0, 0
		for at := time.Duration(0); at < 2*idle; at += gap {
			began := time.Now()
			err := a.Admit(t.Context(), testTeam)
			took := time.Since(began)
			var refusal *fescuebank.Refusal
			if err != nil && (!errors.As(err, &refusal) || refusal.RetryAfter <= 0) {
				t.Fatalf("got %v, want a refusal with a Retry-After", err)
			}
			if at > detectionTime && at < idle && took > latencyBound {
				late++
			}
			if at >= idle && err != nil {
				refused++
			}
			time.Sleep(gap - min(gap, took))
			at += max(0, took-gap)
		}
		if late != 0 {
			t.Errorf("got %d requests that took longer than %v, want none", late, latencyBound)
		}
		if refused != 0 {
			t.Errorf("got %d requests refused after the owner granted tokens again, want none", refused)
		}
	})
}
