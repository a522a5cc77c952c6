// Package coldchecker checks that endpoints which have just started get no more requests than they bear.
package coldchecker

import (
	"fmt"
	"sync"
	"time"
)

// window is the time over which requests are counted.
const window = time.Second

// ColdChecker records cold endpoints and requests, and reports the endpoints that got too many.
type ColdChecker struct {
	// most is the number of requests that a cold endpoint may get within the window.
	most float64

	mu         sync.Mutex
	endpoints  map[string]*cold
	reached    int
	violations []string
}

// cold is an endpoint that was cold.
type cold struct {
	until    time.Time
	requests []time.Time
	exceeded bool
}

// New returns a checker without cold endpoints. Each may get so many requests within one second.
func New(most float64) *ColdChecker {
	return &ColdChecker{most: most, endpoints: make(map[string]*cold)}
}

// SetCold records that an endpoint is cold until a time.
func (c *ColdChecker) SetCold(endpoint string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints[endpoint] = &cold{until: until}
}

// RecordReached records that a request reached an endpoint.
func (c *ColdChecker) RecordReached(endpoint string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[endpoint]
	if e == nil || !at.Before(e.until) {
		return
	}
	c.reached++
	e.requests = append(e.requests, at)
	for at.Sub(e.requests[0]) >= window {
		e.requests = e.requests[1:]
	}
	if got := len(e.requests); float64(got) > c.most && !e.exceeded {
		e.exceeded = true
		c.violations = append(c.violations, fmt.Sprintf("%s: got %d requests within %v while it was cold, want at most %.1f", endpoint, got, window, c.most))
	}
}

// Reached returns the number of requests at cold endpoints.
func (c *ColdChecker) Reached() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reached
}

// Violations describes each cold endpoint that got too many requests.
func (c *ColdChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}
