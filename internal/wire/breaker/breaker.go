// Package breaker implements a circuit breaker for calls between instances.
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
	// probeInterval is the minimum time from the end of a failed call to the next probe.
	probeInterval = 50 * time.Millisecond
	// minTimeout is how long a call must have waited for its reply before the loss of
	// the reply counts as a failure of the instance.
	minTimeout = 50 * time.Millisecond
)

// ErrOpen means that a call was not made, because an earlier call to the instance got no
// reply and the next probe is not due yet or is still running.
var ErrOpen = errors.New("circuit open: instance is not responding")

// Breaker is a fescuebank.MemberCaller that fails at once while an instance does not
// respond.
type Breaker struct {
	caller   fescuebank.MemberCaller
	clock    fescuebank.Clock
	mu       sync.Mutex
	circuits map[fescuebank.InstanceID]*circuit
}

// circuit is the state of the calls to one instance.
type circuit struct {
	// lastReply is the latest start time of a call that got a reply.
	lastReply time.Time
	// open is set by a call without a reply and cleared by a reply.
	open bool
	// probeStarted is the start time of the running probe, a call that is made while
	// open is set. It is zero if none is running.
	probeStarted time.Time
	// lastFailure is the end time of the last call without a reply.
	lastFailure time.Time
}

// New returns a breaker whose circuits are closed.
func New(caller fescuebank.MemberCaller, clock fescuebank.Clock) *Breaker {
	return &Breaker{caller: caller, clock: clock, circuits: make(map[fescuebank.InstanceID]*circuit)}
}

// Call calls the member. While the member's circuit is open, Call returns ErrOpen at
// once, except for one probe at a time.
func (b *Breaker) Call(ctx context.Context, id fescuebank.InstanceID, kind fescuebank.MessageKind, message, reply any) error {
	started, ok := b.allow(id)
	if !ok {
		return eris.Wrap(ErrOpen, "Breaker.Call")
	}
	err := b.caller.Call(ctx, id, kind, message, reply)
	b.record(id, started, err, errors.Is(ctx.Err(), context.Canceled))
	return err
}

func (b *Breaker) allow(id fescuebank.InstanceID) (started time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	c := b.circuits[id]
	if c == nil {
		c = &circuit{}
		b.circuits[id] = c
	}
	if !c.open {
		return now, true
	}
	if !c.probeStarted.IsZero() || now.Sub(c.lastFailure) < probeInterval {
		return now, false
	}
	c.probeStarted = now
	return now, true
}

// record updates the circuit with the outcome of a call. The lack of a reply is ignored
// if the caller canceled the call, if the reply was lost within minTimeout, as under a
// very short timeout of the caller, or if a call that started later got a reply.
func (b *Breaker) record(id fescuebank.InstanceID, started time.Time, err error, canceled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.circuits[id]
	if started.Equal(c.probeStarted) {
		c.probeStarted = time.Time{}
	}
	now := b.clock.Now()
	if !isNoReply(err) {
		c.open = false
		if started.After(c.lastReply) {
			c.lastReply = started
		}
		return
	}
	tooShort := errors.Is(err, fescuebank.ErrPeerLost) && now.Sub(started) < minTimeout
	if canceled || tooShort || started.Before(c.lastReply) {
		return
	}
	c.open = true
	c.lastFailure = now
}

// isNoReply reports whether err means that the instance sent no reply.
func isNoReply(err error) bool {
	return errors.Is(err, fescuebank.ErrPeerLost) || errors.Is(err, fescuebank.ErrPeerUnreachable)
}
