package quarantiner

import (
	"slices"
	"time"

	"fescuebank"
)

// incident is the loss of one endpoint as seen by this instance.
type incident struct {
	at time.Time
	// requests are the online requests that were running at the endpoint.
	requests []fescuebank.Fingerprint
}

// incidentFor returns the incident of an endpoint that was lost now, and drops those that are
// older than outageWindow. The caller holds mu.
func (q *Quarantiner) incidentFor(id fescuebank.EndpointID, now time.Time) *incident {
	for other, in := range q.incidents {
		if now.Sub(in.at) > outageWindow {
			delete(q.incidents, other)
		}
	}
	in, ok := q.incidents[id]
	if !ok {
		in = &incident{at: now}
		q.incidents[id] = in
	}
	return in
}

// findOutage treats losses of other endpoints under other requests as evidence of an
// outage and retracts them, unless a crash record of one of the requests was received.
// The caller holds mu.
func (q *Quarantiner) findOutage(id fescuebank.EndpointID, in *incident) {
	if q.anyReported(in.requests) {
		return
	}
	for other, o := range q.incidents {
		if other == id || sharesAny(o.requests, in.requests) || q.anyReported(o.requests) {
			continue
		}
		q.retractLoss(other, o)
		q.retractLoss(id, in)
	}
}

// anyReported reports whether a crash record of any of the requests was received from
// another instance or the store.
func (q *Quarantiner) anyReported(list []fescuebank.Fingerprint) bool {
	return slices.ContainsFunc(list, func(f fescuebank.Fingerprint) bool {
		s, ok := q.suspects[f]
		return ok && len(s.reported) > 0
	})
}

func sharesAny(a, b []fescuebank.Fingerprint) bool {
	return slices.ContainsFunc(a, func(f fescuebank.Fingerprint) bool { return slices.Contains(b, f) })
}

// retractLoss removes a loss from all requests that this instance attributed it to.
func (q *Quarantiner) retractLoss(id fescuebank.EndpointID, in *incident) {
	for _, f := range in.requests {
		s, ok := q.suspects[f]
		if !ok {
			continue
		}
		delete(s.own, id)
		if len(s.lost()) == 0 {
			delete(q.suspects, f)
		}
	}
}
