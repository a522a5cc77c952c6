package fescuebank

import (
	"context"
	"math/rand/v2"
	"time"
)

// Clock is the source of time for everything that waits or measures. Now
// carries a monotonic reading where the system has one.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that delivers the time after d has passed.
	After(d time.Duration) <-chan time.Time
}

// Sleep waits for d on c. It returns the context's error if the context ends first.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case <-c.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Elapsed returns the time from t to now by the monotonic or the wall clock, whichever shows
// more: the monotonic clock stops while the machine is suspended.
func Elapsed(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// Jitter returns a random duration from a half to one and a half times d, so that instances
// with the same interval spread out. d is positive.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// RandomTime returns a random duration from 0 to below d, 0 if d isn't positive.
func RandomTime(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}

// Latest returns the later of two times.
func Latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
