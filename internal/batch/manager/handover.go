package manager

import (
	"context"
	"maps"
	"slices"
	"time"

	"fescuebank"
)

const (
	// attemptStopWait is how long running attempts have to end after they are
	// cancelled, so that their progress is part of the handover.
	attemptStopWait = 500 * time.Millisecond
	// attemptPollInterval is how often it is checked whether they have ended.
	attemptPollInterval = 10 * time.Millisecond
	// handoverWait is how long the items of a loaded job wait if no handover is expected: the
	// former owner may send one all the same.
	handoverWait = 250 * time.Millisecond
	// maxHandoverWait is how long they wait for the handover of a former owner that is alive.
	// It may apply the list of owners later than the next one.
	maxHandoverWait = 2 * time.Second
	// maxHandoverBytes bounds the outputs in one message of a handover.
	maxHandoverBytes = 1 << 20
)

// ItemProgress is the progress of one item at the former owner.
type ItemProgress struct {
	Job      fescuebank.JobID    `cbor:"1,keyasint"`
	Item     string              `cbor:"2,keyasint"`
	Progress fescuebank.Progress `cbor:"3,keyasint"`
	// Outcome is set for an item that ended at the former owner but whose result isn't committed.
	Outcome *ItemOutcome `cbor:"4,keyasint,omitempty"`
}

// ItemOutcome is how an item ended.
type ItemOutcome struct {
	Failed bool   `cbor:"1,keyasint,omitempty"`
	Output []byte `cbor:"2,keyasint,omitempty"`
}

// ProgressHandover is sent by a team's former owner to its next owner, so that
// started items continue instead of starting over. It is sent also if none has progress, so that
// the next owner doesn't wait.
type ProgressHandover struct {
	Team  fescuebank.TeamID `cbor:"1,keyasint"`
	Items []ItemProgress    `cbor:"2,keyasint"`
	// From is the former owner; empty if its version doesn't send it.
	From fescuebank.InstanceID `cbor:"3,keyasint,omitempty"`
	// Ages holds, for each open job, a time for which it has existed at least.
	Ages map[fescuebank.JobID]time.Duration `cbor:"5,keyasint,omitempty"`
	// More is set if another message with more items follows.
	More bool `cbor:"4,keyasint,omitempty"`
}

// handOver sends the progress of started items without a result to the team's
// next owner, once their attempts have ended. The caller has counted it in handovers.
func (m *Manager) handOver(tj *teamJobs) {
	defer m.handovers.Add(-1)
	m.awaitAttempts(tj)
	h := ProgressHandover{Team: tj.team, From: m.Self, Ages: make(map[fescuebank.JobID]time.Duration)}
	for _, j := range tj.list() {
		if j.isEnded() || j.isDone() {
			continue
		}
		h.Ages[j.spec.ID] = j.age(m.Clock.Now())
		h.Items = append(h.Items, j.startedItems()...)
		h.Items = append(h.Items, j.uncommittedItems()...)
	}
	if len(h.Ages) > 0 || !tj.isLoaded() {
		m.sendParts(h)
	}
}

// sendParts sends a handover in as many messages as it needs.
func (m *Manager) sendParts(h ProgressHandover) {
	for rest := h.Items; ; {
		count := leadingItems(rest)
		h.Items, rest = rest[:count], rest[count:]
		h.More = len(rest) > 0
		m.SendHandover(h)
		if !h.More {
			return
		}
	}
}

// leadingItems returns how many of the items fit in one message, at least one if there is any.
func leadingItems(items []ItemProgress) int {
	size := 0
	for i, p := range items {
		size += len(p.Progress.Output)
		if p.Outcome != nil {
			size += len(p.Outcome.Output)
		}
		if size > maxHandoverBytes && i > 0 {
			return i
		}
	}
	return len(items)
}

// IsHandingOver reports whether progress is being sent to a next owner.
func (m *Manager) IsHandingOver() bool {
	return m.handovers.Load() > 0
}

// awaitAttempts waits until the cancelled attempts of a team's items have ended, for up to
// attemptStopWait.
func (m *Manager) awaitAttempts(tj *teamJobs) {
	for until := m.Clock.Now().Add(attemptStopWait); tj.hasRunning() && m.Clock.Now().Before(until); {
		_ = fescuebank.Sleep(context.Background(), m.Clock, attemptPollInterval)
	}
}

// list returns the team's jobs.
func (tj *teamJobs) list() []*job {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	return slices.Collect(maps.Values(tj.jobs))
}

// hasRunning reports whether an attempt at one of the team's items is in progress.
func (tj *teamJobs) hasRunning() bool {
	return slices.ContainsFunc(tj.list(), (*job).hasRunning)
}

func (j *job) hasRunning() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		if it.phase == phaseRunning {
			return true
		}
	}
	return false
}

// expectHandover makes the items of the jobs that are loaded next wait for the progress from the
// team's former owner: long if it is alive.
func (m *Manager) expectHandover(tj *teamJobs) {
	wait := handoverWait
	var from fescuebank.InstanceID
	if m.FormerOwner != nil && m.TookOver(tj.team) {
		if id, alive := m.FormerOwner(tj.team); alive {
			wait, from = maxHandoverWait, id
		}
	}
	tj.mu.Lock()
	defer tj.mu.Unlock()
	tj.expectedFrom, tj.expectedUntil = from, m.Clock.Now().Add(wait)
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
}

// startedItems returns the progress of those waiting items that earlier attempts
// have started, unless the job has ended.
func (j *job) startedItems() []ItemProgress {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return nil
	}
	var list []ItemProgress
	for id, it := range j.items {
		if it.phase == phaseWaiting && it.progress.Events > 0 {
			list = append(list, ItemProgress{Job: j.spec.ID, Item: id, Progress: it.progress})
		}
	}
	return list
}

// uncommittedItems returns the outcomes that are not committed, unless the job has ended.
func (j *job) uncommittedItems() []ItemProgress {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return nil
	}
	list := make([]ItemProgress, 0, len(j.pending))
	for _, r := range j.pending {
		list = append(list, ItemProgress{Job: j.spec.ID, Item: r.Item, Outcome: &ItemOutcome{Failed: r.Failed, Output: r.Output}})
	}
	return list
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
// lets it start at once. It reports whether it did.
func (j *job) applyProgress(p ItemProgress) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	it := j.items[p.Item]
	if it == nil || it.phase != phaseWaiting || it.progress.Events >= p.Progress.Events {
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
