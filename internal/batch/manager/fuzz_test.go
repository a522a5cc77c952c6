package manager_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"fescuebank"
	"fescuebank/internal/batch/estimator"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/batch/persister"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

const (
	team  = fescuebank.TeamID("team")
	route = "batch"
	// With itemTokens and capTokens the route's cap admits 8 waiting items.
	itemTokens = 100
	capTokens  = 800
)

// batchRoute returns the route of the jobs.
func batchRoute() fescuebank.Route {
	return fescuebank.Route{
		Name: route, Host: "h", Prefix: "/b/", Kind: fescuebank.RouteBatch, Attempts: 3, MaxWaitingTokens: capTokens,
		CompletionObjective: 18 * time.Second, Retention: time.Hour, Shares: []fescuebank.ServiceShare{{Service: "s", Weight: 1}},
	}
}

// ownerPair is two managers over one store, both of which may consider themselves
// the team's owner.
type ownerPair struct {
	store  *memorystorer.MemoryStorer
	config *configuration
	// mu guards the fields up to epoch, which the managers' goroutines read.
	mu       sync.Mutex
	managers [2]*manager.Manager
	// incarnations counts the managers that each of them has replaced. Calls go on in those, but they own nothing any more.
	incarnations [2]int
	owns         [2]bool
	// epochs are those by which the managers last became the team's owner.
	epochs [2]fescuebank.FencingNumber
	// epoch is that of the newest list of owners, which names the manager listOwner.
	epoch     fescuebank.FencingNumber
	listOwner int
	// hasMoved is set if the list before named another incarnation.
	hasMoved bool
	// delay is how long the store takes before and after a call of the managers.
	delay time.Duration
	// olderBuild is set for a manager that confirms no change, as builds did before.
	olderBuild [2]bool
	// listUnreadable is set while the list of owners can't be read from the store.
	listUnreadable bool
	// formerOwnerAlive is whether a manager knows that the other one lives and sends its progress.
	formerOwnerAlive bool
	tasks            [2][]*manager.Task
	// largestHandover is the size of the largest message by which progress was sent, in bytes.
	largestHandover int
	// closedBudget is that of managers which are started from now on.
	closedBudget fescuebank.Bytes
	// accepted holds the number of items of each job that a submission was accepted
	// for. refused is true for jobs whose submissions were all refused as not run, and
	// false for jobs whose outcome is unknown.
	accepted map[fescuebank.JobID]int
	refused  map[fescuebank.JobID]bool
	// ended holds the jobs that a call has ended, or may have ended although it wasn't acknowledged.
	ended map[fescuebank.JobID]bool
	// seen are the results by position, as returned by any manager.
	seen map[fescuebank.JobID][]fescuebank.RoutedResult
	next int
}

func newOwnerPair() *ownerPair {
	store := &memorystorer.MemoryStorer{}
	p := &ownerPair{
		store: store, config: &configuration{store: store}, owns: [2]bool{true, true}, epochs: [2]fescuebank.FencingNumber{1, 2}, epoch: 2, listOwner: 1,
		accepted: make(map[fescuebank.JobID]int), refused: make(map[fescuebank.JobID]bool),
		ended: make(map[fescuebank.JobID]bool), seen: make(map[fescuebank.JobID][]fescuebank.RoutedResult),
	}
	p.config.put([]fescuebank.Route{batchRoute()})
	p.kill(0)
	p.kill(1)
	return p
}

// restart replaces a manager, which hands over first, by one without loaded jobs.
func (p *ownerPair) restart(i int) {
	was := p.setOwns(i, false)
	p.manager(i).UpdateOwnership()
	p.setOwns(i, was)
	p.kill(i)
}

// kill replaces a manager by one without loaded jobs.
func (p *ownerPair) kill(i int) {
	p.config.read(i)
	jobStore, err := persister.New(&slowStore{MemoryStorer: p.store, delay: p.storeDelay}, timekeeper.Timekeeper{})
	if err != nil {
		panic(err)
	}
	p.tasks[i] = nil
	incarnation := p.nextIncarnation(i)
	next := manager.New(manager.Config{
		Estimator: estimator.New(),
		OnItemEnd: func(fescuebank.TeamID, bool, bool) {},
		Owns: func(fescuebank.TeamID) (fescuebank.FencingNumber, bool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.epochs[i], p.owns[i] && p.incarnations[i] == incarnation
		},
		ConfirmOwner: func(ctx context.Context, _ fescuebank.TeamID) (bool, error) {
			return p.confirmOwner(ctx, i, incarnation)
		},
		TookOver: p.tookOver, Persister: jobStore,
		Table:         func() *fescuebank.RouteTable { return p.config.replica(i).table },
		ConfigAsOf:    func() fescuebank.StoreVersion { return p.config.replica(i).asOf },
		RefreshConfig: func() { p.config.refresh(i) },
		Clock:         timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(), OnItemsAvailable: func() {},
		SendHandover: p.sendHandover, ClosedBudget: p.closedBudget, Self: managerID(i), FormerOwner: func(fescuebank.TeamID) (manager.FormerOwner, bool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			return manager.FormerOwner{ID: managerID(1 - i), ConfirmsChanges: !p.olderBuild[1-i]}, p.formerOwnerAlive
		},
	})
	p.mu.Lock()
	p.managers[i] = next
	p.mu.Unlock()
	// A new incarnation of an instance becomes owner by a newer list.
	p.putList(i)
	p.mu.Lock()
	p.hasMoved = true
	p.mu.Unlock()
	p.setEpoch(i)
}

// putList writes a list of owners that names a manager. None has applied it yet.
func (p *ownerPair) putList(i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
	p.hasMoved = p.listOwner != i
	p.listOwner = i
}

// tookOver reports whether the newest list moved the team to its owner.
func (p *ownerPair) tookOver(fescuebank.TeamID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasMoved
}

// setEpoch makes the newest list the one by which a manager is the owner, if it considers itself one.
func (p *ownerPair) setEpoch(i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epochs[i] = p.epoch
}

// applyList has a manager apply the newest list.
func (p *ownerPair) applyList(i int) {
	isOwner := p.newest() == i
	p.setOwns(i, isOwner)
	if isOwner {
		p.setEpoch(i)
	}
	p.manager(i).UpdateOwnership()
}

// become makes a manager the owner by the newest list, which the other one doesn't know.
func (p *ownerPair) become(i int) {
	p.putList(i)
	p.setOwns(i, true)
	p.setEpoch(i)
	p.manager(i).UpdateOwnership()
}

// nextIncarnation begins an incarnation of a manager.
func (p *ownerPair) nextIncarnation(i int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnations[i]++
	return p.incarnations[i]
}

func (p *ownerPair) incarnation(i int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations[i]
}

// managerID returns the id of the instance of a manager.
func managerID(i int) fescuebank.InstanceID {
	return fescuebank.InstanceID(fmt.Sprintf("owner-%d", i))
}

// setFormerOwnerAlive sets whether the managers know that the team's former owner lives.
func (p *ownerPair) setFormerOwnerAlive(alive bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.formerOwnerAlive = alive
}

func (p *ownerPair) manager(i int) *manager.Manager {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.managers[i]
}

// setOwns sets whether a manager considers itself the team's owner, and returns
// whether it did so before.
func (p *ownerPair) setOwns(i int, owns bool) (was bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was, p.owns[i] = p.owns[i], owns
	return was
}

// confirmOwner reads the newest list from the store, and has a manager apply it if it names the other one.
func (p *ownerPair) confirmOwner(ctx context.Context, i, incarnation int) (bool, error) {
	if p.isOlderBuild(i) {
		return true, nil
	}
	if _, err := p.store.Get(ctx, fescuebank.OwnerListKey); err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
		return false, err
	}
	if p.isListUnreadable() {
		return false, fescuebank.ErrStoreDown
	}
	if p.incarnation(i) != incarnation {
		return false, nil
	}
	if p.newest() == i {
		return true, nil
	}
	p.applyList(i)
	return false, nil
}

func (p *ownerPair) isOlderBuild(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.olderBuild[i]
}

func (p *ownerPair) isListUnreadable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listUnreadable
}

// setListUnreadable sets whether the list of owners can't be read from the store.
func (p *ownerPair) setListUnreadable(unreadable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listUnreadable = unreadable
}

// newest returns the index of the owner by the newest list.
func (p *ownerPair) newest() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listOwner
}

func job(id fescuebank.JobID, items int) *fescuebank.RoutedJob {
	j := &fescuebank.RoutedJob{ID: id, Team: team, Route: route, Host: "h", Path: "/b/x", Submitted: time.Now()}
	for i := range items {
		j.Items = append(j.Items, fescuebank.RoutedItem{ID: fmt.Sprintf("%s-%d", id, i), Target: "/b/x/1", Body: []byte("body"), Tokens: itemTokens})
	}
	return j
}

func (p *ownerPair) submit(i int, id fescuebank.JobID, items int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	err := p.manager(i).Submit(ctx, job(id, items))
	var r *fescuebank.Refusal
	switch {
	case err == nil:
		p.accepted[id] = items
		delete(p.refused, id)
	case errors.As(err, &r) && r.State == fescuebank.NotRun && p.accepted[id] == 0:
		if _, tried := p.refused[id]; !tried {
			p.refused[id] = true
		}
	default:
		p.refused[id] = false // Its outcome is unknown.
	}
}

// read reads all results of a job from a manager and compares them with those seen.
func (p *ownerPair) read(t *rapid.T, i int, id fescuebank.JobID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	page, err := p.manager(i).Read(ctx, team, id, 0, 0)
	var r *fescuebank.Refusal
	if errors.As(err, &r) && r.Status == http.StatusNotFound && p.accepted[id] > 0 {
		t.Fatalf("job %s: got %v after it was accepted, want its results", id, err)
	}
	if err != nil {
		return
	}
	if p.refused[id] {
		t.Fatalf("job %s: got a page of a job that was refused as not run, want an error", id)
	}
	if p.newest() == i && len(page.Results) < len(p.seen[id]) {
		t.Fatalf("job %s: got %d results from the newest owner, want the %d that were read before", id, len(page.Results), len(p.seen[id]))
	}
	for n, got := range page.Results {
		if n < len(p.seen[id]) {
			if want := p.seen[id][n]; got.Item != want.Item || got.Failed != want.Failed || string(got.Output) != string(want.Output) {
				t.Fatalf("job %s, position %d: got %s %q, want %s %q as before", id, n, got.Item, got.Output, want.Item, want.Output)
			}
			continue
		}
		p.seen[id] = append(p.seen[id], got)
	}
	items := make(map[string]bool)
	for _, r := range p.seen[id] {
		if items[r.Item] {
			t.Fatalf("job %s: got item %s at two positions, want one", id, r.Item)
		}
		items[r.Item] = true
	}
}

// TestEachItemOnce checks that each accepted item gets exactly one result and that
// results keep their positions, while two owners act at the same time, restart and lose
// access to the store.
func TestEachItemOnce(t *testing.T) {
	checkInBubbles(t, func(t *rapid.T) {
		p := newOwnerPair()
		defer p.close()
		p.closedBudget = rapid.SampledFrom([]fescuebank.Bytes{0, 1, 3000}).Draw(t, "closedBudget")
		p.restart(0)
		p.restart(1)
		t.Repeat(p.actions())
		p.runToEnd(t)
	})
}

func (p *ownerPair) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "steward") }
	known := func(t *rapid.T) fescuebank.JobID {
		if p.next == 0 {
			p.next++
			p.submit(0, "job0", 4)
		}
		return fescuebank.JobID(fmt.Sprintf("job%d", rapid.IntRange(0, p.next-1).Draw(t, "job")))
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			// Few jobs with many actions on each find more faults than many jobs.
			if p.next < 3 {
				p.next++
				p.submit(pick(t), fescuebank.JobID(fmt.Sprintf("job%d", p.next-1)), rapid.IntRange(1, 4).Draw(t, "items"))
			}
		},
		"resend": func(t *rapid.T) {
			id := known(t)
			if items := p.accepted[id]; items > 0 {
				p.submit(pick(t), id, items)
			}
		},
		"take": func(t *rapid.T) {
			p.take(pick(t))
		},
		"finish": func(t *rapid.T) {
			i := pick(t)
			p.endAttempt(t, i)
		},
		"read": func(t *rapid.T) {
			id := known(t)
			p.read(t, 0, id)
			p.read(t, 1, id)
		},
		"wait":    func(*rapid.T) { time.Sleep(time.Second) },
		"restart": func(t *rapid.T) { p.restart(pick(t)) },
		"own": func(t *rapid.T) {
			i := pick(t)
			p.putList(i)
			p.setOwns(i, rapid.IntRange(0, 3).Draw(t, "owns") > 0)
			p.setEpoch(i)
			p.manager(i).UpdateOwnership()
		},
		"end": func(t *rapid.T) {
			id := known(t)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var r *fescuebank.Refusal
			err := p.manager(pick(t)).End(ctx, team, id)
			if err == nil || (errors.As(err, &r) && r.State == fescuebank.MayHaveRun) {
				p.ended[id] = true
			}
		},
		"former owner": func(t *rapid.T) { p.setFormerOwnerAlive(rapid.Bool().Draw(t, "alive")) },
		"faults": func(t *rapid.T) {
			p.store.SetFaults(memorystorer.Faults{
				Down: rapid.IntRange(0, 5).Draw(t, "down") == 0, LoseReplies: rapid.IntRange(0, 2).Draw(t, "lose") == 0,
			})
		},
	}
}

// sendHandover sends progress to the newest owner.
func (p *ownerPair) sendHandover(h manager.ProgressHandover) {
	encoded, err := cbor.Marshal(h)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	p.largestHandover = max(p.largestHandover, len(encoded))
	p.mu.Unlock()
	// A lost handover only means that the items are generated again.
	_, _ = p.manager(p.newest()).HandleProgressHandover(context.Background(), func(into any) error {
		*into.(*manager.ProgressHandover) = h
		return nil
	})
}

// take makes a manager hand out an item.
func (p *ownerPair) take(i int) {
	if task := p.manager(i).NextTask(func() {}, nil); task != nil {
		p.tasks[i] = append(p.tasks[i], task)
	}
}

// endAttempt ends the oldest attempt of a manager with a drawn outcome.
func (p *ownerPair) endAttempt(t *rapid.T, i int) {
	if len(p.tasks[i]) == 0 {
		p.take(i)
	}
	if len(p.tasks[i]) == 0 {
		return
	}
	task := p.tasks[i][0]
	p.tasks[i] = p.tasks[i][1:]
	switch rapid.IntRange(0, 3).Draw(t, "outcome") {
	case 0:
		p.manager(i).Requeue(task, manager.CauseInterrupted, fescuebank.Progress{Events: 1, Last: "1", Output: []byte("x")})
	case 1:
		p.manager(i).Requeue(task, manager.CausePreempted, task.Progress)
	default:
		// Two attempts at an item may generate different texts.
		p.manager(i).Finish(task, false, []byte(fmt.Sprintf("%s by %d at %d", task.Request.ID, i, time.Now().UnixNano())))
	}
}

// runToEnd restores the store, leaves one owner and runs all items to completion.
func (p *ownerPair) runToEnd(t *rapid.T) {
	p.store.SetFaults(memorystorer.Faults{})
	p.setOwns(0, true)
	p.setOwns(1, false)
	p.manager(1).UpdateOwnership()
	p.restart(0)
	p.manager(0).UpdateOwnership()
	for range 60 {
		time.Sleep(time.Second)
		for {
			task := p.manager(0).NextTask(func() {}, nil)
			if task == nil {
				break
			}
			p.manager(0).Finish(task, false, []byte("at last"))
		}
	}
	for id, items := range p.accepted {
		p.read(t, 0, id)
		if got := len(p.seen[id]); got != items && !p.ended[id] {
			t.Fatalf("job %s: got %d results in the end, want %d", id, got, items)
		}
	}
	for id, notRun := range p.refused {
		if notRun {
			p.read(t, 0, id)
		}
	}
}
