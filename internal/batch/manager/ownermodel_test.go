package manager_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/standin/memorystorer"
)

const (
	// modelCallTime bounds a call of the model's callers.
	modelCallTime = 2 * time.Second
	// runTime is how long an item runs.
	runTime = 5 * time.Second
	// settleTime is how long the owners have to take up all jobs once nothing changes any more.
	settleTime = 6 * time.Second
)

// ownerModel is two owners that apply each list of owners late, up to a second, and callers that may call either of them.
type ownerModel struct {
	*ownerPair
	calls sync.WaitGroup
	// mu guards what follows, which the callers' goroutines write.
	mu sync.Mutex
	// items is the number of items of each job. accepted and endedAt hold the jobs whose submission or end was acknowledged, endAsked
	// those whose end was asked for.
	items    map[fescuebank.JobID]int
	accepted map[fescuebank.JobID]bool
	endAsked map[fescuebank.JobID]bool
	endedAt  map[fescuebank.JobID]time.Time
	attempts []*modelAttempt
}

// modelAttempt is an attempt at an item.
type modelAttempt struct {
	owner   int
	task    *manager.Task
	job     fescuebank.JobID
	began   time.Time
	stopped atomic.Bool
}

// TestOwnersKeepWhatTheyAcknowledge guards against items that run after the end of their job was acknowledged, and against accepted jobs that
// never run, while the team moves between owners that learn of it late, that are killed, and whose store is slow, down or loses replies.
func TestOwnersKeepWhatTheyAcknowledge(t *testing.T) {
	checkInBubbles(t, func(t *rapid.T) {
		m := &ownerModel{
			ownerPair: newOwnerPair(), items: make(map[fescuebank.JobID]int), accepted: make(map[fescuebank.JobID]bool),
			endAsked: make(map[fescuebank.JobID]bool), endedAt: make(map[fescuebank.JobID]time.Time),
		}
		defer m.close()
		t.Repeat(m.actions())
		m.settle(t)
	})
}

func (m *ownerModel) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "owner") }
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) { m.submitJob(pick(t), m.drawJob(t)) },
		"end":    func(t *rapid.T) { m.endJob(pick(t), m.drawJob(t)) },
		"list":   func(t *rapid.T) { m.changeList(pick(t)) },
		"apply":  func(t *rapid.T) { m.applyList(pick(t)) },
		"take":   func(t *rapid.T) { m.takeItem(t, pick(t)) },
		"kill":   func(t *rapid.T) { m.killOwner(pick(t)) },
		"moment": func(t *rapid.T) { m.pass(t, 40*time.Millisecond) },
		"wait": func(t *rapid.T) {
			m.pass(t, time.Second)
			m.applyList(0)
			m.applyList(1)
		},
		"former owner": func(t *rapid.T) { m.setFormerOwnerAlive(rapid.Bool().Draw(t, "alive")) },
		"store": func(t *rapid.T) {
			m.setStoreDelay(rapid.SampledFrom([]time.Duration{0, 0, 3 * time.Millisecond, 100 * time.Millisecond}).Draw(t, "delay"))
			m.store.SetFaults(memorystorer.Faults{
				Down: rapid.IntRange(0, 7).Draw(t, "down") == 0, LoseReplies: rapid.IntRange(0, 3).Draw(t, "lose") == 0,
			})
		},
	}
}

// drawJob returns a job that was submitted or, as long as there are few, a new one.
func (m *ownerModel) drawJob(t *rapid.T) fescuebank.JobID {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := fescuebank.JobID(fmt.Sprintf("job%d", rapid.IntRange(0, 2).Draw(t, "job")))
	if m.items[id] == 0 {
		m.items[id] = rapid.IntRange(1, 2).Draw(t, "items")
	}
	return id
}

// submitJob has a caller submit a job to a manager.
func (m *ownerModel) submitJob(i int, id fescuebank.JobID) {
	m.mu.Lock()
	spec := job(id, m.items[id])
	m.mu.Unlock()
	spec.Submitted = time.Time{} // It is the same at each call.
	m.call(func(ctx context.Context) {
		if m.manager(i).Submit(ctx, spec) == nil {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.accepted[id] = true
		}
	})
}

// endJob has a caller end a job at a manager.
func (m *ownerModel) endJob(i int, id fescuebank.JobID) {
	m.mu.Lock()
	m.endAsked[id] = true
	m.mu.Unlock()
	m.call(func(ctx context.Context) {
		if m.manager(i).End(ctx, team, id) != nil {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.endedAt[id].IsZero() {
			m.endedAt[id] = time.Now()
		}
	})
}

// call makes a call beside the actions that follow.
func (m *ownerModel) call(do func(context.Context)) {
	m.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), modelCallTime)
		defer cancel()
		do(ctx)
	})
	synctest.Wait()
}

// changeList writes a list that names a manager. One that is named by two lists in a row has applied the first of them.
func (m *ownerModel) changeList(i int) {
	if m.newest() != i || m.hasApplied(i) {
		m.putList(i)
	}
}

// hasApplied reports whether a manager has applied the newest list.
func (p *ownerPair) hasApplied(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owns[i] && p.epochs[i] == p.epoch
}

// killOwner kills a manager with its attempts.
func (m *ownerModel) killOwner(i int) {
	m.kill(i)
	m.setOwns(i, true)
	kept := m.attempts[:0]
	for _, a := range m.attempts {
		if a.owner != i {
			kept = append(kept, a)
		}
	}
	m.attempts = kept
}

// takeItem has a manager hand out an item.
func (m *ownerModel) takeItem(t *rapid.T, i int) {
	a := &modelAttempt{owner: i, began: time.Now()}
	a.task = m.manager(i).NextTask(func() { a.stopped.Store(true) }, nil)
	if a.task == nil {
		return
	}
	name, _, _ := strings.Cut(string(a.task.Request.ID), "-")
	a.job = fescuebank.JobID(name)
	m.attempts = append(m.attempts, a)
	m.judge(t)
}

// pass lets time pass, in which attempts end.
func (m *ownerModel) pass(t *rapid.T, d time.Duration) {
	time.Sleep(d)
	kept := m.attempts[:0]
	for _, a := range m.attempts {
		switch {
		case a.stopped.Load():
			m.manager(a.owner).Requeue(a.task, manager.CausePreempted, a.task.Progress)
		case time.Since(a.began) >= runTime:
			m.manager(a.owner).Finish(a.task, false, []byte("text"))
		default:
			kept = append(kept, a)
		}
	}
	m.attempts = kept
	m.judge(t)
}

// judge checks that no attempt runs too late after the end of its job was acknowledged.
func (m *ownerModel) judge(t *rapid.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.attempts {
		endedAt, isEnded := m.endedAt[a.job]
		if isEnded && !a.stopped.Load() && time.Since(endedAt) > cancelTime {
			t.Fatalf("item %s: got an attempt at owner %d %v after the end of its job was acknowledged, want none", a.task.Request.ID, a.owner, time.Since(endedAt))
		}
	}
}

// settle ends the faults and checks that the newest owner runs all accepted jobs.
func (m *ownerModel) settle(t *rapid.T) {
	m.store.SetFaults(memorystorer.Faults{})
	m.setStoreDelay(0)
	m.applyList(0)
	m.applyList(1)
	m.calls.Wait()
	owner := m.newest()
	for range int((settleTime + 4*runTime) / time.Second) {
		m.pass(t, time.Second)
		for n := -1; n < len(m.attempts); {
			n = len(m.attempts)
			m.takeItem(t, owner)
		}
	}
	for id := range m.accepted {
		page, err := m.manager(owner).Read(context.Background(), team, id, 0, 0)
		if err != nil || (len(page.Results) != m.items[id] && !m.endAsked[id]) {
			t.Fatalf("job %s: got %+v, error %v, in the end, want %d results", id, page, err, m.items[id])
		}
	}
}

// close ends the calls and what goes on in the managers.
func (m *ownerModel) close() {
	m.store.SetFaults(memorystorer.Faults{})
	m.setStoreDelay(0)
	m.calls.Wait()
	m.ownerPair.close()
}
