// Package responder serves scripted bytes on TCP connections, for tests of what other parties may send.
package responder

import (
	"net"
	"testing"
)

// Responder serves one connection. The connection is closed after it returns.
type Responder func(c *net.TCPConn)

// Start serves each connection to the returned loopback address until the test ends, at the same time as others.
func (r Responder) Start(t testing.TB) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go r.accept(l)
	return l.Addr().String()
}

// accept serves the connections to l until it is closed.
func (r Responder) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r(c.(*net.TCPConn))
		}()
	}
}
