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

// silent is a fleet whose only owner may swallow calls.
type silent struct {
	mu      sync.Mutex
	swallow bool
}

func (s *silent) Owner(fescuebank.TeamID) (fescuebank.Holder, bool) { return holder(1), true }
func (s *silent) MayAct(fescuebank.TeamID) (fescuebank.FencingNumber, bool) {
	return 1, false
}
func (s *silent) IsOwner(fescuebank.TeamID) bool { return false }
func (s *silent) FloorSlot() (int, int, bool)    { return 0, 0, false }

func (s *silent) Call(ctx context.Context, _ fescuebank.InstanceID, _ fescuebank.MessageKind, _, reply any) error {
	s.mu.Lock()
	swallow := s.swallow
	s.mu.Unlock()
	if swallow {
		<-ctx.Done()
		return fescuebank.ErrPeerLost
	}
	time.Sleep(3 * time.Millisecond)
	reply.(*fescuebank.AcquireReply).Count = 1
	return nil
}

// TestAdmitWhileTheOwnerIsSilent sends 60 requests a second, of which the owner
// swallows those of 3 seconds. Callers with an objective of 300 ms must hear within a
// quarter of it that nobody can tell, and be let through soon after it is back.
func TestAdmitWhileTheOwnerIsSilent(t *testing.T) {
	const (
		gap       = time.Second / 60
		quarter   = 75 * time.Millisecond
		silence   = 3 * time.Second
		noticed   = 400 * time.Millisecond
		recovered = 400 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		owner := &silent{}
		clock := timekeeper.Timekeeper{}
		b := acquirer.New(acquirer.Config{
			Self: holder(0), Owners: owner, Caller: breaker.New(owner, clock), Issuer: issuer.New(clock),
			Registered: func() bool { return true },
			Table: func() *fescuebank.RouteTable {
				q := fescuebank.Quota{Rate: 100, Burst: 100}
				return &fescuebank.RouteTable{Teams: map[fescuebank.TeamID]fescuebank.TeamSettings{team: {ID: team, Quota: q}}}
			},
			Clock: clock, Log: hclog.NewNullLogger(),
		})
		var mu sync.Mutex
		var late, lost, asked int
		send := func(at time.Duration) {
			began := time.Now()
			err := b.Admit(t.Context(), team)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			known := at > noticed && at < silence
			if known {
				asked++
			}
			if known && took > quarter {
				late++
			}
			if at > silence+recovered && err != nil {
				lost++
			}
		}
		owner.swallow = true
		for at := time.Duration(0); at < silence+2*time.Second; at += gap {
			if at >= silence {
				owner.mu.Lock()
				owner.swallow = false
				owner.mu.Unlock()
			}
			go send(at)
			time.Sleep(gap)
		}
		time.Sleep(time.Second)
		if got, want := late, asked/10; got > want {
			t.Errorf("got %d of %d requests answered after %v, want %d at most", got, asked, quarter, want)
		}
		if got := lost; got != 0 {
			t.Errorf("got %d requests refused after the owner was back, want none", got)
		}
	})
}
