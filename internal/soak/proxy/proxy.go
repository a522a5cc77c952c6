// Package proxy is a TCP proxy that injects faults on demand.
package proxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is a fault that a proxy injects into its connections.
type Fault int

// The faults of a proxy. A stall holds data back until the fault is cleared; no data
// is lost.
const (
	// NoFault forwards data immediately.
	NoFault Fault = iota
	// Slow delays all data.
	Slow
	// StallFromClient stalls the data that the dialing side sends.
	StallFromClient
	// StallFromServer stalls the data that the dialed side sends.
	StallFromServer
	// Stall stalls both directions.
	Stall
	// Reset resets open and new connections immediately.
	Reset
)

// delay is the time by which Slow delays data. A connection that one side has closed is
// reset after the same time.
const delay = 120 * time.Millisecond

// pollInterval is the interval at which a stalled direction checks the fault.
const pollInterval = 20 * time.Millisecond

// Proxy listens on loopback and forwards connections to one address.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
	// ended is set once connections are closed without a reset.
	ended bool
}

// New starts a proxy to target on a free loopback port.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() string {
	return p.listener.Addr().String()
}

// SetFault replaces the fault. Stalled data is forwarded when the fault is cleared.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f == Reset {
		p.ResetConnections()
	}
}

// ResetConnections resets all connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// End stops the proxy as a kernel stops a killed process: it closes the listener first, then the connections,
// without a reset.
func (p *Proxy) End() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for c := range p.conns {
		_ = c.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetConnections()
}

// discard resets a connection, or only closes it once the proxy has ended.
func (p *Proxy) discard(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		_ = c.Close()
		return
	}
	reset(c)
}

// reset closes a connection so that the peer receives a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Fails only if the connection is closed already.
	}
	_ = c.Close()
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == Reset {
			reset(c)
			continue
		}
		go p.handle(c)
	}
}

func (p *Proxy) handle(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(from)
		return
	}
	p.track(from, true)
	p.track(to, true)
	var group sync.WaitGroup
	group.Go(func() { p.forward(to, from, StallFromClient) })
	group.Go(func() { p.forward(from, to, StallFromServer) })
	group.Wait()
	p.track(from, false)
	p.track(to, false)
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// forward copies one direction of a connection, which stallFault stalls.
func (p *Proxy) forward(to, from net.Conn, stallFault Fault) {
	defer p.discard(to)
	defer p.discard(from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.waitWhileStalled(stallFault)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // The other direction has delay to finish.
			time.Sleep(delay)
			return
		}
		if err != nil {
			return
		}
	}
}

// waitWhileStalled waits while stallFault or Stall is active, or for delay if the
// fault is Slow.
func (p *Proxy) waitWhileStalled(stallFault Fault) {
	for {
		switch f := p.currentFault(); f {
		case stallFault, Stall:
			time.Sleep(pollInterval)
		case Slow:
			time.Sleep(delay)
			return
		default:
			return
		}
	}
}
