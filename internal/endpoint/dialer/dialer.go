// Package dialer connects to endpoints, by way of another instance if this one can't reach them. It
// finds out when this instance reaches no endpoint, and when it does again.
package dialer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

const (
	// directTimeout bounds connecting directly.
	directTimeout = time.Second
	// relayDelay is how long a direct attempt may take before one through another instance is
	// made beside it.
	relayDelay = 150 * time.Millisecond
)

// Config holds a dialer's dependencies.
type Config struct {
	Zone fescuebank.Zone
	// Endpoints returns the known endpoints.
	Endpoints func() []fescuebank.ServedEndpoint
	// Relays returns the other instances that may connect to endpoints for this one.
	Relays func() []Relay
	// Connect opens a connection to the endpoint at an address from this instance.
	Connect func(ctx context.Context, addr string) (net.Conn, error)
	// Open opens a connection to an instance that is to connect it to an endpoint.
	Open func(ctx context.Context, peer string, request *fescuebank.DialRequest) (net.Conn, fescuebank.DialReply, error)
	// OnChange is called when this instance has lost all endpoints, and when it reaches them again.
	OnChange func(lost bool)
	// OnRefused, if set, is called when an endpoint refused a direct connection.
	OnRefused func(addr string)
	Clock     fescuebank.Clock
	Log       hclog.Logger
}

// Dialer connects to endpoints.
type Dialer struct {
	Config
	relays  relayPicker
	silence silenceWatch
	// relayed is the number of connections made through other instances.
	relayed atomic.Int64

	mu    sync.Mutex
	state reachState
}

// New returns a dialer of an instance that reaches the endpoints as far as is known.
func New(c Config) *Dialer {
	d := &Dialer{Config: c}
	d.relays = relayPicker{zone: c.Zone, clock: c.Clock, failed: make(map[fescuebank.InstanceID]time.Time), open: make(map[fescuebank.InstanceID]int)}
	d.silence = silenceWatch{clock: c.Clock, onSilence: d.startCheck, began: c.Clock.Now()}
	d.state.failed = make(map[string]time.Time)
	return d
}

// Dial connects to the endpoint at addr. Nothing has been sent to the endpoint if it fails.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	if !d.Lost() {
		return d.race(ctx, addr)
	}
	c, err := d.dialRelayed(ctx, addr)
	if err == nil || d.Lost() {
		return c, err
	}
	return d.dialDirect(ctx, addr)
}

// attempts are the attempts to connect to one endpoint.
type attempts struct {
	*Dialer
	addr    string
	results chan dialed
	// running is the number of attempts in progress, and relaying is set once one was made through
	// another instance.
	running  int
	relaying bool
}

// dialed is the outcome of an attempt to connect.
type dialed struct {
	conn    net.Conn
	relayed bool
	err     error
}

// race connects directly, and through another instance besides if that takes long or fails while other
// endpoints can't be reached either. The first connection is used.
func (d *Dialer) race(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempts{Dialer: d, addr: addr, results: make(chan dialed, 2)}
	a.startDirect(ctx)
	slow := d.Clock.After(relayDelay)
	var failure error
	for a.running > 0 {
		select {
		case <-slow:
			d.recordFailure(addr)
			a.startRelayed(ctx)
		case r := <-a.results:
			a.running--
			if r.err == nil {
				go closeLate(a.results, a.running)
				return r.conn, nil
			}
			if r.relayed {
				continue
			}
			failure = r.err
			if ctx.Err() == nil && d.Doubtful() {
				a.startRelayed(ctx)
			}
		}
	}
	return nil, failure
}

func (a *attempts) startDirect(ctx context.Context) {
	a.running++
	go func() {
		c, err := a.dialDirect(ctx, a.addr)
		a.results <- dialed{conn: c, err: err}
	}()
}

// startRelayed makes an attempt through another instance unless one was made.
func (a *attempts) startRelayed(ctx context.Context) {
	if a.relaying {
		return
	}
	a.relaying = true
	a.running++
	go func() {
		c, err := a.dialRelayed(ctx, a.addr)
		a.results <- dialed{conn: c, relayed: true, err: err}
	}()
}

// closeLate closes the connections of attempts that end after another one was used.
func closeLate(results <-chan dialed, running int) {
	for range running {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}

// dialDirect connects to an endpoint without another instance, and records whether that succeeded.
func (d *Dialer) dialDirect(ctx context.Context, addr string) (net.Conn, error) {
	c, err := d.Connect(ctx, addr)
	if err == nil {
		d.recordReached()
		return d.silence.wrap(c), nil
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		d.recordFailure(addr)
	}
	if d.OnRefused != nil && IsRefused(err) {
		d.OnRefused(addr)
	}
	return nil, err
}

// Connect opens a TCP connection to an endpoint.
func Connect(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
}

// IsRefused reports whether an attempt to connect shows that nothing listens at the address.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// Direct connects to the endpoint at addr without another instance.
func Direct(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	return Connect(ctx, addr)
}
