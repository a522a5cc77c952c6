// Package reachchecker checks that instances which are partitioned from all endpoints serve their
// callers nearly as often as the others.
package reachchecker

import (
	"fmt"
	"sync"
	"time"

	"fescuebank/internal/soak/monitor"
)

const (
	// minServedRatio is how often requests must be served at partitioned instances, as a part of
	// how often they are at the others.
	minServedRatio = 2.0 / 3
	// allowedFailures may fail at partitioned instances in any case, and one of triesPerFailure
	// requests besides.
	allowedFailures = 10
	triesPerFailure = 50
)

// ReachChecker records partitions and the first attempts of callers. Attempts at instances that
// were disturbed otherwise within the contact time don't count, nor do those made while all endpoints
// were closed to requests.
type ReachChecker struct {
	contact    time.Duration
	monitor    *monitor.Monitor
	partitions *monitor.Monitor
	closures   *monitor.Monitor

	mu    sync.Mutex
	begun []time.Time
	ended []time.Time
	tries []try
}

// try is one first attempt.
type try struct {
	instance string
	at       time.Time
	served   bool
}

// New returns a checker without partitions.
func New(contact time.Duration, m *monitor.Monitor) *ReachChecker {
	return &ReachChecker{contact: contact, monitor: m, partitions: monitor.New(), closures: monitor.New()}
}

// Partition records that instances are partitioned from all endpoints from now on. The function
// that it returns records the end.
func (c *ReachChecker) Partition(instances []string, at time.Time) (end func(at time.Time)) {
	var ends []func(time.Time)
	for _, name := range instances {
		ends = append(ends, c.partitions.Disturb(name, at))
	}
	return func(ended time.Time) {
		for _, end := range ends {
			end(ended)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.begun, c.ended = append(c.begun, at), append(c.ended, ended)
	}
}

// allEndpoints is the name of all endpoints in closures.
const allEndpoints = "all"

// CloseAll records that all endpoints are closed to requests from now on. The function that it returns
// records the time from which every instance must use them again.
func (c *ReachChecker) CloseAll(at time.Time) (end func(at time.Time)) {
	return c.closures.Disturb(allEndpoints, at)
}

// RecordTry records a first attempt of a caller.
func (c *ReachChecker) RecordTry(instance string, at time.Time, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, try{instance: instance, at: at, served: served})
}

// Tries returns the number of first attempts at partitioned instances that count.
func (c *ReachChecker) Tries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for i := range c.begun {
		partitioned, _ := c.count(c.begun[i], c.ended[i])
		sum += partitioned.tries
	}
	return sum
}

// counts counts attempts and those of them that were served.
type counts struct {
	tries, served int
}

func (n *counts) add(served bool) {
	n.tries++
	if served {
		n.served++
	}
}

func (n counts) ratio() float64 {
	return float64(n.served) / float64(max(1, n.tries))
}

// Violations describes each partition in which too few requests were served.
func (c *ReachChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []string
	for i := range c.begun {
		partitioned, others := c.count(c.begun[i], c.ended[i])
		failed := partitioned.tries - partitioned.served
		allowed := allowedFailures + (partitioned.tries+others.tries)/triesPerFailure
		if failed > allowed && partitioned.ratio() < minServedRatio*others.ratio() {
			violations = append(violations, fmt.Sprintf("instances without endpoints served %d of %d first attempts, the others %d of %d",
				partitioned.served, partitioned.tries, others.served, others.tries))
		}
	}
	return violations
}

// count counts the attempts at partitioned and at other instances from the contact time after the
// begin of a partition until its end. The caller holds the lock.
func (c *ReachChecker) count(begin, end time.Time) (partitioned, others counts) {
	for _, t := range c.tries {
		if t.at.Sub(begin) < c.contact || t.at.After(end) || c.monitor.IsDisturbed(t.instance, t.at.Add(-c.contact), t.at) {
			continue
		}
		if c.closures.IsDisturbed(allEndpoints, t.at, t.at) {
			continue
		}
		if c.partitions.IsDisturbed(t.instance, t.at, t.at) {
			partitioned.add(t.served)
			continue
		}
		others.add(t.served)
	}
	return partitioned, others
}
