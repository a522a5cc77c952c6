package manager

import (
	"context"
	"errors"
	"slices"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/persister"
)

const (
	// commitTime is the time allowed for the commit of an outcome before its due time.
	commitTime = 500 * time.Millisecond
	// failureCommitDelay is how long an item that ended as failed waits for others: what is known of its failures is lost with its owner
	// until then, so that endpoints would get it again.
	failureCommitDelay = 100 * time.Millisecond
	// commitPollInterval is how often awaitMore checks whether commits are expedited.
	commitPollInterval = 100 * time.Millisecond
)

// commit writes the pending outcomes of a job until none is left.
func (m *Manager) commit(j *job) {
	m.uncommitted.Add(1)
	defer m.uncommitted.Add(-1)
	ctx := context.Background()
	for {
		m.awaitMore(j)
		batch, segment, more := j.nextSegment()
		if !more {
			j.use(m.Clock.Now())
			go m.afterCommits(j.team)
			return
		}
		stored, err := m.Persister.PutSegment(ctx, j.name, segment, persister.Segment{Epoch: j.team.epoch, Results: batch, Age: j.age(m.Clock.Now())})
		switch {
		case err == nil:
			m.Log.Info("Results committed.", "job", string(j.spec.ID), "segment", segment, "results", stored, "pending", len(batch)-stored)
			j.applySegment(batch[:stored])
		case errors.Is(err, persister.ErrExists):
			m.applyForeignSegment(ctx, j, segment)
		default:
			m.Log.Warn("Results not committed.", "job", string(j.spec.ID), "segment", segment, "err", err.Error())
			_ = fescuebank.Sleep(ctx, m.Clock, commitRetryPause)
		}
	}
}

// afterCommits marks and drops jobs that are done, once no outcome of a job is left to commit.
func (m *Manager) afterCommits(tj *teamJobs) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	m.markDone(ctx, tj, maxUnmarkedDone)
	m.dropClosed()
}

// awaitMore waits for more outcomes that can be committed in the same segment.
func (m *Manager) awaitMore(j *job) {
	for {
		wait := j.commitWait(m.Clock.Now(), m.due(j))
		if wait <= 0 {
			return
		}
		_ = fescuebank.Sleep(context.Background(), m.Clock, min(wait, commitPollInterval))
	}
}

// due returns when the results of a job are due, or a zero time if its route is gone.
func (m *Manager) due(j *job) time.Time {
	route := m.route(j.route)
	if route == nil {
		return time.Time{}
	}
	return j.submitted.Add(route.CompletionObjective)
}

// commitWait returns how long to wait for more outcomes, so that those of before the due time are
// committed by then.
func (j *job) commitWait(now, due time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending)+len(j.results) >= len(j.spec.Items) || j.expedited {
		return 0
	}
	delay := maxCommitDelay
	if slices.ContainsFunc(j.pending, func(r fescuebank.RoutedResult) bool { return r.Failed }) {
		delay = failureCommitDelay
	}
	until := j.pendingSince.Add(delay)
	if latest := due.Add(-commitTime); now.Before(due) && latest.Before(until) {
		until = latest
	}
	return max(0, until.Sub(now))
}

// nextSegment returns the outcomes to commit next and the number of their segment,
// or false if none is left. If this incarnation no longer owns the team it keeps the outcomes for the
// handover.
func (j *job) nextSegment() (batch []fescuebank.RoutedResult, segment int, ok bool) {
	j.team.mu.Lock()
	closed := j.team.closed
	j.team.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending) == 0 || closed {
		j.committing = false
		return nil, 0, false
	}
	return append(batch, LimitToPage(j.pending)...), j.segments, true
}

// applyForeignSegment applies a segment that another incarnation wrote, or
// releases the team if the segment's epoch is newer.
func (m *Manager) applyForeignSegment(ctx context.Context, j *job, number int) {
	segment, err := m.Persister.Segment(ctx, j.name, number)
	switch {
	case err != nil:
		m.Log.Warn("Results of another owner not read.", "job", string(j.spec.ID), "segment", number, "err", err.Error())
		_ = fescuebank.Sleep(ctx, m.Clock, commitRetryPause)
	case segment.Epoch > j.team.epoch:
		m.release(j.team)
	default:
		m.Log.Info("Results of another owner applied.", "job", string(j.spec.ID), "segment", number, "results", len(segment.Results))
		j.applySegment(segment.Results)
	}
}
