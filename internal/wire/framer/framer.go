// Package framer carries the bytes of one connection on another one in frames, so that the reader can tell their end from a
// failure of the connection that carries them.
package framer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// headerBytes is the size of a frame's header, which is the length of its body. A frame without a body is
	// the end.
	headerBytes = 2
	// frameBytes is the largest size of a frame, and the size of each buffer.
	frameBytes = 4 << 10
	// maxBodyBytes is the largest length of a frame's body. The first bytes of a text are read as a greater length.
	maxBodyBytes = frameBytes - headerBytes
)

// Errors of a reader.
var (
	// ErrNoEnd means that the connection ended without the frame that states the end. It is an io.ErrUnexpectedEOF.
	ErrNoEnd = fmt.Errorf("no end frame: %w", io.ErrUnexpectedEOF)
	// ErrTooLong means that what is read is no frame.
	ErrTooLong = errors.New("frame too long")
)

// Framer writes frames. It is for one goroutine.
type Framer struct {
	to     io.Writer
	buffer [frameBytes]byte
}

// New returns a framer that writes to a connection.
func New(to io.Writer) *Framer {
	return &Framer{to: to}
}

// Buffer returns the space for the body of the next frame.
func (f *Framer) Buffer() []byte {
	return f.buffer[headerBytes:]
}

// Send writes a frame with the first n bytes of the buffer, which must be at least one.
func (f *Framer) Send(n int) error {
	binary.BigEndian.PutUint16(f.buffer[:], uint16(n))
	_, err := f.to.Write(f.buffer[:headerBytes+n])
	return err
}

// End writes the frame that states the end. It is the last one.
func (f *Framer) End() error {
	return f.Send(0)
}

// Reader reads the bodies of frames.
type Reader struct {
	from *bufio.Reader
	// left is how many bytes of the current frame's body have not been read.
	left int
	// ended is set once the end was read.
	ended bool
}

// NewReader returns a reader of what a Framer writes to a connection.
func NewReader(from io.Reader) *Reader {
	return &Reader{from: bufio.NewReaderSize(from, frameBytes)}
}

// Read reads bytes of one frame. It returns io.EOF only after the frame that states the end. After an error that passes,
// such as a deadline, reading goes on where it was.
func (r *Reader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if err := r.next(); err != nil {
		return 0, err
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, noEnd(err)
}

// next reads the header of the next frame if the current one has been read.
func (r *Reader) next() error {
	if r.ended {
		return io.EOF
	}
	if r.left > 0 {
		return nil
	}
	header, err := r.from.Peek(headerBytes)
	if err != nil {
		return noEnd(err)
	}
	length := int(binary.BigEndian.Uint16(header))
	if length > maxBodyBytes {
		return ErrTooLong
	}
	_, _ = r.from.Discard(headerBytes) // It was peeked at.
	r.left, r.ended = length, length == 0
	if r.ended {
		return io.EOF
	}
	return nil
}

// noEnd returns the error of a connection that carries frames.
func noEnd(err error) error {
	if err == io.EOF {
		return ErrNoEnd
	}
	return err
}
