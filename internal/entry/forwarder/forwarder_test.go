package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/forwarder"
	"fescuebank/internal/limit/reserver"
	"fescuebank/internal/timing/timekeeper"
)

// TestHedging has one address that never responds. A repeatable call is answered by the
// other address; any other call is sent only once.
func TestHedging(t *testing.T) {
	for _, tt := range []struct {
		name         string
		repeatable   bool
		maxCalls     int64
		wantResponse bool
	}{
		{"repeatable", true, 2, true},
		{"not repeatable", false, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int64
			hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			}))
			defer hanging.Close()
			responding := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				_, _ = w.Write([]byte("done"))
			}))
			defer responding.Close()
			service := &fescuebank.Service{Name: "s", URLs: []string{hanging.URL}, Repeatable: tt.repeatable, Timeout: 5}
			if tt.repeatable {
				service.URLs = append(service.URLs, responding.URL)
			}
			f := forwarder.New(nil, reserver.New(64*fescuebank.MiB), timekeeper.Timekeeper{})
			request := httptest.NewRequest(http.MethodPost, "/s/s/x", strings.NewReader("body"))
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			resp, err := f.Forward(ctx, &forwarder.Call{Service: service, Path: "/x", Request: request, Body: []byte("body"), IsKey: func(string) bool { return false }})
			if tt.wantResponse && (err != nil || string(resp.Body) != "done") {
				t.Errorf("got %v, %v, want the response of the address that responds", resp, err)
			}
			if !tt.wantResponse && fescuebank.AsRefusal(err).State != fescuebank.MayHaveRun {
				t.Errorf("got %v, want a refusal with state mayHaveRun", err)
			}
			if got := calls.Load(); got > tt.maxCalls {
				t.Errorf("got %d calls, want at most %d", got, tt.maxCalls)
			}
		})
	}
}
