package dialer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"fescuebank"
)

const (
	// relayTimeout bounds connecting through one instance, and maxRelays is the number of instances
	// that are tried.
	relayTimeout = 300 * time.Millisecond
	maxRelays    = 2
	// relayPause is how long an instance that failed as a relay is not tried again.
	relayPause = time.Second
	// An instance of another zone is preferred if the one of this zone has more than zoneLoadFactor
	// times its load and zoneLoadMargin.
	zoneLoadFactor = 2
	zoneLoadMargin = 16
)

// Relay is another instance that may connect to endpoints for this one.
type Relay struct {
	ID   fescuebank.InstanceID
	Zone fescuebank.Zone
	// Addr is the address for peers.
	Addr string
	// Load is the number of the instance's requests at endpoints and of connections that it relays, per
	// weight.
	Load float64
}

// Errors of a connection through another instance.
var (
	// errNoRelay means that there is no instance to ask.
	errNoRelay = errors.New("no other instance reaches endpoints")
	// errNotReached means that the instances asked did not connect.
	errNotReached = errors.New("no connection through another instance")
	// errRefused means that an instance found that nothing listens at the address.
	errRefused = errors.New("connection refused at another instance")
)

// dialRelayed connects to an endpoint through another instance.
func (d *Dialer) dialRelayed(ctx context.Context, addr string) (net.Conn, error) {
	err := errNoRelay
	for range maxRelays {
		r, ok := d.relays.pick(d.Relays())
		if !ok || ctx.Err() != nil {
			return nil, err
		}
		err = errNotReached
		c, reply, openErr := d.open(ctx, r, addr)
		switch {
		case openErr != nil:
			if ctx.Err() == nil {
				d.relays.recordFailure(r.ID)
			}
		case reply.Connected:
			d.relayed.Add(1)
			return newRelayedConn(c, r.ID, reply.Frames, func() { d.relays.release(r.ID) }), nil
		case reply.Refused:
			d.relays.release(r.ID)
			return nil, errRefused
		}
		d.relays.release(r.ID)
	}
	return nil, err
}

func (d *Dialer) open(ctx context.Context, r Relay, addr string) (net.Conn, fescuebank.DialReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return d.Open(ctx, r.Addr, &fescuebank.DialRequest{Addr: addr, Frames: true})
}

// relayPicker picks the instance through which the next connection is made.
type relayPicker struct {
	zone  fescuebank.Zone
	clock fescuebank.Clock

	mu sync.Mutex
	// failed holds when instances failed, and open how many connections go through each.
	failed map[fescuebank.InstanceID]time.Time
	open   map[fescuebank.InstanceID]int
}

// pick returns an instance of this zone, unless those have far more load than others, and counts
// a connection through it.
func (p *relayPicker) pick(list []Relay) (Relay, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var own, others []Relay
	for _, r := range list {
		if at, failed := p.failed[r.ID]; failed && now.Sub(at) < relayPause {
			continue
		}
		if r.Zone == p.zone {
			own = append(own, r)
			continue
		}
		others = append(others, r)
	}
	best, ok := p.lessLoaded(own)
	if other, found := p.lessLoaded(others); found && (!ok || p.load(best) > zoneLoadFactor*p.load(other)+zoneLoadMargin) {
		best, ok = other, true
	}
	if ok {
		p.open[best.ID]++
	}
	return best, ok
}

// lessLoaded returns the less loaded one of two random instances. The caller holds the lock.
func (p *relayPicker) lessLoaded(list []Relay) (Relay, bool) {
	if len(list) == 0 {
		return Relay{}, false
	}
	one, two := list[rand.N(len(list))], list[rand.N(len(list))]
	if p.load(two) < p.load(one) {
		return two, true
	}
	return one, true
}

// load returns the load of an instance with the connections of this one, which it may not have
// reported yet. The caller holds the lock.
func (p *relayPicker) load(r Relay) float64 {
	return r.Load + float64(p.open[r.ID])
}

// release counts the end of a connection, or of an attempt, through an instance.
func (p *relayPicker) release(id fescuebank.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[id]--
	if p.open[id] <= 0 {
		delete(p.open, id)
	}
}

func (p *relayPicker) recordFailure(id fescuebank.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for other, at := range p.failed {
		if now.Sub(at) >= relayPause {
			delete(p.failed, other)
		}
	}
	p.failed[id] = now
}
