package relayer

import (
	"sync"
	"time"

	"fescuebank"
)

// headerWaitFactor is how long an endpoint may take to begin its response, as a multiple
// of the route's objective, before that counts as a failure. The request itself
// continues.
const headerWaitFactor = 4

// attemptHealth reports at most once whether an endpoint served an attempt. A refusal
// without running the request is not a failure: the request moves on to another endpoint
// at once.
type attemptHealth struct {
	health Health
	id     fescuebank.EndpointID
	once   sync.Once
}

func (h *attemptHealth) record(good bool) {
	h.once.Do(func() { h.health.Record(h.id, good) })
}

// watchHeaderWait records a failure if the response does not begin in time, until stop is
// called.
func (t *transfer) watchHeaderWait(h *attemptHealth) (stop func()) {
	timer := time.AfterFunc(headerWaitFactor*t.objective(), func() { h.record(false) })
	return func() { timer.Stop() }
}
