package lab

import (
	"io"
	"net"
	"sync"
)

// Proxy forwards connections to an address. Those that are open can be made to fall silent.
type Proxy struct {
	to       string
	listener net.Listener

	mu   sync.Mutex
	open map[*forwarded]bool
}

// forwarded is one connection with that on which it goes on.
type forwarded struct {
	in, out net.Conn

	mu     sync.Mutex
	silent bool
}

// NewProxy returns a proxy to an address.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{to: to, listener: l, open: make(map[*forwarded]bool)}
	go p.accept()
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string {
	return p.listener.Addr().String()
}

// Silence makes all open connections silent for good. New ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for f := range p.open {
		f.mu.Lock()
		f.silent = true
		f.mu.Unlock()
	}
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		f := &forwarded{in: in, out: out}
		p.mu.Lock()
		p.open[f] = true
		p.mu.Unlock()
		go f.copy(in, out)
		go f.copy(out, in)
	}
}

// copy forwards bytes in one direction until the connection ends or falls silent.
func (f *forwarded) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		f.mu.Lock()
		silent := f.silent
		f.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, from) // What is sent on it is lost.
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = f.in.Close()
	_ = f.out.Close()
}
