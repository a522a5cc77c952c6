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

// shape tells calls, replies and notices apart.
type shape byte

const (
	shapeCall shape = iota + 1
	shapeReply
	shapeNotice
)

const (
	// headerBytes is the size of a frame's header: length, shape, kind, id.
	headerBytes = 4 + 1 + 1 + 8
	// maxFrameBytes bounds a frame's body.
	maxFrameBytes = 8 << 20
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
)

// frame is one message on a connection.
type frame struct {
	shape shape
	kind  fescuebank.MessageKind
	// id pairs a reply with its call; 0 in notices.
	id   uint64
	body []byte
}

var errFrame = errors.New("frame too long")

// stream is one connection with its frames.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	// ended closes once the connection can't be used any more.
	ended chan struct{}
	once  sync.Once

	writing sync.Mutex

	mu       sync.Mutex
	next     uint64
	expected map[uint64]chan []byte
}

func newStream(c net.Conn) *stream {
	return &stream{
		conn: c, reader: bufio.NewReaderSize(c, bufferBytes),
		ended: make(chan struct{}), expected: make(map[uint64]chan []byte),
	}
}

func (s *stream) read() (frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return frame{}, errFrame
	}
	f := frame{
		shape: shape(header[4]), kind: fescuebank.MessageKind(header[5]),
		id: binary.BigEndian.Uint64(header[6:]), body: make([]byte, length),
	}
	_, err := io.ReadFull(s.reader, f.body)
	return f, err
}

func (s *stream) write(f frame, deadline time.Time) error {
	if len(f.body) > maxFrameBytes {
		return errFrame
	}
	b := make([]byte, headerBytes, headerBytes+len(f.body))
	binary.BigEndian.PutUint32(b, uint32(len(f.body)))
	b[4], b[5] = byte(f.shape), byte(f.kind)
	binary.BigEndian.PutUint64(b[6:], f.id)
	b = append(b, f.body...)
	s.writing.Lock()
	defer s.writing.Unlock()
	if err := s.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := s.conn.Write(b)
	return err
}

// expect returns a new id and where its reply will be delivered.
func (s *stream) expect() (uint64, <-chan []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	answered := make(chan []byte, 1)
	s.expected[s.next] = answered
	return s.next, answered
}

func (s *stream) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.expected, id)
}

func (s *stream) deliver(f frame) {
	s.mu.Lock()
	answered := s.expected[f.id]
	delete(s.expected, f.id)
	s.mu.Unlock()
	if answered != nil {
		answered <- f.body
	}
}

func (s *stream) end() {
	s.once.Do(func() {
		close(s.ended)
		_ = s.conn.Close()
	})
}

// link is the connection that this instance made to one peer.
type link struct {
	addr  string
	clock fescuebank.Clock

	mu     sync.Mutex
	stream *stream
	// dialing closes when the running attempt to connect has ended.
	dialing chan struct{}
	// tried is when the last attempt began.
	tried time.Time
	err   error
}

// current returns the stream in use, or nil.
func (k *link) current() *stream {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stream
}

// open returns the stream in use or makes one.
func (k *link) open(ctx context.Context) (*stream, error) {
	k.mu.Lock()
	if k.stream != nil {
		defer k.mu.Unlock()
		return k.stream, nil
	}
	if k.dialing == nil {
		now := k.clock.Now()
		if k.err != nil && now.Sub(k.tried) < redialAfter {
			defer k.mu.Unlock()
			return nil, k.err
		}
		k.tried = now
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
	if k.stream == nil {
		return nil, k.err
	}
	return k.stream, nil
}

func (k *link) dial(done chan struct{}) {
	c, err := net.DialTimeout("tcp", k.addr, dialTimeout)
	k.mu.Lock()
	defer k.mu.Unlock()
	defer close(done)
	k.dialing = nil
	k.err = err
	if err != nil {
		return
	}
	k.stream = newStream(c)
	go k.receive(k.stream)
}

// receive delivers replies until the connection ends.
func (k *link) receive(s *stream) {
	for {
		f, err := s.read()
		if err != nil {
			k.drop(s, err)
			return
		}
		s.deliver(f)
	}
}

// drop ends a stream and forgets it if it is the one in use.
func (k *link) drop(s *stream, cause error) {
	s.end()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stream == s {
		k.stream = nil
		k.err = cause
	}
}

// fail ends the stream in use.
func (k *link) fail(cause error) {
	if s := k.current(); s != nil {
		k.drop(s, cause)
	}
}
