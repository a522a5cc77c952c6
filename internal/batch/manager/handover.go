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
	// Failures is the number of attempts for which endpoints responded that the item failed.
	Failures int `cbor:"5,keyasint,omitempty"`
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

// startedItems returns the progress and the failures of those waiting items that earlier attempts
// have started, unless the job has ended.
func (j *job) startedItems() []ItemProgress {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return nil
	}
	var list []ItemProgress
	for id, it := range j.items {
		if it.phase == phaseWaiting && (it.progress.Events > 0 || it.failures > 0) {
			list = append(list, ItemProgress{Job: j.spec.ID, Item: id, Progress: it.progress, Failures: it.failures})
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
