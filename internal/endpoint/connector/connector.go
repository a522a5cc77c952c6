// Package connector maintains an invoker for each endpoint of the desired state and polls
// the endpoints' load reports.
package connector

import (
	"context"
	"slices"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/endpoint/balancer"
	"fescuebank/internal/endpoint/invoker"
)

// reportInterval is the mean interval of polling an endpoint's load report.
const reportInterval = time.Second

// Connector creates invokers and forwards load reports to a balancer.
type Connector struct {
	balancer        *balancer.Balancer
	clock           fescuebank.Clock
	progressTimeout time.Duration

	mu       sync.Mutex
	invokers map[fescuebank.EndpointID]*invoker.Invoker
	reports  map[fescuebank.EndpointID]timedReport
}

// timedReport is a load report and the time it was read.
type timedReport struct {
	report fescuebank.LoadReport
	readAt time.Time
}

// New returns a connector without endpoints.
func New(b *balancer.Balancer, clock fescuebank.Clock, progressTimeout time.Duration) *Connector {
	return &Connector{
		balancer: b, clock: clock, progressTimeout: progressTimeout,
		invokers: make(map[fescuebank.EndpointID]*invoker.Invoker),
		reports:  make(map[fescuebank.EndpointID]timedReport),
	}
}

// SetEndpoints replaces the endpoints. An endpoint whose URL is unchanged keeps its
// invoker.
func (c *Connector) SetEndpoints(specs []fescuebank.EndpointSpec) {
	c.mu.Lock()
	next := make(map[fescuebank.EndpointID]*invoker.Invoker, len(specs))
	for _, spec := range specs {
		old, ok := c.invokers[spec.ID]
		if ok && old.Spec().URL == spec.URL {
			next[spec.ID] = old
			continue
		}
		next[spec.ID] = invoker.New(spec, c.clock, c.progressTimeout)
	}
	for id, old := range c.invokers {
		if next[id] != old {
			old.Close()
		}
	}
	c.invokers = next
	c.mu.Unlock()
	c.balancer.SetEndpoints(specs)
}

// Invoker returns the invoker of an endpoint.
func (c *Connector) Invoker(id fescuebank.EndpointID) (*invoker.Invoker, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, ok := c.invokers[id]
	return found, ok
}

// Endpoint returns the invoker of an endpoint as a fescuebank.Endpoint.
func (c *Connector) Endpoint(id fescuebank.EndpointID) (fescuebank.Endpoint, bool) {
	found, ok := c.Invoker(id)
	return found, ok
}

// maxReportAge is how long an endpoint counts as alive after its last load report.
const maxReportAge = 10 * time.Second

// Report returns the newest load report of an endpoint, or false if there is none within
// maxReportAge.
func (c *Connector) Report(id fescuebank.EndpointID) (fescuebank.LoadReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.reports[id]
	return r.report, ok && c.clock.Now().Sub(r.readAt) < maxReportAge
}

// Run polls load reports until ctx ends.
func (c *Connector) Run(ctx context.Context) {
	for fescuebank.Sleep(ctx, c.clock, fescuebank.Jitter(reportInterval)) == nil {
		c.mu.Lock()
		ids := make([]fescuebank.EndpointID, 0, len(c.invokers))
		for id := range c.invokers {
			ids = append(ids, id)
		}
		c.mu.Unlock()
		slices.Sort(ids)
		var group sync.WaitGroup
		for _, id := range ids {
			group.Go(func() { c.readReport(ctx, id) })
		}
		group.Wait()
	}
}

// readReport reads one endpoint's load report and forwards it to the balancer.
func (c *Connector) readReport(ctx context.Context, id fescuebank.EndpointID) {
	found, ok := c.Invoker(id)
	if !ok {
		return
	}
	report, err := found.Report(ctx)
	if err != nil {
		return // Requests to the endpoint detect its failure themselves.
	}
	c.balancer.ApplyReport(id, report)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[id] = timedReport{report: report, readAt: c.clock.Now()}
}
