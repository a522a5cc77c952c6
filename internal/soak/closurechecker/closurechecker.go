// Package closurechecker checks that no request reaches an endpoint that is closed to requests: one in an
// evacuated zone, or one that leaves.
package closurechecker

import (
	"fmt"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/soak/monitor"
)

// ClosureChecker records closures and requests. Only requests that were sent to instances that were not
// disturbed lately count, and those of unknown origin only if no instance was disturbed.
type ClosureChecker struct {
	Config
	monitor *monitor.Monitor

	mu        sync.Mutex
	instances map[string]bool
	requests  map[fescuebank.RequestID]string
	// closed holds since when places have been closed.
	closed     map[string]time.Time
	checked    int
	violations []string
}

// Config states what a checker checks.
type Config struct {
	// What names a closure in violations, such as "evacuation of zone".
	What string
	// Bound is the time within which a closure has to be in force, and Contact how long an instance must not
	// have been disturbed for that.
	Bound   time.Duration
	Contact time.Duration
}

// New returns a checker of closures.
func New(c Config, m *monitor.Monitor) *ClosureChecker {
	return &ClosureChecker{
		Config: c, monitor: m, instances: make(map[string]bool),
		requests: make(map[fescuebank.RequestID]string), closed: make(map[string]time.Time),
	}
}

// AddInstance records that an instance may send requests.
func (c *ClosureChecker) AddInstance(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[name] = true
}

// Close records that the closure of a place was acknowledged. The function that it returns records that it is
// about to end.
func (c *ClosureChecker) Close(place string, at time.Time) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed[place] = at
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.closed, place)
	}
}

// RecordSent records that a caller sends a request to an instance.
func (c *ClosureChecker) RecordSent(id fescuebank.RequestID, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = instance
}

// RecordReached records that a request reached an endpoint of a place.
func (c *ClosureChecker) RecordReached(id fescuebank.RequestID, endpoint, place string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, since := range c.closed {
		if at.Sub(since) >= c.Bound {
			c.checked++
			break
		}
	}
	since, closed := c.closed[place]
	if !closed || at.Sub(since) < c.Bound || c.isExcused(id, at) {
		return
	}
	c.violations = append(c.violations, fmt.Sprintf("request %s, sent to %q, reached %s %v after the %s %s, want at most %v",
		id, c.requests[id], endpoint, at.Sub(since), c.What, place, c.Bound))
}

// isExcused reports whether the instance that sent a request may have been out of touch. The caller holds
// the lock.
func (c *ClosureChecker) isExcused(id fescuebank.RequestID, at time.Time) bool {
	from := at.Add(-max(c.Bound, c.Contact))
	if instance, known := c.requests[id]; known {
		return c.monitor.IsDisturbed(instance, from, at)
	}
	for instance := range c.instances {
		if c.monitor.IsDisturbed(instance, from, at) {
			return true
		}
	}
	return false
}

// Checked returns the number of requests at any endpoint while a closure had to be in force.
func (c *ClosureChecker) Checked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checked
}

// Violations describes each request that reached what was closed.
func (c *ClosureChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}
