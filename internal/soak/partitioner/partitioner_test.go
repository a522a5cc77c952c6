package partitioner

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// serveEcho returns the address of a server that sends back what it receives.
func serveEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func exchange(c net.Conn, within time.Duration) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestModes(t *testing.T) {
	const short = 100 * time.Millisecond
	for _, tt := range []struct {
		mode Mode
		// open and opens are whether an open connection works, and whether a new one does.
		open, opens bool
	}{
		{None, true, true}, {Hang, false, false}, {Reset, false, false}, {Refuse, true, false},
	} {
		t.Run(string(tt.mode), func(t *testing.T) {
			p := New()
			addr := serveEcho(t)
			c, err := p.Connect(t.Context(), addr)
			if err != nil {
				t.Fatal(err)
			}
			p.SetMode(tt.mode)
			if err := exchange(c, short); (err == nil) != tt.open {
				t.Errorf("got %v on an open connection, want it open: %v", err, tt.open)
			}
			ctx, cancel := context.WithTimeout(t.Context(), short)
			defer cancel()
			if _, err := p.Connect(ctx, addr); (err == nil) != tt.opens {
				t.Errorf("got %v for a new connection, want it open: %v", err, tt.opens)
			}
		})
	}
}

// TestHeldBytesArriveAfterThePartition checks that a connection that hangs loses nothing.
func TestHeldBytesArriveAfterThePartition(t *testing.T) {
	p := New()
	c, err := p.Connect(t.Context(), serveEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	p.SetMode(Hang)
	if err := exchange(c, 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v in the partition, want %v", err, os.ErrDeadlineExceeded)
	}
	p.SetMode(None)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Errorf("got %v after the partition, want the byte written in it", err)
	}
}
