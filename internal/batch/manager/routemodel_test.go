package manager_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/standin/memorystorer"
)

const (
	// shortRetention is over before the end of a test, longRetention isn't.
	shortRetention = 2 * time.Second
	longRetention  = time.Hour
	// checkTime is the time between two checks of an instance for what to start and to give up.
	checkTime = 500 * time.Millisecond
)

// The names, prefixes and services of which routes are drawn. Some prefixes begin others.
var (
	modelNames    = []string{"first", "second"}
	modelPrefixes = []string{"/b/", "/b/x/", "/b/x/y/", "/c/"}
	modelPaths    = []string{"/b/1", "/b/x/1", "/b/x/y/1", "/c/1"}
	modelShares   = [][]fescuebank.ServiceShare{
		{{Service: "a", Weight: 1}}, {{Service: "b", Weight: 1}}, {{Service: "b", Weight: 1}, {Service: "a", Weight: 1}},
	}
)

// modelJob is what is known of a job from outside.
type modelJob struct {
	spec *fescuebank.RoutedJob
	// accepted is set once a submission was accepted.
	accepted bool
	// mayBeGivenUp is set once the job's route was missing from the configuration, or had a short retention.
	mayBeGivenUp bool
}

// routeModel is two owners, whose configuration changes, and two services.
type routeModel struct {
	*ownerPair
	routes []fescuebank.Route
	jobs   []*modelJob
	// full are the services without a free slot.
	full []fescuebank.ServiceName
}

// TestItemsFollowTheirRoute guards against items that are given up although their route stands, that run at the service of another one, that wait
// although their service has room, or that are never listed, while routes come, go, move and nest, owners end in any way and the store fails.
func TestItemsFollowTheirRoute(t *testing.T) {
	checkInBubbles(t, func(t *rapid.T) {
		m := &routeModel{ownerPair: newOwnerPair()}
		defer m.close()
		m.change(t)
		m.config.read(0)
		m.config.read(1)
		t.Repeat(m.actions())
		m.settle(t)
	})
}

func (m *routeModel) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "owner") }
	return map[string]func(*rapid.T){
		"submit":        func(t *rapid.T) { m.submitJob(t, pick(t)) },
		"configuration": m.change,
		"read":          func(t *rapid.T) { m.config.read(pick(t)) },
		"room":          m.changeRoom,
		"reachable":     func(t *rapid.T) { m.config.setUnreadable(rapid.Bool().Draw(t, "unreadable")) },
		"run":           func(t *rapid.T) { m.run(t, pick(t), rapid.Bool().Draw(t, "finish")) },
		"wait":          func(*rapid.T) { m.check() },
		"long wait": func(*rapid.T) {
			for range 24 {
				m.check()
			}
		},
		"restart": func(t *rapid.T) { m.restart(pick(t)) },
		"kill":    func(t *rapid.T) { m.kill(pick(t)) },
		"move":    func(t *rapid.T) { m.moveTo(pick(t)) },
		"faults": func(t *rapid.T) {
			m.store.SetFaults(memorystorer.Faults{
				Down: rapid.IntRange(0, 5).Draw(t, "down") == 0, LoseReplies: rapid.IntRange(0, 3).Draw(t, "lose") == 0,
			})
		},
	}
}

// changeRoom changes which service has no free slot.
func (m *routeModel) changeRoom(t *rapid.T) {
	m.full = rapid.SampledFrom([][]fescuebank.ServiceName{nil, {"a"}, {"b"}}).Draw(t, "full")
}

// change puts another configuration in force.
func (m *routeModel) change(t *rapid.T) {
	prefixes := rapid.Permutation(modelPrefixes).Draw(t, "prefixes")
	var routes []fescuebank.Route
	for n, name := range modelNames {
		r := batchRoute()
		r.Name, r.Prefix, r.MaxWaitingTokens = name, prefixes[n], 0
		r.Shares = rapid.SampledFrom(modelShares).Draw(t, "shares")
		r.Retention = rapid.SampledFrom([]time.Duration{longRetention, longRetention, longRetention, longRetention, shortRetention}).Draw(t, "retention")
		kind := rapid.IntRange(0, 7).Draw(t, "kind")
		if kind == 0 {
			continue
		}
		if kind == 1 {
			r.Kind = fescuebank.RouteStreaming
		}
		routes = append(routes, r)
	}
	before := m.config.newestVersion()
	m.config.put(routes)
	if m.config.newestVersion() == before {
		return // The store is down.
	}
	m.routes = routes
	for _, j := range m.jobs {
		m.noteRoute(j)
	}
}

// route returns the newest route of batch jobs with a name.
func (m *routeModel) route(name string) (fescuebank.Route, bool) {
	n := slices.IndexFunc(m.routes, func(r fescuebank.Route) bool { return r.Name == name && r.Kind == fescuebank.RouteBatch })
	if n < 0 {
		return fescuebank.Route{}, false
	}
	return m.routes[n], true
}

// noteRoute records whether a job may be given up by the newest configuration.
func (m *routeModel) noteRoute(j *modelJob) {
	r, exists := m.route(j.spec.Route)
	j.mayBeGivenUp = j.mayBeGivenUp || !exists || r.Retention == shortRetention
}

// submitJob sends a manager a job on the route that its path has there, or the last job again.
func (m *routeModel) submitJob(t *rapid.T, i int) {
	if len(m.jobs) < 4 {
		m.addJob(i, rapid.SampledFrom(modelPaths).Draw(t, "path"), rapid.IntRange(1, 4).Draw(t, "items"))
	}
	if len(m.jobs) > 0 {
		m.submit(i, m.jobs[len(m.jobs)-1])
	}
}

// addJob adds a job on the route that a path has at a manager, unless it is none of batch jobs.
func (m *routeModel) addJob(i int, path string, items int) {
	r, ok := m.config.replica(i).table.Match("h", path)
	if !ok || r.Kind != fescuebank.RouteBatch {
		return
	}
	spec := job(fescuebank.JobID(fmt.Sprintf("job%d", len(m.jobs))), items)
	spec.Path, spec.Route = path, r.Name
	j := &modelJob{spec: spec, mayBeGivenUp: r.Retention == shortRetention}
	m.noteRoute(j)
	m.jobs = append(m.jobs, j)
}

// submit sends a manager a job.
func (m *routeModel) submit(i int, j *modelJob) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	sent := *j.spec // The manager takes the job over.
	sent.Items = slices.Clone(j.spec.Items)
	if m.manager(i).Submit(ctx, &sent) == nil {
		j.accepted = true
	}
}

// moveTo makes a manager the owner by the newest list.
func (m *routeModel) moveTo(i int) {
	m.become(i)
	m.setOwns(1-i, false)
	m.manager(1 - i).UpdateOwnership()
}

// check lets time pass and the managers give up what they have to.
func (m *routeModel) check() {
	time.Sleep(checkTime)
	m.manager(0).Expire()
	m.manager(1).Expire()
}

// run makes a manager hand out an item, which ends with or without an outcome, and reports whether there was one.
func (m *routeModel) run(t *rapid.T, i int, finish bool) bool {
	hasRoom := func(s fescuebank.ServiceName) bool { return !slices.Contains(m.full, s) }
	task := m.manager(i).NextTask(func() {}, hasRoom)
	if task == nil {
		return false
	}
	n := slices.IndexFunc(m.jobs, func(j *modelJob) bool {
		return slices.ContainsFunc(j.spec.Items, func(item fescuebank.RoutedItem) bool { return item.ID == string(task.Request.ID) })
	})
	if got, want := task.Request.Route.Name, m.jobs[n].spec.Route; got != want {
		t.Fatalf("item %s: got route %s, want %s", task.Request.ID, got, want)
	}
	if !task.Request.Route.Serves(task.Request.Service) || !hasRoom(task.Request.Service) {
		t.Fatalf("item %s: got service %s, want one of its route %v with room, all but %v", task.Request.ID, task.Request.Service, task.Request.Route.Shares, m.full)
	}
	if finish {
		m.manager(i).Finish(task, false, []byte("text"))
		return true
	}
	m.manager(i).Requeue(task, manager.CausePreempted, task.Progress)
	return true
}

// settle ends the faults and the changes, leaves one owner, and checks what has become of the jobs.
func (m *routeModel) settle(t *rapid.T) {
	m.store.SetFaults(memorystorer.Faults{})
	m.config.setUnreadable(false)
	m.changeRoom(t)
	m.restart(0)
	m.moveTo(0)
	m.config.read(0)
	for _, path := range rapid.Permutation(modelPaths).Draw(t, "last") {
		m.addJob(0, path, 1)
	}
	for _, j := range m.jobs {
		m.submit(0, j)
	}
	for range 40 {
		m.check()
		for m.run(t, 0, true) {
		}
	}
	for _, j := range m.jobs {
		m.judge(t, j)
	}
}

// judge checks the results of a job.
func (m *routeModel) judge(t *rapid.T, j *modelJob) {
	page, err := m.manager(0).Read(context.Background(), team, j.spec.ID, 0, 0)
	if !j.accepted {
		return // It may have been accepted all the same.
	}
	if err != nil {
		t.Fatalf("job %s: got %v, want its results", j.spec.ID, err)
	}
	for _, r := range page.Results {
		if r.Failed && !j.mayBeGivenUp {
			t.Fatalf("job %s: got item %s given up, want it to wait, as route %s stood all the time", j.spec.ID, r.Item, j.spec.Route)
		}
	}
	r, exists := m.route(j.spec.Route)
	lacksRoom := exists && slices.ContainsFunc(m.full, r.Serves)
	if got := len(page.Results); got != len(j.spec.Items) && !lacksRoom {
		t.Fatalf("job %s: got %d results, want %d: route %s stands %v", j.spec.ID, got, len(j.spec.Items), j.spec.Route, exists)
	}
}
