package tunneler

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fescuebank"
)

const (
	// drainTime is how long the user may send nothing, and go on reading, after the endpoint has ended.
	drainTime = time.Second
	// resetDelay is how long a user that reads no frames has to read what came before the endpoint's connection broke.
	resetDelay = 100 * time.Millisecond
)

// tunnel is a connection of another instance, its user, to an endpoint.
type tunnel struct {
	clock    fescuebank.Clock
	endpoint net.Conn
	// framed is set if the user reads frames.
	framed bool
	began  time.Time
	// sent is the number of bytes from the endpoint to the user.
	sent atomic.Int64
	// draining is set once the endpoint has ended in order and only the user still sends.
	draining atomic.Bool

	// writeMu is held while bytes are written to the endpoint.
	writeMu  sync.Mutex
	writeErr error

	mu sync.Mutex
	// user is nil until the tunnel is served.
	user net.Conn
	// end is how the tunnel ended; its side is empty until then.
	end end
}

// recordEnd records how the tunnel ended, unless it has ended before, and returns how it did.
func (u *tunnel) recordEnd(e end) end {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.end.side == "" {
		u.end = e
	}
	return u.end
}

// giveUp ends the tunnel.
func (u *tunnel) giveUp() {
	u.recordEnd(end{sideSelf, kindGivenUp, errGivenUp})
	u.close()
}

// serve copies bytes in both directions until one side ends its connection. What the endpoint sent before its end
// reaches the user.
func (u *tunnel) serve(user net.Conn) {
	u.mu.Lock()
	u.user = user
	u.mu.Unlock()
	var group sync.WaitGroup
	group.Go(u.copyToEndpoint)
	group.Go(u.copyToUser)
	group.Wait()
}

// copyToEndpoint copies what the user sends until it ends. It goes on reading when the endpoint takes no more, as
// closing a connection with unread bytes destroys those under way to the user.
func (u *tunnel) copyToEndpoint() {
	defer u.close()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := u.user.Read(buffer)
		u.write(buffer[:n])
		if err != nil {
			u.recordEnd(endOf(sideUser, err))
			return
		}
		if u.draining.Load() {
			u.limitDrain(drainTime)
		}
	}
}

// write writes bytes to the endpoint unless that has failed before.
func (u *tunnel) write(p []byte) {
	u.writeMu.Lock()
	defer u.writeMu.Unlock()
	if len(p) > 0 && u.writeErr == nil {
		_, u.writeErr = u.endpoint.Write(p)
	}
}

// endpointEnd returns the end that an error of reading from the endpoint means. The system reports a reset once: if to a
// write, reads find an end.
func (u *tunnel) endpointEnd(err error) end {
	if err == io.EOF {
		_ = u.endpoint.SetWriteDeadline(u.clock.Now()) // Ends a write that waits.
		u.writeMu.Lock()
		defer u.writeMu.Unlock()
		if errors.Is(u.writeErr, syscall.ECONNRESET) {
			err = u.writeErr
		}
	}
	return endOf(sideEndpoint, err)
}

// copyToUser copies what the endpoint sends until it ends.
func (u *tunnel) copyToUser() {
	out := newOutput(u.user, u.framed)
	for {
		n, err := u.endpoint.Read(out.Buffer())
		if n > 0 {
			if err := out.Send(n); err != nil {
				u.recordEnd(endOf(sideUser, err))
				u.close()
				return
			}
			u.sent.Add(int64(n))
		}
		if err != nil {
			u.finish(out, u.recordEnd(u.endpointEnd(err)))
			return
		}
	}
}

// finish tells the user how the tunnel ended.
func (u *tunnel) finish(out output, e end) {
	if e.side != sideEndpoint {
		u.close()
		return
	}
	_ = u.endpoint.Close()
	if u.mustReset(e) {
		u.limitDrain(resetDelay) // Then copyToEndpoint resets the connection.
		return
	}
	if e.kind == kindEnded {
		_ = out.End() // If it fails, the user has gone.
	}
	if c, ok := u.user.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	u.draining.Store(true)
	u.limitDrain(drainTime)
}

// limitDrain sets how long copyToEndpoint goes on.
func (u *tunnel) limitDrain(d time.Duration) {
	_ = u.user.SetReadDeadline(u.clock.Now().Add(d))
}

// mustReset reports whether only a reset shows the user that the endpoint hasn't ended in order.
func (u *tunnel) mustReset(e end) bool {
	return !u.framed && e.isBroken()
}

// close closes both connections.
func (u *tunnel) close() {
	_ = u.endpoint.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.user == nil {
		return
	}
	if c, ok := u.user.(interface{ SetLinger(sec int) error }); ok && u.mustReset(u.end) {
		_ = c.SetLinger(0)
	}
	_ = u.user.Close()
}
