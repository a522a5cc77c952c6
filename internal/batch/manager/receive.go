package manager

import (
	"context"
	"errors"
	"time"

	"fescuebank"
)

const (
	// handoverWait is how long the items of a loaded job wait if no handover is expected: the
	// former owner may send one all the same.
	handoverWait = 250 * time.Millisecond
	// maxHandoverWait is how long they wait for the handover of a former owner that is alive.
	// It may apply the list of owners later than the next one.
	maxHandoverWait = 2 * time.Second
)

// expectHandover makes the items of the jobs that are loaded next wait for the progress from the
// team's former owner: long if it is alive. If it may have acknowledged changes after the ledger is read here, the ledger is read again.
func (m *Manager) expectHandover(tj *teamJobs) {
	wait := handoverWait
	var from fescuebank.InstanceID
	if m.FormerOwner != nil && m.TookOver(tj.team) {
		if former, alive := m.FormerOwner(tj.team); alive {
			wait, from = maxHandoverWait, former.ID
			if !former.ConfirmsChanges {
				go m.readAfterHandover(tj)
			}
		}
	}
	tj.mu.Lock()
	defer tj.mu.Unlock()
	tj.expectedFrom, tj.expectedUntil = from, m.Clock.Now().Add(wait)
}

// readAfterHandover reads the ledger of a team once its former owner has handed over, or had the time to.
func (m *Manager) readAfterHandover(tj *teamJobs) {
	select {
	case <-tj.handedOver:
	case <-m.Clock.After(maxHandoverWait):
	}
	for !tj.isClosed() {
		err := m.readAgain(tj)
		if err == nil || errors.Is(err, fescuebank.ErrNotOwner) {
			return
		}
		m.Log.Warn("Ledger not read.", "team", string(tj.team), "err", err.Error())
		_ = fescuebank.Sleep(context.Background(), m.Clock, storeRetryAfter)
	}
}

// readAgain reads the ledger of a team, and the jobs in it that are not loaded yet.
func (m *Manager) readAgain(tj *teamJobs) error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	if err := tj.lockLedger(ctx); err != nil {
		return err
	}
	defer tj.unlockLedger()
	return m.refresh(ctx, tj)
}

// itemsDelayedUntil returns when the items of a job that is loaded now may start without a handover.
func (tj *teamJobs) itemsDelayedUntil(now time.Time) time.Time {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	return fescuebank.Latest(tj.expectedUntil, now.Add(handoverWait))
}

// endHandoverWait lets all items start that wait for a handover, if it is from the owner from which
// one is expected.
func (tj *teamJobs) endHandoverWait(from fescuebank.InstanceID) {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	if tj.expectedFrom == "" || (from != "" && from != tj.expectedFrom) {
		return
	}
	for _, j := range tj.jobs {
		j.endDelay(tj.expectedUntil)
	}
	tj.expectedFrom, tj.expectedUntil = "", time.Time{}
	close(tj.handedOver)
}

// HandleProgressHandover applies the progress that a former owner sent.
func (m *Manager) HandleProgressHandover(ctx context.Context, decode func(into any) error) (any, error) {
	var h ProgressHandover
	if err := decode(&h); err != nil {
		return nil, err
	}
	if err := m.ReceiveHandover(ctx, &h); err != nil {
		return nil, err
	}
	return &struct{}{}, nil
}

// ReceiveHandover applies the progress that a former owner, or this instance before it owned the team
// again, has of a team's items.
func (m *Manager) ReceiveHandover(ctx context.Context, h *ProgressHandover) error {
	tj, err := m.teamJobs(ctx, h.Team)
	if err != nil {
		return err
	}
	applied, now := 0, m.Clock.Now()
	tj.mu.Lock()
	for id, age := range h.Ages {
		if j := tj.jobs[id]; j != nil {
			j.recordAge(age, now)
		}
	}
	for _, p := range h.Items {
		if j := tj.jobs[p.Job]; j != nil && m.applyHandover(j, p) {
			applied++
		}
	}
	tj.mu.Unlock()
	if !h.More {
		tj.endHandoverWait(h.From)
	}
	m.Log.Info("Progress received from the former owner.", "team", string(h.Team), "items", len(h.Items), "taken", applied)
	m.OnItemsAvailable()
	return nil
}

// applyHandover applies what a former owner sent of an item. It reports whether the item had less.
func (m *Manager) applyHandover(j *job, p ItemProgress) bool {
	if p.Outcome == nil {
		return j.applyProgress(p)
	}
	applied, start := j.applyOutcome(p.Item, p.Outcome, m.Clock.Now())
	if start {
		go m.commit(j)
	}
	return applied
}

// applyOutcome records the outcome of an item that has none here. start is set if the caller has to
// commit it.
func (j *job) applyOutcome(id string, outcome *ItemOutcome, now time.Time) (applied, start bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	it := j.items[id]
	if it == nil || (it.phase != phaseWaiting && it.phase != phaseRunning) {
		return false, false
	}
	if it.stop != nil {
		it.stop()
		it.stop = nil
	}
	j.recordOutcome(it, outcome.Failed, outcome.Output, now)
	return true, j.claimCommit()
}

// applyProgress updates a waiting item if the handover has more of its output, and
// lets it start at once. It reports whether it did. The failures at the former owner count, too.
func (j *job) applyProgress(p ItemProgress) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	it := j.items[p.Item]
	if it == nil {
		return false
	}
	it.failures = max(it.failures, p.Failures)
	if it.phase != phaseWaiting || it.progress.Events >= p.Progress.Events {
		return false
	}
	it.progress = p.Progress
	it.notBefore = time.Time{}
	return true
}

// delayItems keeps the items of a loaded job from starting until the former owner
// has had time to send their progress.
func (j *job) delayItems(until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		it.notBefore = until
	}
}

// endDelay lets those items start that were delayed until a time.
func (j *job) endDelay(until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		if it.notBefore.Equal(until) {
			it.notBefore = time.Time{}
		}
	}
}
