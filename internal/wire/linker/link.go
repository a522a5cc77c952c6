package linker

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"fescuebank"
)

// frameType distinguishes calls, replies and notifications.
type frameType byte

const (
	frameCall frameType = iota + 1
	frameReply
	frameNotification
	// frameOpen is the first and only frame that a connection carries in its direction, before
	// the bytes of another protocol.
	frameOpen
)

const (
	// headerBytes is the size of a frame's header: body length, frame type, message kind
	// and id.
	headerBytes = 4 + 1 + 1 + 8
	// maxFrameBytes is the largest size of a frame's body.
	maxFrameBytes = 8 << 20
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxQueuedNotifications is the number of notifications that wait for a peer that reads
	// slowly. More are dropped.
	maxQueuedNotifications = 16
)

// frame is one message on a connection.
type frame struct {
	typ  frameType
	kind fescuebank.MessageKind
	// id matches a reply to its call. It is 0 in notifications.
	id   uint64
	body []byte
}

var errFrameTooLong = errors.New("frame body exceeds the maximum size")

// frameConn reads and writes frames on one connection.
type frameConn struct {
	conn   net.Conn
	reader *bufio.Reader
	// closed is closed when the connection can no longer be used.
	closed    chan struct{}
	closeOnce sync.Once

	writeMu sync.Mutex
	// notifications holds the encoded frames that wait to be written.
	notifications chan []byte

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan []byte
	// lastRead is when the last reply arrived.
	lastRead time.Time
}

func newFrameConn(c net.Conn) *frameConn {
	return &frameConn{
		conn: c, reader: bufio.NewReaderSize(c, readBufferBytes),
		closed: make(chan struct{}), pending: make(map[uint64]chan []byte),
		notifications: make(chan []byte, maxQueuedNotifications),
	}
}

func (c *frameConn) readFrame() (frame, error) {
	return readFrame(c.reader)
}

func readFrame(r io.Reader) (frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return frame{}, errFrameTooLong
	}
	f := frame{
		typ: frameType(header[4]), kind: fescuebank.MessageKind(header[5]),
		id: binary.BigEndian.Uint64(header[6:]), body: make([]byte, length),
	}
	_, err := io.ReadFull(r, f.body)
	return f, err
}

// encodeFrame returns the bytes of a frame.
func encodeFrame(f frame) ([]byte, error) {
	if len(f.body) > maxFrameBytes {
		return nil, errFrameTooLong
	}
	b := make([]byte, headerBytes, headerBytes+len(f.body))
	binary.BigEndian.PutUint32(b, uint32(len(f.body)))
	b[4], b[5] = byte(f.typ), byte(f.kind)
	binary.BigEndian.PutUint64(b[6:], f.id)
	return append(b, f.body...), nil
}

func (c *frameConn) writeFrame(f frame, deadline time.Time) error {
	b, err := encodeFrame(f)
	if err != nil {
		return err
	}
	return c.write(b, deadline)
}

// write writes an encoded frame.
func (c *frameConn) write(b []byte, deadline time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := c.conn.Write(b)
	return err
}

// enqueue adds an encoded notification to those that wait to be written, or drops it if too
// many wait.
func (c *frameConn) enqueue(b []byte) {
	select {
	case c.notifications <- b:
	default:
	}
}

// addPending returns the id of a new call and the channel that receives its reply.
func (c *frameConn) addPending() (uint64, <-chan []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	response := make(chan []byte, 1)
	c.pending[c.lastID] = response
	return c.lastID, response
}

func (c *frameConn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// isUnresponsive reports whether no reply has arrived since a call was sent and no other
// call waits for one.
func (c *frameConn) isUnresponsive(sentAt time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0 && c.lastRead.Before(sentAt)
}

func (c *frameConn) deliver(f frame, now time.Time) {
	c.mu.Lock()
	response := c.pending[f.id]
	delete(c.pending, f.id)
	c.lastRead = now
	c.mu.Unlock()
	if response != nil {
		response <- f.body
	}
}

func (c *frameConn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.conn.Close()
	})
}

// link is the outgoing connection to one peer. It is made on demand.
type link struct {
	addr  string
	clock fescuebank.Clock

	mu   sync.Mutex
	conn *frameConn
	// dialing is closed when the running connection attempt ends; nil if none is running.
	dialing chan struct{}
	// lastDial is the start time of the last connection attempt.
	lastDial time.Time
	lastErr  error
}

// current returns the open connection, or nil.
func (k *link) current() *frameConn {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.conn
}

// connect returns the open connection or makes a new one. Concurrent callers share one
// attempt. Within minRedialInterval after the start of an attempt, connect returns the
// last error instead of making a new attempt.
func (k *link) connect(ctx context.Context) (*frameConn, error) {
	k.mu.Lock()
	if k.conn != nil {
		defer k.mu.Unlock()
		return k.conn, nil
	}
	if k.dialing == nil {
		now := k.clock.Now()
		if k.lastErr != nil && now.Sub(k.lastDial) < minRedialInterval {
			defer k.mu.Unlock()
			return nil, k.lastErr
		}
		k.lastDial = now
		k.dialing = make(chan struct{})
		go k.dial(k.dialing)
	}
	dialing := k.dialing
	k.mu.Unlock()
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn == nil {
		return nil, k.lastErr
	}
	return k.conn, nil
}

func (k *link) dial(done chan struct{}) {
	c, err := net.DialTimeout("tcp", k.addr, dialTimeout)
	k.mu.Lock()
	defer k.mu.Unlock()
	defer close(done)
	k.dialing = nil
	k.lastErr = err
	if err != nil {
		return
	}
	k.conn = newFrameConn(c)
	go k.readReplies(k.conn)
	go k.writeNotifications(k.conn)
}

// readReplies delivers replies until the connection fails.
func (k *link) readReplies(c *frameConn) {
	for {
		f, err := c.readFrame()
		if err != nil {
			k.closeConn(c, err)
			return
		}
		c.deliver(f, k.clock.Now())
	}
}

// writeNotifications writes the queued notifications until the connection ends.
func (k *link) writeNotifications(c *frameConn) {
	for {
		select {
		case <-c.closed:
			return
		case b := <-c.notifications:
			if err := c.write(b, k.clock.Now().Add(writeTimeout)); err != nil {
				k.closeConn(c, err)
				return
			}
		}
	}
}

// closeConn closes c and, if it is the current connection, removes it from the link.
func (k *link) closeConn(c *frameConn, cause error) {
	c.close()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn == c {
		k.conn = nil
		k.lastErr = cause
	}
}

// close closes the current connection if there is one; cause becomes the last error.
func (k *link) close(cause error) {
	if c := k.current(); c != nil {
		k.closeConn(c, cause)
	}
}
