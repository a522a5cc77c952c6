package profiler

import (
	"math"
	"time"

	"fescuebank"
)

const (
	// sampleEvents is the number of events of which one sample consists.
	sampleEvents = 8
	// maxGap is the longest time between two reads after which a sample counts: an endpoint that is silent
	// for longer has stopped.
	maxGap = time.Second
	// minSlowdown is the factor from which the latest events of a stream show a slowdown.
	minSlowdown = 1.4
)

// Work times one stream or batch item at an endpoint. It isn't safe for concurrent use. A nil Work
// times nothing.
type Work struct {
	profiler *Profiler
	endpoint fescuebank.EndpointIncarnationTag
	kind     Kind
	// events is the number of events that have arrived since a time, at which the sample begins; zero before
	// the first event.
	events int
	since  time.Time
	// last is when the last events arrived.
	last time.Time
}

// Begin returns the timer of a request that begins at an endpoint. A nil Profiler returns nil.
func (p *Profiler) Begin(e fescuebank.ServedEndpoint, r *fescuebank.Request) *Work {
	if p == nil {
		return nil
	}
	return &Work{profiler: p, endpoint: e.IncarnationTag(), kind: Kind{Service: e.Service, Route: r.Route.Name}}
}

// Arrived records that events have arrived.
func (w *Work) Arrived(events int) {
	if w == nil || events == 0 {
		return
	}
	now := w.profiler.Clock.Now()
	if w.since.IsZero() || now.Sub(w.last) > maxGap {
		w.events, w.since, w.last = 0, now, now
		return
	}
	w.events += events
	w.last = now
	if w.events >= sampleEvents {
		w.profiler.observeWork(w, now.Sub(w.since)/time.Duration(w.events), now)
		w.events, w.since = 0, now
	}
}

// Interrupt discards the time since the last sample, as events were not read when they arrived.
func (w *Work) Interrupt() {
	if w != nil {
		w.since = time.Time{}
	}
}

// observeWork applies the time per event of work at an endpoint.
func (p *Profiler) observeWork(w *Work, perEvent time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byTag[w.endpoint]
	if e == nil || perEvent <= 0 {
		return
	}
	logarithm := math.Log(perEvent.Seconds())
	typical := p.kind(w.kind)
	wasKnown := typical.known()
	// Paces are relative to each other only; typical follows them.
	typical.add(logarithm-e.pace.value, 1)
	if !wasKnown {
		return
	}
	sample := logarithm - typical.value
	e.unsent.samples++
	e.unsent.sum += sample
	e.observeEvents(sample, now)
	e.pace.add(sample, 1)
}

// observeEvents takes the latest events of a stream for a slowdown, or for the end of one, unless the
// endpoint states its slowdown.
func (e *profile) observeEvents(sample float64, now time.Time) {
	if len(e.stated) > 0 || !e.pace.known() {
		return
	}
	slowdown := ratio(sample - e.pace.value)
	if slowdown < minSlowdown {
		slowdown = 1
	}
	e.slowdown, e.slowdownAt = slowdown, now
}

// kind returns the average of a kind of work. The caller holds the lock.
func (p *Profiler) kind(k Kind) *average {
	known := p.kinds[k]
	if known != nil {
		return known
	}
	if len(p.kinds) >= maxKinds {
		clear(p.kinds)
	}
	known = &average{}
	p.kinds[k] = known
	return known
}
