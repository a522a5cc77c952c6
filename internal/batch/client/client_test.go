package client_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/client"
	"fescuebank/internal/timing/timekeeper"
)

// scriptedOwner is an owner whose replies are given. After the last one no owner is known.
type scriptedOwner struct{ replies []error }

func (o *scriptedOwner) Owner(fescuebank.TeamID) (fescuebank.Holder, bool) {
	return fescuebank.Holder{ID: "owner"}, len(o.replies) > 0
}

func (o *scriptedOwner) Call(context.Context, fescuebank.InstanceID, fescuebank.MessageKind, any, any) error {
	reply := o.replies[0]
	o.replies = o.replies[1:]
	return reply
}

// TestRefusalStatesWhetherACallMayHaveRun guards against "not run" for a submission of which an earlier attempt may have reached the
// owner, when the caller's time ends before the last attempt.
func TestRefusalStatesWhetherACallMayHaveRun(t *testing.T) {
	notRun := fescuebank.Refuse(503, fescuebank.CodeStoreDown, "down")
	otherOwner := fescuebank.Refuse(504, fescuebank.CodeOwnerChanged, "changed").WithState(fescuebank.MayHaveRun)
	for _, tt := range []struct {
		name    string
		replies []error
		time    time.Duration
		want    fescuebank.RunState
	}{
		{"no owner", nil, time.Minute, fescuebank.NotRun},
		{"no owner until the time ends", nil, 200 * time.Millisecond, fescuebank.NotRun},
		{"refused", []error{notRun}, time.Minute, fescuebank.NotRun},
		{"owner lost, then no owner", []error{fescuebank.ErrPeerLost}, time.Minute, fescuebank.MayHaveRun},
		{"owner lost, then no owner until the time ends", []error{fescuebank.ErrPeerLost}, 200 * time.Millisecond, fescuebank.MayHaveRun},
		{"owner lost as the time ends", []error{fescuebank.ErrPeerLost}, 50 * time.Millisecond, fescuebank.MayHaveRun},
		{"owner lost, then refused", []error{fescuebank.ErrPeerLost, notRun}, time.Minute, fescuebank.MayHaveRun},
		{"owner changed, then refused", []error{otherOwner, notRun}, time.Minute, fescuebank.MayHaveRun},
		{"owner changed, then no owner", []error{otherOwner}, time.Minute, fescuebank.MayHaveRun},
	} {
		for _, call := range []struct {
			name string
			make func(ctx context.Context, c *client.Client) error
		}{
			{"submission", func(ctx context.Context, c *client.Client) error {
				return c.Submit(ctx, &fescuebank.RoutedJob{ID: "job", Team: "team"})
			}},
			{"end", func(ctx context.Context, c *client.Client) error { return c.End(ctx, "team", "job") }},
		} {
			t.Run(tt.name+", "+call.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					owner := &scriptedOwner{replies: tt.replies}
					c := client.New(client.Config{
						Self: fescuebank.Holder{ID: "self"}, Owners: owner, Caller: owner, Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(),
					})
					ctx, cancel := context.WithTimeout(t.Context(), tt.time)
					defer cancel()
					err := call.make(ctx, c)
					var refusal *fescuebank.Refusal
					if !errors.As(err, &refusal) || refusal.State != tt.want {
						t.Errorf("got %v, want the state %s", err, tt.want)
					}
				})
			})
		}
	}
}

// TestCallIsRepeatedAtTheOwnerThatFollows guards against an error for a caller whose call met a change of the team's owner.
func TestCallIsRepeatedAtTheOwnerThatFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changed := fescuebank.Refuse(504, fescuebank.CodeOwnerChanged, "changed").WithState(fescuebank.MayHaveRun)
		owner := &scriptedOwner{replies: []error{changed, fescuebank.ErrNotOwner, nil}}
		c := client.New(client.Config{
			Self: fescuebank.Holder{ID: "self"}, Owners: owner, Caller: owner, Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(),
		})
		if err := c.End(t.Context(), "team", "job"); err != nil {
			t.Errorf("got %v, want the acknowledgement of the owner that followed", err)
		}
	})
}

// silentOwner is an owner that replies to no call.
type silentOwner struct{}

func (*silentOwner) Owner(fescuebank.TeamID) (fescuebank.Holder, bool) {
	return fescuebank.Holder{ID: "owner"}, true
}

func (*silentOwner) Call(ctx context.Context, _ fescuebank.InstanceID, _ fescuebank.MessageKind, _, _ any) error {
	<-ctx.Done()
	return fescuebank.ErrPeerLost
}

// TestSubmissionAtShutdownMayHaveRun guards against "not run" for a job that may be stored when the instance that passed it on stops.
func TestSubmissionAtShutdownMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &silentOwner{}
		c := client.New(client.Config{
			Self: fescuebank.Holder{ID: "self"}, Owners: owner, Caller: owner, Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(),
		})
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Second, func() { cancel(fescuebank.ErrShutdown) })
		err := c.Submit(ctx, &fescuebank.RoutedJob{ID: "job", Team: "team"})
		var refusal *fescuebank.Refusal
		if !errors.As(err, &refusal) || refusal.State != fescuebank.MayHaveRun {
			t.Errorf("got %v, want the state %s", err, fescuebank.MayHaveRun)
		}
	})
}
