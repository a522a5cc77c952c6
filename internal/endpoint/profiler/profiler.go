// Package profiler learns how long work takes at each endpoint from the work that is done there.
package profiler

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

const (
	// slowdownTime is how long after its observation a slowdown of an endpoint is assumed to be
	// over. Its effect decreases linearly until then.
	slowdownTime = time.Second
	// minSamples is the number of samples from which the pace of an endpoint, or the typical
	// time of a kind of work, is known.
	minSamples = 6
	// maxSamples is the number of latest samples of which a moving average mostly consists.
	maxSamples = 32
	// maxStep bounds the change by one sample, as the logarithm of a factor, so that moments of
	// slowness hardly change what is known to last.
	maxStep = 0.4
	// maxKinds bounds the kinds of work that are told apart.
	maxKinds = 1024
	// maxStatements is the number of the latest stated slowdowns of an endpoint of which the median is
	// taken for what lasts, and minStatements the least number of them.
	maxStatements = 15
	minStatements = 5
	// loggedChange is the factor by which a pace must have changed since the last log line for another.
	loggedChange = 1.5
	// normalizeInterval is the time between two calculations of the typical endpoint's pace.
	normalizeInterval = 500 * time.Millisecond
)

// The range of paces and slowdowns that are believed.
const (
	minRatio = 1.0 / 16
	maxRatio = 16
)

// Config holds a profiler's dependencies.
type Config struct {
	Clock fescuebank.Clock
	// OnReport is called with the number of requests that an endpoint has reported to another
	// instance, and the age of the report.
	OnReport func(id fescuebank.EndpointID, requests int, age time.Duration)
	Log      hclog.Logger
}

// Profiler knows how long work takes at each endpoint, for a fleet whose endpoints differ in
// speed, lastingly and for moments, and whose instances see too little of each endpoint on their
// own.
//
// The lasting pace is learned from the time per event of streams and batch items, the momentary
// slowdown from what the endpoint states in load reports, compared with what it mostly states, or
// from the latest events if it states nothing. Instances tell each other what they observe; a
// message that is lost or late only makes the pace less exact. A slowdown is forgotten within a
// second, a pace when the endpoint starts again.
type Profiler struct {
	Config

	mu        sync.Mutex
	endpoints map[fescuebank.EndpointID]*profile
	byTag     map[fescuebank.EndpointIncarnationTag]*profile
	// kinds holds the time per event of each kind of work at the typical endpoint.
	kinds map[Kind]*average
	// typical holds the pace of each service's median endpoint, by which paces are divided, as of
	// normalizedAt.
	typical      map[fescuebank.ServiceName]float64
	normalizedAt time.Time
}

// Kind is a kind of work whose events take about equally long at one endpoint.
type Kind struct {
	Service fescuebank.ServiceName
	Route   string
}

// profile is what is known of one incarnation of an endpoint.
type profile struct {
	id      fescuebank.EndpointID
	service fescuebank.ServiceName
	tag     fescuebank.EndpointIncarnationTag
	// pace is the logarithm of the lasting pace.
	pace average
	// slowdown is how much longer than usual work took at slowdownAt; 0 means unknown.
	slowdown   float64
	slowdownAt time.Time
	// stated are the last statements of the endpoint, in the order of arrival.
	stated []float64
	// unsent is what other instances have not been told.
	unsent observations
	// logged is the pace in the last log line, 1 before the first one.
	logged float64
}

// observations are what this instance has observed of an endpoint since its previous message.
type observations struct {
	// samples is the number of times that work was timed, and sum that of their logarithms.
	samples int
	sum     float64
	// stated is the last slowdown and requests the last number of requests that the endpoint stated,
	// 0 for none, and at when it stated them.
	stated   float64
	requests int
	at       time.Time
}

// average is a moving average of logarithms.
type average struct {
	value float64
	count int
}

// add applies a sample that is the mean of count ones.
func (a *average) add(sample float64, count int) {
	known := a.known()
	a.count = min(a.count+count, maxSamples)
	step := sample - a.value
	if known {
		step = min(max(step, -maxStep), maxStep)
	}
	a.value += step * min(1, float64(count)/float64(a.count))
}

// known reports whether there are enough samples.
func (a *average) known() bool {
	return a.count >= minSamples
}

// New returns a profiler that knows no endpoint.
func New(c Config) *Profiler {
	return &Profiler{
		Config: c, endpoints: make(map[fescuebank.EndpointID]*profile), byTag: make(map[fescuebank.EndpointIncarnationTag]*profile),
		kinds: make(map[Kind]*average), typical: make(map[fescuebank.ServiceName]float64),
	}
}

// SetEndpoints replaces the list of endpoints. What is known of an incarnation is kept.
func (p *Profiler) SetEndpoints(list []fescuebank.ServedEndpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byTag
	p.endpoints = make(map[fescuebank.EndpointID]*profile, len(list))
	p.byTag = make(map[fescuebank.EndpointIncarnationTag]*profile, len(list))
	for _, e := range list {
		tag := e.IncarnationTag()
		known := old[tag]
		if known == nil || known.id != e.ID || known.service != e.Service {
			known = &profile{id: e.ID, service: e.Service, tag: tag, logged: 1}
		}
		p.endpoints[e.ID], p.byTag[tag] = known, known
	}
}

// Pace returns the pace of an endpoint at this moment, 1 if nothing is known of it.
func (p *Profiler) Pace(id fescuebank.EndpointID) fescuebank.Pace {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil {
		return 1
	}
	now := p.Clock.Now()
	return fescuebank.Pace(p.lasting(e, now) * e.currentSlowdown(now))
}

// LastingPace returns the pace of an endpoint apart from momentary slowdowns, 1 if nothing is known
// of it.
func (p *Profiler) LastingPace(id fescuebank.EndpointID) fescuebank.Pace {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil {
		return 1
	}
	return fescuebank.Pace(p.lasting(e, p.Clock.Now()))
}

// lasting returns the lasting pace of an endpoint. The caller holds the lock.
func (p *Profiler) lasting(e *profile, now time.Time) float64 {
	if !e.pace.known() {
		return 1
	}
	p.normalize(now)
	return ratio(e.pace.value - p.typical[e.service])
}

// ratio returns the factor of a logarithm, in the range that is believed.
func ratio(logarithm float64) float64 {
	return min(max(math.Exp(logarithm), minRatio), maxRatio)
}

// currentSlowdown returns the slowdown by which an endpoint is expected to work now, 1 if none.
func (e *profile) currentSlowdown(now time.Time) float64 {
	left := 1 - now.Sub(e.slowdownAt).Seconds()/slowdownTime.Seconds()
	if e.slowdown == 0 || left <= 0 {
		return 1
	}
	return 1 + (e.slowdown-1)*min(1, left)
}

// normalize calculates the paces of the typical endpoints from time to time. The caller holds the
// lock.
func (p *Profiler) normalize(now time.Time) {
	if now.Sub(p.normalizedAt) < normalizeInterval {
		return
	}
	p.normalizedAt = now
	known := make(map[fescuebank.ServiceName][]float64)
	for _, e := range p.endpoints {
		if e.pace.known() {
			known[e.service] = append(known[e.service], e.pace.value)
		}
	}
	clear(p.typical)
	for service, values := range known {
		p.typical[service] = median(values)
	}
	p.logChanges(now)
}

// logChanges logs the paces that have changed much. The caller holds the lock.
func (p *Profiler) logChanges(now time.Time) {
	for _, e := range p.endpoints {
		if e.pace.count < maxSamples/2 {
			continue
		}
		pace := p.lasting(e, now)
		if change := pace / e.logged; change > 1/loggedChange && change < loggedChange {
			continue
		}
		e.logged = pace
		p.Log.Info("Endpoint's pace has changed.", "endpoint", string(e.id), "service", string(e.service), "pace", math.Round(pace*percent)/percent)
	}
}

// Observe applies a load report that an endpoint has sent to this instance.
func (p *Profiler) Observe(e fescuebank.ServedEndpoint, load fescuebank.EndpointLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byTag[e.IncarnationTag()]
	if known == nil {
		return
	}
	now := p.Clock.Now()
	known.unsent.requests, known.unsent.at = load.Running+load.Waiting, now
	if load.Slowdown > 0 {
		known.unsent.stated = min(max(float64(load.Slowdown), minRatio), maxRatio)
		known.applyStatement(known.unsent.stated, now)
	}
}

// applyStatement applies what the endpoint stated at a time, unless something later is known.
func (e *profile) applyStatement(stated float64, at time.Time) {
	if at.Before(e.slowdownAt) {
		return
	}
	if len(e.stated) == maxStatements {
		e.stated = slices.Delete(e.stated, 0, 1)
	}
	e.stated = append(e.stated, stated)
	e.slowdown, e.slowdownAt = stated/e.usual(), at
}

// usual returns what the endpoint mostly states, 1 until that is known.
func (e *profile) usual() float64 {
	if len(e.stated) < minStatements {
		return 1
	}
	return median(e.stated)
}

// median returns the middle value of a list, the upper one of two. The list must not be empty.
func median(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}

// State is what is known of an endpoint, for metrics.
type State struct {
	Pace     float64 `json:"pace"`
	Slowdown float64 `json:"slowdown"`
	Samples  int     `json:"samples"`
}

// States returns what is known of each endpoint of which anything is known.
func (p *Profiler) States() map[fescuebank.EndpointID]State {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	states := make(map[fescuebank.EndpointID]State)
	for id, e := range p.endpoints {
		if slowdown := e.currentSlowdown(now); e.pace.known() || slowdown != 1 {
			states[id] = State{Pace: p.lasting(e, now), Slowdown: slowdown, Samples: e.pace.count}
		}
	}
	return states
}
