// Package exchanger sends requests to endpoints on kept connections and reads
// their answers, one request at a time on each connection.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// dialTimeout bounds a new connection.
	dialTimeout = time.Second
	// defaultIdle is how long a connection is kept where the endpoint tells nothing.
	defaultIdle = 4 * time.Second
	// idleMargin is how much sooner than the endpoint a connection is given up.
	idleMargin = 500 * time.Millisecond
	// readerBytes is the size of a connection's read buffer.
	readerBytes = 4 << 10
	// asideBytes is the size of a request from which it is written beside the
	// reading, as the endpoint may answer before it has read all of it.
	asideBytes = 16 << 10
	// maxForeign is how many answers to other requests are passed over.
	maxForeign = 2
	// maxForeignBytes bounds the body of an answer that is passed over.
	maxForeignBytes = 1 << 20
)

// Errors of an exchange.
var (
	// ErrUnreachable means that no byte of the request was offered.
	ErrUnreachable = errors.New("endpoint unreached")
	// ErrBroken means that the connection failed and the request may have run.
	ErrBroken = errors.New("connection broken")
	// ErrMismatched means that the answer belongs to another request.
	ErrMismatched = errors.New("answer to another request")
)

// Exchanger keeps the connections to the endpoints.
type Exchanger struct {
	clock    fescuebank.Clock
	protocol fescuebank.EndpointProtocol
	dialed   atomic.Int64

	mu sync.Mutex
	// idle holds the unused connections of each address, the newest last.
	idle map[string][]*conn
}

// conn is one connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is when the endpoint may close the connection.
	until time.Time
}

// New returns an exchanger without connections.
func New(protocol fescuebank.EndpointProtocol, clock fescuebank.Clock) *Exchanger {
	return &Exchanger{clock: clock, protocol: protocol, idle: make(map[string][]*conn)}
}

// Dialed returns how many connections were made.
func (x *Exchanger) Dialed() int64 {
	return x.dialed.Load()
}

// Response is an endpoint's response whose body is being read.
type Response struct {
	*http.Response
	// Info is what the head says.
	Info fescuebank.ResponseInfo

	exchanger *Exchanger
	conn      *conn
	addr      string
	// written closes once the request is written; err is set before.
	written  chan struct{}
	writeErr error
	stop     func() bool
	whole    bool
}

// Send offers a request to the endpoint at addr and returns the head of its
// answer. It fails with ErrUnreachable, ErrBroken or ErrMismatched. The exchange ends
// when ctx does.
func (x *Exchanger) Send(ctx context.Context, addr string, r *fescuebank.Request, h http.Header) (*Response, error) {
	c, err := x.take(ctx, addr)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%v", err)
	}
	a := &Response{exchanger: x, conn: c, addr: addr, written: make(chan struct{})}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	head := encodeHead(r, h)
	if len(head)+len(r.Body) < asideBytes {
		a.write(append(head, r.Body...))
	} else {
		go func() {
			a.write(head, r.Body)
		}()
	}
	if err := a.readHead(r); err != nil {
		a.Abort()
		return nil, err
	}
	return a, nil
}

func (a *Response) write(parts ...[]byte) {
	defer close(a.written)
	for _, p := range parts {
		if _, err := a.conn.Write(p); err != nil {
			a.writeErr = err
			return
		}
	}
}

// readHead reads heads until one belongs to the request. Endpoints may send a
// second answer to an earlier request first.
func (a *Response) readHead(r *fescuebank.Request) error {
	for range maxForeign + 1 {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return eris.Wrapf(ErrBroken, "%v", err)
		}
		facts := a.exchanger.protocol.Decode(resp.StatusCode, resp.Header)
		if facts.Request == r.ID || (facts.Request == "" && facts.NotRun) {
			a.Response, a.Info = resp, facts
			return nil
		}
		if resp.Close {
			return ErrMismatched
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes)); err != nil || n == maxForeignBytes {
			return eris.Wrap(ErrMismatched, "body not passed over")
		}
	}
	return ErrMismatched
}

// Read reads the body. io.EOF means that the endpoint ended it properly.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// SetReadDeadline bounds the next reads.
func (a *Response) SetReadDeadline(t time.Time) {
	_ = a.conn.SetReadDeadline(t)
}

// Abort closes the connection, so that the endpoint drops the request.
func (a *Response) Abort() {
	a.stop()
	_ = a.conn.Close()
}

// Finish keeps the connection if the answer was read whole and nothing else is
// on it, and closes it otherwise.
func (a *Response) Finish() {
	if !a.stop() || !a.whole || a.Close || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	select {
	case <-a.written:
	default:
		_ = a.conn.Close() // The rest of the request must not follow later.
		return
	}
	if a.writeErr != nil {
		_ = a.conn.Close()
		return
	}
	_ = a.conn.SetDeadline(time.Time{})
	a.conn.until = a.exchanger.clock.Now().Add(keepAlive(a.Header) - idleMargin)
	a.exchanger.keep(a.addr, a.conn)
}

// keepAlive returns how long the endpoint keeps an idle connection.
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
	return defaultIdle
}

func (x *Exchanger) keep(addr string, c *conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	list := x.idle[addr]
	kept := list[:0]
	for _, old := range list {
		if old.until.After(now) {
			kept = append(kept, old)
			continue
		}
		_ = old.Close()
	}
	x.idle[addr] = append(kept, c)
}

// take returns a sound idle connection or makes one.
func (x *Exchanger) take(ctx context.Context, addr string) (*conn, error) {
	for {
		c := x.takeIdle(addr)
		if c == nil {
			break
		}
		if c.until.After(x.clock.Now()) && isQuiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	x.dialed.Add(1)
	dialed, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: dialed, reader: bufio.NewReaderSize(dialed, readerBytes)}, nil
}

func (x *Exchanger) takeIdle(addr string) *conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	x.idle[addr] = list[:len(list)-1]
	return c
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

// isQuiet reports whether an idle connection is open and has nothing to read.
func isQuiet(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
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
	_ = h.Write(&b) // A bytes.Buffer takes everything.
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
