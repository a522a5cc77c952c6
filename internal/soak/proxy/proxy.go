// Package proxy is a TCP proxy that injects faults on demand.
package proxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what a proxy does to its connections.
type Fault int

// The faults.
const (
	// NoFault passes everything on at once.
	NoFault Fault = iota
	// Slow passes everything on later.
	Slow
	// StallFromClient passes on nothing that the dialing side sends.
	StallFromClient
	// StallFromServer passes on nothing that the dialed side sends.
	StallFromServer
	// Stall passes nothing on in either direction.
	Stall
	// Reset resets connections at once.
	Reset
)

// delay is how much later a slow proxy passes on.
const delay = 120 * time.Millisecond

// look is how often a held up direction looks whether it may go on.
const look = 20 * time.Millisecond

// Proxy listens on loopback and forwards connections to one address.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
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

// Addr is where the proxy listens.
func (p *Proxy) Addr() string {
	return p.listener.Addr().String()
}

// SetFault changes the fault. What was held up goes on when it is over.
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

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetConnections()
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // A connection that is closed already needs none.
	}
	_ = c.Close()
}

func (p *Proxy) current() Fault {
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
		if p.current() == Reset {
			reset(c)
			continue
		}
		go p.connect(c)
	}
}

func (p *Proxy) connect(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(from)
		return
	}
	p.track(from, true)
	p.track(to, true)
	var group sync.WaitGroup
	group.Go(func() { p.pass(to, from, StallFromClient) })
	group.Go(func() { p.pass(from, to, StallFromServer) })
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

// pass copies one direction, which the fault held holds up.
func (p *Proxy) pass(to, from net.Conn, held Fault) {
	defer reset(to)
	defer reset(from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.await(held)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // The other direction may go on for a while.
			time.Sleep(delay)
			return
		}
		if err != nil {
			return
		}
	}
}

// await waits while the direction is held up.
func (p *Proxy) await(held Fault) {
	for {
		switch f := p.current(); f {
		case held, Stall:
			time.Sleep(look)
		case Slow:
			time.Sleep(delay)
			return
		default:
			return
		}
	}
}
