package exchanger

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"fescuebank"
)

const (
	// defaultKeepAlive is how long an idle connection is kept if the endpoint sends no
	// Keep-Alive header.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how much earlier than the endpoint this side stops using an
	// idle connection.
	keepAliveMargin = 500 * time.Millisecond
	// sweepInterval is the minimum time between two searches for expired idle connections.
	sweepInterval = time.Second
	// readerBytes is the size of a connection's read buffer.
	readerBytes = 4 << 10
	// maxRecordedRequests is how many of the last requests on a connection are recorded.
	maxRecordedRequests = 64
)

// conn is a connection with its read buffer.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// limit bounds the bytes read from Conn.
	limit *io.LimitedReader
	// expires is the time from which the idle connection is not reused.
	expires time.Time
	// sent are the ids of the last requests that were sent on the connection.
	sent []fescuebank.RequestID
}

// record records a request that is sent on the connection.
func (c *conn) record(id fescuebank.RequestID) {
	if len(c.sent) == maxRecordedRequests {
		c.sent = slices.Delete(c.sent, 0, 1)
	}
	c.sent = append(c.sent, id)
}

// isNew reports whether no request was sent on the connection before the current one.
func (c *conn) isNew() bool {
	return len(c.sent) == 1
}

// mayCarry reports whether a request with an id may be sent on the connection. No id is sent twice on one, as a late copy
// of the earlier response could not be told from the response that is due.
func (c *conn) mayCarry(id fescuebank.RequestID) bool {
	return id == "" || !slices.Contains(c.sent, id)
}

func isSingleUse(c net.Conn) bool {
	s, ok := c.(interface{ SingleUse() bool })
	return ok && s.SingleUse()
}

// keepAlive returns how long the endpoint keeps an idle connection, by its Keep-Alive
// header.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil && s >= 0 {
			return time.Duration(s) * time.Second
		}
	}
	return defaultKeepAlive
}

// putIdle adds a connection to the pool. From time to time it closes the expired ones, as
// endpoints that left get no further request that would.
func (x *Exchanger) putIdle(addr string, c *conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.idle[addr] = append(x.idle[addr], c)
	now := x.clock.Now()
	if now.Sub(x.sweptAt) >= sweepInterval {
		x.sweptAt = now
		x.closeExpired(now)
	}
}

// closeExpired closes the expired idle connections to all addresses. The caller holds the
// lock.
func (x *Exchanger) closeExpired(now time.Time) {
	for addr, list := range x.idle {
		live := slices.DeleteFunc(list, func(c *conn) bool {
			expired := !c.expires.After(now)
			if expired {
				_ = c.Close()
			}
			return expired
		})
		if len(live) == 0 {
			delete(x.idle, addr)
			continue
		}
		x.idle[addr] = live
	}
}

// connect returns a reusable idle connection that may carry a request with the id, or dials a new one.
func (x *Exchanger) connect(ctx context.Context, addr string, id fescuebank.RequestID) (*conn, error) {
	for {
		c := x.popIdle(addr, id)
		if c == nil {
			break
		}
		if c.expires.After(x.clock.Now()) && isReusable(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	x.dialed.Add(1)
	dialed, err := x.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: dialed, N: math.MaxInt64}
	return &conn{Conn: dialed, limit: limit, reader: bufio.NewReaderSize(limit, readerBytes)}, nil
}

// popIdle removes and returns the most recently used idle connection that may carry a request with the id, or nil.
func (x *Exchanger) popIdle(addr string, id fescuebank.RequestID) *conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.idle[addr]
	for i, c := range slices.Backward(list) {
		if c.mayCarry(id) {
			x.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// CloseIdle closes the idle connections to addr.
func (x *Exchanger) CloseIdle(addr string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.idle[addr] {
		_ = c.Close()
	}
	delete(x.idle, addr)
}

// CloseAllIdle closes all idle connections.
func (x *Exchanger) CloseAllIdle() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, list := range x.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(x.idle)
}

// isReusable reports whether an idle connection is open and has no unread bytes.
func isReusable(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
