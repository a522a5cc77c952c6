// Package ratechecker checks that endpoints which state a request limit get no more requests
// than that.
package ratechecker

import (
	"fmt"
	"sync"
	"time"

	"fescuebank"
)

const (
	// window is the time over which requests are counted. In it an endpoint may get
	// overshootFactor times what its limit allows, and overshootRequests more.
	window            = 4 * time.Second
	overshootFactor   = 1.5
	overshootRequests = 5
)

// RateChecker records limits and requests, and reports the limits that were exceeded.
type RateChecker struct {
	// contact is how long after a limit was first stated it must be kept.
	contact time.Duration

	mu     sync.Mutex
	limits map[string]*limit
	// reached counts the requests at endpoints with a limit.
	reached    int
	violations []string
}

// limit is the limit that an endpoint states.
type limit struct {
	rate fescuebank.RequestRate
	// firstStated is when a request first reached the endpoint after the limit was set; zero
	// before.
	firstStated time.Time
	requests    []time.Time
	exceeded    bool
}

// New returns a checker without limits.
func New(contact time.Duration) *RateChecker {
	return &RateChecker{contact: contact, limits: make(map[string]*limit)}
}

// SetLimit records that an endpoint states a limit from now on, or no limit if it is 0.
func (c *RateChecker) SetLimit(endpoint string, rate fescuebank.RequestRate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rate <= 0 {
		delete(c.limits, endpoint)
		return
	}
	c.limits[endpoint] = &limit{rate: rate}
}

// RecordReached records that a request reached an endpoint.
func (c *RateChecker) RecordReached(endpoint string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.limits[endpoint]
	if l == nil {
		return
	}
	c.reached++
	if l.firstStated.IsZero() {
		l.firstStated = at
	}
	if at.Sub(l.firstStated) < c.contact {
		return
	}
	l.requests = append(l.requests, at)
	for at.Sub(l.requests[0]) >= window {
		l.requests = l.requests[1:]
	}
	allowed := overshootFactor*float64(l.rate.Over(window)) + overshootRequests
	if got := len(l.requests); float64(got) > allowed && !l.exceeded {
		l.exceeded = true
		c.violations = append(c.violations, fmt.Sprintf("%s: got %d requests within %v, want at most %.0f, as it states a limit of %.1f a second",
			endpoint, got, window, allowed, float64(l.rate)))
	}
}

// Reached returns the number of requests at endpoints while they stated a limit.
func (c *RateChecker) Reached() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reached
}

// Violations describes each limit that was exceeded.
func (c *RateChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}
