package storer

import (
	"context"

	"golang.org/x/time/rate"

	"fescuebank"
)

// rateLimiter limits the call rate of one client of the store, so that the fleet stays
// within the store's rate limits, also after an outage.
type rateLimiter struct {
	clock   fescuebank.Clock
	limiter *rate.Limiter
}

// burstSeconds is the burst, as the number of seconds of the sustained rate.
const burstSeconds = 2

func newRateLimiter(callsPerSecond float64, clock fescuebank.Clock) *rateLimiter {
	return &rateLimiter{clock: clock, limiter: rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(callsPerSecond*burstSeconds)))}
}

// wait blocks until the rate allows a call. It returns at once with an error if that
// would be after the deadline of ctx.
func (l *rateLimiter) wait(ctx context.Context) error {
	now := l.clock.Now()
	r := l.limiter.ReserveN(now, 1)
	d := r.DelayFrom(now)
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(now) < d {
		r.CancelAt(now)
		return context.DeadlineExceeded
	}
	if d <= 0 {
		return nil
	}
	select {
	case <-l.clock.After(d):
		return nil
	case <-ctx.Done():
		r.CancelAt(l.clock.Now())
		return ctx.Err()
	}
}
