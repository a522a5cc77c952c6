package emulator

import (
	"net"
	"testing"
	"time"
)

// TestCloseWhileAConnectionIsAccepted guards against a close that waits for ever for a connection that is
// being accepted.
func TestCloseWhileAConnectionIsAccepted(t *testing.T) {
	for range 300 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &server{emulator: &Emulator{}, addr: listener.Addr().String(), conns: make(map[*connState]struct{})}
		s.serve(listener)
		go func() {
			if c, err := net.Dial("tcp", s.addr); err == nil {
				_ = c.Close()
			}
		}()
		time.Sleep(50 * time.Microsecond)
		done := make(chan struct{})
		go func() {
			s.closeAll()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("got a close that goes on after 5 s, want its end")
		}
	}
}
