package manager

import (
	"context"
	"slices"
	"time"

	"fescuebank"
)

const (
	// useTime is how long a job that is done or ended stays in memory after it was last asked for, if others can be
	// dropped instead.
	useTime = 10 * time.Second
	// itemOverhead is the memory of an item besides its body and its output.
	itemOverhead fescuebank.Bytes = 512
)

// closedJob is a loaded job that is done or ended.
type closedJob struct {
	job      *job
	size     fescuebank.Bytes
	lastUsed time.Time
	// isMarked is set if the ledger says that the job is done or ended, so that it is only loaded for a caller.
	isMarked bool
}

// dropClosed drops jobs that are done or ended from memory until the others are within ClosedBudget or one is left, those first
// that were asked for least recently. One stays so that the pages of a job larger than the budget don't each load all of it.
func (m *Manager) dropClosed() {
	if m.ClosedBudget == 0 {
		return
	}
	m.dropLock <- struct{}{}
	defer func() { <-m.dropLock }()
	if m.dropUnused(m.Clock.Now().Add(-useTime)) {
		return
	}
	m.markAllDone()
	m.dropUnused(m.Clock.Now())
}

// dropUnused drops marked jobs that were last used at a time or earlier, except for the last, and reports whether the others are
// within the budget.
func (m *Manager) dropUnused(until time.Time) bool {
	jobs := m.closedJobs()
	var sum fescuebank.Bytes
	for _, c := range jobs {
		sum += c.size
	}
	slices.SortFunc(jobs, func(a, b closedJob) int { return a.lastUsed.Compare(b.lastUsed) })
	for _, c := range jobs[:max(0, len(jobs)-1)] {
		if sum <= m.ClosedBudget || c.lastUsed.After(until) {
			break
		}
		if c.isMarked && c.job.drop() {
			sum -= c.size
			m.dropped.Add(1)
		}
	}
	return sum <= m.ClosedBudget
}

// closedJobs returns the loaded jobs that are done or ended.
func (m *Manager) closedJobs() []closedJob {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []closedJob
	for _, tj := range m.teams {
		list = append(list, tj.closedJobs()...)
	}
	return list
}

func (tj *teamJobs) closedJobs() []closedJob {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	marked := make(map[fescuebank.JobID]bool)
	for _, e := range tj.ledger.Jobs {
		marked[e.Job] = !e.IsOpen()
	}
	var list []closedJob
	for id, j := range tj.jobs {
		if c, closed := j.asClosed(); closed {
			c.isMarked = marked[id]
			list = append(list, c)
		}
	}
	return list
}

// asClosed returns the job as a closed one, or false if it is open.
func (j *job) asClosed() (closedJob, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return closedJob{job: j, size: j.size(), lastUsed: j.lastUsed}, j.isClosed()
}

// isClosed reports whether the job is done or ended. The caller holds mu.
func (j *job) isClosed() bool {
	return j.ended || len(j.results) >= len(j.spec.Items)
}

// size returns the memory that the job takes. The caller holds mu.
func (j *job) size() fescuebank.Bytes {
	return j.bodyBytes + j.outputBytes + itemOverhead*fescuebank.Bytes(len(j.spec.Items))
}

// drop removes a closed job from those of its team, unless an attempt or a commit still refers to it. It reports whether it did.
func (j *job) drop() bool {
	j.team.mu.Lock()
	defer j.team.mu.Unlock()
	if j.team.jobs[j.spec.ID] != j || j.isInUse() {
		return false
	}
	delete(j.team.jobs, j.spec.ID)
	return true
}

// isInUse reports whether an outcome of the job may still be recorded or committed.
func (j *job) isInUse() bool {
	if j.hasRunning() {
		return true
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.committing || len(j.pending) > 0
}

// use records that a caller has asked for the job, or that it has just ended.
func (j *job) use(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastUsed = now
}

// markAllDone writes the ledgers that list done jobs as open.
func (m *Manager) markAllDone() {
	for _, tj := range m.ownedTeams() {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		m.markDone(ctx, tj, 1)
		cancel()
	}
}

// ownedTeams returns the teams whose jobs this incarnation holds.
func (m *Manager) ownedTeams() []*teamJobs {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*teamJobs
	for _, tj := range m.teams {
		list = append(list, tj)
	}
	return list
}
