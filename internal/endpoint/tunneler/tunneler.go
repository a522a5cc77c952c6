// Package tunneler connects other instances, which can't reach the endpoints, to them.
package tunneler

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/endpoint/dialer"
	"fescuebank/internal/operate/meter"
)

const (
	// dialTimeout bounds connecting to an endpoint.
	dialTimeout = 250 * time.Millisecond
	// maxTunnels bounds the number of open tunnels.
	maxTunnels = 512
	// bufferBytes is the size of the buffer for each direction of a tunnel.
	bufferBytes = 4 << 10
)

// Errors of a request for a tunnel.
var (
	errUnknownEndpoint = errors.New("no endpoint has the address")
	errTooMany         = errors.New("too many tunnels")
	errClosed          = errors.New("this instance opens no tunnels")
)

// Config holds a tunneler's dependencies.
type Config struct {
	// Endpoints returns the known endpoints. Tunnels lead to no other addresses.
	Endpoints func() []fescuebank.ServedEndpoint
	// Connect opens a connection to the endpoint at an address from this instance.
	Connect func(ctx context.Context, addr string) (net.Conn, error)
	// Closed reports whether this instance opens no tunnels, as it reaches no endpoint or is about
	// to shut down.
	Closed func() bool
	// OnChange is called when the number of tunnels changes.
	OnChange func()
	Meter    *meter.Meter
	Clock    fescuebank.Clock
	Log      hclog.Logger
}

// Tunneler copies bytes between other instances and endpoints. It connects to endpoints directly only,
// so that no request passes through more than one other instance.
type Tunneler struct {
	Config

	mu      sync.Mutex
	tunnels map[*tunnel]bool
	// connecting is the number of tunnels that are being opened.
	connecting int
}

// New returns a tunneler without tunnels.
func New(c Config) *Tunneler {
	return &Tunneler{Config: c, tunnels: make(map[*tunnel]bool)}
}

// Active returns the number of open tunnels.
func (t *Tunneler) Active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.tunnels)
}

// CloseAll closes all tunnels, so that their users find out at once.
func (t *Tunneler) CloseAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for u := range t.tunnels {
		u.giveUp()
	}
}

// Handle connects to the endpoint of a fescuebank.DialRequest.
func (t *Tunneler) Handle(ctx context.Context, decode func(into any) error) (reply any, serve func(net.Conn), err error) {
	var request fescuebank.DialRequest
	if err := decode(&request); err != nil {
		return nil, nil, err
	}
	if err := t.begin(request.Addr); err != nil {
		return nil, nil, err
	}
	endpoint, err := t.connect(ctx, request.Addr)
	if err != nil {
		t.add(nil)
		return &fescuebank.DialReply{Refused: dialer.IsRefused(err)}, nil, nil
	}
	u := &tunnel{clock: t.Clock, endpoint: endpoint, framed: request.Frames, began: t.Clock.Now()}
	t.add(u)
	return &fescuebank.DialReply{Connected: true, Frames: u.framed}, func(user net.Conn) { t.serve(u, user) }, nil
}

// begin admits a tunnel to the address.
func (t *Tunneler) begin(addr string) error {
	if t.Closed() {
		return errClosed
	}
	if !t.isEndpoint(addr) {
		return errUnknownEndpoint
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.tunnels)+t.connecting >= maxTunnels {
		return errTooMany
	}
	t.connecting++
	return nil
}

// add adds a tunnel that was being opened; nil if that failed.
func (t *Tunneler) add(u *tunnel) {
	t.mu.Lock()
	t.connecting--
	if u != nil {
		t.tunnels[u] = true
	}
	t.mu.Unlock()
	t.OnChange()
}

func (t *Tunneler) isEndpoint(addr string) bool {
	for _, e := range t.Endpoints() {
		if e.Addr == addr {
			return true
		}
	}
	return false
}

func (t *Tunneler) connect(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := t.Connect(ctx, addr)
	if err != nil {
		t.Log.Debug("Endpoint of a tunnel not reached.", "addr", addr, "err", err.Error())
		return nil, err
	}
	return c, nil
}

// serve serves a tunnel until it ends.
func (t *Tunneler) serve(u *tunnel, user net.Conn) {
	u.serve(user)
	t.logEnd(u, user)
	t.mu.Lock()
	delete(t.tunnels, u)
	t.mu.Unlock()
	t.OnChange()
}

// logEnd logs and counts how a tunnel ended. There is a tunnel for each request of an instance that is cut off, so only
// ends that may have cut a response short are logged by default.
func (t *Tunneler) logEnd(u *tunnel, user net.Conn) {
	level := hclog.Debug
	if u.end.isBroken() {
		level = hclog.Info
	}
	t.Meter.Count("tunnelEnds", string(u.end.side), string(u.end.kind))
	t.Log.Log(level, "Tunnel ended.", "addr", u.endpoint.RemoteAddr().String(), "user", user.RemoteAddr().String(), "side", string(u.end.side),
		"how", string(u.end.kind), "bytes", u.sent.Load(), "ms", t.Clock.Now().Sub(u.began).Milliseconds(), "err", u.end.err.Error())
}
