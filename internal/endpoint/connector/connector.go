// Package connector keeps the connections to the endpoints of the desired
// state.
package connector

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/endpoint/balancer"
	"fescuebank/internal/endpoint/invoker"
)

// reportInterval is how often an endpoint's load report is read here.
const reportInterval = time.Second

// Connector makes callers and feeds load reports to a balancer.
type Connector struct {
	balancer *balancer.Balancer
	clock    fescuebank.Clock
	silence  time.Duration

	mu      sync.Mutex
	callers map[fescuebank.EndpointID]*invoker.Invoker
	reports map[fescuebank.EndpointID]timedReport
}

// timedReport is a load report and when it was read.
type timedReport struct {
	report fescuebank.LoadReport
	at     time.Time
}

// New returns a connector without endpoints.
func New(b *balancer.Balancer, clock fescuebank.Clock, silence time.Duration) *Connector {
	return &Connector{
		balancer: b, clock: clock, silence: silence,
		callers: make(map[fescuebank.EndpointID]*invoker.Invoker),
		reports: make(map[fescuebank.EndpointID]timedReport),
	}
}

// SetEndpoints replaces the endpoints.
func (c *Connector) SetEndpoints(specs []fescuebank.EndpointSpec) {
	c.mu.Lock()
	next := make(map[fescuebank.EndpointID]*invoker.Invoker, len(specs))
	for _, spec := range specs {
		old, ok := c.callers[spec.ID]
		if ok && old.Spec().URL == spec.URL {
			next[spec.ID] = old
			continue
		}
		next[spec.ID] = invoker.New(spec, c.clock, c.silence)
	}
	for id, old := range c.callers {
		if next[id] != old {
			old.Close()
		}
	}
	c.callers = next
	c.mu.Unlock()
	c.balancer.SetEndpoints(specs)
}

// Invoker returns the connection to an endpoint.
func (c *Connector) Invoker(id fescuebank.EndpointID) (*invoker.Invoker, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, ok := c.callers[id]
	return found, ok
}

// Endpoint returns the connection to an endpoint as the interface.
func (c *Connector) Endpoint(id fescuebank.EndpointID) (fescuebank.Endpoint, bool) {
	found, ok := c.Invoker(id)
	return found, ok
}

// reportLife is how long a report tells that an endpoint lives.
const reportLife = 10 * time.Second

// Report returns the newest load report of an endpoint, or false if there has
// been none for a while.
func (c *Connector) Report(id fescuebank.EndpointID) (fescuebank.LoadReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.reports[id]
	return r.report, ok && c.clock.Now().Sub(r.at) < reportLife
}

// Run reads load reports until ctx ends.
func (c *Connector) Run(ctx context.Context) {
	for fescuebank.Sleep(ctx, c.clock, reportInterval/2+rand.N(reportInterval)) == nil {
		c.mu.Lock()
		ids := make([]fescuebank.EndpointID, 0, len(c.callers))
		for id := range c.callers {
			ids = append(ids, id)
		}
		c.mu.Unlock()
		slices.Sort(ids)
		var group sync.WaitGroup
		for _, id := range ids {
			group.Go(func() { c.read(ctx, id) })
		}
		group.Wait()
	}
}

func (c *Connector) read(ctx context.Context, id fescuebank.EndpointID) {
	found, ok := c.Invoker(id)
	if !ok {
		return
	}
	report, err := found.Report(ctx)
	if err != nil {
		return // Requests find out by themselves.
	}
	c.balancer.ApplyReport(id, report)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[id] = timedReport{report: report, at: c.clock.Now()}
}
