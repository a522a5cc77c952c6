package acquirer_test

import (
	"container/heap"
	"context"
	"errors"
	"testing"
	"time"

	"fescuebank"
)

// call is one attempt of a caller.
type call struct {
	at      time.Time
	retried bool
}

// calls is a heap by time.
type calls []call

func (c calls) Len() int           { return len(c) }
func (c calls) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c calls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)        { *c = append(*c, x.(call)) }
func (c *calls) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// TestRefusedCallersReturnWhenTokensAre plays a team that sends four times its rate for
// 2.5 s of every 6. Its callers come back once, when they are told, after 1.6 s at the
// latest. The tokens that accrue between the bursts should serve those who return.
func TestRefusedCallersReturnWhenTokensAre(t *testing.T) {
	const (
		rounds  = 5
		period  = 6 * time.Second
		burst   = 2500 * time.Millisecond
		fast    = time.Second / 64
		slow    = time.Second / 4
		patient = 1600 * time.Millisecond
	)
	w := newWorld(fescuebank.Quota{Rate: 16, Burst: 16}, 9, 9)
	began := w.clock.now
	var queue calls
	for at := time.Duration(0); at < rounds*period; {
		heap.Push(&queue, call{at: began.Add(at)})
		if at%period < burst {
			at += fast
			continue
		}
		at += slow
	}
	returned, servedOnReturn := 0, 0
	for node := 0; queue.Len() > 0; node++ {
		c := heap.Pop(&queue).(call)
		if c.at.After(w.clock.now) {
			w.clock.now = c.at
		}
		err := w.nodes[node%9].Admit(context.Background(), team)
		var refusal *fescuebank.Refusal
		switch {
		case err == nil:
			w.admitted = append(w.admitted, w.clock.now)
			if c.retried {
				servedOnReturn++
			}
		case errors.As(err, &refusal) && !c.retried:
			returned++
			heap.Push(&queue, call{at: w.clock.now.Add(min(refusal.RetryAfter, patient)), retried: true})
		}
	}
	// Between two bursts 3.5 s at 16 a second accrue, of which the bucket holds 16 and
	// slow calls take 14: some 26 a round are there for those who return.
	if got, want := servedOnReturn, rounds*20; got < want {
		t.Errorf("got %d of %d returning callers served, want %d at least", got, returned, want)
	}
	if got := w.excess(fescuebank.Quota{Rate: 16, Burst: 16}); got > 1e-6 {
		t.Errorf("got %f requests over rate and burst, want none", got)
	}
}
