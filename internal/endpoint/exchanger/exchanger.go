// Package exchanger sends HTTP/1.1 requests to endpoints over persistent connections and
// reads the responses, one request at a time on each connection.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"

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
	// maxHeadBytes bounds the head of a response, with what is read ahead of its end.
	maxHeadBytes = 256 << 10
	// asyncWriteBytes is the size from which a request is written concurrently with
	// reading the response, as the endpoint may respond before it has read all of it.
	asyncWriteBytes = 16 << 10
	// maxMismatched is how many responses to other requests are discarded on a
	// connection before the attempt fails.
	maxMismatched = 2
	// maxDiscardBytes bounds the body of a discarded response.
	maxDiscardBytes = 1 << 20
	// maxRecordedRequests is how many of the last requests on a connection are recorded.
	maxRecordedRequests = 64
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
	dialed   atomic.Int64

	mu sync.Mutex
	// idle holds the idle connections of each address, most recently used last.
	idle map[string][]*conn
	// sweptAt is when expired idle connections were last closed.
	sweptAt time.Time
}

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

// DialFunc connects to the endpoint at an address. If its connections have a method SingleUse that
// returns true, each is used for one request only.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// New returns an exchanger without connections.
func New(protocol fescuebank.EndpointProtocol, clock fescuebank.Clock, dial DialFunc) *Exchanger {
	return &Exchanger{clock: clock, protocol: protocol, dial: dial, idle: make(map[string][]*conn)}
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
	// complete is set after the body was read to its end.
	complete bool
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

// header returns the headers of a request to an endpoint.
func (x *Exchanger) header(e fescuebank.ServedEndpoint, r *fescuebank.Request, attempt Attempt) http.Header {
	h := fescuebank.ForwardedHeaders(r.Header)
	x.protocol.Encode(h, r, e, attempt.TimeLeft)
	if attempt.LastEvent != "" {
		x.protocol.Resume(h, attempt.LastEvent)
	}
	return h
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
		r.conn.limit.N = maxHeadBytes
		resp, err := http.ReadResponse(r.conn.reader, &http.Request{Method: request.Method})
		r.conn.limit.N = math.MaxInt64
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

// IsCloseDelimited reports whether only the end of the connection shows the end of the body.
func (r *Response) IsCloseDelimited() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// Read reads the body. io.EOF means that the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
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
	if !r.stopCancel() || !r.complete || r.Close || r.Info.Leaving || isSingleUse(r.conn.Conn) || r.conn.reader.Buffered() > 0 {
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

// isToken reports whether s can be the method of a request.
func isToken(s string) bool {
	return httpguts.ValidHeaderFieldName(s) // A header's name is a token, too.
}

// isTarget reports whether s can be the target of a request: it has no spaces or control characters.
func isTarget(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

// encodeHead writes the request line and the headers.
func encodeHead(r *fescuebank.Request, h http.Header) []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = h.Write(&b) // Writes to a bytes.Buffer don't fail.
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
