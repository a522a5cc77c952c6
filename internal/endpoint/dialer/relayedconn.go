package dialer

import (
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"fescuebank"
	"fescuebank/internal/wire/framer"
)

// errRawEnd means that a connection through an instance of an older build has ended. How the endpoint's has is not known.
var errRawEnd = fmt.Errorf("connection through another instance ended: %w", io.ErrUnexpectedEOF)

// relayedConn is a connection through another instance.
type relayedConn struct {
	net.Conn
	through fescuebank.InstanceID
	// frames reads what the endpoint sends. It is nil if that doesn't come in frames.
	frames  *framer.Reader
	release func()
}

// newRelayedConn returns a connection whose end is that of the endpoint's connection. It calls release when it is closed.
func newRelayedConn(c net.Conn, through fescuebank.InstanceID, framed bool, release func()) *relayedConn {
	r := &relayedConn{Conn: c, through: through, release: sync.OnceFunc(release)}
	if framed {
		r.frames = framer.NewReader(c)
	}
	return r
}

// Read reads what the endpoint sends. It returns io.EOF only if the endpoint has ended its connection.
func (c *relayedConn) Read(p []byte) (int, error) {
	if c.frames != nil {
		return c.frames.Read(p)
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = errRawEnd
	}
	return n, err
}

// Through returns the other instance.
func (c *relayedConn) Through() fescuebank.InstanceID {
	return c.through
}

// SingleUse reports that the connection must not be used for a second request: by then this instance
// may reach the endpoint itself, and the other one may leave.
func (c *relayedConn) SingleUse() bool {
	return true
}

// SyscallConn returns the connection's file descriptor. What it carries may be frames.
func (c *relayedConn) SyscallConn() (syscall.RawConn, error) {
	return syscallConn(c.Conn)
}

// Close closes the connection.
func (c *relayedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
