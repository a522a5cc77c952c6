package emulator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fescuebank"
)

// server serves an engine on one address across crashes and restarts.
type server struct {
	emulator *Emulator
	addr     string

	mu         sync.Mutex
	httpServer *http.Server
	stopped    bool
	// conns are the connections opened since the engine last went down, so that they
	// can be stalled.
	conns map[*connState]struct{}
}

// connState is the state of one connection.
type connState struct {
	stalled atomic.Bool
}

type connKey struct{}

// isStalled reports whether the connection of a request is stalled.
func isStalled(ctx context.Context) bool {
	state, ok := ctx.Value(connKey{}).(*connState)
	return ok && state.stalled.Load()
}

// Serve runs the engine and serves its API on addr until ctx ends. It returns the
// address in use and a fault injector.
func (e *Emulator) Serve(ctx context.Context, addr string) (string, *FaultInjector, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, err
	}
	s := &server{emulator: e, addr: listener.Addr().String(), conns: make(map[*connState]struct{})}
	e.onCrash = func() { go s.restart(ctx, e.config.RestartAfter) }
	go e.Run(ctx)
	s.serve(listener)
	go func() {
		<-ctx.Done()
		s.stop()
	}()
	return s.addr, &FaultInjector{server: s}, nil
}

func (s *server) serve(listener net.Listener) {
	current := &http.Server{
		Handler: s.emulator.Handler(),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			state := &connState{}
			s.mu.Lock()
			s.conns[state] = struct{}{}
			s.mu.Unlock()
			return context.WithValue(ctx, connKey{}, state)
		},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		_ = listener.Close()
		return
	}
	s.httpServer = current
	go func() { _ = current.Serve(listener) }()
}

func (s *server) stop() {
	s.mu.Lock()
	s.stopped = true
	current := s.httpServer
	s.mu.Unlock()
	_ = current.Close()
}

// closeAll closes every connection and stops listening. Closing waits for a connection that is being
// accepted, whose ConnContext takes the lock.
func (s *server) closeAll() {
	s.mu.Lock()
	current := s.httpServer
	s.mu.Unlock()
	_ = current.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = make(map[*connState]struct{})
}

// restart makes the engine appear crashed to its clients: it closes all connections, and
// listens again after the given time.
func (s *server) restart(ctx context.Context, after time.Duration) {
	s.closeAll()
	if fescuebank.Sleep(ctx, s.emulator.clock, after) != nil {
		return
	}
	_ = s.listen()
}

func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Join(errors.New("emulator: can't listen on the previous address again"), err)
	}
	s.serve(listener)
	return nil
}

// FaultInjector injects failures into a served engine.
type FaultInjector struct {
	server *server
}

// Kill stops the engine without warning. All requests in flight are lost. Unlike
// after a crash, the engine stays down until Restart.
func (f *FaultInjector) Kill() {
	e := f.server.emulator
	f.server.closeAll()
	e.mu.Lock()
	defer e.mu.Unlock()
	crash := e.onCrash
	e.onCrash = nil
	e.crash()
	e.onCrash = crash
}

// Restart makes a killed engine listen again.
func (f *FaultInjector) Restart() error {
	return f.server.listen()
}

// StallConnections makes the engine write no more tokens to the connections that
// are open now. New connections work.
func (f *FaultInjector) StallConnections() {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	for c := range f.server.conns {
		c.stalled.Store(true)
	}
}
