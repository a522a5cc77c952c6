package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/forwarder"
	"fescuebank/internal/limit/reserver"
	"fescuebank/internal/timing/timekeeper"
)

// TestSlowServiceIsNoStall guards against a repeatable call that is given up, and sent again, though
// its service answers within the call's time limit.
func TestSlowServiceIsNoStall(t *testing.T) {
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(1300 * time.Millisecond)
		_, _ = w.Write([]byte("done"))
	}))
	defer slow.Close()
	for _, urls := range [][]string{{slow.URL}, {slow.URL, slow.URL + "/other"}} {
		service := &fescuebank.Service{Name: "s", URLs: urls, Repeatable: true, Timeout: 2}
		request := httptest.NewRequest(http.MethodPost, "/s/s/x", strings.NewReader("body"))
		call := &forwarder.Call{Service: service, Path: "/x", Request: request, Body: []byte("body"), IsKey: func(string) bool { return false }}
		resp, err := forwarder.New(nil, reserver.New(64*fescuebank.MiB), timekeeper.Timekeeper{}).Forward(context.Background(), call)
		if err != nil || string(resp.Body) != "done" {
			t.Errorf("got %v, %v, want the response", resp, err)
		}
	}
}
