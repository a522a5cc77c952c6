// Package zonechecker checks that no request reaches an endpoint in an evacuated zone.
package zonechecker

import (
	"fmt"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/soak/monitor"
)

// ZoneChecker records evacuations and requests. Only requests that were sent to instances that were not
// disturbed within the bound count, and those of unknown origin only if no instance was disturbed.
type ZoneChecker struct {
	bound   time.Duration
	monitor *monitor.Monitor

	mu        sync.Mutex
	instances map[string]bool
	requests  map[fescuebank.RequestID]string
	// evacuated holds since when zones have been evacuated.
	evacuated  map[fescuebank.Zone]time.Time
	checked    int
	violations []string
}

// New returns a checker of instances. An evacuation has to be in force within the bound.
func New(bound time.Duration, m *monitor.Monitor) *ZoneChecker {
	return &ZoneChecker{
		bound: bound, monitor: m, instances: make(map[string]bool),
		requests: make(map[fescuebank.RequestID]string), evacuated: make(map[fescuebank.Zone]time.Time),
	}
}

// AddInstance records that an instance may send requests.
func (c *ZoneChecker) AddInstance(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[name] = true
}

// Evacuate records that the evacuation of a zone was acknowledged. The function that it returns records
// that it is about to be removed.
func (c *ZoneChecker) Evacuate(zone fescuebank.Zone, at time.Time) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated[zone] = at
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.evacuated, zone)
	}
}

// RecordSent records that a caller sends a request to an instance.
func (c *ZoneChecker) RecordSent(id fescuebank.RequestID, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = instance
}

// RecordReached records that a request reached an endpoint of a zone.
func (c *ZoneChecker) RecordReached(id fescuebank.RequestID, endpoint string, zone fescuebank.Zone, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, since := range c.evacuated {
		if at.Sub(since) >= c.bound {
			c.checked++
			break
		}
	}
	since, evacuated := c.evacuated[zone]
	if !evacuated || at.Sub(since) < c.bound || c.isExcused(id, at) {
		return
	}
	c.violations = append(c.violations, fmt.Sprintf("request %s reached %s %v after the evacuation of zone %s, want at most %v",
		id, endpoint, at.Sub(since), zone, c.bound))
}

// isExcused reports whether the instance that sent a request may have been out of touch. The caller holds
// the lock.
func (c *ZoneChecker) isExcused(id fescuebank.RequestID, at time.Time) bool {
	if instance, known := c.requests[id]; known {
		return c.monitor.IsDisturbed(instance, at.Add(-c.bound), at)
	}
	for instance := range c.instances {
		if c.monitor.IsDisturbed(instance, at.Add(-c.bound), at) {
			return true
		}
	}
	return false
}

// Checked returns the number of requests at any endpoint while an evacuation had to be in force.
func (c *ZoneChecker) Checked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checked
}

// Violations describes each request that reached an evacuated zone.
func (c *ZoneChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}
