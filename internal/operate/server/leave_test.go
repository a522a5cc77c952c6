package server

import (
	"net"
	"net/http"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/timing/timekeeper"
)

// TestLeavingInstanceAcceptsNoRequestThatItCannotFinish guards against requests that are accepted
// late in the grace period, while earlier ones are in flight, and cut off at its end.
func TestLeavingInstanceAcceptsNoRequestThatItCannotFinish(t *testing.T) {
	const (
		grace    = 5 * time.Second
		lateSend = 3200 * time.Millisecond
		duration = 1500 * time.Millisecond
	)
	s := &Server{settings: &fescuebank.Settings{}, clock: timekeeper.Timekeeper{}}
	s.settings.Timing.Grace = grace
	handled := make(chan string, 2)
	server := &http.Server{Handler: s.countInFlight(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled <- r.URL.Path
		time.Sleep(duration)
		_, _ = w.Write([]byte("whole"))
	}))}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	send := func(path string) error {
		resp, err := http.Get("http://" + listener.Addr().String() + path)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	start := time.Now()
	left := make(chan struct{})
	go func() {
		s.drain(t.Context(), []*http.Server{server}, start)
		close(left)
	}()
	early := make(chan error, 1)
	time.AfterFunc(acceptTime-duration/3, func() { early <- send("/early") })
	time.AfterFunc(lateSend, func() { _ = send("/late") })
	if err := <-early; err != nil {
		t.Errorf("got %v for a request that can be finished, want a response", err)
	}
	<-left
	_ = server.Close()
	if len(handled) != 1 {
		t.Errorf("got %d requests accepted, want only the early one", len(handled))
	}
}
