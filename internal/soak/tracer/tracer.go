// Package tracer follows requests from callers through instances to endpoints. It finds
// responses that were cut without a reason, and requests at endpoints that have stated that
// they leave.
package tracer

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/soak/monitor"
)

// drainTime is how long after an endpoint's statement that it leaves requests may still reach
// it.
const drainTime = 2 * time.Second

// readTime is the time after which an instance has read a request whole, even if none reached
// an endpoint.
const readTime = time.Second

// AnswerSlack is how long after the timeout a request must have ended.
const AnswerSlack = time.Second

// Tracer records requests and the disturbances of instances and endpoints, by their names.
type Tracer struct {
	// timeout is the time after which a request may end without a complete response.
	timeout time.Duration

	monitor *monitor.Monitor

	mu       sync.Mutex
	requests map[fescuebank.RequestID]*request
	// statements are the times at which an instance first relayed a response that states that
	// its endpoint leaves.
	statements map[statement]time.Time
}

// request is one request of a caller.
type request struct {
	instance string
	sent     time.Time
	// endpoints are those that it reached.
	endpoints []string
	// damaged is set if an endpoint damaged its response.
	damaged bool
}

type statement struct {
	instance, endpoint string
}

// New returns a tracer without requests. A request may be cut after the timeout.
func New(timeout time.Duration) *Tracer {
	return &Tracer{
		timeout: timeout, monitor: monitor.New(), requests: make(map[fescuebank.RequestID]*request),
		statements: make(map[statement]time.Time),
	}
}

// Disturb records that a disturbance of an instance or endpoint begins. The function that it
// returns records its end.
func (t *Tracer) Disturb(name string, at time.Time) (end func(at time.Time)) {
	return t.monitor.Disturb(name, at)
}

// RecordSent records that a caller sends a request to an instance.
func (t *Tracer) RecordSent(id fescuebank.RequestID, instance string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[id] = &request{instance: instance, sent: at}
}

// RecordLeaving records that an instance relayed the statement of an endpoint that it leaves.
func (t *Tracer) RecordLeaving(instance, endpoint string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := statement{instance, endpoint}
	if _, ok := t.statements[s]; !ok {
		t.statements[s] = at
	}
}

// RecordRestart records that an instance restarts, which makes it forget all statements.
func (t *Tracer) RecordRestart(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s := range t.statements {
		if s.instance == instance {
			delete(t.statements, s)
		}
	}
}

// RecordReceived records that a request reached an endpoint, which may damage its response. It
// returns an error if the instance had relayed the endpoint's statement that it leaves more
// than drainTime before the request was sent, and was not disturbed since.
func (t *Tracer) RecordReceived(id fescuebank.RequestID, endpoint string, damaged bool, at time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[id]
	if r == nil {
		return nil // A batch item.
	}
	r.endpoints = append(r.endpoints, endpoint)
	r.damaged = r.damaged || damaged
	stated, ok := t.statements[statement{r.instance, endpoint}]
	if !ok || r.sent.Sub(stated) <= drainTime || t.monitor.IsDisturbed(r.instance, stated, at) {
		return nil
	}
	return fmt.Errorf("request %s: sent to %s, reached %s %v after the statement that it leaves", id, r.instance, endpoint, at.Sub(stated))
}

// RecordCut records that a request ended without a complete response, or that its caller gave
// up. It returns an error if an instance had read the request and nothing excuses the cut.
func (t *Tracer) RecordCut(id fescuebank.RequestID, at time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[id]
	if r == nil || t.monitor.IsDisturbed(r.instance, r.sent, at) || t.isExcused(r, at) {
		return nil
	}
	return fmt.Errorf("request %s: sent to %s, reached %v, cut after %v", id, r.instance, r.endpoints, at.Sub(r.sent))
}

// isExcused reports whether a sound instance may have ended a request without a complete
// response. The caller holds mu.
func (t *Tracer) isExcused(r *request, at time.Time) bool {
	elapsed := at.Sub(r.sent)
	switch {
	case elapsed >= t.timeout+AnswerSlack:
		return false
	case elapsed >= t.timeout, r.damaged:
		return true
	case len(r.endpoints) == 0:
		return elapsed < readTime
	}
	return slices.ContainsFunc(r.endpoints, func(name string) bool { return t.monitor.IsDisturbed(name, r.sent, at) })
}
