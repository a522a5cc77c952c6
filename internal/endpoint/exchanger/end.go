package exchanger

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// deadlineUnit is the unit in which endpoints are told how much time they have, rounded down.
	deadlineUnit = time.Millisecond
	// endpointUnit is the unit in which an endpoint may measure time, rounded down.
	endpointUnit = time.Millisecond
	// maxClockDrift is the share by which an endpoint's clock may run faster than that of this instance.
	maxClockDrift = 0.001
)

// Errors of a response that has ended but may not be complete.
var (
	// ErrStopped means that the endpoint's time was up when the response ended.
	ErrStopped = errors.New("response ended at its deadline")
	// ErrEndpointDown means that the connection ended and the endpoint isn't known to be up: the kernel of a process that was
	// killed ends its connections in order.
	ErrEndpointDown = errors.New("response may have ended with its endpoint")
)

// earliestStop returns how soon an endpoint may stop that is told that it has a time left.
func earliestStop(timeLeft time.Duration) time.Duration {
	drift := time.Duration(maxClockDrift * float64(timeLeft))
	return timeLeft - deadlineUnit - endpointUnit - drift
}

// ConfirmEnds makes the exchanger ask whether an endpoint is up when only the end of the connection showed the end of
// a response. Call it before the first Send.
func (x *Exchanger) ConfirmEnds(isUp func(addr string) bool) {
	x.isUp = isUp
}

// Read reads the body. io.EOF means that the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if r.endErr == nil {
		r.endErr = r.confirmEnd()
	}
	return n, r.endErr
}

// confirmEnd returns io.EOF if the body that has ended is complete. A body of the stated length is.
func (r *Response) confirmEnd() error {
	framing := r.Framing()
	if framing == FramedByLength {
		return io.EOF
	}
	if !r.exchanger.clock.Now().Before(r.stopsAt) {
		return ErrStopped
	}
	if framing == FramedByConnection {
		return r.confirmConnectionEnd()
	}
	return io.EOF
}

// confirmConnectionEnd returns io.EOF if the endpoint has ended the connection in order.
func (r *Response) confirmConnectionEnd() error {
	if err := r.endWrite(); err != nil {
		return eris.Wrapf(ErrBroken, "%v", err)
	}
	if !r.exchanger.isUp(r.addr) {
		return ErrEndpointDown
	}
	return io.EOF
}

// endWrite closes the connection, and returns the error of a reset that writing the request has met, or nil. The system reports a
// reset once, to a write of the rest of the request if that comes first; the reads after it only see the end.
func (r *Response) endWrite() error {
	_ = r.conn.Close() // Ends the write.
	<-r.written
	if errors.Is(r.writeErr, net.ErrClosed) || errors.Is(r.writeErr, syscall.EPIPE) {
		return nil // A write fails with EPIPE if the response had ended before the connection was reset.
	}
	return r.writeErr
}
