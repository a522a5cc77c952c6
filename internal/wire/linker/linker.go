// Package linker carries calls and one-way notifications between instances over
// persistent TCP connections, one in each direction between two instances. Bodies are
// encoded as CBOR.
package linker

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// dialTimeout bounds connecting to a peer.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout bounds the writing of one frame.
	writeTimeout = time.Second
	// minRedialInterval is the least time between the starts of two attempts to connect to
	// a peer.
	minRedialInterval = 200 * time.Millisecond
	// handleTimeout bounds the handling of one call.
	handleTimeout = 5 * time.Second
)

// NotificationHandler handles a one-way message. It must not block.
type NotificationHandler func(decode func(into any) error)

// Linker is a fescuebank.Peer that listens for other instances and connects to them.
type Linker struct {
	clock                fescuebank.Clock
	log                  hclog.Logger
	listener             net.Listener
	handlers             map[fescuebank.MessageKind]fescuebank.PeerHandler
	notificationHandlers map[fescuebank.MessageKind]NotificationHandler
	connHandlers         map[fescuebank.MessageKind]ConnHandler

	mu       sync.Mutex
	links    map[string]*link
	accepted map[net.Conn]bool
}

// New returns a linker that listens on addr, an IP:PORT.
func New(addr string, clock fescuebank.Clock, log hclog.Logger) (*Linker, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "linker.New")
	}
	return &Linker{
		clock: clock, log: log, listener: l,
		handlers:             make(map[fescuebank.MessageKind]fescuebank.PeerHandler),
		notificationHandlers: make(map[fescuebank.MessageKind]NotificationHandler),
		connHandlers:         make(map[fescuebank.MessageKind]ConnHandler),
		links:                make(map[string]*link), accepted: make(map[net.Conn]bool),
	}, nil
}

// Addr returns the address that peers use.
func (l *Linker) Addr() string {
	return l.listener.Addr().String()
}

// Handle registers the handler of a kind of call. Call it before Run.
func (l *Linker) Handle(kind fescuebank.MessageKind, handler fescuebank.PeerHandler) {
	l.handlers[kind] = handler
}

// HandleNotification registers the handler of a kind of notification. Call it before Run.
func (l *Linker) HandleNotification(kind fescuebank.MessageKind, handler NotificationHandler) {
	l.notificationHandlers[kind] = handler
}

// Run serves peers until ctx ends.
func (l *Linker) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	for {
		c, err := l.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				l.log.Error("Listener failed; no further peer connections are accepted.", "err", err)
			}
			return
		}
		l.mu.Lock()
		l.accepted[c] = true
		l.mu.Unlock()
		go l.serve(ctx, c)
	}
}

// Close stops listening and closes all connections.
func (l *Linker) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.accepted {
		_ = c.Close()
	}
	for _, k := range l.links {
		k.close(net.ErrClosed)
	}
}

// serve handles the frames of one incoming connection until it ends.
func (l *Linker) serve(ctx context.Context, c net.Conn) {
	defer func() {
		l.mu.Lock()
		delete(l.accepted, c)
		l.mu.Unlock()
		_ = c.Close()
	}()
	conn := newFrameConn(c)
	for {
		f, err := conn.readFrame()
		if err != nil {
			return
		}
		if f.typ == frameOpen {
			l.serveOpened(ctx, conn, f)
			return
		}
		if f.typ == frameNotification {
			if handle := l.notificationHandlers[f.kind]; handle != nil {
				handle(func(into any) error { return decodeBody(f.body, into) })
			}
			continue
		}
		go l.handleCall(ctx, conn, f)
	}
}

func (l *Linker) handleCall(ctx context.Context, conn *frameConn, f frame) {
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	l.reply(conn, f, l.dispatch(ctx, f))
}

// reply writes the encoded reply to a frame and reports whether that succeeded. It closes the connection
// otherwise.
func (l *Linker) reply(conn *frameConn, f frame, body []byte) bool {
	if err := conn.writeFrame(frame{typ: frameReply, id: f.id, kind: f.kind, body: body}, l.clock.Now().Add(writeTimeout)); err != nil {
		l.log.Debug("Reply not written.", "kind", f.kind, "err", err.Error())
		_ = conn.conn.Close()
		return false
	}
	return true
}

func (l *Linker) dispatch(ctx context.Context, f frame) []byte {
	handle := l.handlers[f.kind]
	if handle == nil {
		return encodeFailure(errUnknownKind)
	}
	reply, err := handle(ctx, func(into any) error { return decodeBody(f.body, into) })
	if err != nil {
		return encodeFailure(err)
	}
	return encodeReply(reply)
}

// Call sends request to the instance at addr and decodes the response into reply.
// A refusal by the handler is returned as *fescuebank.Refusal.
func (l *Linker) Call(ctx context.Context, addr string, kind fescuebank.MessageKind, request, reply any) error {
	body, err := encodeBody(request)
	if err != nil {
		return eris.Wrap(err, "Linker.Call")
	}
	peer := l.link(addr)
	conn, err := peer.connect(ctx)
	if err != nil {
		return eris.Wrapf(fescuebank.ErrPeerUnreachable, "Linker.Call: %v", err)
	}
	id, responses := conn.addPending()
	defer conn.removePending(id)
	sentAt := l.clock.Now()
	if err := conn.writeFrame(frame{typ: frameCall, id: id, kind: kind, body: body}, l.clock.Now().Add(writeTimeout)); err != nil {
		peer.closeConn(conn, err)
		return eris.Wrapf(fescuebank.ErrPeerLost, "Linker.Call: %v", err)
	}
	select {
	case response := <-responses:
		return eris.Wrap(decodeReply(response, reply), "Linker.Call")
	case <-conn.closed:
		return eris.Wrap(fescuebank.ErrPeerLost, "Linker.Call: connection closed")
	case <-ctx.Done():
		conn.removePending(id)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.isUnresponsive(sentAt) {
			// The connection may be dead without having been closed.
			peer.closeConn(conn, errUnresponsive)
		}
		return eris.Wrapf(fescuebank.ErrPeerLost, "Linker.Call: %v", ctx.Err())
	}
}

// Notify sends a one-way message to each address without waiting for slow peers. It drops
// the message and starts to connect where there is no connection.
func (l *Linker) Notify(addrs []string, kind fescuebank.MessageKind, body []byte) {
	b, err := encodeFrame(frame{typ: frameNotification, kind: kind, body: body})
	if err != nil {
		l.log.Error("Notification not encoded.", "kind", kind, "err", err.Error())
		return
	}
	for _, addr := range addrs {
		peer := l.link(addr)
		if conn := peer.current(); conn != nil {
			conn.enqueue(b)
			continue
		}
		go func() { _, _ = peer.connect(context.Background()) }()
	}
}

// Encode encodes the body of a notification.
func Encode(message any) ([]byte, error) {
	return encodeBody(message)
}

// Decode decodes the body of a notification that Encode encoded.
func Decode(body []byte, into any) error {
	return decodeBody(body, into)
}

// Disconnect closes the connection to addr, so that the next use makes a new one.
func (l *Linker) Disconnect(addr string) {
	l.link(addr).close(errDisconnected)
}

var (
	errDisconnected = errors.New("connection closed by this instance")
	errUnresponsive = errors.New("no reply on this connection within the time of a call")
)

func (l *Linker) link(addr string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[addr]
	if k == nil {
		k = &link{addr: addr, clock: l.clock}
		l.links[addr] = k
	}
	return k
}

// RemovePeer closes the connection to a removed peer and deletes its state.
func (l *Linker) RemovePeer(addr string) {
	l.Disconnect(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.links, addr)
}
