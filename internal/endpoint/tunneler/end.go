package tunneler

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// side is the one whose connection ended first.
type side string

const (
	sideEndpoint side = "endpoint"
	// sideUser is the instance that uses the tunnel.
	sideUser side = "user"
	// sideSelf is this instance.
	sideSelf side = "self"
)

// endKind is how a tunnel ended.
type endKind string

const (
	// kindEnded means that a side has closed its connection in order.
	kindEnded endKind = "ended"
	kindReset endKind = "reset"
	// kindFailed means that reading or writing failed otherwise.
	kindFailed endKind = "failed"
	// kindGivenUp means that this instance closed the tunnel.
	kindGivenUp endKind = "givenUp"
)

// end is how a tunnel ended.
type end struct {
	side side
	kind endKind
	// err is the error of reading or writing; io.EOF if the side ended in order.
	err error
}

var errGivenUp = errors.New("tunnel given up")

// endOf returns the end that an error of reading from a side or writing to it means.
func endOf(s side, err error) end {
	switch {
	case err == io.EOF:
		return end{s, kindEnded, err}
	case errors.Is(err, net.ErrClosed):
		return end{sideSelf, kindGivenUp, err}
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return end{s, kindReset, err}
	}
	return end{s, kindFailed, err}
}

// isBroken reports whether a response may have been cut short.
func (e end) isBroken() bool {
	return e.side == sideSelf || (e.side == sideEndpoint && e.kind != kindEnded)
}
