package acquirer_test

import (
	"container/heap"
	"context"
	"errors"
	"testing"
	"time"

	"fescuebank"
)

// attempt is one request of a caller, or its retry.
type attempt struct {
	at      time.Time
	retried bool
}

// attemptHeap is a heap of attempts by time.
type attemptHeap []attempt

func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h attemptHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *attemptHeap) Push(x any)        { *h = append(*h, x.(attempt)) }
func (h *attemptHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// TestRefusedCallersRetryWhenTokensAreAvailable simulates a team that sends four times
// its rate for 2.5 s of every 6 s. Its refused callers retry once, after the given time
// but at most 1.6 s. Tokens that accrue between the bursts must serve most retries: if
// each Retry-After were the time of the next token, most retries would be refused again.
func TestRefusedCallersRetryWhenTokensAreAvailable(t *testing.T) {
	const (
		rounds        = 5
		period        = 6 * time.Second
		burst         = 2500 * time.Millisecond
		burstGap      = time.Second / 64
		idleGap       = time.Second / 4
		maxRetryDelay = 1600 * time.Millisecond
	)
	f := newFleet(fescuebank.Quota{Rate: 16, Burst: 16}, 9, 9)
	began := f.clock.now
	var queue attemptHeap
	for at := time.Duration(0); at < rounds*period; {
		heap.Push(&queue, attempt{at: began.Add(at)})
		if at%period < burst {
			at += burstGap
			continue
		}
		at += idleGap
	}
	retries, servedRetries := 0, 0
	for next := 0; queue.Len() > 0; next++ {
		a := heap.Pop(&queue).(attempt)
		if a.at.After(f.clock.now) {
			f.clock.now = a.at
		}
		err := f.instances[next%9].Admit(context.Background(), testTeam)
		var refusal *fescuebank.Refusal
		switch {
		case err == nil:
			f.admitted = append(f.admitted, f.clock.now)
			if a.retried {
				servedRetries++
			}
		case errors.As(err, &refusal) && !a.retried:
			retries++
			heap.Push(&queue, attempt{at: f.clock.now.Add(min(refusal.RetryAfter, maxRetryDelay)), retried: true})
		}
	}
	// Between two bursts, tokens accrue for 3.5 s at 16 per second. The bucket holds 16 of
	// these 56 and requests between the bursts take 14: some 26 per round remain for
	// retries.
	if got, want := servedRetries, rounds*20; got < want {
		t.Errorf("got %d of %d retries admitted, want at least %d", got, retries, want)
	}
	if got := f.excess(fescuebank.Quota{Rate: 16, Burst: 16}); got > 1e-6 {
		t.Errorf("got %f requests over rate and burst, want none", got)
	}
}
