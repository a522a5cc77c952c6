// Package framingchecker counts the responses that have neither a length nor chunks and end with their connection,
// so that a run that checks none of them, or breaks off none together with a tunnel, is noticed.
package framingchecker

import (
	"sync"
	"time"

	"fescuebank"
)

// breakTime is how long after an instance was killed an endpoint must have found out that the connection of a
// request which came through it is closed.
const breakTime = 500 * time.Millisecond

// FramingChecker records how endpoints respond to requests and what becomes of the responses.
type FramingChecker struct {
	mu sync.Mutex
	// closeDelimited holds whether the last response of an endpoint to a request ends with its connection.
	closeDelimited map[fescuebank.RequestID]bool
	// open are the requests of callers, which have not closed their connections.
	open map[fescuebank.RequestID]bool
	// complete are the requests whose responses or outputs were complete and ended with their connections.
	complete map[fescuebank.RequestID]bool
	broken   int
	// killed is when an instance that tunnels for others was killed last.
	killed       time.Time
	tunnelBreaks int
}

// New returns a checker without requests.
func New() *FramingChecker {
	return &FramingChecker{
		closeDelimited: make(map[fescuebank.RequestID]bool), open: make(map[fescuebank.RequestID]bool), complete: make(map[fescuebank.RequestID]bool),
	}
}

// RecordResponse records that an endpoint begins to respond, and whether it is about to break the response off.
func (c *FramingChecker) RecordResponse(id fescuebank.RequestID, closeDelimited, breaks bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeDelimited[id] = closeDelimited
	if closeDelimited && breaks {
		c.broken++
	}
}

// RecordComplete records that the response to a request, or the output of an item, was complete for its caller.
func (c *FramingChecker) RecordComplete(id fescuebank.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeDelimited[id] {
		c.complete[id] = true
	}
}

// RecordSent records that a caller sends a request.
func (c *FramingChecker) RecordSent(id fescuebank.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[id] = true
}

// RecordGivenUp records that a caller closes the connection of a request.
func (c *FramingChecker) RecordGivenUp(id fescuebank.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, id)
}

// RecordKill records that an instance is killed through which requests of callers may go.
func (c *FramingChecker) RecordKill(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = at
}

// RecordClosed records that an endpoint found the connection of a request closed before its response had ended.
func (c *FramingChecker) RecordClosed(id fescuebank.RequestID, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since := at.Sub(c.killed); c.closeDelimited[id] && c.open[id] && since >= 0 && since < breakTime {
		c.tunnelBreaks++
	}
}

// Checked returns the number of complete responses and outputs that ended with their connections.
func (c *FramingChecker) Checked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.complete)
}

// Broken returns the number of responses that end with their connections and that endpoints broke off.
func (c *FramingChecker) Broken() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// TunnelBreaks returns the number of responses that end with their connections and that broke off with a tunnel.
func (c *FramingChecker) TunnelBreaks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tunnelBreaks
}

// Violations describes what a run has not checked.
func (c *FramingChecker) Violations() []string {
	var violations []string
	if c.Checked() == 0 {
		violations = append(violations, "no complete response that ends with its connection was checked")
	}
	if c.TunnelBreaks() == 0 {
		violations = append(violations, "no response that ends with its connection broke off with a tunnel")
	}
	return violations
}
