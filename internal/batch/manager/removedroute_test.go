package manager_test

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
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
	current := &fescuebank.RouteTable{Version: 1, Teams: map[fescuebank.TeamID]fescuebank.TeamSettings{team: {ID: team}}}
	current.SetRoutes([]fescuebank.Route{batchRoute()})
	m := manager.New(manager.Config{
		Owns:         func(fescuebank.TeamID) (fescuebank.FencingNumber, bool) { return 1, true },
		ConfirmOwner: func(context.Context, fescuebank.TeamID) (bool, error) { return true, nil },
		TookOver:     func(fescuebank.TeamID) bool { return false }, Persister: p,
		Table: func() *fescuebank.RouteTable { return current }, ConfigAsOf: func() fescuebank.StoreVersion { return math.MaxInt64 }, Estimator: estimator.New(), Clock: clock, Log: hclog.NewNullLogger(),
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

// expireFor lets a manager check for what has to be given up, as its instance does, for a time.
func (p *ownerPair) expireFor(i int, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		p.manager(i).Expire()
	}
}

// results returns the number of results of a job, by a manager.
func (p *ownerPair) results(t *testing.T, i int, id fescuebank.JobID) int {
	t.Helper()
	page, err := p.manager(i).Read(t.Context(), team, id, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Results)
}

// TestNextOwnerGivesUpItemsOfARemovedRoute guards against items that are never listed because their owner ended
// after their route had been removed.
func TestNextOwnerGivesUpItemsOfARemovedRoute(t *testing.T) {
	const items = 3
	for _, tt := range []struct {
		name string
		next func(p *ownerPair)
		// owner is the manager that has the team afterwards.
		owner int
	}{
		{"restarted", func(p *ownerPair) { p.restart(1) }, 1},
		{"killed", func(p *ownerPair) { p.kill(1) }, 1},
		{"restarted three times", func(p *ownerPair) { p.restart(1); p.kill(1); p.restart(1) }, 1},
		{"taken over by an instance that saw the route", func(p *ownerPair) { p.releaseTeam(1); p.moveTeam(0) }, 0},
		{"taken over with an older configuration", func(p *ownerPair) { p.config.replicas[0].asOf = 0; p.releaseTeam(1); p.moveTeam(0) }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				p.submit(1, "job", items)
				p.expireFor(1, time.Second)
				p.config.put(nil)
				p.config.read(1)
				p.config.read(0)
				p.expireFor(1, time.Second)
				tt.next(p)
				p.results(t, tt.owner, "job")
				p.expireFor(tt.owner, 15*time.Second)
				if got := p.results(t, tt.owner, "job"); got != items {
					t.Errorf("got %d results, want %d", got, items)
				}
			})
		})
	}
}

// TestOlderRetentionDoesNotCount guards against items that are given up by the retention of a configuration that is older than their job.
func TestOlderRetentionDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.config.put([]fescuebank.Route{changed(func(r *fescuebank.Route) { r.Retention = time.Second })})
		p.config.read(0)
		p.config.put([]fescuebank.Route{batchRoute()})
		p.config.read(1)
		p.submit(1, "job", 1)
		p.releaseTeam(1)
		p.moveTeam(0)
		p.expireFor(0, time.Minute)
		if got := p.results(t, 0, "job"); got != 0 {
			t.Errorf("got %d results of items that didn't run, want none within the retention of an hour", got)
		}
	})
}

// TestRouteThatIsNewerThanTheConfigurationIsNotRemoved guards against items that are given up by an owner whose configuration is
// older than their route.
func TestRouteThatIsNewerThanTheConfigurationIsNotRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.config.put(nil)
		p.config.read(0)
		p.config.put([]fescuebank.Route{batchRoute()})
		p.config.setUnreadable(true)
		p.config.read(1)
		p.submit(1, "job", 1)
		p.releaseTeam(1)
		p.moveTeam(0)
		p.expireFor(0, time.Minute)
		if got := p.results(t, 0, "job"); got != 0 {
			t.Errorf("got %d results, want none while the configuration is older than the job", got)
		}
		p.config.read(0)
		if task := p.manager(0).NextTask(func() {}, nil); task == nil {
			t.Error("got no item with the newer configuration, want the one that waits")
		}
	})
}
