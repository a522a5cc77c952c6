package manager

import (
	"time"

	"fescuebank"
)

// runTimeMargin is the factor by which an item may take longer than expected.
const runTimeMargin = 1.3

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

// urgency returns the urgency of an item.
func (m *Manager) urgency(c candidate) urgency {
	u := urgency{due: c.job.submitted.Add(c.route.CompletionObjective), remaining: m.Estimator.Remaining(c.route.Name, c.events)}
	if m.TimeToEnd != nil && u.remaining > 0 {
		u.pauses = max(0, m.TimeToEnd(c.service, u.remaining)-u.remaining)
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

// ObserveAttempt applies the end of an attempt, in which an item generated events up to the
// number progress.Events, to the estimates of run times.
func (m *Manager) ObserveAttempt(t *Task, progress fescuebank.Progress, took time.Duration, completed bool) {
	route := t.Request.Route.Name
	m.Estimator.ObserveAttempt(route, progress.Events-t.Progress.Events, took)
	if completed {
		m.Estimator.ObserveItem(route, progress.Events)
	}
}
