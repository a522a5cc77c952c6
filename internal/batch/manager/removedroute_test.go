package manager_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/estimator"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/batch/persister"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

// jumpClock is the system's clock, moved ahead by offset.
type jumpClock struct {
	timekeeper.Timekeeper
	offset time.Duration
}

func (c *jumpClock) Now() time.Time { return c.Timekeeper.Now().Add(c.offset) }

// TestItemsOfARemovedRouteGetResults guards against items of an accepted job that are listed
// neither as completed nor as failed because their route was removed.
func TestItemsOfARemovedRouteGetResults(t *testing.T) {
	clock := &jumpClock{}
	p, err := persister.New(&memorystorer.MemoryStorer{}, clock)
	if err != nil {
		t.Fatal(err)
	}
	current := table()
	m := manager.New(manager.Config{
		Owns:     func(fescuebank.TeamID) (fescuebank.FencingNumber, bool) { return 1, true },
		TookOver: func(fescuebank.TeamID) bool { return false }, Persister: p,
		Table: func() *fescuebank.RouteTable { return current }, Estimator: estimator.New(), Clock: clock, Log: hclog.NewNullLogger(),
		OnItemEnd: func(fescuebank.TeamID, bool, bool) {}, OnItemsAvailable: func() {}, SendHandover: func(manager.ProgressHandover) {},
	})
	if err := m.Submit(context.Background(), job("j", 1)); err != nil {
		t.Fatal(err)
	}
	m.Expire()
	current = &fescuebank.RouteTable{Version: 2, Teams: current.Teams}
	current.SetRoutes(nil)
	m.Expire()
	clock.offset += 2 * time.Hour // The route's retention is an hour.
	m.Expire()
	page, err := m.Read(context.Background(), team, "j", 0, 3*time.Second)
	if err != nil || len(page.Results) != 1 {
		t.Errorf("got %+v, %v, want a result", page, err)
	}
}
