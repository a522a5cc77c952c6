package manager_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/batch/persister"
	"fescuebank/internal/standin/memorizer"
	"fescuebank/internal/timing/timekeeper"
)

const (
	team  = fescuebank.TeamID("team")
	route = "batch"
	// itemTokens and capTokens let 8 items wait.
	itemTokens = 100
	capTokens  = 800
)

func table() *fescuebank.RouteTable {
	t := &fescuebank.RouteTable{Version: 1, Teams: map[fescuebank.TeamID]fescuebank.TeamSettings{team: {ID: team}}}
	t.SetRoutes([]fescuebank.Route{{
		Name: route, Host: "h", Prefix: "/b/", Kind: fescuebank.RouteBatch, Attempts: 3, MaxWaitingTokens: capTokens,
		CompletionObjective: 18 * time.Second, Retention: time.Hour, Shares: []fescuebank.ServiceShare{{Service: "s", Weight: 1}},
	}})
	return t
}

// fleet is two managers that may both believe to own the team.
type fleet struct {
	store *memorizer.Memorizer
	// mu guards what the managers' own goroutines read, up to epoch.
	mu       sync.Mutex
	managers [2]*manager.Manager
	owns     [2]bool
	// epochs are those under which the managers last came to own the team; the
	// higher one is the owner by the newest list.
	epochs [2]fescuebank.FencingNumber
	epoch  fescuebank.FencingNumber
	tasks  [2][]*manager.Task
	// accepted are jobs with a positive answer; refused those with a refusal that
	// promised that nothing runs, at every attempt so far.
	accepted map[fescuebank.JobID]int
	refused  map[fescuebank.JobID]bool
	ended    map[fescuebank.JobID]bool
	// seen are the results by position as any steward showed them.
	seen map[fescuebank.JobID][]fescuebank.RoutedResult
	next int
}

func newFleet() *fleet {
	f := &fleet{
		store: &memorizer.Memorizer{}, owns: [2]bool{true, true}, epochs: [2]fescuebank.FencingNumber{1, 2}, epoch: 2,
		accepted: make(map[fescuebank.JobID]int), refused: make(map[fescuebank.JobID]bool),
		ended: make(map[fescuebank.JobID]bool), seen: make(map[fescuebank.JobID][]fescuebank.RoutedResult),
	}
	f.restart(0)
	f.restart(1)
	return f
}

// restart replaces a manager by one that knows nothing.
func (f *fleet) restart(i int) {
	if f.steward(i) != nil {
		was := f.setOwns(i, false)
		f.steward(i).UpdateOwnership()
		f.setOwns(i, was)
	}
	deposits, err := persister.New(f.store, timekeeper.Timekeeper{})
	if err != nil {
		panic(err)
	}
	f.tasks[i] = nil
	next := manager.New(manager.Config{
		OnItemEnd: func(fescuebank.TeamID, bool, bool) {},
		Owns: func(fescuebank.TeamID) (fescuebank.FencingNumber, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.epochs[i], f.owns[i]
		},
		TookOver: func(fescuebank.TeamID) bool { return true }, Persister: deposits, Table: table,
		Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(), OnItemsAvailable: func() {},
		SendHandover: f.pass,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.managers[i] = next
	// A later run of an instance comes with a later list.
	f.epoch++
	f.epochs[i] = f.epoch
}

func (f *fleet) steward(i int) *manager.Manager {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.managers[i]
}

// setOwns makes a manager believe that it owns the team or not, and returns what it
// believed before.
func (f *fleet) setOwns(i int, owns bool) (was bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	was, f.owns[i] = f.owns[i], owns
	return was
}

// newest returns the index of the owner by the newest list.
func (f *fleet) newest() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.epochs[0] == f.epoch {
		return 0
	}
	return 1
}

func job(id fescuebank.JobID, items int) *fescuebank.RoutedJob {
	j := &fescuebank.RoutedJob{ID: id, Team: team, Route: route, Host: "h", Path: "/b/x", Submitted: time.Now()}
	for i := range items {
		j.Items = append(j.Items, fescuebank.RoutedItem{ID: fmt.Sprintf("%s-%d", id, i), Target: "/b/x/1", Body: []byte("body"), Tokens: itemTokens})
	}
	return j
}

func (f *fleet) submit(i int, id fescuebank.JobID, items int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	err := f.steward(i).Submit(ctx, job(id, items))
	var r *fescuebank.Refusal
	switch {
	case err == nil:
		f.accepted[id] = items
		delete(f.refused, id)
	case errors.As(err, &r) && r.State == fescuebank.NotRun && f.accepted[id] == 0:
		if _, tried := f.refused[id]; !tried {
			f.refused[id] = true
		}
	default:
		f.refused[id] = false // Its outcome is open.
	}
}

// read reads a job whole at a manager and compares it with what was seen.
func (f *fleet) read(t *rapid.T, i int, id fescuebank.JobID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	page, err := f.steward(i).Read(ctx, team, id, 0, 0)
	var r *fescuebank.Refusal
	if errors.As(err, &r) && r.Status == http.StatusNotFound && f.accepted[id] > 0 {
		t.Fatalf("job %s: got %v after it was accepted, want its results", id, err)
	}
	if err != nil {
		return
	}
	if f.refused[id] {
		t.Fatalf("job %s: got a page of a job that was refused as not run", id)
	}
	if f.newest() == i && len(page.Results) < len(f.seen[id]) {
		t.Fatalf("job %s: got %d results from the newest owner, want the %d that were read before", id, len(page.Results), len(f.seen[id]))
	}
	for n, got := range page.Results {
		if n < len(f.seen[id]) {
			if want := f.seen[id][n]; got.Item != want.Item || got.Failed != want.Failed || string(got.Output) != string(want.Output) {
				t.Fatalf("job %s, position %d: got %s %q, want %s %q as before", id, n, got.Item, got.Output, want.Item, want.Output)
			}
			continue
		}
		f.seen[id] = append(f.seen[id], got)
	}
	items := make(map[string]bool)
	for _, r := range f.seen[id] {
		if items[r.Item] {
			t.Fatalf("job %s: got item %s at two positions, want one", id, r.Item)
		}
		items[r.Item] = true
	}
}

// bubble hides the test's deadline, which can't be asked for under synctest.
type bubble struct{ *testing.T }

// TestEachItemOnce drives two owners that race, restart and lose the store.
func TestEachItemOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			f := newFleet()
			t.Repeat(f.actions())
			f.finish(t)
		})
	})
}

func (f *fleet) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "steward") }
	known := func(t *rapid.T) fescuebank.JobID {
		if f.next == 0 {
			f.next++
			f.submit(0, "job0", 4)
		}
		return fescuebank.JobID(fmt.Sprintf("job%d", rapid.IntRange(0, f.next-1).Draw(t, "job")))
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			// Few jobs with many actions on each find more than many jobs.
			if f.next < 3 {
				f.next++
				f.submit(pick(t), fescuebank.JobID(fmt.Sprintf("job%d", f.next-1)), rapid.IntRange(1, 4).Draw(t, "items"))
			}
		},
		"resend": func(t *rapid.T) {
			id := known(t)
			if items := f.accepted[id]; items > 0 {
				f.submit(pick(t), id, items)
			}
		},
		"take": func(t *rapid.T) {
			f.take(pick(t))
		},
		"finish": func(t *rapid.T) {
			i := pick(t)
			f.settle(t, i)
		},
		"read": func(t *rapid.T) {
			id := known(t)
			f.read(t, 0, id)
			f.read(t, 1, id)
		},
		"wait":    func(*rapid.T) { time.Sleep(time.Second) },
		"restart": func(t *rapid.T) { f.restart(pick(t)) },
		"own": func(t *rapid.T) {
			i := pick(t)
			f.setOwns(i, rapid.IntRange(0, 3).Draw(t, "owns") > 0)
			f.mu.Lock()
			f.epoch++
			f.epochs[i] = f.epoch
			f.mu.Unlock()
			f.steward(i).UpdateOwnership()
		},
		"end": func(t *rapid.T) {
			id := known(t)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if f.steward(pick(t)).End(ctx, team, id) == nil {
				f.ended[id] = true
			}
		},
		"faults": func(t *rapid.T) {
			f.store.SetFaults(memorizer.Faults{
				Down: rapid.IntRange(0, 5).Draw(t, "down") == 0, LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lose") == 0,
			})
		},
	}
}

// pass gives progress to the newest owner, if it takes it.
func (f *fleet) pass(h manager.ProgressHandover) {
	// A handover that is not taken costs another run, no more.
	_, _ = f.steward(f.newest()).HandleProgressHandover(context.Background(), func(into any) error {
		*into.(*manager.ProgressHandover) = h
		return nil
	})
}

// take starts an item at a manager.
func (f *fleet) take(i int) {
	if task := f.steward(i).Take(func() {}); task != nil {
		f.tasks[i] = append(f.tasks[i], task)
	}
}

// settle ends one attempt in one of the ways that attempts end.
func (f *fleet) settle(t *rapid.T, i int) {
	if len(f.tasks[i]) == 0 {
		f.take(i)
	}
	if len(f.tasks[i]) == 0 {
		return
	}
	task := f.tasks[i][0]
	f.tasks[i] = f.tasks[i][1:]
	switch rapid.IntRange(0, 3).Draw(t, "outcome") {
	case 0:
		f.steward(i).Requeue(task, manager.CauseInterrupted, fescuebank.Progress{Events: 1, Last: "1", Output: []byte("x")})
	case 1:
		f.steward(i).Requeue(task, manager.CausePreempted, task.Progress)
	default:
		// Two runs of an item may generate different texts.
		f.steward(i).Finish(task, false, []byte(fmt.Sprintf("%s by %d at %d", task.Request.ID, i, time.Now().UnixNano())))
	}
}

// finish heals the store, leaves one owner and runs everything to its end.
func (f *fleet) finish(t *rapid.T) {
	f.store.SetFaults(memorizer.Faults{})
	f.setOwns(0, true)
	f.setOwns(1, false)
	f.steward(1).UpdateOwnership()
	f.restart(0)
	f.steward(0).UpdateOwnership()
	for range 60 {
		time.Sleep(time.Second)
		for {
			task := f.steward(0).Take(func() {})
			if task == nil {
				break
			}
			f.steward(0).Finish(task, false, []byte("at last"))
		}
	}
	for id, items := range f.accepted {
		f.read(t, 0, id)
		if got := len(f.seen[id]); got != items && !f.ended[id] {
			t.Fatalf("job %s: got %d results in the end, want %d", id, got, items)
		}
	}
	for id, surely := range f.refused {
		if surely {
			f.read(t, 0, id)
		}
	}
}
