package balancer

import (
	"slices"
	"sync/atomic"
	"time"

	"fescuebank"
)

// rampTime is the slow-start period of a new or recovered endpoint.
const rampTime = 10 * time.Second

// Target is this instance's view of one endpoint. Times are in Unix nanoseconds.
type Target struct {
	spec atomic.Pointer[fescuebank.EndpointSpec]
	// online and batch count this instance's requests in flight at the endpoint.
	online atomic.Int64
	batch  atomic.Int64
	// limit bounds online. The endpoint's owner sets it through credits; without
	// a valid credit it is adapted to the first-token latency.
	limit atomic.Int64
	// credited is set while there is a valid credit.
	credited atomic.Bool
	// reportedOtherRequests estimates the other instances' requests from the endpoint's
	// load report, which arrived at reportedAtNanos.
	reportedOtherRequests atomic.Int64
	reportedAtNanos       atomic.Int64
	// creditedOtherRequests is the owner's count of other instances' online requests.
	creditedOtherRequests atomic.Int64
	// rampStartNanos is when the endpoint was added or recovered. It is 0
	// for the endpoints of the first list, which start at full capacity.
	rampStartNanos atomic.Int64
	// ejectedUntilNanos is until when the endpoint gets no requests, after failures in a row.
	ejectedUntilNanos atomic.Int64
	failures          atomic.Int64
	// leaving is set if the configuration or the newest load report says so, and reportedLeaving if the
	// report does.
	leaving         atomic.Bool
	reportedLeaving atomic.Bool
	// reportedModels are the models in the newest load report; nil until the first report.
	reportedModels atomic.Pointer[[]fescuebank.ModelName]
}

// servedModels returns the models that the endpoint can serve now: those that are
// both configured and reported, or all configured ones before the first report.
func (t *Target) servedModels() []fescuebank.ModelName {
	spec := t.spec.Load()
	reported := t.reportedModels.Load()
	if reported == nil {
		return spec.Models
	}
	var served []fescuebank.ModelName
	for _, m := range *reported {
		if slices.Contains(spec.Models, m) {
			served = append(served, m)
		}
	}
	return served
}

// ramp returns the fraction of its capacity that an endpoint in slow start may use.
func (t *Target) ramp(now int64) float64 {
	start := t.rampStartNanos.Load()
	if start == 0 || now-start >= int64(rampTime) {
		return 1
	}
	return float64(now-start) / float64(rampTime)
}

// canAccept reports whether the endpoint can accept one more online request.
func (t *Target) canAccept(now int64, avoid []fescuebank.EndpointID) bool {
	if t.leaving.Load() || now < t.ejectedUntilNanos.Load() || t.online.Load() >= t.limit.Load() {
		return false
	}
	return len(avoid) == 0 || !slices.Contains(avoid, t.spec.Load().ID)
}

// reserve counts one more online request, or returns false if the endpoint is full.
func (t *Target) reserve() bool {
	for {
		n := t.online.Load()
		if n >= t.limit.Load() {
			return false
		}
		if t.online.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release frees a reserved slot.
func (t *Target) Release() {
	t.online.Add(-1)
}

// ID returns the endpoint's id.
func (t *Target) ID() fescuebank.EndpointID {
	return t.spec.Load().ID
}

// Spec returns the endpoint's description.
func (t *Target) Spec() fescuebank.EndpointSpec {
	return *t.spec.Load()
}

// Online returns the number of this instance's online requests in flight.
func (t *Target) Online() int {
	return int(t.online.Load())
}

// OtherRequests returns the number of other instances' requests, estimated from the load
// report.
func (t *Target) OtherRequests() int {
	return int(t.reportedOtherRequests.Load())
}

// Batch returns the number of this instance's batch requests in flight.
func (t *Target) Batch() int {
	return int(t.batch.Load())
}

// AddBatch adds n to the number of this instance's batch requests in flight.
func (t *Target) AddBatch(n int) {
	t.batch.Add(int64(n))
}

// Limit returns the maximum number of this instance's online requests.
func (t *Target) Limit() int {
	return int(t.limit.Load())
}

// ApplyCredit sets the limit granted by the endpoint's owner and the owner's count of
// other instances' online requests.
func (t *Target) ApplyCredit(limit, otherRequests int) {
	t.credited.Store(true)
	t.limit.Store(int64(max(1, limit)))
	t.creditedOtherRequests.Store(int64(otherRequests))
}

// ExpireCredit marks the owner's last credit as expired.
func (t *Target) ExpireCredit() {
	t.credited.Store(false)
}

// AdaptLimit adjusts the limit to a first-token latency while there is no valid credit
// from the owner: multiplicative decrease by a tenth if the latency is above the bound;
// otherwise additive increase by one, up to the endpoint's slots, if the limit is nearly
// used up.
func (t *Target) AdaptLimit(latency, bound time.Duration) {
	if t.credited.Load() {
		return
	}
	limit := t.limit.Load()
	if latency > bound {
		t.limit.CompareAndSwap(limit, max(1, limit*9/10))
		return
	}
	if t.online.Load()+1 >= limit && limit < int64(t.spec.Load().Slots) {
		t.limit.CompareAndSwap(limit, limit+1)
	}
}

// RecordSuccess resets the count of consecutive failures.
func (t *Target) RecordSuccess() {
	if t.failures.Load() != 0 {
		t.failures.Store(0)
	}
}
