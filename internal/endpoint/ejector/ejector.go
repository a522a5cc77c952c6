// Package ejector detects endpoints that fail requests although their health checks pass,
// and ejects them for a while (outlier ejection).
package ejector

import (
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

const (
	// windowSteps is the length of the sliding window of outcomes, in steps.
	windowSteps  = 5
	stepDuration = time.Second
	// gossipTTL is how long the outcomes received from another instance are used.
	gossipTTL = 2 * time.Second
	// minFailures is the number of failures from which an endpoint is ejected, and
	// minRepeatFailures the number within resetAfter of an earlier ejection.
	minFailures       = 3
	minRepeatFailures = 2
	// minFailureRatio is the failure ratio from which an endpoint is ejected, and
	// outlierFactor the factor by which it must exceed that of all other endpoints.
	minFailureRatio = 0.25
	outlierFactor   = 3
	// minEjection is the length of the first ejection. It doubles with each
	// consecutive ejection, up to maxEjection.
	minEjection = 4 * time.Second
	maxEjection = 6 * time.Second
	// resetAfter is the time after the end of an ejection from which the next one counts
	// as the first again.
	resetAfter = 20 * time.Second
	// maxEjectedShare bounds the share of a service's endpoints ejected at once.
	maxEjectedShare = 1.0 / 3
	// minGoodInZone is the number of successes in this zone, without a failure, that
	// outweigh failures seen in other zones.
	minGoodInZone = 4
)

// Config holds an ejector's dependencies.
type Config struct {
	Zone fescuebank.Zone
	// Endpoints returns the known endpoints.
	Endpoints func() []fescuebank.ServedEndpoint
	// Doubtful reports whether failures may be due to this instance.
	Doubtful func() bool
	// Eject excludes an endpoint from selection for the given time.
	Eject func(id fescuebank.EndpointID, d time.Duration)
	Clock fescuebank.Clock
	Log   hclog.Logger
}

// Ejector compares the failure ratios of endpoints. It combines the outcomes of this
// instance with those that other instances gossip, as one instance alone sees too few.
type Ejector struct {
	Config

	mu sync.Mutex
	// own are the outcomes of this instance by step, newest last.
	own []stepOutcomes
	// peers are the outcomes last received from each other instance.
	peers map[fescuebank.InstanceID]peerOutcomes
	// ejected holds the last ejection of each endpoint.
	ejected map[fescuebank.EndpointTag]ejection
}

// stepOutcomes are the outcomes of one step.
type stepOutcomes struct {
	startedAt time.Time
	counts    fescuebank.OutcomeCounts
}

// peerOutcomes are the outcomes received from one instance.
type peerOutcomes struct {
	receivedAt time.Time
	zone       fescuebank.Zone
	counts     fescuebank.OutcomeCounts
	total      fescuebank.Outcomes
}

// ejection is the last ejection of an endpoint.
type ejection struct {
	until time.Time
	// length is the total length of the ejection, also when it was adopted late.
	length time.Duration
	// adopted is set if another instance decided the ejection.
	adopted bool
}

// New returns an ejector without recorded outcomes.
func New(c Config) *Ejector {
	return &Ejector{Config: c, peers: make(map[fescuebank.InstanceID]peerOutcomes), ejected: make(map[fescuebank.EndpointTag]ejection)}
}

// Record adds the outcome of one request, unless it is a failure that may be due to this
// instance. A failure may eject the endpoint.
func (j *Ejector) Record(id fescuebank.EndpointID, good bool) {
	if !good && j.Doubtful() {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.Clock.Now()
	if n := len(j.own); n == 0 || now.Sub(j.own[n-1].startedAt) >= stepDuration {
		j.own = append(j.own, stepOutcomes{startedAt: now, counts: make(fescuebank.OutcomeCounts)})
	}
	j.dropExpired(now)
	j.own[len(j.own)-1].counts.Record(id.Tag(), good)
	if !good {
		j.evaluate(id, now)
	}
}

// Forget discards the outcomes that this instance has seen, as they may be due to itself.
func (j *Ejector) Forget() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.own = nil
}

// dropExpired drops outcomes older than the window. The caller holds the lock.
func (j *Ejector) dropExpired(now time.Time) {
	for len(j.own) > 0 && now.Sub(j.own[0].startedAt) >= windowSteps*stepDuration {
		j.own = j.own[1:]
	}
}

// FillGossip sets the fields of the gossip message that belong to the ejector: this
// instance's recent outcomes at endpoints that failed a request of any instance, and the
// ejections that this instance decided itself.
func (j *Ejector) FillGossip(g *fescuebank.Gossip) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.Clock.Now()
	j.dropExpired(now)
	g.Outcomes = j.sumOwn()
	g.TotalOutcomes = g.Outcomes.Sum()
	maps.DeleteFunc(g.Outcomes, func(tag fescuebank.EndpointTag, o fescuebank.Outcomes) bool {
		return o.Bad == 0 && !j.failedElsewhere(tag)
	})
	g.Ejected = make(map[fescuebank.EndpointTag]fescuebank.Ejection)
	for tag, e := range j.ejected {
		if remaining := e.until.Sub(now); remaining > 0 && !e.adopted {
			g.Ejected[tag] = fescuebank.Ejection{LeftMs: remaining.Milliseconds(), LengthMs: e.length.Milliseconds()}
		}
	}
}

// sumOwn sums this instance's outcomes over the window. The caller holds the lock.
func (j *Ejector) sumOwn() fescuebank.OutcomeCounts {
	sums := make(fescuebank.OutcomeCounts)
	for _, o := range j.own {
		sums.Add(o.counts)
	}
	return sums
}

// failedElsewhere reports whether another instance saw the endpoint fail.
func (j *Ejector) failedElsewhere(tag fescuebank.EndpointTag) bool {
	for _, p := range j.peers {
		if p.counts[tag].Bad > 0 {
			return true
		}
	}
	return false
}

// ApplyGossip processes the outcomes and ejections of another instance.
func (j *Ejector) ApplyGossip(g *fescuebank.Gossip) {
	empty := len(g.Outcomes)+len(g.Ejected) == 0
	var list []fescuebank.ServedEndpoint
	if !empty {
		list = j.Endpoints()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.Clock.Now()
	if g.EndpointsLost {
		delete(j.peers, g.From)
		return
	}
	j.peers[g.From] = peerOutcomes{receivedAt: now, zone: g.Zone, counts: g.Outcomes, total: g.TotalOutcomes}
	for _, e := range list {
		tag := e.ID.Tag()
		if remote, ok := g.Ejected[tag]; ok {
			j.adopt(e.ID, g.Zone, remote, now)
		}
		if g.Outcomes[tag].Bad > 0 {
			j.evaluate(e.ID, now)
		}
	}
}

// adopt applies an ejection decided by another instance, unless that instance is in
// another zone and the endpoint serves this zone's requests. The caller holds the lock.
func (j *Ejector) adopt(id fescuebank.EndpointID, zone fescuebank.Zone, remote fescuebank.Ejection, now time.Time) {
	tag := id.Tag()
	if now.Before(j.ejected[tag].until) || !j.mayEject(id, now) {
		return
	}
	if zone != j.Zone && isHealthy(j.zoneOutcomes(j.sumOwn(), tag, now)) {
		return
	}
	remaining := time.Duration(remote.LeftMs) * time.Millisecond
	j.eject(id, ejection{until: now.Add(remaining), length: time.Duration(remote.LengthMs) * time.Millisecond, adopted: true}, remaining)
}

// eject ejects an endpoint and discards its outcomes, so that they don't count against
// it after it returns. The caller holds the lock.
func (j *Ejector) eject(id fescuebank.EndpointID, e ejection, remaining time.Duration) {
	tag := id.Tag()
	j.ejected[tag] = e
	for _, o := range j.own {
		delete(o.counts, tag)
	}
	j.Eject(id, remaining)
}

// evaluate ejects the endpoint if its failure ratio is far above that of the others. The
// caller holds the lock.
func (j *Ejector) evaluate(id fescuebank.EndpointID, now time.Time) {
	tag := id.Tag()
	last, known := j.ejected[tag]
	if known && now.Before(last.until) {
		return
	}
	repeated := known && now.Sub(last.until) < resetAfter
	counts, mean := j.relevantOutcomes(tag, now)
	required := minFailures
	if repeated {
		required = minRepeatFailures
	}
	if counts.Bad < required || counts.FailureRatio() < minFailureRatio || counts.FailureRatio() < outlierFactor*mean || !j.mayEject(id, now) {
		return
	}
	length := minEjection
	if repeated {
		length = min(2*last.length, maxEjection)
	}
	j.eject(id, ejection{until: now.Add(length), length: length}, length)
	j.Log.Warn("Endpoint ejected.", "endpoint", string(id), "bad", counts.Bad, "good", counts.Good, "meanShare", mean, "ms", length.Milliseconds())
}

// relevantOutcomes returns the outcomes by which an endpoint is evaluated, and the failure ratio
// of all other endpoints. Outcomes in other zones count unless the endpoint serves this
// zone's requests. The caller holds the lock.
func (j *Ejector) relevantOutcomes(tag fescuebank.EndpointTag, now time.Time) (counts fescuebank.Outcomes, mean float64) {
	sums := j.sumOwn()
	all := sums.Sum()
	everywhere := sums[tag]
	inZone := j.zoneOutcomes(sums, tag, now)
	for _, p := range j.peers {
		everywhere.Add(p.counts[tag])
		all.Add(p.total)
	}
	others := fescuebank.Outcomes{Good: all.Good - everywhere.Good, Bad: all.Bad - everywhere.Bad}
	if isHealthy(inZone) {
		return inZone, others.FailureRatio()
	}
	return everywhere, others.FailureRatio()
}

// zoneOutcomes returns the outcomes at an endpoint seen by all instances in this zone,
// given those of this instance. It drops expired outcomes of other instances.
func (j *Ejector) zoneOutcomes(own fescuebank.OutcomeCounts, tag fescuebank.EndpointTag, now time.Time) fescuebank.Outcomes {
	inZone := own[tag]
	for id, p := range j.peers {
		if now.Sub(p.receivedAt) >= gossipTTL {
			delete(j.peers, id)
			continue
		}
		if p.zone == j.Zone {
			inZone.Add(p.counts[tag])
		}
	}
	return inZone
}

// isHealthy reports whether the outcomes suffice to show that requests are served.
func isHealthy(o fescuebank.Outcomes) bool {
	return o.Bad == 0 && o.Good >= minGoodInZone
}

// mayEject reports whether one more endpoint of the same service may be ejected. The
// caller holds the lock.
func (j *Ejector) mayEject(id fescuebank.EndpointID, now time.Time) bool {
	list := j.Endpoints()
	var service fescuebank.ServiceName
	for _, e := range list {
		if e.ID == id {
			service = e.Service
		}
	}
	total, ejected := 0, 0
	for _, e := range list {
		if e.Service != service || e.Leaving {
			continue
		}
		total++
		if now.Before(j.ejected[e.ID.Tag()].until) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(total)
}
