// Package exchanger sends HTTP/1.1 requests to endpoints over persistent connections and
// reads the responses, one request at a time on each connection.
package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// maxHeadBytes bounds the head of a response, with the informational responses before it and what is read
	// ahead of its end.
	maxHeadBytes = 256 << 10
	// asyncWriteBytes is the size from which a request is written concurrently with
	// reading the response, as the endpoint may respond before it has read all of it.
	asyncWriteBytes = 16 << 10
	// maxMismatched is how many responses to other requests are discarded on a
	// connection before the attempt fails.
	maxMismatched = 2
	// maxDiscardBytes bounds the body of a discarded response.
	maxDiscardBytes = 1 << 20
)

// Errors of an exchange.
var (
	// ErrUnreachable means that no byte of the request was sent.
	ErrUnreachable = errors.New("endpoint unreachable")
	// ErrLeft means that the endpoint accepts no requests any more. It is an ErrUnreachable.
	ErrLeft = fmt.Errorf("%w: it has left since it was chosen", ErrUnreachable)
	// ErrBroken means that the connection failed and the request may have run.
	ErrBroken = errors.New("connection broken")
	// ErrMalformed means that the method or the target can't be written as part of a request. It is an ErrUnreachable.
	ErrMalformed = fmt.Errorf("%w: malformed request", ErrUnreachable)
	// ErrMismatched means that the response belongs to another request.
	ErrMismatched = errors.New("response belongs to another request")
)

// Exchanger pools the connections to the endpoints.
type Exchanger struct {
	clock    fescuebank.Clock
	protocol fescuebank.EndpointProtocol
	dial     DialFunc
	isUp     func(addr string) bool
	dialed   atomic.Int64

	mu sync.Mutex
	// idle holds the idle connections of each address, most recently used last.
	idle map[string][]*conn
	// sweptAt is when expired idle connections were last closed.
	sweptAt time.Time
}

// DialFunc connects to the endpoint at an address. If its connections have a method SingleUse that
// returns true, each is used for one request only.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// New returns an exchanger without connections.
func New(protocol fescuebank.EndpointProtocol, clock fescuebank.Clock, dial DialFunc) *Exchanger {
	return &Exchanger{clock: clock, protocol: protocol, dial: dial, isUp: func(string) bool { return true }, idle: make(map[string][]*conn)}
}

// Dialed returns the number of connections dialed.
func (x *Exchanger) Dialed() int64 {
	return x.dialed.Load()
}

// Response is an endpoint's response whose body is being read.
type Response struct {
	*http.Response
	// Info is what the protocol decoded from the head.
	Info fescuebank.ResponseInfo
	// SentAt is when sending the request began.
	SentAt time.Time

	exchanger *Exchanger
	conn      *conn
	addr      string
	// written closes when writing the request has ended; writeErr is set before.
	written    chan struct{}
	writeErr   error
	stopCancel func() bool
	// stopsAt is when the endpoint may stop because its time is up.
	stopsAt time.Time
	// endErr is set once the body was read to its end: io.EOF if it is complete.
	endErr error
}

// Target is an endpoint that was chosen for a request.
type Target struct {
	Endpoint fescuebank.ServedEndpoint
	// Accepts reports whether the endpoint still accepts requests. If it is nil, it does.
	Accepts func() bool
}

// Attempt is what differs between the attempts at one request.
type Attempt struct {
	// TimeLeft is the time that the endpoint has for the response.
	TimeLeft time.Duration
	// LastEvent is the id of the event after which a stream continues; empty for all events.
	LastEvent string
}

// Send sends a request to an endpoint and returns the response after its head was read. It
// fails with ErrMalformed, ErrUnreachable, ErrBroken or ErrMismatched. When ctx ends, the connection is
// closed. If the endpoint leaves, the idle connections to it are closed. Connecting takes
// time, so the endpoint may have left meanwhile; then nothing is sent.
//
// All that leaves for an endpoint passes through here, so that no header or line of a caller's request can
// change where the request ends or for whom it runs.
func (x *Exchanger) Send(ctx context.Context, target Target, r *fescuebank.Request, attempt Attempt) (*Response, error) {
	if !isToken(r.Method) || !isTarget(r.Target) {
		return nil, ErrMalformed
	}
	addr := target.Endpoint.Addr
	c, err := x.connect(ctx, addr, r.ID)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%v", err)
	}
	if target.Accepts != nil && !target.Accepts() {
		_ = c.Close()
		x.CloseIdle(addr)
		return nil, ErrLeft
	}
	resp := &Response{SentAt: x.clock.Now(), exchanger: x, conn: c, addr: addr, written: make(chan struct{})}
	resp.stopsAt = resp.SentAt.Add(earliestStop(attempt.TimeLeft))
	resp.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	c.record(r.ID)
	head := encodeHead(r, x.header(target.Endpoint, r, attempt))
	if len(head)+len(r.Body) < asyncWriteBytes {
		resp.write(append(head, r.Body...))
	} else {
		go func() {
			resp.write(head, r.Body)
		}()
	}
	if err := resp.readHead(r); err != nil {
		resp.Abort()
		return nil, err
	}
	if resp.Info.Leaving {
		x.CloseIdle(addr)
	}
	return resp, nil
}

func (r *Response) write(parts ...[]byte) {
	defer close(r.written)
	for _, p := range parts {
		if _, err := r.conn.Write(p); err != nil {
			r.writeErr = err
			return
		}
	}
}

// readHead reads response heads until one belongs to the request. Endpoints may first send
// a second response to an earlier request. A refusal without an id belongs to the request only if there was no
// earlier one on the connection.
func (r *Response) readHead(request *fescuebank.Request) error {
	for range maxMismatched + 1 {
		resp, err := r.conn.readFinalHead(request.Method)
		if err != nil {
			return eris.Wrapf(ErrBroken, "%v", err)
		}
		info := r.exchanger.protocol.Decode(resp.StatusCode, resp.Header)
		if info.Request == request.ID || (info.Request == "" && info.NotRun && r.conn.isNew()) {
			r.Response, r.Info = resp, info
			return nil
		}
		if resp.Close {
			return ErrMismatched
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes)); err != nil || n == maxDiscardBytes {
			return eris.Wrap(ErrMismatched, "response body could not be discarded")
		}
	}
	return ErrMismatched
}

// IsIntact reports whether a successful response is the endpoint's own: it is signed, and its body is not
// encoded.
func (r *Response) IsIntact() bool {
	return r.Info.Signed && r.Header.Get("Content-Encoding") == ""
}

// SetReadDeadline sets the deadline of the next reads.
func (r *Response) SetReadDeadline(t time.Time) {
	_ = r.conn.SetReadDeadline(t)
}

// Abort closes the connection, so that the endpoint cancels the request.
func (r *Response) Abort() {
	r.stopCancel()
	_ = r.conn.Close()
}

// Finish returns the connection to the pool if the request was written, the response was
// read completely, no further bytes are buffered and the endpoint doesn't leave. Otherwise it
// closes the connection.
func (r *Response) Finish() {
	if !r.stopCancel() || r.endErr != io.EOF || r.Close || r.Info.Leaving || isSingleUse(r.conn.Conn) || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	select {
	case <-r.written:
	default:
		_ = r.conn.Close() // The rest of the request must not be sent on a reused connection.
		return
	}
	if r.writeErr != nil {
		_ = r.conn.Close()
		return
	}
	_ = r.conn.SetDeadline(time.Time{})
	r.conn.expires = r.exchanger.clock.Now().Add(keepAlive(r.Header) - keepAliveMargin)
	r.exchanger.putIdle(r.addr, r.conn)
}
