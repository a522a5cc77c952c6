package allocator

import (
	"math"
	"time"

	"fescuebank"
)

const (
	// reportTTL is how long an endpoint's load report is used.
	reportTTL = time.Second
	// minReportTolerance is the least number of requests by which an endpoint's report may exceed
	// the known counts, as the gossip that counts them may still be in transit.
	minReportTolerance = 1
)

// loadReport is an endpoint's own count of its requests. It shows the requests that no instance counts,
// as those of instances that have lost power, or that this one doesn't hear. The requests that
// others began shortly before the report are counted by their next messages: until these have
// arrived the report and the counts are compared anew with each of them, and no longer then.
type loadReport struct {
	// others is the number of reported requests that are not this instance's.
	others int
	at     time.Time
	// tolerance is the number of requests of which the report may be ahead of the counts.
	tolerance int
	// settled is set once the counts are as new as the report; unaccounted is then how many
	// requests the report has beyond them.
	settled     bool
	unaccounted int
}

// apply replaces the report by a later one.
func (r *loadReport) apply(others int, at time.Time, tolerance int) {
	if at.Before(r.at) {
		return
	}
	*r = loadReport{others: max(0, others), at: at, tolerance: tolerance}
}

// beyond returns how many requests the report has beyond the known ones of other instances.
func (r *loadReport) beyond(known int, now time.Time) int {
	if now.Sub(r.at) >= reportTTL {
		return 0
	}
	if r.settled {
		return r.unaccounted
	}
	return max(0, r.others-known-r.tolerance)
}

// settle compares the report with counts that are up to lag old for the last time.
func (r *loadReport) settle(known int, now time.Time, lag time.Duration) {
	if r.settled || now.Sub(r.at) < lag {
		return
	}
	r.unaccounted, r.settled = r.beyond(known, now), true
}

// ObserveReport applies the number of requests that an endpoint reported to another instance.
func (a *Allocator) ObserveReport(id fescuebank.EndpointID, requests int, age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.endpoints[id]; e != nil {
		now := a.clock.Now()
		e.report.apply(requests-e.ownRequests, now.Add(-age), a.reportTolerance(e, now))
	}
}

// reportTolerance returns by how many requests a report of an endpoint may exceed the known counts:
// one, or what the other instances are expected to have sent there unseen. The caller holds the
// lock.
func (a *Allocator) reportTolerance(e *endpoint, now time.Time) int {
	unreported := a.estimateUnreported(now) / float64(max(1, len(a.usable(e.Service, "", now))))
	return minReportTolerance + int(math.Round(unreported))
}
