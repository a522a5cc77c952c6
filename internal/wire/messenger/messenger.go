// Package messenger carries requests between instances over QUIC with mutual TLS. Each
// request uses its own stream, and bodies are encoded as CBOR.
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
	// applicationProtocol is the protocol name that TLS negotiates.
	applicationProtocol = "fescuebank/1"
	// serverName is the DNS name in every instance's certificate.
	serverName = "instance.fescuebank"
	// maxMessageBytes is the largest size of a request and of a response.
	maxMessageBytes = 8 << 20
	// idleTimeout is the time after which a connection is closed whose other side sends
	// nothing, not even pings.
	idleTimeout = 6 * time.Second
	// keepAlive is the interval of pings on an open connection.
	keepAlive = 2 * time.Second
	// unusedTimeout is the time without a request after which an outgoing connection is
	// closed.
	unusedTimeout = 30 * time.Second
	// dialTimeout bounds connecting to a peer, including the handshake.
	dialTimeout = 2 * time.Second
	// handleTimeout bounds the handling of one request.
	handleTimeout = 20 * time.Second
)

// Messenger is the fescuebank.Peer of a running daemon. It is both client and server.
type Messenger struct {
	log       hclog.Logger
	clock     fescuebank.Clock
	transport *quic.Transport
	listener  *quic.Listener
	clientTLS *tls.Config
	handlers  map[fescuebank.MessageKind]fescuebank.PeerHandler

	mu sync.Mutex
	// conns holds the connections by peer address.
	conns   map[string]*peerConn
	traffic Traffic
}

// Traffic counts the requests to and from other instances, and the bytes of requests and
// responses.
type Traffic struct {
	Requests int64 `json:"requests"`
	Bytes    int64 `json:"bytes"`
}

// peerConn is the connection to one peer.
type peerConn struct {
	// ready is closed when conn or err is set.
	ready chan struct{}
	conn  *quic.Conn
	err   error
	// lastUsed is when a call last used the connection.
	lastUsed time.Time
}

// New returns a messenger that listens on addr, an IP:PORT. The TLS configuration holds
// the instance's certificate and the certificate authority of all instances.
func New(addr string, tlsConfig *tls.Config, clock fescuebank.Clock, log hclog.Logger) (*Messenger, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "messenger.New")
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, eris.Wrap(err, "messenger.New")
	}
	server := tlsConfig.Clone()
	server.NextProtos = []string{applicationProtocol}
	server.ClientAuth = tls.RequireAndVerifyClientCert
	client := tlsConfig.Clone()
	client.NextProtos = []string{applicationProtocol}
	client.ServerName = serverName
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(server, quicConfig())
	if err != nil {
		return nil, eris.Wrap(err, "messenger.New")
	}
	return &Messenger{
		log: log, clock: clock, transport: transport, listener: listener, clientTLS: client,
		handlers: make(map[fescuebank.MessageKind]fescuebank.PeerHandler),
		conns:    make(map[string]*peerConn),
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

// Handle registers the handler of a kind of request. Call it before Run.
func (m *Messenger) Handle(kind fescuebank.MessageKind, handler fescuebank.PeerHandler) {
	m.handlers[kind] = handler
}

// Traffic returns the counts since the start.
func (m *Messenger) Traffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.traffic
}

func (m *Messenger) count(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.traffic.Requests++
	m.traffic.Bytes += int64(bytes)
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

// closeUnused closes connections that have carried no request for unusedTimeout, to save
// the cost of their pings.
func (m *Messenger) closeUnused(ctx context.Context) {
	for fescuebank.Sleep(ctx, m.clock, unusedTimeout/2) == nil {
		now := m.clock.Now()
		m.mu.Lock()
		for addr, p := range m.conns {
			if now.Sub(p.lastUsed) < unusedTimeout || p.conn == nil {
				continue
			}
			_ = p.conn.CloseWithError(0, "unused")
			delete(m.conns, addr)
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
		go m.handleStream(ctx, stream)
	}
}

func (m *Messenger) handleStream(ctx context.Context, stream *quic.Stream) {
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	defer stream.Close()
	_ = stream.SetDeadline(m.clock.Now().Add(handleTimeout))
	body, err := readMessage(stream)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	reply := m.dispatch(ctx, body)
	m.count(len(body) + len(reply))
	_, _ = stream.Write(reply)
}

// dispatch runs the handler of a request and returns the encoded response.
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
		m.log.Debug("Request from a peer failed.", "kind", kind, "err", err)
		return encodeFailure(err)
	}
	return encodeReply(reply)
}

// Call sends request to the instance at addr and decodes the response into reply.
func (m *Messenger) Call(ctx context.Context, addr string, kind fescuebank.MessageKind, request, reply any) error {
	body, err := encodeRequest(kind, request)
	if err != nil {
		return eris.Wrap(err, "Messenger.Call")
	}
	peer, err := m.connTo(ctx, addr)
	if err != nil {
		return eris.Wrapf(fescuebank.ErrPeerUnreachable, "Messenger.Call: %v", err)
	}
	stream, err := peer.conn.OpenStreamSync(ctx)
	if err != nil {
		m.remove(addr, peer)
		return eris.Wrapf(fescuebank.ErrPeerUnreachable, "Messenger.Call: %v", err)
	}
	response, err := m.exchange(ctx, stream, body)
	if err != nil {
		m.removeIfClosed(addr, peer)
		return eris.Wrapf(fescuebank.ErrPeerLost, "Messenger.Call: %v", err)
	}
	m.count(len(body) + len(response))
	return eris.Wrap(decodeReply(response, reply), "Messenger.Call")
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
	return readMessage(stream)
}

// connTo returns the connection to addr. The first caller starts to dial; others wait
// for the same connection.
func (m *Messenger) connTo(ctx context.Context, addr string) (*peerConn, error) {
	m.mu.Lock()
	p, ok := m.conns[addr]
	if ok && p.conn != nil && p.conn.Context().Err() != nil {
		ok = false
	}
	if !ok {
		p = &peerConn{ready: make(chan struct{})}
		m.conns[addr] = p
		go m.dial(addr, p)
	}
	p.lastUsed = m.clock.Now()
	m.mu.Unlock()
	select {
	case <-p.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.err != nil {
		m.remove(addr, p)
		return nil, p.err
	}
	return p, nil
}

func (m *Messenger) dial(addr string, p *peerConn) {
	defer close(p.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		p.err = err
		return
	}
	conn, err := m.transport.Dial(ctx, udpAddr, m.clientTLS, quicConfig())
	m.mu.Lock()
	defer m.mu.Unlock()
	p.conn, p.err = conn, err
}

// remove deletes a connection, so that the next call makes a new one.
func (m *Messenger) remove(addr string, p *peerConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns[addr] == p {
		delete(m.conns, addr)
	}
}

// removeIfClosed deletes a connection if it is closed.
func (m *Messenger) removeIfClosed(addr string, p *peerConn) {
	if p.conn.Context().Err() != nil {
		m.remove(addr, p)
	}
}

func readMessage(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxMessageBytes {
		return nil, errTooLong
	}
	return body, nil
}
