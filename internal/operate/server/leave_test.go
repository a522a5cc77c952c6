package server

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/estimator"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/batch/persister"
	"fescuebank/internal/fleet/elector"
	"fescuebank/internal/standin/memorystorer"
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

// TestLeavingInstanceWaitsForItsHandover guards against progress that is lost because the instance
// stops while it sends it: the next owner may apply the list of owners later.
func TestLeavingInstanceWaitsForItsHandover(t *testing.T) {
	const (
		sending = 900 * time.Millisecond
		grace   = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		clock := timekeeper.Timekeeper{}
		jobs, err := persister.New(&memorystorer.MemoryStorer{}, clock)
		if err != nil {
			t.Fatal(err)
		}
		owns, sent := true, make(chan struct{})
		table := &fescuebank.RouteTable{Version: 1, Teams: map[fescuebank.TeamID]fescuebank.TeamSettings{"team": {ID: "team"}}}
		table.SetRoutes([]fescuebank.Route{{Name: "batch", Host: "h", Prefix: "/b/", Kind: fescuebank.RouteBatch, CompletionObjective: time.Minute}})
		m := manager.New(manager.Config{
			Owns:     func(fescuebank.TeamID) (fescuebank.FencingNumber, bool) { return 1, owns },
			TookOver: func(fescuebank.TeamID) bool { return false }, Persister: jobs, Estimator: estimator.New(),
			Table: func() *fescuebank.RouteTable { return table }, Clock: clock, Log: hclog.NewNullLogger(), OnItemsAvailable: func() {},
			SendHandover: func(manager.ProgressHandover) {
				time.Sleep(sending)
				close(sent)
			},
		})
		spec := &fescuebank.RoutedJob{ID: "job", Team: "team", Route: "batch", Host: "h", Path: "/b/x", Submitted: clock.Now(), Items: []fescuebank.RoutedItem{{ID: "item"}}}
		if err := m.Submit(t.Context(), spec); err != nil {
			t.Fatal(err)
		}
		s := &Server{clock: clock, manager: m, elector: elector.New(elector.Config{Clock: clock})}
		owns = false
		m.UpdateOwnership()
		s.awaitHandover(t.Context(), clock.Now().Add(grace))
		select {
		case <-sent:
		default:
			t.Errorf("got the end of the wait before the progress was sent, want it after %v", sending)
		}
		time.Sleep(grace)
	})
}
