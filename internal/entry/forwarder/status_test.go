package forwarder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"fescuebank"
	"fescuebank/internal/entry/forwarder"
	"fescuebank/internal/limit/reserver"
	"fescuebank/internal/standin/responder"
	"fescuebank/internal/timing/timekeeper"
)

// serveStatus serves each connection to the returned address with a response of a status.
func serveStatus(t *testing.T, status string) (url string) {
	t.Helper()
	return "http://" + responder.Responder(func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Status\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody", status)
		}
	}).Start(t)
}

// TestStatusThatNoResponseCanHaveIsNotForwarded guards against a faulty service's status that the caller gets as the status of an answer, or that
// ends the handler.
func TestStatusThatNoResponseCanHaveIsNotForwarded(t *testing.T) {
	for _, tt := range []struct {
		status string
		// want is the status of the response, 0 for none.
		want int
	}{
		{"000", 0}, {"001", 0}, {"099", 0}, {"101", 0}, {"600", 0}, {"999", 0}, {"200", 200}, {"299", 299}, {"404", 404}, {"503", 503}, {"599", 599},
	} {
		for _, repeatable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, repeatable %v", tt.status, repeatable), func(t *testing.T) {
				service := &fescuebank.Service{Name: "s", URLs: []string{serveStatus(t, tt.status)}, Timeout: 2, Repeatable: repeatable}
				call := &forwarder.Call{
					Service: service, Path: "/x", Request: httptest.NewRequest(http.MethodPost, "/s/s/x", nil), Body: []byte("body"), IsKey: func(string) bool { return false },
				}
				resp, err := forwarder.New(nil, reserver.New(64*fescuebank.MiB), timekeeper.Timekeeper{}).Forward(t.Context(), call)
				if tt.want != 0 {
					if err != nil || resp.Status != tt.want || string(resp.Body) != "body" {
						t.Errorf("got %+v, error %v, want status %d", resp, err, tt.want)
					}
					return
				}
				refusal := fescuebank.AsRefusal(err)
				if err == nil || refusal.Status != http.StatusBadGateway || refusal.State != fescuebank.MayHaveRun {
					t.Errorf("got %+v, error %v, want status 502 of a call that may have run", resp, err)
				}
			})
		}
	}
}
