package allocator_test

import (
	"fmt"
	"slices"
	"time"
)

// The endpoints of an uneven fleet: a quarter takes fastPace times as long as the rest, and each one
// has moments at which work takes momentFactor times as long.
const (
	fastPace     = 0.46
	fastEvery    = 4
	momentLength = 600 * time.Millisecond
	momentShare  = 0.15
	momentFactor = 2.5

	// headTime is the time from the start of work at the typical endpoint to the head of its response,
	// and eventTime that for each event. Requests have minEvents to maxEvents, items itemEvents.
	headTime   = 35 * time.Millisecond
	eventTime  = 30 * time.Millisecond
	minEvents  = 8
	maxEvents  = 30
	itemEvents = 129
	// turningSlow endpoints of a fleet turn slow in the moments from slowFrom to slowUntil.
	turningSlow = 3
	slowFrom    = 5
	slowUntil   = 12

	// unevenLength is how long a load is simulated, and keepAliveTime how long an idle connection
	// stays open.
	unevenLength  = 12 * time.Second
	keepAliveTime = 9500 * time.Millisecond
)

// unevenLoad is a load that an uneven fleet is given.
type unevenLoad struct {
	// mean is the mean rate of online requests, and items that of batch items, both per second.
	mean, items float64
	// wave is set if online requests come in crests.
	wave bool
	// paces is set if the instances weigh the paces of endpoints.
	paces bool
	// turnsSlow is set if turningSlow endpoints have no other moments of slowness than one long one.
	turnsSlow bool
	// lostRequests is the number of requests that occupy each endpoint at the beginning and that no
	// instance counts.
	lostRequests int
	// reports is set if the endpoints report their load.
	reports bool
}

// unevenResult counts what callers got.
type unevenResult struct {
	requests, inTime, late, refused int
	// full counts the requests that reached an endpoint without a free slot, fast those at fast endpoints, ownZone
	// those at an endpoint of the instance's zone, and reused those on an open connection.
	full, fast, ownZone, reused int
	itemsDone, preempted        int
	// atTurning counts the requests at the endpoints that turn slow, by moment.
	atTurning [2 * unevenLength / momentLength]int
	totals    []time.Duration
}

// add adds the counts of another run.
func (r *unevenResult) add(other *unevenResult) {
	r.requests += other.requests
	r.inTime += other.inTime
	r.late += other.late
	r.refused += other.refused
	r.full += other.full
	r.fast += other.fast
	r.ownZone += other.ownZone
	r.reused += other.reused
	r.itemsDone += other.itemsDone
	r.preempted += other.preempted
	for m, n := range other.atTurning {
		r.atTurning[m] += n
	}
	r.totals = append(r.totals, other.totals...)
}

func (r *unevenResult) share(n int) float64 {
	return float64(n) / float64(max(1, r.requests))
}

func (r *unevenResult) quantile(q float64) time.Duration {
	slices.Sort(r.totals)
	if len(r.totals) == 0 {
		return 0
	}
	return r.totals[int(q*float64(len(r.totals)-1))]
}

// mean returns how long the requests took on average.
func (r *unevenResult) mean() time.Duration {
	sum := time.Duration(0)
	for _, d := range r.totals {
		sum += d
	}
	return sum / time.Duration(max(1, len(r.totals)))
}

func (r *unevenResult) String() string {
	served := float64(max(1, r.requests-r.refused))
	return fmt.Sprintf("%d requests: in time %.3f, late %.3f, refused %.3f; of the served %.3f at full endpoints, %.3f at fast ones, %.3f in the own zone, %.3f on open connections; total mean %v, p50 %v, p99 %v; %d items done, %d preempted",
		r.requests, r.share(r.inTime), r.share(r.late), r.share(r.refused), float64(r.full)/served, float64(r.fast)/served, float64(r.ownZone)/served, float64(r.reused)/served,
		r.mean().Round(time.Millisecond), r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond), r.itemsDone, r.preempted)
}
