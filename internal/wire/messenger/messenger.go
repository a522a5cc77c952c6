// Package messenger carries the inner protocol: one QUIC stream a request,
// CBOR bodies, mutual TLS.
package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// protocolVersion is the first byte of each request.
	protocolVersion = 1
	// applicationProtocol is negotiated by TLS.
	applicationProtocol = "fescuebank/1"
	// serverName is the DNS name in every instance's certificate.
	serverName = "instance.fescuebank"
	// maxMessageBytes bounds a request and an answer.
	maxMessageBytes = 8 << 20
	// idleTimeout ends a connection whose other side fell silent.
	idleTimeout = 6 * time.Second
	// keepAlive is the interval of pings on a connection in use.
	keepAlive = 2 * time.Second
	// unusedTimeout closes a connection that carried no request for so long.
	unusedTimeout = 30 * time.Second
	// dialTimeout bounds the handshake.
	dialTimeout = 2 * time.Second
	// handleTimeout bounds the work on one request.
	handleTimeout = 20 * time.Second
)

// Messenger is the fescuebank.Peer of a running daemon, both sides of it.
type Messenger struct {
	log       hclog.Logger
	clock     fescuebank.Clock
	transport *quic.Transport
	listener  *quic.Listener
	client    *tls.Config
	handlers  map[fescuebank.MessageKind]fescuebank.PeerHandler

	mu sync.Mutex
	// links holds one connection per peer address.
	links map[string]*link
	sent  Traffic
}

// Traffic counts what passed between instances, in both directions.
type Traffic struct {
	Requests int64 `json:"requests"`
	Bytes    int64 `json:"bytes"`
}

// link is the connection to one peer.
type link struct {
	// ready closes once conn or err is set.
	ready chan struct{}
	conn  *quic.Conn
	err   error
	// used is when the link last carried a request.
	used time.Time
}

// New listens on addr, an IP:PORT. The TLS configuration holds the instance's
// certificate and the authority of all instances.
func New(addr string, secure *tls.Config, clock fescuebank.Clock, log hclog.Logger) (*Messenger, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "messenger.New")
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, eris.Wrap(err, "messenger.New")
	}
	server := secure.Clone()
	server.NextProtos = []string{applicationProtocol}
	server.ClientAuth = tls.RequireAndVerifyClientCert
	client := secure.Clone()
	client.NextProtos = []string{applicationProtocol}
	client.ServerName = serverName
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(server, quicConfig())
	if err != nil {
		return nil, eris.Wrap(err, "messenger.New")
	}
	return &Messenger{
		log: log, clock: clock, transport: transport, listener: listener, client: client,
		handlers: make(map[fescuebank.MessageKind]fescuebank.PeerHandler),
		links:    make(map[string]*link),
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		MaxIncomingStreams:   4096,
	}
}

// Addr returns the address that peers use.
func (m *Messenger) Addr() string {
	return m.listener.Addr().String()
}

// Handle registers the handler of a kind. Call it before Run.
func (m *Messenger) Handle(kind fescuebank.MessageKind, handler fescuebank.PeerHandler) {
	m.handlers[kind] = handler
}

// Traffic returns what passed so far.
func (m *Messenger) Traffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sent
}

func (m *Messenger) count(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent.Requests++
	m.sent.Bytes += int64(bytes)
}

// Run serves peers until ctx ends.
func (m *Messenger) Run(ctx context.Context) error {
	go m.closeUnused(ctx)
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return m.close(err)
		}
		go m.serve(ctx, conn)
	}
}

func (m *Messenger) close(cause error) error {
	_ = m.listener.Close()
	_ = m.transport.Close()
	if errors.Is(cause, context.Canceled) || errors.Is(cause, quic.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(cause, "Messenger.Run")
}

// closeUnused drops links without traffic, so that their pings cost nothing.
func (m *Messenger) closeUnused(ctx context.Context) {
	for fescuebank.Sleep(ctx, m.clock, unusedTimeout/2) == nil {
		now := m.clock.Now()
		m.mu.Lock()
		for addr, l := range m.links {
			if now.Sub(l.used) < unusedTimeout || l.conn == nil {
				continue
			}
			_ = l.conn.CloseWithError(0, "unused")
			delete(m.links, addr)
		}
		m.mu.Unlock()
	}
}

func (m *Messenger) serve(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go m.answer(ctx, stream)
	}
}

func (m *Messenger) answer(ctx context.Context, stream *quic.Stream) {
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	defer stream.Close()
	_ = stream.SetDeadline(m.clock.Now().Add(handleTimeout))
	body, err := readBounded(stream)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	reply := m.dispatch(ctx, body)
	m.count(len(body) + len(reply))
	_, _ = stream.Write(reply)
}

// dispatch runs the handler of a request and returns the encoded answer.
func (m *Messenger) dispatch(ctx context.Context, body []byte) []byte {
	kind, payload, err := decodeRequest(body)
	if err != nil {
		return encodeFailure(err)
	}
	handler, ok := m.handlers[kind]
	if !ok {
		return encodeFailure(errUnknownKind)
	}
	reply, err := handler(ctx, func(into any) error { return decodeBody(payload, into) })
	if err != nil {
		m.log.Debug("Request failed.", "kind", kind, "err", err)
		return encodeFailure(err)
	}
	return encodeReply(reply)
}

// Call sends request to the instance at addr and decodes the answer into reply.
func (m *Messenger) Call(ctx context.Context, addr string, kind fescuebank.MessageKind, request, reply any) error {
	body, err := encodeRequest(kind, request)
	if err != nil {
		return eris.Wrap(err, "Messenger.Call")
	}
	l, err := m.linkTo(ctx, addr)
	if err != nil {
		return eris.Wrapf(fescuebank.ErrPeerUnreached, "Messenger.Call: %v", err)
	}
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		m.drop(addr, l)
		return eris.Wrapf(fescuebank.ErrPeerUnreached, "Messenger.Call: %v", err)
	}
	answer, err := m.exchange(ctx, stream, body)
	if err != nil {
		m.dropDead(addr, l)
		return eris.Wrapf(fescuebank.ErrPeerLost, "Messenger.Call: %v", err)
	}
	m.count(len(body) + len(answer))
	return eris.Wrap(decodeReply(answer, reply), "Messenger.Call")
}

func (m *Messenger) exchange(ctx context.Context, stream *quic.Stream, body []byte) ([]byte, error) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if _, err := stream.Write(body); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	return readBounded(stream)
}

// linkTo returns the connection to addr, made by the first caller.
func (m *Messenger) linkTo(ctx context.Context, addr string) (*link, error) {
	m.mu.Lock()
	l, ok := m.links[addr]
	if ok && l.conn != nil && l.conn.Context().Err() != nil {
		ok = false
	}
	if !ok {
		l = &link{ready: make(chan struct{})}
		m.links[addr] = l
		go m.dial(addr, l)
	}
	l.used = m.clock.Now()
	m.mu.Unlock()
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if l.err != nil {
		m.drop(addr, l)
		return nil, l.err
	}
	return l, nil
}

func (m *Messenger) dial(addr string, l *link) {
	defer close(l.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		l.err = err
		return
	}
	conn, err := m.transport.Dial(ctx, udp, m.client, quicConfig())
	m.mu.Lock()
	defer m.mu.Unlock()
	l.conn, l.err = conn, err
}

// drop forgets a link, so that the next call dials afresh.
func (m *Messenger) drop(addr string, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[addr] == l {
		delete(m.links, addr)
	}
}

// dropDead forgets a link whose connection has ended.
func (m *Messenger) dropDead(addr string, l *link) {
	if l.conn.Context().Err() != nil {
		m.drop(addr, l)
	}
}

func readBounded(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxMessageBytes {
		return nil, errTooLong
	}
	return body, nil
}
