// Package ejector has endpoints avoided that fail requests though they count as healthy.
package ejector

import (
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

const (
	// window is over what time outcomes count, in steps.
	window = 5
	step   = time.Second
	// newsLife is how long what another instance told counts.
	newsLife = 2 * time.Second
	// leastBad is the least number of bad outcomes that eject an endpoint, and
	// leastBadAgain the one that ejects it once more.
	leastBad      = 3
	leastBadAgain = 2
	// leastShare is the least share of bad outcomes that ejects an endpoint, and
	// timesMean by how much it must exceed the share of all others.
	leastShare = 0.25
	timesMean  = 3
	// firstTime is how long an endpoint is left out first. It doubles with each
	// ejection in a row, up to longestTime.
	firstTime   = 4 * time.Second
	longestTime = 6 * time.Second
	// forgetAfter is how long after its return an endpoint counts as sound again.
	forgetAfter = 20 * time.Second
	// mostShare bounds the share of a service's endpoints that are left out.
	mostShare = 1.0 / 3
	// soundHere is the number of good outcomes in this zone, without a bad one, that
	// outweigh bad ones elsewhere.
	soundHere = 4
)

// Config is what an ejector works with.
type Config struct {
	Zone fescuebank.Zone
	// Endpoints returns the known endpoints.
	Endpoints func() []fescuebank.ServedEndpoint
	// Eject has an endpoint avoided for a while.
	Eject func(id fescuebank.EndpointID, d time.Duration)
	Clock fescuebank.Clock
	Log   hclog.Logger
}

// Ejector compares how often endpoints fail. It takes in the outcomes of this instance
// and those that others tell, since one instance sees too few.
type Ejector struct {
	Config

	mu sync.Mutex
	// own are the outcomes of this instance by step, the newest last.
	own []outcomes
	// others are what the other instances told last.
	others map[fescuebank.InstanceID]told
	// ejected are the endpoints that were left out a short time ago.
	ejected map[fescuebank.EndpointTag]ejection
}

// outcomes are those of one step, beginning at began.
type outcomes struct {
	began  time.Time
	counts fescuebank.OutcomeCounts
}

// told is what one instance told.
type told struct {
	at     time.Time
	zone   fescuebank.Zone
	counts fescuebank.OutcomeCounts
	all    fescuebank.Outcomes
}

// ejection is one endpoint's last one.
type ejection struct {
	until time.Time
	// length is how long it lasts.
	length time.Duration
	// adopted is set if another instance decided it.
	adopted bool
}

// New returns an ejector that has seen nothing.
func New(c Config) *Ejector {
	return &Ejector{Config: c, others: make(map[fescuebank.InstanceID]told), ejected: make(map[fescuebank.EndpointTag]ejection)}
}

// Record takes in the outcome of one request. A bad one may eject the endpoint.
func (j *Ejector) Record(id fescuebank.EndpointID, good bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.Clock.Now()
	if n := len(j.own); n == 0 || now.Sub(j.own[n-1].began) >= step {
		j.own = append(j.own, outcomes{began: now, counts: make(fescuebank.OutcomeCounts)})
	}
	j.forget(now)
	j.own[len(j.own)-1].counts.Record(id.Tag(), good)
	if !good {
		j.judge(id, now)
	}
}

// forget drops outcomes that are older than the window.
func (j *Ejector) forget(now time.Time) {
	for len(j.own) > 0 && now.Sub(j.own[0].began) >= window*step {
		j.own = j.own[1:]
	}
}

// FillGossip adds to the gossip what this instance saw lately of the endpoints that failed a
// request of any instance, and which it leaves out by its own judgement.
func (j *Ejector) FillGossip(n *fescuebank.Gossip) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.Clock.Now()
	j.forget(now)
	n.Outcomes = j.sums()
	n.TotalOutcomes = n.Outcomes.Sum()
	maps.DeleteFunc(n.Outcomes, func(tag fescuebank.EndpointTag, o fescuebank.Outcomes) bool {
		return o.Bad == 0 && !j.isSuspect(tag)
	})
	n.Ejected = make(map[fescuebank.EndpointTag]fescuebank.Ejection)
	for tag, e := range j.ejected {
		if left := e.until.Sub(now); left > 0 && !e.adopted {
			n.Ejected[tag] = fescuebank.Ejection{LeftMs: left.Milliseconds(), LengthMs: e.length.Milliseconds()}
		}
	}
}

// sums adds up what this instance saw. The caller holds the lock.
func (j *Ejector) sums() fescuebank.OutcomeCounts {
	sums := make(fescuebank.OutcomeCounts)
	for _, o := range j.own {
		sums.Add(o.counts)
	}
	return sums
}

// isSuspect reports whether another instance saw the endpoint fail.
func (j *Ejector) isSuspect(tag fescuebank.EndpointTag) bool {
	for _, t := range j.others {
		if t.counts[tag].Bad > 0 {
			return true
		}
	}
	return false
}

// ApplyGossip takes in what another instance saw and decided.
func (j *Ejector) ApplyGossip(n *fescuebank.Gossip) {
	calm := len(n.Outcomes)+len(n.Ejected) == 0
	var list []fescuebank.ServedEndpoint
	if !calm {
		list = j.Endpoints()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.Clock.Now()
	j.others[n.From] = told{at: now, zone: n.Zone, counts: n.Outcomes, all: n.TotalOutcomes}
	for _, e := range list {
		tag := e.ID.Tag()
		if by, ok := n.Ejected[tag]; ok {
			j.adopt(e.ID, n.Zone, by, now)
		}
		if n.Outcomes[tag].Bad > 0 {
			j.judge(e.ID, now)
		}
	}
}

// adopt leaves an endpoint out that another instance leaves out, unless that one stands
// in another zone and this zone's requests are served.
func (j *Ejector) adopt(id fescuebank.EndpointID, zone fescuebank.Zone, by fescuebank.Ejection, now time.Time) {
	tag := id.Tag()
	if now.Before(j.ejected[tag].until) || !j.hasRoom(id, now) {
		return
	}
	if zone != j.Zone && isSound(j.seenHere(j.sums(), tag, now)) {
		return
	}
	left := time.Duration(by.LeftMs) * time.Millisecond
	j.eject(id, ejection{until: now.Add(left), length: time.Duration(by.LengthMs) * time.Millisecond, adopted: true}, left)
}

// eject leaves an endpoint out. What was seen of it so far doesn't count afterwards.
func (j *Ejector) eject(id fescuebank.EndpointID, e ejection, left time.Duration) {
	tag := id.Tag()
	j.ejected[tag] = e
	for _, o := range j.own {
		delete(o.counts, tag)
	}
	j.Eject(id, left)
}

// judge ejects the endpoint if it fails far more often than the others. The caller
// holds the lock.
func (j *Ejector) judge(id fescuebank.EndpointID, now time.Time) {
	tag := id.Tag()
	last, known := j.ejected[tag]
	if known && now.Before(last.until) {
		return
	}
	again := known && now.Sub(last.until) < forgetAfter
	seen, mean := j.evidence(tag, now)
	least := leastBad
	if again {
		least = leastBadAgain
	}
	if seen.Bad < least || seen.FailureRatio() < leastShare || seen.FailureRatio() < timesMean*mean || !j.hasRoom(id, now) {
		return
	}
	length := firstTime
	if again {
		length = min(2*last.length, longestTime)
	}
	j.eject(id, ejection{until: now.Add(length), length: length}, length)
	j.Log.Warn("Endpoint is avoided.", "endpoint", string(id), "bad", seen.Bad, "good", seen.Good, "meanShare", mean, "ms", length.Milliseconds())
}

// evidence sums what counts for an endpoint here, and returns the share of bad outcomes
// at all others. What other zones saw counts unless this zone's requests are served.
func (j *Ejector) evidence(tag fescuebank.EndpointTag, now time.Time) (seen fescuebank.Outcomes, mean float64) {
	sums := j.sums()
	all := sums.Sum()
	whole := sums[tag]
	here := j.seenHere(sums, tag, now)
	for _, t := range j.others {
		whole.Add(t.counts[tag])
		all.Add(t.all)
	}
	rest := fescuebank.Outcomes{Good: all.Good - whole.Good, Bad: all.Bad - whole.Bad}
	if isSound(here) {
		return here, rest.FailureRatio()
	}
	return whole, rest.FailureRatio()
}

// seenHere adds what the other instances in this zone saw of an endpoint to the
// outcomes of this one.
func (j *Ejector) seenHere(own fescuebank.OutcomeCounts, tag fescuebank.EndpointTag, now time.Time) fescuebank.Outcomes {
	here := own[tag]
	for id, t := range j.others {
		if now.Sub(t.at) >= newsLife {
			delete(j.others, id)
			continue
		}
		if t.zone == j.Zone {
			here.Add(t.counts[tag])
		}
	}
	return here
}

// isSound reports whether requests are served for certain.
func isSound(o fescuebank.Outcomes) bool {
	return o.Bad == 0 && o.Good >= soundHere
}

// hasRoom reports whether one more endpoint of the service may be left out.
func (j *Ejector) hasRoom(id fescuebank.EndpointID, now time.Time) bool {
	list := j.Endpoints()
	var service fescuebank.ServiceName
	for _, e := range list {
		if e.ID == id {
			service = e.Service
		}
	}
	all, out := 0, 0
	for _, e := range list {
		if e.Service != service || e.Leaving {
			continue
		}
		all++
		if now.Before(j.ejected[e.ID.Tag()].until) {
			out++
		}
	}
	return float64(out+1) <= mostShare*float64(all)
}
