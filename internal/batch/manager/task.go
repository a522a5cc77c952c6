package manager

import (
	"context"
	"errors"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/persister"
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
	// commitTime is the time allowed for the commit of an outcome before its due time.
	commitTime = 500 * time.Millisecond
	// runTimeMargin is the factor by which an item may take longer than expected.
	runTimeMargin = 1.3
	// routeGoneTime is how long the route of a job may be missing from the configuration before
	// the job's items fail.
	routeGoneTime = 10 * time.Second
)

// Task is an item that has been handed out to be run.
type Task struct {
	Request *fescuebank.Request
	// Progress is the output of earlier attempts with which the attempt starts.
	Progress fescuebank.Progress
	// Due is when the job's results are due, by the route's completion objective.
	Due  time.Time
	job  *job
	item *item
}

// NextTask hands out the most urgent waiting item, or returns nil. The manager calls
// stop if the attempt should end early.
func (m *Manager) NextTask(stop func()) *Task {
	now := m.Clock.Now()
	best := m.mostUrgent(now)
	if best == nil {
		return nil
	}
	j, it := best.job, best.item
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.phase != phaseWaiting || j.ended {
		return nil
	}
	it.phase = phaseRunning
	it.stop = stop
	best.Progress = it.progress
	return best
}

// HasWaiting reports whether an item can be handed out now.
func (m *Manager) HasWaiting() bool {
	return m.mostUrgent(m.Clock.Now()) != nil
}

// mostUrgent returns the waiting item that should run first.
func (m *Manager) mostUrgent(now time.Time) *Task {
	var best *Task
	var bestUrgency urgency
	for _, j := range m.openJobs() {
		route := m.route(j.spec)
		if route == nil {
			continue
		}
		it, events := j.firstWaiting(now)
		if it == nil {
			continue
		}
		u := m.urgency(j, route, events)
		if best == nil || u.before(bestUrgency, now) {
			best, bestUrgency = &Task{job: j, item: it, Due: u.due, Request: m.newRequest(j, it, route, now)}, u
		}
	}
	return best
}

// urgency returns the urgency of an item of a job that has generated some events.
func (m *Manager) urgency(j *job, route *fescuebank.Route, events int) urgency {
	u := urgency{due: j.spec.Submitted.Add(route.CompletionObjective), remaining: m.Estimator.Remaining(route.Name, events)}
	if m.TimeToEnd != nil && u.remaining > 0 {
		u.pauses = max(0, m.TimeToEnd(route.PickService(0), u.remaining)-u.remaining)
	}
	return u
}

// Remaining returns how long a running item that has generated some events is expected to run until its
// outcome is committed, or 0 if nothing is known.
func (m *Manager) Remaining(t *Task, events int) time.Duration {
	run := m.Estimator.Remaining(t.Request.Route.Name, events)
	if run == 0 {
		return 0
	}
	return run + commitTime
}

// urgency orders waiting items.
type urgency struct {
	due time.Time
	// remaining is how long the item is expected to run; 0 if unknown.
	remaining time.Duration
	// pauses is how long it is expected to be interrupted before its end, if it starts now.
	pauses time.Duration
}

// before reports whether an item runs before another one: by due time, those that can't be done
// in time any more last.
func (u urgency) before(other urgency, now time.Time) bool {
	late, otherLate := u.isLate(now), other.isLate(now)
	if late != otherLate {
		return otherLate
	}
	return u.due.Before(other.due)
}

// isLate reports whether the item is not expected to be committed in time, with a margin for an
// attempt that is preempted or slower than others.
func (u urgency) isLate(now time.Time) bool {
	needed := commitTime + time.Duration(runTimeMargin*float64(u.remaining)) + u.pauses
	return u.due.Add(-needed).Before(now)
}

// ObserveAttempt applies the end of an attempt, in which an item generated events up to the
// number progress.Events, to the estimates of run times.
func (m *Manager) ObserveAttempt(t *Task, progress fescuebank.Progress, took time.Duration, completed bool) {
	route := t.Request.Route.Name
	m.Estimator.ObserveAttempt(route, progress.Events-t.Progress.Events, took)
	if completed {
		m.Estimator.ObserveItem(route, progress.Events)
	}
}

func (m *Manager) openJobs() []*job {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*job
	for _, tj := range m.teams {
		tj.mu.Lock()
		for _, j := range tj.jobs {
			if !tj.closed && !j.isEnded() && !j.isDone() {
				list = append(list, j)
			}
		}
		tj.mu.Unlock()
	}
	return list
}

// firstWaiting returns the first item that may run now and the number of events that it has
// generated, or nil.
func (j *job) firstWaiting(now time.Time) (it *item, events int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.spec.Items {
		it := j.items[j.spec.Items[i].ID]
		if it.phase == phaseWaiting && !it.notBefore.After(now) {
			return it, it.progress.Events
		}
	}
	return nil, 0
}

// newRequest converts an item into a request to an endpoint.
func (m *Manager) newRequest(j *job, it *item, route *fescuebank.Route, now time.Time) *fescuebank.Request {
	h := make(map[string][]string, len(it.spec.Header))
	for name, value := range it.spec.Header {
		h[name] = []string{value}
	}
	j.mu.Lock()
	body := it.spec.Body // It is nil once the item's result is committed.
	j.mu.Unlock()
	return &fescuebank.Request{
		ID: fescuebank.RequestID(it.spec.ID), Team: j.spec.Team, Route: route, Service: route.PickService(0),
		Method: "POST", Target: it.spec.Target, Host: j.spec.Host, Header: h, Body: body,
		Arrived: now, Deadline: j.spec.Submitted.Add(route.Retention), Priority: route.Priority,
	}
}

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
	start := !j.committing
	j.committing = true
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
		if !j.committing {
			j.committing = true
			go m.commit(j)
		}
	}
}

// pauseAfter returns the pause after a number of consecutive interruptions.
func pauseAfter(interruptions int) time.Duration {
	return interruptionPause << min(interruptions, maxDoublings)
}

// commit writes the pending outcomes of a job until none is left.
func (m *Manager) commit(j *job) {
	m.uncommitted.Add(1)
	defer m.uncommitted.Add(-1)
	ctx := context.Background()
	for {
		m.awaitMore(j)
		batch, segment, more := j.nextSegment()
		if !more {
			return
		}
		err := m.Persister.PutSegment(ctx, j.spec.ID, segment, persister.Segment{Epoch: j.team.epoch, Results: batch})
		switch {
		case err == nil:
			m.Log.Info("Results committed.", "job", string(j.spec.ID), "segment", segment, "results", len(batch))
			j.applySegment(batch)
		case errors.Is(err, persister.ErrExists):
			m.applyForeignSegment(ctx, j, segment)
		default:
			m.Log.Warn("Results not committed.", "job", string(j.spec.ID), "segment", segment, "err", err.Error())
			_ = fescuebank.Sleep(ctx, m.Clock, commitRetryPause)
		}
	}
}

// commitPollInterval is how often awaitMore checks whether commits are expedited.
const commitPollInterval = 100 * time.Millisecond

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
	route := m.route(j.spec)
	if route == nil {
		return time.Time{}
	}
	return j.spec.Submitted.Add(route.CompletionObjective)
}

// commitWait returns how long to wait for more outcomes, so that those of before the due time are
// committed by then.
func (j *job) commitWait(now, due time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending)+len(j.results) >= len(j.spec.Items) || j.expedited {
		return 0
	}
	until := j.pendingSince.Add(maxCommitDelay)
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
	segment, err := m.Persister.Segment(ctx, j.spec.ID, number)
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

// Expire fails the waiting items of jobs that are past their route's retention, or whose route
// was removed routeGoneTime ago.
func (m *Manager) Expire() {
	now := m.Clock.Now()
	for _, j := range m.openJobs() {
		route := m.route(j.spec)
		if j.isRouteGone(route != nil, now) || isPastRetention(j, route, now) {
			m.expire(j, now)
		}
	}
}

func isPastRetention(j *job, route *fescuebank.Route, now time.Time) bool {
	return route != nil && route.Retention > 0 && !now.Before(j.spec.Submitted.Add(route.Retention))
}

// isRouteGone records whether the configuration has the job's route, and reports whether the route
// was removed at least routeGoneTime ago. A route that this instance has not seen yet may be newer
// than its configuration, and is not gone.
func (j *job) isRouteGone(exists bool, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case exists:
		j.routeSeen, j.routeRemovedAt = true, time.Time{}
		return false
	case !j.routeSeen:
		return false
	case j.routeRemovedAt.IsZero():
		j.routeRemovedAt = now
	}
	return now.Sub(j.routeRemovedAt) >= routeGoneTime
}

func (m *Manager) expire(j *job, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		if it.phase == phaseWaiting {
			j.recordOutcome(it, true, nil, now)
		}
	}
	if len(j.pending) > 0 && !j.committing {
		j.committing = true
		go m.commit(j)
	}
}
