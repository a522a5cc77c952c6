package manager_test

import (
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// changed returns the route of the jobs with a change.
func changed(change func(*fescuebank.Route)) fescuebank.Route {
	r := batchRoute()
	change(&r)
	return r
}

// nested returns a route whose longer prefix begins the path of the jobs.
func nested(kind fescuebank.RouteKind) fescuebank.Route {
	return fescuebank.Route{
		Name: "nested", Host: "h", Prefix: "/b/x/", Kind: kind, Attempts: 1, Retention: time.Second,
		Shares: []fescuebank.ServiceShare{{Service: "other", Weight: 1}},
	}
}

// nestedJob returns a job of one item below the prefix of nested.
func nestedJob() *fescuebank.RoutedJob {
	j := job("job", 1)
	j.Path = "/b/x/1"
	return j
}

// TestJobsKeepTheirRoute guards against accepted items that are given up, or get another route's service or retention, because their
// job's path belongs to another route now.
func TestJobsKeepTheirRoute(t *testing.T) {
	for _, tt := range []struct {
		name string
		// routes are those of the next version.
		routes []fescuebank.Route
		// service is the one whose endpoints get the item; empty if the item is given up.
		service fescuebank.ServiceName
	}{
		{"a longer prefix of online requests", []fescuebank.Route{batchRoute(), nested(fescuebank.RouteStreaming)}, "s"},
		{"a longer prefix of batch jobs", []fescuebank.Route{batchRoute(), nested(fescuebank.RouteBatch)}, "s"},
		{"the prefix moves", []fescuebank.Route{changed(func(r *fescuebank.Route) { r.Prefix = "/c/" })}, "s"},
		{"the host moves", []fescuebank.Route{changed(func(r *fescuebank.Route) { r.Host = "i" })}, "s"},
		{"the prefix moves and another route takes it", []fescuebank.Route{changed(func(r *fescuebank.Route) { r.Prefix = "/c/" }), nested(fescuebank.RouteBatch)}, "s"},
		{"the service changes", []fescuebank.Route{changed(func(r *fescuebank.Route) { r.Shares = nested(fescuebank.RouteBatch).Shares })}, "other"},
		{"the name goes to online requests", []fescuebank.Route{changed(func(r *fescuebank.Route) { r.Kind = fescuebank.RouteStreaming })}, ""},
		{"another route has the prefix", []fescuebank.Route{changed(func(r *fescuebank.Route) { r.Name = "next" })}, ""},
		{"another route of batch jobs has a longer one", []fescuebank.Route{nested(fescuebank.RouteBatch)}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				if err := p.manager(1).Submit(t.Context(), nestedJob()); err != nil {
					t.Fatal(err)
				}
				p.config.put(tt.routes)
				p.config.read(1)
				p.expireFor(1, 15*time.Second)
				want := 0
				if tt.service == "" {
					want = 1
				}
				if got := p.results(t, 1, "job"); got != want {
					t.Errorf("got %d results of items that didn't run, want %d", got, want)
				}
				var got fescuebank.ServiceName
				if task := p.manager(1).NextTask(func() {}, nil); task != nil {
					got = task.Request.Service
				}
				if got != tt.service {
					t.Errorf("got an item for service %q, want %q", got, tt.service)
				}
			})
		})
	}
}

// TestJobIsAcceptedOnTheRouteOfItsLastSubmission guards against a job that is refused for good because an earlier submission was stored
// only, and its path has come to belong to another route since.
func TestJobIsAcceptedOnTheRouteOfItsLastSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.store.SetFaults(memorystorer.Faults{DownAfterWrites: 1}) // The job is stored, the ledger isn't.
		if err := p.manager(1).Submit(t.Context(), nestedJob()); err == nil {
			t.Fatal("got the job accepted without its ledger, want a refusal")
		}
		p.store.SetFaults(memorystorer.Faults{})
		p.config.put([]fescuebank.Route{batchRoute(), nested(fescuebank.RouteBatch)})
		p.config.read(1)
		again := nestedJob()
		again.Route = "nested"
		if err := p.manager(1).Submit(t.Context(), again); err != nil {
			t.Fatalf("got %v, want the job accepted", err)
		}
		for _, when := range []string{"at once", "after a restart"} {
			p.results(t, 1, "job")
			task := awaitTask(p.manager(1))
			if task == nil || task.Request.Service != "other" {
				t.Errorf("%s: got %+v, want the item for the service of the route that accepted it", when, task)
			}
			p.kill(1)
		}
	})
}
