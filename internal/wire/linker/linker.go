// Package linker carries calls and notices between instances over kept TCP
// connections: one in each direction between two instances, CBOR bodies.
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
	// dialTimeout bounds a new connection.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout bounds the writing of one frame.
	writeTimeout = time.Second
	// redialAfter is the least time between two attempts to reach a peer.
	redialAfter = 200 * time.Millisecond
	// handleTimeout bounds the work on one call.
	handleTimeout = 5 * time.Second
)

// NotificationHandler handles a one-way message. It must not block.
type NotificationHandler func(decode func(into any) error)

// Linker is a fescuebank.Peer.
type Linker struct {
	clock    fescuebank.Clock
	log      hclog.Logger
	listener net.Listener
	handlers map[fescuebank.MessageKind]fescuebank.PeerHandler
	notices  map[fescuebank.MessageKind]NotificationHandler

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
		handlers: make(map[fescuebank.MessageKind]fescuebank.PeerHandler),
		notices:  make(map[fescuebank.MessageKind]NotificationHandler),
		links:    make(map[string]*link), accepted: make(map[net.Conn]bool),
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
	l.notices[kind] = handler
}

// Run serves peers until ctx ends.
func (l *Linker) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	for {
		c, err := l.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				l.log.Error("Peers are not served any more.", "err", err)
			}
			return
		}
		l.mu.Lock()
		l.accepted[c] = true
		l.mu.Unlock()
		go l.serve(ctx, c)
	}
}

func (l *Linker) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.accepted {
		_ = c.Close()
	}
	for _, k := range l.links {
		k.fail(net.ErrClosed)
	}
}

// serve answers one peer's frames until its connection ends.
func (l *Linker) serve(ctx context.Context, c net.Conn) {
	defer func() {
		l.mu.Lock()
		delete(l.accepted, c)
		l.mu.Unlock()
		_ = c.Close()
	}()
	s := newStream(c)
	for {
		f, err := s.read()
		if err != nil {
			return
		}
		if f.shape == shapeNotice {
			if handle := l.notices[f.kind]; handle != nil {
				handle(func(into any) error { return decodeBody(f.body, into) })
			}
			continue
		}
		go l.answer(ctx, s, f)
	}
}

func (l *Linker) answer(ctx context.Context, s *stream, f frame) {
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	reply := l.dispatch(ctx, f)
	if err := s.write(frame{shape: shapeReply, id: f.id, kind: f.kind, body: reply}, l.clock.Now().Add(writeTimeout)); err != nil {
		l.log.Debug("Reply not written.", "kind", f.kind, "err", err.Error())
		_ = s.conn.Close()
	}
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

// Call sends request to the instance at addr and decodes the answer into reply.
// A refusal by the handler comes back as *fescuebank.Refusal.
func (l *Linker) Call(ctx context.Context, addr string, kind fescuebank.MessageKind, request, reply any) error {
	body, err := encodeBody(request)
	if err != nil {
		return eris.Wrap(err, "Linker.Call")
	}
	k := l.link(addr)
	s, err := k.open(ctx)
	if err != nil {
		return eris.Wrapf(fescuebank.ErrPeerUnreached, "Linker.Call: %v", err)
	}
	id, answered := s.expect()
	defer s.forget(id)
	if err := s.write(frame{shape: shapeCall, id: id, kind: kind, body: body}, l.clock.Now().Add(writeTimeout)); err != nil {
		k.drop(s, err)
		return eris.Wrapf(fescuebank.ErrPeerLost, "Linker.Call: %v", err)
	}
	select {
	case answer := <-answered:
		return eris.Wrap(decodeReply(answer, reply), "Linker.Call")
	case <-s.ended:
		return eris.Wrap(fescuebank.ErrPeerLost, "Linker.Call: connection ended")
	case <-ctx.Done():
		return eris.Wrapf(fescuebank.ErrPeerLost, "Linker.Call: %v", ctx.Err())
	}
}

// Notify sends a message that wants no answer. It does nothing while the peer
// is not connected, but begins to connect.
func (l *Linker) Notify(addr string, kind fescuebank.MessageKind, body []byte) {
	k := l.link(addr)
	s := k.current()
	if s == nil {
		go func() { _, _ = k.open(context.Background()) }()
		return
	}
	if err := s.write(frame{shape: shapeNotice, kind: kind, body: body}, l.clock.Now().Add(writeTimeout)); err != nil {
		k.drop(s, err)
	}
}

// Encode encodes the body of a notice.
func Encode(message any) ([]byte, error) {
	return encodeBody(message)
}

// Disconnect closes the connection to addr, so that the next use makes a new one.
func (l *Linker) Disconnect(addr string) {
	l.link(addr).fail(errDropped)
}

var errDropped = errors.New("connection dropped")

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
