package manager

import (
	"net/http"
	"slices"
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

// NextTask hands out the most urgent of the waiting items whose service has room, or returns nil. An item whose service has none
// holds up no item of another service. hasRoom is asked only for services for which items wait; nil means that all have room. The manager
// calls stop if the attempt should end early.
func (m *Manager) NextTask(stop func(), hasRoom func(fescuebank.ServiceName) bool) *Task {
	if hasRoom == nil {
		hasRoom = anyService
	}
	now := m.Clock.Now()
	best := m.mostUrgent(now, hasRoom)
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
	return m.mostUrgent(m.Clock.Now(), anyService) != nil
}

// anyService is a condition that holds for all services.
func anyService(fescuebank.ServiceName) bool { return true }

// mostUrgent returns the waiting item that should run first among those whose service has room.
func (m *Manager) mostUrgent(now time.Time, hasRoom func(fescuebank.ServiceName) bool) *Task {
	var best candidate
	for _, j := range m.openJobs() {
		route := m.route(j.route)
		if route == nil {
			continue
		}
		c, ok := j.firstWaiting(now, route, hasRoom)
		if !ok {
			continue
		}
		c.urgency = m.urgency(c)
		if best.item == nil || c.urgency.before(best.urgency, now) {
			best = c
		}
	}
	if best.item == nil {
		return nil
	}
	return m.newTask(best, now)
}

// candidate is a waiting item that may run next.
type candidate struct {
	job   *job
	route *fescuebank.Route
	item  *item
	// service is the one of the route's services that the item goes to.
	service fescuebank.ServiceName
	// events is the number of events that the item has generated.
	events  int
	urgency urgency
}

// newTask returns the task to run an item.
func (m *Manager) newTask(c candidate, now time.Time) *Task {
	return &Task{
		job: c.job, item: c.item, Due: c.urgency.due, MaxEvents: int(c.item.spec.Tokens), Request: m.newRequest(c, now),
	}
}

// openJobs returns the jobs of owned teams that have neither ended nor all their results.
func (m *Manager) openJobs() []*job {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*job
	for _, tj := range m.teams {
		tj.mu.Lock()
		for _, j := range tj.jobs {
			if !tj.closed && j.isOpen() {
				list = append(list, j)
			}
		}
		tj.mu.Unlock()
	}
	return list
}

// firstWaiting returns the first item that may run now and whose service has room, without its urgency. ok is false if there is none.
func (j *job) firstWaiting(now time.Time, route *fescuebank.Route, hasRoom func(fescuebank.ServiceName) bool) (c candidate, ok bool) {
	c, ok = j.firstWaitingAt(now, route, anyService)
	if !ok || hasRoom(c.service) {
		return c, ok
	}
	var others []fescuebank.ServiceName
	for _, s := range route.Shares {
		if s.Service != c.service && hasRoom(s.Service) {
			others = append(others, s.Service)
		}
	}
	if len(others) == 0 {
		return candidate{}, false
	}
	return j.firstWaitingAt(now, route, func(s fescuebank.ServiceName) bool { return slices.Contains(others, s) })
}

// firstWaitingAt returns the first item that may run now at a service that is suitable. The lock is held when isSuitable is called.
func (j *job) firstWaitingAt(now time.Time, route *fescuebank.Route, isSuitable func(fescuebank.ServiceName) bool) (c candidate, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.ordered {
		if it.phase != phaseWaiting || it.notBefore.After(now) {
			continue
		}
		if service := route.ServiceOf(it.spec.ID); isSuitable(service) {
			return candidate{job: j, route: route, item: it, service: service, events: it.progress.Events}, true
		}
	}
	return candidate{}, false
}

// newRequest converts an item into a request to an endpoint.
func (m *Manager) newRequest(c candidate, now time.Time) *fescuebank.Request {
	j, it, route := c.job, c.item, c.route
	h := make(http.Header, len(it.spec.Header))
	for name, value := range it.spec.Header {
		h.Add(name, value)
	}
	j.mu.Lock()
	body := it.spec.Body // It is nil once the item's result is committed.
	retainedUntil := j.existsSince.Add(route.Retention)
	j.mu.Unlock()
	return &fescuebank.Request{
		ID: fescuebank.RequestID(it.spec.ID), Team: j.spec.Team, Route: route, Service: c.service,
		Method: "POST", Target: it.spec.Target, Host: j.spec.Host, Header: h, Body: body,
		Arrived: now, Deadline: retainedUntil, Priority: route.Priority,
	}
}
