// Package acceptor accepts the connections of callers, and leaves none of their requests without a response when the
// instance stops.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"fescuebank"
)

const (
	// newConnectionTime is how long the first request on an accepted connection is waited for once no
	// further connections are accepted.
	newConnectionTime = time.Second
	// checkInterval is how often the connections are checked for requests.
	checkInterval = 25 * time.Millisecond
)

// Acceptor serves one address of an instance.
type Acceptor struct {
	server   *http.Server
	listener net.Listener
	clock    fescuebank.Clock
	// endRequests ends the contexts of all requests with a cause.
	endRequests context.CancelCauseFunc

	mu sync.Mutex
	// states holds the states of the open connections.
	states map[net.Conn]http.ConnState
}

// New returns an acceptor for an address. It sets BaseContext and ConnState of the server.
func New(listener net.Listener, server *http.Server, clock fescuebank.Clock) *Acceptor {
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &Acceptor{server: server, listener: listener, clock: clock, endRequests: cancel, states: make(map[net.Conn]http.ConnState)}
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	server.ConnState = a.observe
	return a
}

// Serve serves until StopAccepting. Requests on connections that were accepted before are served
// until Shutdown.
func (a *Acceptor) Serve() {
	_ = a.server.Serve(a.listener)
}

// DisableKeepAlives closes the idle connections, and each further connection after its next response.
func (a *Acceptor) DisableKeepAlives() {
	a.server.SetKeepAlivesEnabled(false)
}

// StopAccepting closes the listener and the idle connections, and each further connection after its
// next response. Requests that arrive on the others are still answered, which they would not be
// after Shutdown.
func (a *Acceptor) StopAccepting() {
	_ = a.listener.Close()
	a.DisableKeepAlives()
}

// AwaitRequests waits until no connection carries a request, or until ctx ends. Connections that have
// carried none yet are waited for no longer than newConnectionTime.
func (a *Acceptor) AwaitRequests(ctx context.Context) {
	newUntil := a.clock.Now().Add(newConnectionTime)
	for ctx.Err() == nil {
		awaited := []http.ConnState{http.StateActive}
		if a.clock.Now().Before(newUntil) {
			awaited = append(awaited, http.StateNew)
		}
		if !a.has(awaited) {
			return
		}
		_ = fescuebank.Sleep(ctx, a.clock, checkInterval)
	}
}

// EndRequests ends the contexts of all requests with the cause fescuebank.ErrShutdown.
func (a *Acceptor) EndRequests() {
	a.endRequests(fescuebank.ErrShutdown)
}

// Shutdown waits until ctx ends for the connections that carry requests, and closes the others.
func (a *Acceptor) Shutdown(ctx context.Context) {
	_ = a.server.Shutdown(ctx)
}

// Close closes the listener and all connections.
func (a *Acceptor) Close() {
	_ = a.server.Close()
	_ = a.listener.Close()
}

// observe applies the change of a connection's state.
func (a *Acceptor) observe(changed net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(a.states, changed)
		return
	}
	a.states[changed] = state
}

// has reports whether a connection is in one of the states.
func (a *Acceptor) has(states []http.ConnState) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, state := range a.states {
		if slices.Contains(states, state) {
			return true
		}
	}
	return false
}
