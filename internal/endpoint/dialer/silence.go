package dialer

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fescuebank"
)

// silenceTime is how long no endpoint may send anything, while responses are waited for, before a
// check is made whether they can be reached.
const silenceTime = 300 * time.Millisecond

// silenceWatch notices when nothing arrives on any direct connection although something is waited
// for. One endpoint may be silent for a while; all of them at the same time are probably cut off.
type silenceWatch struct {
	clock     fescuebank.Clock
	onSilence func()
	// began is when the watch was created. Times are measured from it, as the time of day may be set.
	began time.Time

	waiting atomic.Int64
	// receivedAt is when bytes last arrived, in nanoseconds since began.
	receivedAt atomic.Int64

	mu sync.Mutex
	// armed is set while the timer runs.
	armed bool
}

// watchedConn is a direct connection to an endpoint.
type watchedConn struct {
	net.Conn
	watch *silenceWatch
}

// wrap returns a connection whose reads are watched.
func (w *silenceWatch) wrap(c net.Conn) net.Conn {
	return &watchedConn{Conn: c, watch: w}
}

// Read reads from the connection.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.watch.begin()
	n, err := c.Conn.Read(p)
	c.watch.end(n > 0)
	return n, err
}

// SyscallConn returns the connection's file descriptor.
func (c *watchedConn) SyscallConn() (syscall.RawConn, error) {
	return syscallConn(c.Conn)
}

func syscallConn(c net.Conn) (syscall.RawConn, error) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return raw.SyscallConn()
}

func (w *silenceWatch) elapsed() time.Duration {
	return w.clock.Now().Sub(w.began)
}

// begin counts a read that waits.
func (w *silenceWatch) begin() {
	if w.waiting.Add(1) == 1 {
		// What was read before says nothing about the time in which nothing was waited for.
		w.receivedAt.Store(int64(w.elapsed()))
	}
	w.arm()
}

func (w *silenceWatch) end(received bool) {
	if received {
		w.receivedAt.Store(int64(w.elapsed()))
	}
	w.waiting.Add(-1)
}

// arm starts the timer unless it runs.
func (w *silenceWatch) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed {
		w.armed = true
		time.AfterFunc(silenceTime, w.expire)
	}
}

// expire reports silence, and starts the timer again while something is waited for.
func (w *silenceWatch) expire() {
	w.mu.Lock()
	if w.waiting.Load() == 0 {
		w.armed = false
		w.mu.Unlock()
		return
	}
	left := silenceTime - (w.elapsed() - time.Duration(w.receivedAt.Load()))
	silent := left <= 0
	if silent {
		left = silenceTime
	}
	time.AfterFunc(left, w.expire)
	w.mu.Unlock()
	if silent {
		w.onSilence()
	}
}
