package storer

import (
	"context"

	"golang.org/x/time/rate"

	"fescuebank"
)

// pacer keeps the calls of one instance within its budget, so that the fleet
// stays within the store's rates after an outage too.
type pacer struct {
	clock   fescuebank.Clock
	limiter *rate.Limiter
}

// burstSeconds is how much of the budget may be spent at once.
const burstSeconds = 2

func newPacer(perSecond float64, clock fescuebank.Clock) *pacer {
	return &pacer{clock: clock, limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))}
}

// wait blocks until the budget allows a call.
func (p *pacer) wait(ctx context.Context) error {
	now := p.clock.Now()
	r := p.limiter.ReserveN(now, 1)
	d := r.DelayFrom(now)
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(now) < d {
		r.CancelAt(now)
		return context.DeadlineExceeded
	}
	if d <= 0 {
		return nil
	}
	select {
	case <-p.clock.After(d):
		return nil
	case <-ctx.Done():
		r.CancelAt(p.clock.Now())
		return ctx.Err()
	}
}
