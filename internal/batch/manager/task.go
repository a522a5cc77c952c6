package manager

import (
	"context"
	"errors"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/persister"
)

const (
	// failurePause is the pause after an answer that says that an item failed.
	failurePause = 200 * time.Millisecond
	// breakPause is the pause after an attempt that broke without progress; it
	// doubles with each.
	breakPause = 100 * time.Millisecond
	// maxBreakPause bounds breakPause.
	maxBreakPause = 5 * time.Second
	// suspectBreaks is the number of breaks without progress after which an item
	// may be what ends its endpoints; suspectPause then separates its attempts.
	suspectBreaks = 3
	suspectPause  = 15 * time.Second
)

// Task is one item that is handed out to be run.
type Task struct {
	Request *fescuebank.Request
	// Progress is what earlier attempts generated.
	Progress fescuebank.Progress
	// Due is when the job's results are due.
	Due  time.Time
	job  *job
	item *item
}

// Take hands out the most urgent waiting item, or nil. stop will be called if
// the attempt should end.
func (s *Manager) Take(stop func()) *Task {
	now := s.Clock.Now()
	best := s.mostUrgent(now)
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

// HasWaiting reports whether an item could be handed out now.
func (s *Manager) HasWaiting() bool {
	return s.mostUrgent(s.Clock.Now()) != nil
}

// mostUrgent returns the waiting item whose job is due first. Jobs that are late
// come after those that are not.
func (s *Manager) mostUrgent(now time.Time) *Task {
	var best *Task
	for _, j := range s.openJobs() {
		route := s.route(j.spec)
		if route == nil {
			continue
		}
		due := j.spec.Submitted.Add(route.CompletionObjective)
		if best != nil && !dueBefore(due, best.Due, now) {
			continue
		}
		if it := j.firstWaiting(now); it != nil {
			best = &Task{job: j, item: it, Due: due, Request: s.request(j, it, route, now)}
		}
	}
	return best
}

// dueBefore orders by due time, those that are late last.
func dueBefore(a, b, now time.Time) bool {
	lateA, lateB := a.Before(now), b.Before(now)
	if lateA != lateB {
		return lateB
	}
	return a.Before(b)
}

func (s *Manager) openJobs() []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*job
	for _, a := range s.accounts {
		a.mu.Lock()
		for _, j := range a.jobs {
			if !a.closed && !j.isEnded() && !j.isDone() {
				list = append(list, j)
			}
		}
		a.mu.Unlock()
	}
	return list
}

func (j *job) firstWaiting(now time.Time) *item {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.spec.Items {
		it := j.items[j.spec.Items[i].ID]
		if it.phase == phaseWaiting && !it.notBefore.After(now) {
			return it
		}
	}
	return nil
}

// request shapes an item as a request to an endpoint.
func (s *Manager) request(j *job, it *item, route *fescuebank.Route, now time.Time) *fescuebank.Request {
	h := make(map[string][]string, len(it.spec.Header))
	for name, value := range it.spec.Header {
		h[name] = []string{value}
	}
	j.mu.Lock()
	body := it.spec.Body // A listed item has none any more.
	j.mu.Unlock()
	return &fescuebank.Request{
		ID: fescuebank.RequestID(it.spec.ID), Team: j.spec.Team, Route: route, Service: route.PickService(0),
		Method: "POST", Target: it.spec.Target, Host: j.spec.Host, Header: h, Body: body,
		Arrived: now, Deadline: j.spec.Submitted.Add(route.Retention), Priority: route.Priority,
	}
}

// Finish takes the outcome of an item and commits it with others.
func (s *Manager) Finish(t *Task, failed bool, output []byte) {
	j := t.job
	j.mu.Lock()
	if t.item.phase != phaseRunning {
		j.mu.Unlock()
		return
	}
	t.item.stop = nil
	j.finish(t.item, failed, output, s.Clock.Now())
	start := !j.committing
	j.committing = true
	j.mu.Unlock()
	s.OnItemEnd(j.spec.Team, failed, !s.Clock.Now().After(t.Due))
	if start {
		go s.commit(j)
	}
}

// finish notes an outcome. The caller holds the lock.
func (j *job) finish(it *item, failed bool, output []byte, now time.Time) {
	it.phase = phaseFinished
	it.progress = fescuebank.Progress{}
	if len(j.pending) == 0 {
		j.pendingSince = now
	}
	j.pending = append(j.pending, fescuebank.RoutedResult{Item: it.spec.ID, Failed: failed, Output: output})
}

// Cause says why an attempt ended without an outcome.
type Cause uint8

// The causes.
const (
	// CausePreempted means that the attempt was ended here.
	CausePreempted Cause = iota
	// CauseNotRun means that no endpoint ran the item.
	CauseNotRun
	// CauseInterrupted means that the endpoint or the connection failed.
	CauseInterrupted
	// CauseItemFailed means that the endpoint answered that the item failed.
	CauseItemFailed
)

// Requeue gives an item back with what was generated.
func (s *Manager) Requeue(t *Task, cause Cause, progress fescuebank.Progress) {
	j, it := t.job, t.item
	now := s.Clock.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.phase != phaseRunning {
		return
	}
	advanced := progress.Events > it.progress.Events
	it.phase, it.stop, it.progress = phaseWaiting, nil, progress
	switch cause {
	case CauseItemFailed:
		it.failures++
		it.notBefore = now.Add(failurePause)
	case CauseInterrupted:
		it.breaks++
		if advanced {
			it.breaks = 0
		}
		it.notBefore = now.Add(pauseAfter(it.breaks))
	case CauseNotRun:
		it.notBefore = now.Add(breakPause)
	}
	if cause == CauseItemFailed && it.failures >= t.Request.Route.Attempts {
		j.finish(it, true, nil, now)
		if !j.committing {
			j.committing = true
			go s.commit(j)
		}
	}
}

// pauseAfter returns the pause after a number of breaks without progress.
func pauseAfter(breaks int) time.Duration {
	if breaks >= suspectBreaks {
		return suspectPause
	}
	return min(breakPause<<max(0, breaks), maxBreakPause)
}

// commit writes the pending outcomes of a job until none is left.
func (s *Manager) commit(j *job) {
	s.uncommitted.Add(1)
	defer s.uncommitted.Add(-1)
	ctx := context.Background()
	for {
		s.awaitMore(j)
		batch, segment, goOn := j.nextSegment()
		if !goOn {
			return
		}
		err := s.Persister.PutSegment(ctx, j.spec.ID, segment, persister.Segment{Epoch: j.account.epoch, Results: batch})
		switch {
		case err == nil:
			s.Log.Info("Results committed.", "job", string(j.spec.ID), "segment", segment, "results", len(batch))
			j.take(batch)
		case errors.Is(err, persister.ErrExists):
			s.adopt(ctx, j, segment)
		default:
			s.Log.Warn("Results not committed.", "job", string(j.spec.ID), "segment", segment, "err", err.Error())
			_ = fescuebank.Sleep(ctx, s.Clock, commitRetry)
		}
	}
}

// commitLook is how often a wait for more outcomes looks whether there is hurry.
const commitLook = 100 * time.Millisecond

// awaitMore waits for more outcomes to commit together.
func (s *Manager) awaitMore(j *job) {
	for {
		wait := j.commitWait(s.Clock.Now())
		if wait <= 0 {
			return
		}
		_ = fescuebank.Sleep(context.Background(), s.Clock, min(wait, commitLook))
	}
}

// commitWait returns how long to wait for more outcomes.
func (j *job) commitWait(now time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending)+len(j.results) >= len(j.spec.Items) || j.hurry {
		return 0
	}
	return max(0, j.pendingSince.Add(commitAge).Sub(now))
}

// nextSegment returns the outcomes to commit next, or false if none is left or
// the team has another owner.
func (j *job) nextSegment() (batch []fescuebank.RoutedResult, segment int, ok bool) {
	j.account.mu.Lock()
	closed := j.account.closed
	j.account.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending) == 0 || closed {
		j.pending, j.committing = nil, false
		return nil, 0, false
	}
	return append(batch, LimitToPage(j.pending)...), j.segments, true
}

// adopt takes in a segment that another run wrote.
func (s *Manager) adopt(ctx context.Context, j *job, number int) {
	segment, err := s.Persister.Segment(ctx, j.spec.ID, number)
	switch {
	case err != nil:
		s.Log.Warn("Results of another owner not read.", "job", string(j.spec.ID), "segment", number, "err", err.Error())
		_ = fescuebank.Sleep(ctx, s.Clock, commitRetry)
	case segment.Epoch > j.account.epoch:
		s.forsake(j.account)
	default:
		s.Log.Info("Results of another owner taken in.", "job", string(j.spec.ID), "segment", number, "results", len(segment.Results))
		j.take(segment.Results)
	}
}

// Expire gives up the items that are kept no longer.
func (s *Manager) Expire() {
	now := s.Clock.Now()
	for _, j := range s.openJobs() {
		route := s.route(j.spec)
		if route == nil || route.Retention <= 0 || now.Before(j.spec.Submitted.Add(route.Retention)) {
			continue
		}
		s.expire(j, now)
	}
}

func (s *Manager) expire(j *job, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		if it.phase == phaseWaiting {
			j.finish(it, true, nil, now)
		}
	}
	if len(j.pending) > 0 && !j.committing {
		j.committing = true
		go s.commit(j)
	}
}
