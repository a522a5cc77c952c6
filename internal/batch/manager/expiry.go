package manager

import (
	"time"

	"fescuebank"
)

// routeGoneTime is how long the route of a job may be missing from the configuration before
// the job's items fail.
const routeGoneTime = 10 * time.Second

// configRefreshPause is the minimum time between two calls of RefreshConfig.
const configRefreshPause = time.Second

// Expire fails the waiting items of jobs that are past their route's retention, or whose route
// was removed routeGoneTime ago. Only a configuration that is current up to a job's acceptance decides over it.
func (m *Manager) Expire() {
	now := m.Clock.Now()
	asOf := m.ConfigAsOf()
	isBehind := false
	for _, j := range m.openJobs() {
		route := m.route(j.route)
		isCurrent := asOf >= j.listedAt
		isGone := j.isRouteGone(route != nil, isCurrent, now)
		isPast := isPastRetention(j, route, now)
		switch {
		case !isCurrent:
			isBehind = isBehind || isPast || route == nil
		case isGone || isPast:
			m.expire(j, isGone, now)
		}
	}
	if isBehind {
		m.refreshConfig(now)
	}
}

// refreshConfig reads the configuration again, as one that is older than a job can't tell whether the job's route was removed, nor its
// retention.
func (m *Manager) refreshConfig(now time.Time) {
	m.mu.Lock()
	isDue := now.Sub(m.refreshedAt) >= configRefreshPause
	if isDue {
		m.refreshedAt = now
	}
	m.mu.Unlock()
	if isDue {
		m.RefreshConfig()
	}
}

func isPastRetention(j *job, route *fescuebank.Route, now time.Time) bool {
	return route != nil && route.Retention > 0 && j.age(now) >= route.Retention
}

// isRouteGone records whether the configuration has the job's route, and reports whether the route
// was removed at least routeGoneTime ago. A configuration that isn't current up to the job's acceptance may
// only lack a route that is newer, which is not gone.
func (j *job) isRouteGone(exists, isCurrent bool, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case exists:
		j.routeRemovedAt = time.Time{}
		return false
	case !isCurrent:
		return false
	case j.routeRemovedAt.IsZero():
		j.routeRemovedAt = now
	}
	return now.Sub(j.routeRemovedAt) >= routeGoneTime
}

// expire fails the waiting items of a job, because its route is gone or its retention is over.
func (m *Manager) expire(j *job, isRouteGone bool, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for _, it := range j.items {
		if it.phase == phaseWaiting {
			j.recordOutcome(it, true, nil, now)
			count++
		}
	}
	if count > 0 {
		m.Log.Info("Items given up.", "job", string(j.spec.ID), "team", string(j.spec.Team), "items", count, "routeRemoved", isRouteGone)
	}
	if len(j.pending) > 0 && j.claimCommit() {
		go m.commit(j)
	}
}
