package linker

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"fescuebank"
)

// ConnHandler handles a connection that a peer opens for bytes of its own protocol. It returns the
// reply to the peer and a function that then serves the connection until it ends, also if the
// reply could not be sent and the connection is closed.
type ConnHandler func(ctx context.Context, decode func(into any) error) (reply any, serve func(net.Conn), err error)

// HandleOpen registers the handler of a kind of connection. Call it before Run.
func (l *Linker) HandleOpen(kind fescuebank.MessageKind, handler ConnHandler) {
	l.connHandlers[kind] = handler
}

// Open opens a connection of its own to the instance at addr, sends the request there and decodes
// the response into reply. After that the connection carries what both sides write to it. Its
// errors are those of Call.
func (l *Linker) Open(ctx context.Context, addr string, kind fescuebank.MessageKind, request, reply any) (net.Conn, error) {
	body, err := encodeBody(request)
	if err != nil {
		return nil, eris.Wrap(err, "Linker.Open")
	}
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(fescuebank.ErrPeerUnreachable, "Linker.Open: %v", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := l.exchangeOpen(c, kind, body, reply); err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	if !stop() {
		return nil, eris.Wrapf(fescuebank.ErrPeerLost, "Linker.Open: %v", ctx.Err())
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}

// exchangeOpen sends the request that opens a connection and reads the reply.
func (l *Linker) exchangeOpen(c net.Conn, kind fescuebank.MessageKind, body []byte, reply any) error {
	b, err := encodeFrame(frame{typ: frameOpen, kind: kind, body: body})
	if err != nil {
		return eris.Wrap(err, "Linker.Open")
	}
	_ = c.SetDeadline(l.clock.Now().Add(handleTimeout))
	if _, err := c.Write(b); err != nil {
		return eris.Wrapf(fescuebank.ErrPeerLost, "Linker.Open: %v", err)
	}
	f, err := readFrame(c) // No more than the reply: what follows are not frames.
	if err != nil {
		return eris.Wrapf(fescuebank.ErrPeerLost, "Linker.Open: %v", err)
	}
	return eris.Wrap(decodeReply(f.body, reply), "Linker.Open")
}

// serveOpened replies to the frame that opens a connection and serves the connection.
func (l *Linker) serveOpened(ctx context.Context, conn *frameConn, f frame) {
	handle := l.connHandlers[f.kind]
	if handle == nil {
		l.reply(conn, f, encodeFailure(errUnknownKind))
		return
	}
	handleCtx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	reply, serve, err := handle(handleCtx, func(into any) error { return decodeBody(f.body, into) })
	if err != nil {
		l.reply(conn, f, encodeFailure(err))
		return
	}
	_ = l.reply(conn, f, encodeReply(reply))
	if serve != nil {
		_ = conn.conn.SetDeadline(time.Time{})
		serve(conn.conn)
	}
}
