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

// server serves an engine on one address over crashes and restarts.
type server struct {
	engine *Emulator
	addr   string

	mu      sync.Mutex
	current *http.Server
	stopped bool
	// conns are the open connections, so that they can be silenced.
	conns map[*connState]struct{}
}

// connState is what the engine knows of one connection.
type connState struct {
	silent atomic.Bool
}

type connKey struct{}

// silenced reports whether the connection of a request has gone silent.
func silenced(ctx context.Context) bool {
	state, ok := ctx.Value(connKey{}).(*connState)
	return ok && state.silent.Load()
}

// Serve runs the engine and serves it on addr until ctx ends. It returns the
// address in use and functions that inject faults.
func (e *Emulator) Serve(ctx context.Context, addr string) (string, *FaultInjector, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, err
	}
	s := &server{engine: e, addr: listener.Addr().String(), conns: make(map[*connState]struct{})}
	e.onCrash = func() { go s.restart(ctx, e.config.RestartAfter) }
	go e.Run(ctx)
	s.start(listener)
	go func() {
		<-ctx.Done()
		s.stop()
	}()
	return s.addr, &FaultInjector{server: s}, nil
}

func (s *server) start(listener net.Listener) {
	current := &http.Server{
		Handler: s.engine.Handler(),
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
	s.current = current
	go func() { _ = current.Serve(listener) }()
}

func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	_ = s.current.Close()
}

// down closes every connection and stops listening.
func (s *server) down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.current.Close()
	s.conns = make(map[*connState]struct{})
}

// restart is what a crash looks like from outside: gone, then back.
func (s *server) restart(ctx context.Context, after time.Duration) {
	s.down()
	if fescuebank.Sleep(ctx, s.engine.clock, after) != nil {
		return
	}
	_ = s.up()
}

func (s *server) up() error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Join(errors.New("emulator: listen address is still in use"), err)
	}
	s.start(listener)
	return nil
}

// FaultInjector injects failures into a served engine.
type FaultInjector struct {
	server *server
}

// Kill takes the engine away without warning; everything in flight is lost.
func (f *FaultInjector) Kill() {
	e := f.server.engine
	f.server.down()
	e.mu.Lock()
	defer e.mu.Unlock()
	crash := e.onCrash
	e.onCrash = nil
	e.crash()
	e.onCrash = crash
}

// Restart brings a killed engine back.
func (f *FaultInjector) Restart() error {
	return f.server.up()
}

// StallConnections makes every connection now open go silent for good; new ones work.
func (f *FaultInjector) StallConnections() {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	for c := range f.server.conns {
		c.silent.Store(true)
	}
}
