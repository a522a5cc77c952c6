// Package proxier passes TCP connections on and spoils them on demand.
package proxier

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
	// Sound passes everything on at once.
	Sound Fault = iota
	// Slow passes everything on later.
	Slow
	// Deaf passes on nothing that the dialing side sends.
	Deaf
	// Mute passes on nothing that the dialed side sends.
	Mute
	// Silent passes nothing on in either direction.
	Silent
	// Closed resets connections at once.
	Closed
)

// delay is how much later a slow proxy passes on.
const delay = 120 * time.Millisecond

// look is how often a held up direction looks whether it may go on.
const look = 20 * time.Millisecond

// Proxier listens on loopback and passes connections on to one address.
type Proxier struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
}

// New starts a proxy to target on a free loopback port.
func New(target string) (*Proxier, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxier{target: target, listener: l, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxier) Addr() string {
	return p.listener.Addr().String()
}

// Set changes the fault. What was held up goes on when it is over.
func (p *Proxier) Set(f Fault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f == Closed {
		p.Reset()
	}
}

// Reset resets all connections.
func (p *Proxier) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Close ends the proxy and its connections.
func (p *Proxier) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // A connection that is closed already needs none.
	}
	_ = c.Close()
}

func (p *Proxier) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxier) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == Closed {
			reset(c)
			continue
		}
		go p.connect(c)
	}
}

func (p *Proxier) connect(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(from)
		return
	}
	p.track(from, true)
	p.track(to, true)
	var group sync.WaitGroup
	group.Go(func() { p.pass(to, from, Deaf) })
	group.Go(func() { p.pass(from, to, Mute) })
	group.Wait()
	p.track(from, false)
	p.track(to, false)
}

func (p *Proxier) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// pass copies one direction, which the fault held holds up.
func (p *Proxier) pass(to, from net.Conn, held Fault) {
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
func (p *Proxier) await(held Fault) {
	for {
		switch f := p.current(); f {
		case held, Silent:
			time.Sleep(look)
		case Slow:
			time.Sleep(delay)
			return
		default:
			return
		}
	}
}
