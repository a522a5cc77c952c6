package dialer

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// downTimeout bounds finding out, in one way, whether an endpoint is up.
	downTimeout = 200 * time.Millisecond
	// exitTime is how long a process that was killed may still accept connections after it has ended others.
	exitTime = 20 * time.Millisecond
	// downAttempts is the number of connections by which an endpoint that ends them at once is checked.
	downAttempts = 2
)

// IsDown reports whether nothing listens at addr, as after a crash of the endpoint. Another instance
// must confirm it if one can be asked, as this one may be refused where others are not. If none
// reaches endpoints, it is the endpoints that are down. IsDown reports false if that can't be
// found out.
func (d *Dialer) IsDown(addr string) bool {
	lost := d.Lost()
	if !lost && !IsRefused(d.probe(addr)) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), downTimeout)
	defer cancel()
	err := d.tryConnections(func() (net.Conn, error) { return d.dialRelayed(ctx, addr) })
	switch {
	case err == nil:
		return false
	case errors.Is(err, errRefused):
		return true
	case errors.Is(err, errNoRelay):
		return !lost || IsRefused(d.probe(addr))
	}
	return !d.Doubtful()
}

// IsUp reports whether an endpoint accepts connections, from this instance or from another one. It reports false if
// neither can find that out.
func (d *Dialer) IsUp(addr string) bool {
	if !d.Lost() && d.probe(addr) == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), downTimeout)
	defer cancel()
	return d.tryConnections(func() (net.Conn, error) { return d.dialRelayed(ctx, addr) }) == nil
}

// probe connects to an endpoint directly and closes the connection. It returns why that failed, or nil.
func (d *Dialer) probe(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), downTimeout)
	defer cancel()
	return d.tryConnections(func() (net.Conn, error) { return d.Connect(ctx, addr) })
}

// tryConnections makes connections until one lasts for exitTime, downAttempts at most, and returns why one couldn't be made, or nil. A connection
// that is reset was accepted: endpoints reset those beyond the number that they take.
func (d *Dialer) tryConnections(connect func() (net.Conn, error)) error {
	for range downAttempts {
		c, err := connect()
		if errors.Is(err, syscall.ECONNRESET) {
			continue // It was accepted, and has ended at once.
		}
		if err != nil {
			return err
		}
		if d.lasts(c) {
			return nil
		}
	}
	return nil
}

// lasts reports whether a new connection, which it closes, doesn't end within exitTime.
func (d *Dialer) lasts(c net.Conn) bool {
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(d.Clock.Now().Add(exitTime))
	_, err := c.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
