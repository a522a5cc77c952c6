// Package breaker keeps calls from waiting for instances that don't answer.
package breaker

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// probeGap is the least time from the end of a call that failed to the next one.
	probeGap = 50 * time.Millisecond
	// leastPatience is the least time without an answer that counts as a failure.
	leastPatience = 50 * time.Millisecond
)

// ErrOpen means that a call was not made, because the last ones to the instance
// had no answer and another one is trying it.
var ErrOpen = errors.New("instance does not answer")

// Breaker is a fescuebank.MemberCaller that fails at once while an instance doesn't answer.
type Breaker struct {
	caller fescuebank.MemberCaller
	clock  fescuebank.Clock
	mu     sync.Mutex
	peers  map[fescuebank.InstanceID]*peer
}

// peer is what the calls to one instance showed.
type peer struct {
	// answered is when the newest call that had an answer began.
	answered time.Time
	// open is set by a call without an answer and cleared by an answer.
	open bool
	// probe is when the call began that tries the instance though open is set; zero
	// without one.
	probe time.Time
	// failed is when the last call without an answer ended.
	failed time.Time
}

// New returns a breaker that has seen no failure.
func New(caller fescuebank.MemberCaller, clock fescuebank.Clock) *Breaker {
	return &Breaker{caller: caller, clock: clock, peers: make(map[fescuebank.InstanceID]*peer)}
}

// Call calls the member, or returns ErrOpen at once if it doesn't answer. While
// that is so, one call at a time tries it.
func (b *Breaker) Call(ctx context.Context, id fescuebank.InstanceID, kind fescuebank.MessageKind, message, reply any) error {
	began, ok := b.begin(id)
	if !ok {
		return eris.Wrap(ErrOpen, "Breaker.Call")
	}
	err := b.caller.Call(ctx, id, kind, message, reply)
	b.end(id, began, err, errors.Is(ctx.Err(), context.Canceled))
	return err
}

func (b *Breaker) begin(id fescuebank.InstanceID) (began time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	p := b.peers[id]
	if p == nil {
		p = &peer{}
		b.peers[id] = p
	}
	if !p.open {
		return now, true
	}
	if !p.probe.IsZero() || now.Sub(p.failed) < probeGap {
		return now, false
	}
	p.probe = now
	return now, true
}

// end takes in the outcome of a call. One that its caller left, or that had hardly
// any time, shows nothing.
func (b *Breaker) end(id fescuebank.InstanceID, began time.Time, err error, left bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[id]
	if began.Equal(p.probe) {
		p.probe = time.Time{}
	}
	now := b.clock.Now()
	if !isSilence(err) {
		p.open = false
		if began.After(p.answered) {
			p.answered = began
		}
		return
	}
	hurried := errors.Is(err, fescuebank.ErrPeerLost) && now.Sub(began) < leastPatience
	if left || hurried || began.Before(p.answered) {
		return
	}
	p.open = true
	p.failed = now
}

// isSilence reports whether an error means that the instance gave no answer.
func isSilence(err error) bool {
	return errors.Is(err, fescuebank.ErrPeerLost) || errors.Is(err, fescuebank.ErrPeerUnreached)
}
