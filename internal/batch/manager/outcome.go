package manager

import (
	"time"

	"fescuebank"
)

const (
	// failurePause is the pause after a response that says that the item failed.
	failurePause = 200 * time.Millisecond
	// interruptionPause is the pause after an attempt that no endpoint ran, or that an
	// endpoint or connection failure ended with progress; it doubles with each
	// consecutive interruption without progress, up to maxDoublings times. Crashes of
	// endpoints are no evidence against the item, so they never hold it back longer.
	interruptionPause = 100 * time.Millisecond
	maxDoublings      = 3
)

// Finish records the outcome of an item, to be committed together with others.
func (m *Manager) Finish(t *Task, failed bool, output []byte) {
	j := t.job
	j.mu.Lock()
	if t.item.phase != phaseRunning {
		j.mu.Unlock()
		return
	}
	t.item.stop = nil
	j.recordOutcome(t.item, failed, output, m.Clock.Now())
	start := j.claimCommit()
	j.mu.Unlock()
	m.OnItemEnd(j.spec.Team, failed, !m.Clock.Now().After(t.Due))
	if start {
		go m.commit(j)
	}
}

// recordOutcome adds an outcome to the pending ones. The caller holds mu.
func (j *job) recordOutcome(it *item, failed bool, output []byte, now time.Time) {
	it.phase = phaseFinished
	it.progress = fescuebank.Progress{}
	if len(j.pending) == 0 {
		j.pendingSince = now
	}
	j.pending = append(j.pending, fescuebank.RoutedResult{Item: it.spec.ID, Failed: failed, Output: output})
}

// claimCommit reports whether the caller has to call commit, as no other goroutine does. The caller
// holds mu.
func (j *job) claimCommit() bool {
	if j.committing {
		return false
	}
	j.committing = true
	return true
}

// Cause is why an attempt ended without an outcome.
type Cause uint8

// The causes.
const (
	// CausePreempted means that the slot was needed for online requests, or that no
	// slot was free for the attempt.
	CausePreempted Cause = iota
	// CauseNotRun means that no endpoint ran the item, or that none began to respond in time.
	CauseNotRun
	// CauseInterrupted means that the endpoint or the connection to it failed, or that
	// the attempt was cancelled for another reason than preemption.
	CauseInterrupted
	// CauseItemFailed means that the endpoint responded that the item failed.
	CauseItemFailed
	// CauseSilent means that the endpoint began to respond and then sent nothing for some
	// time, as a sound one may do.
	CauseSilent
)

// Requeue returns an item to the waiting ones together with its progress. An attempt that
// started over and generated nothing leaves the earlier progress. An item that has failed in
// all of its route's attempts ends as failed instead.
func (m *Manager) Requeue(t *Task, cause Cause, progress fescuebank.Progress) {
	j, it := t.job, t.item
	now := m.Clock.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.phase != phaseRunning {
		return
	}
	advanced := progress.Events > t.Progress.Events
	it.phase, it.stop = phaseWaiting, nil
	if progress.Events > 0 {
		it.progress = progress
	}
	switch cause {
	case CauseItemFailed:
		it.failures++
		it.notBefore = now.Add(failurePause)
	case CauseInterrupted:
		it.interruptions++
		if advanced {
			it.interruptions = 0
		}
		it.notBefore = now.Add(pauseAfter(it.interruptions))
	case CauseNotRun, CauseSilent:
		it.notBefore = now.Add(interruptionPause)
	}
	if cause == CauseItemFailed && it.failures >= t.Request.Route.Attempts {
		j.recordOutcome(it, true, nil, now)
		if j.claimCommit() {
			go m.commit(j)
		}
	}
}

// pauseAfter returns the pause after a number of consecutive interruptions.
func pauseAfter(interruptions int) time.Duration {
	return interruptionPause << min(interruptions, maxDoublings)
}
