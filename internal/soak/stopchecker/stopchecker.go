// Package stopchecker checks that an instance which is stopped as planned ends no request without an answer that it
// has read whole.
package stopchecker

import (
	"fmt"
	"sync"
	"time"

	"fescuebank"
)

// lossSlack is the time from the last byte of a request within which a connection may end without an answer, as
// the request may not have been read.
const lossSlack = 200 * time.Millisecond

// StopChecker records requests that are sent to an instance while it shuts down.
type StopChecker struct {
	// timeout is the time after which a request may end without an answer.
	timeout time.Duration

	mu sync.Mutex
	// reached are the requests that were passed on to an endpoint.
	reached  map[fescuebank.RequestID]bool
	requests []Request
}

// Request is a request whose last byte was sent.
type Request struct {
	ID fescuebank.RequestID
	// Begun is when its first byte was sent, and Sent when its last byte was, which is SinceStop after the stop.
	Begun     time.Time
	Sent      time.Time
	SinceStop time.Duration
	// Ended is when the answer was complete or the connection ended.
	Ended time.Time
	// Answered is set if a complete answer came.
	Answered bool
}

// New returns a checker without requests. A request may end without an answer after the timeout.
func New(timeout time.Duration) *StopChecker {
	return &StopChecker{timeout: timeout, reached: make(map[fescuebank.RequestID]bool)}
}

// RecordReached records that a request was passed on to an endpoint.
func (c *StopChecker) RecordReached(id fescuebank.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached[id] = true
}

// RecordEnded records the end of a request.
func (c *StopChecker) RecordEnded(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

// Read returns the number of requests that were read whole: they were answered or passed on.
func (c *StopChecker) Read() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, r := range c.requests {
		if r.Answered || c.reached[r.ID] {
			count++
		}
	}
	return count
}

// Violations describes each request that was read whole and ended without an answer.
func (c *StopChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []string
	for _, r := range c.requests {
		if r.Answered || r.Ended.Sub(r.Begun) >= c.timeout {
			continue
		}
		waited := r.Ended.Sub(r.Sent).Round(time.Millisecond)
		switch {
		case c.reached[r.ID]:
			violations = append(violations, fmt.Sprintf("request %s: last byte %v after a planned stop, passed on, no answer when the connection ended %v later",
				r.ID, r.SinceStop.Round(time.Millisecond), waited))
		case waited > lossSlack:
			violations = append(violations, fmt.Sprintf("request %s: last byte %v after a planned stop, not passed on, no answer when the connection ended %v later, want at most %v",
				r.ID, r.SinceStop.Round(time.Millisecond), waited, lossSlack))
		}
	}
	return violations
}
