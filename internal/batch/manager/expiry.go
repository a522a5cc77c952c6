package manager

import (
	"time"

	"fescuebank"
)

// routeGoneTime is how long the route of a job may be missing from the configuration before
// the job's items fail.
const routeGoneTime = 10 * time.Second

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
	return route != nil && route.Retention > 0 && j.age(now) >= route.Retention
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
	if len(j.pending) > 0 && j.claimCommit() {
		go m.commit(j)
	}
}
