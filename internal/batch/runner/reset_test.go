package runner

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/endpoint/dialer"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/standin/responder"
	"fescuebank/internal/timing/timekeeper"
)

// TestItemWhoseBodyMeetsAResetIsNotComplete guards against the part of an output that an endpoint sent before it reset the connection while the
// item's long body was still being written, and which is listed as the whole output.
func TestItemWhoseBodyMeetsAResetIsNotComplete(t *testing.T) {
	const trials = 40
	for _, tt := range []struct {
		name    string
		size    int
		inOrder bool
	}{
		{"20 KiB", 20 << 10, false}, {"1 MiB", 1 << 20, false}, {"16 MiB", 16 << 20, false},
		{"ended in order first, 16 MiB", 16 << 20, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr := responder.Responder(func(c *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n")
				if tt.inOrder {
					_ = c.CloseWrite()
				}
				time.Sleep(time.Millisecond)
				_ = c.SetLinger(0)
			}).Start(t)
			clock := timekeeper.Timekeeper{}
			for n := range trials {
				a := allocator.New(clock, func() {})
				a.SetEndpoints([]fescuebank.ServedEndpoint{{ID: "i-1", Service: "s", Addr: addr, Slots: 8}})
				r := New(Config{
					Allocator: a, Exchanger: exchanger.New(statusProtocol{}, clock, dialer.Direct), Protocol: statusProtocol{}, Guard: &recordingGuard{}, Clock: clock, Log: hclog.NewNullLogger(),
				})
				request := &fescuebank.Request{ID: "q", Service: "s", Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, tt.size), Deadline: clock.Now().Add(time.Minute)}
				var progress fescuebank.Progress
				_, err := r.attempt(t.Context(), &attempt{task: &manager.Task{Request: request}, slot: a.AcquireBatch("s", "", 0)}, &progress)
				if (err == nil) != tt.inOrder {
					t.Errorf("trial %d: got %d events, error %v, want an error %v", n, progress.Events, err, !tt.inOrder)
				}
			}
		})
	}
}
