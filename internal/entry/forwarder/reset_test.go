package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/forwarder"
	"fescuebank/internal/limit/reserver"
	"fescuebank/internal/standin/responder"
	"fescuebank/internal/timing/timekeeper"
)

// serveUnframed serves connections to the returned address with a response without a length, whose connection it resets or
// ends in order after it has read the request.
func serveUnframed(t *testing.T, reset bool) (url string) {
	t.Helper()
	return "http://" + responder.Responder(func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil && !reset {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(time.Millisecond)
		if reset {
			_ = c.SetLinger(0)
		}
	}).Start(t)
}

// TestResetWhileTheCallIsWrittenIsNotTheEnd guards against a reset that only the write of a long call reports, so that a response
// without a length seems to end in order.
func TestResetWhileTheCallIsWrittenIsNotTheEnd(t *testing.T) {
	const trials = 30
	for _, tt := range []struct {
		name  string
		reset bool
		body  []byte
	}{
		{"reset", true, make([]byte, 16<<20)},
		{"in order after a long call", false, make([]byte, 1<<20)},
		{"in order after a short call", false, []byte("body")},
		{"in order after a call without a body", false, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			service := &fescuebank.Service{Name: "s", URLs: []string{serveUnframed(t, tt.reset)}, Timeout: 2}
			f := forwarder.New(nil, reserver.New(64*fescuebank.MiB), timekeeper.Timekeeper{})
			for n := range trials {
				request := httptest.NewRequest(http.MethodPost, "/s/s/x", nil)
				call := &forwarder.Call{Service: service, Path: "/x", Request: request, Body: tt.body, IsKey: func(string) bool { return false }}
				if _, err := f.Forward(t.Context(), call); (err != nil) != tt.reset {
					t.Errorf("trial %d: got error %v, want an error %v", n, err, tt.reset)
				}
			}
		})
	}
}
