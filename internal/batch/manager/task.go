package manager

import (
	"net/http"
	"time"

	"fescuebank"
)

// Task is an item that has been handed out to be run.
type Task struct {
	Request *fescuebank.Request
	// Progress is the output of earlier attempts with which the attempt starts.
	Progress fescuebank.Progress
	// Due is when the job's results are due, by the route's completion objective.
	Due time.Time
	// MaxEvents is the number of events that the item allows, 0 if it states none: each holds a token at least.
	MaxEvents int
	job       *job
	item      *item
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
		route := m.route(j.route)
		if route == nil {
			continue
		}
		it, events := j.firstWaiting(now)
		if it == nil {
			continue
		}
		u := m.urgency(j, route, events)
		if best == nil || u.before(bestUrgency, now) {
			best, bestUrgency = &Task{job: j, item: it, Due: u.due, MaxEvents: int(it.spec.Tokens), Request: m.newRequest(j, it, route, now)}, u
		}
	}
	return best
}

// openJobs returns the jobs of owned teams that have neither ended nor all their results.
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
	h := make(http.Header, len(it.spec.Header))
	for name, value := range it.spec.Header {
		h.Add(name, value)
	}
	j.mu.Lock()
	body := it.spec.Body // It is nil once the item's result is committed.
	retainedUntil := j.existsSince.Add(route.Retention)
	j.mu.Unlock()
	return &fescuebank.Request{
		ID: fescuebank.RequestID(it.spec.ID), Team: j.spec.Team, Route: route, Service: route.PickService(0),
		Method: "POST", Target: it.spec.Target, Host: j.spec.Host, Header: h, Body: body,
		Arrived: now, Deadline: retainedUntil, Priority: route.Priority,
	}
}
