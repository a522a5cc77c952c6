package profiler

import (
	"math"
	"time"

	"fescuebank"
)

// percent is the number by which ratios are multiplied in messages.
const percent = 100

// FillGossip adds to a message what this instance has observed since the previous one.
func (p *Profiler) FillGossip(g *fescuebank.Gossip) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for tag, e := range p.byTag {
		if e.unsent == (observations{}) {
			continue
		}
		if g.Paces == nil {
			g.Paces = make(map[fescuebank.EndpointIncarnationTag]fescuebank.PaceStatement)
		}
		g.Paces[tag] = e.unsent.statement(now)
		e.unsent = observations{}
	}
}

// statement returns what is sent to other instances.
func (o observations) statement(now time.Time) fescuebank.PaceStatement {
	s := fescuebank.PaceStatement{
		Samples: o.samples, Slowdown: int(math.Round(o.stated * percent)), Requests: o.requests,
	}
	if o.samples > 0 {
		s.Percent = int(math.Round(ratio(o.sum/float64(o.samples)) * percent))
	}
	if !o.at.IsZero() {
		s.AgeMs = now.Sub(o.at).Milliseconds()
	}
	return s
}

// report is what an endpoint has reported to another instance.
type report struct {
	id       fescuebank.EndpointID
	requests int
	age      time.Duration
}

// ApplyGossip applies what another instance has observed. Statements about incarnations that are not
// known here are ignored.
func (p *Profiler) ApplyGossip(g *fescuebank.Gossip) {
	if len(g.Paces) == 0 {
		return
	}
	for _, r := range p.apply(g.Paces) {
		p.OnReport(r.id, r.requests, r.age)
	}
}

// apply applies statements and returns the reports in them.
func (p *Profiler) apply(statements map[fescuebank.EndpointIncarnationTag]fescuebank.PaceStatement) []report {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var reports []report
	for tag, s := range statements {
		e := p.byTag[tag]
		if e == nil {
			continue
		}
		if s.Samples > 0 && s.Percent > 0 {
			sample := min(max(math.Log(float64(s.Percent)/percent), math.Log(minRatio)), math.Log(maxRatio))
			e.observeEvents(sample, now)
			e.pace.add(sample, min(s.Samples, maxSamples))
		}
		age := time.Duration(s.AgeMs) * time.Millisecond
		if age < 0 || age > slowdownTime {
			continue
		}
		if s.Slowdown > 0 {
			e.applyStatement(min(max(float64(s.Slowdown)/percent, minRatio), maxRatio), now.Add(-age))
		}
		if s.Requests > 0 {
			reports = append(reports, report{id: e.id, requests: s.Requests, age: age})
		}
	}
	return reports
}
