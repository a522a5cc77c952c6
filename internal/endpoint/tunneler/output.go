package tunneler

import (
	"io"
	"net"

	"fescuebank/internal/wire/framer"
)

// output sends the endpoint's bytes to the user.
type output interface {
	// Buffer returns the space for what is sent next.
	Buffer() []byte
	// Send sends the first n bytes of the buffer.
	Send(n int) error
	// End states that the endpoint has ended its connection.
	End() error
}

func newOutput(user net.Conn, framed bool) output {
	if framed {
		return framer.New(user)
	}
	return &rawOutput{to: user, buffer: make([]byte, bufferBytes)}
}

// rawOutput sends the bytes as they are.
type rawOutput struct {
	to     io.Writer
	buffer []byte
}

// Buffer returns the space for what is sent next.
func (o *rawOutput) Buffer() []byte {
	return o.buffer
}

// Send sends the first n bytes of the buffer.
func (o *rawOutput) Send(n int) error {
	_, err := o.to.Write(o.buffer[:n])
	return err
}

// End does nothing: the end of the connection states it.
func (o *rawOutput) End() error {
	return nil
}
