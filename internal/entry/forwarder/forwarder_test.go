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
	"fescuebank/internal/timing/timekeeper"
)

// TestHedging makes one address hang. A call that may be repeated is answered
// by the other one; any other call is offered once.
func TestHedging(t *testing.T) {
	for _, tt := range []struct {
		name       string
		repeatable bool
		most       int64
		answered   bool
	}{
		{"repeatable", true, 2, true},
		{"not repeatable", false, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int64
			hang := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			}))
			defer hang.Close()
			quick := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				_, _ = w.Write([]byte("done"))
			}))
			defer quick.Close()
			service := &fescuebank.Service{Name: "s", URLs: []string{hang.URL}, Repeatable: tt.repeatable, Timeout: 5}
			if tt.repeatable {
				service.URLs = append(service.URLs, quick.URL)
			}
			f := forwarder.New(nil, timekeeper.Timekeeper{})
			request := httptest.NewRequest(http.MethodPost, "/s/s/x", strings.NewReader("body"))
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			a, err := f.Forward(ctx, &forwarder.Call{Service: service, Path: "/x", Request: request, Body: []byte("body"), IsKey: func(string) bool { return false }})
			if tt.answered && (err != nil || string(a.Body) != "done") {
				t.Errorf("got %v, %v, want the quick answer", a, err)
			}
			if !tt.answered && fescuebank.AsRefusal(err).State != fescuebank.MayHaveRun {
				t.Errorf("got %v, want an error that says mayHaveRun", err)
			}
			if got := calls.Load(); got > tt.most {
				t.Errorf("got %d calls, want at most %d", got, tt.most)
			}
		})
	}
}
