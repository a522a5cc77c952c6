// Package echoserver emulates a plain HTTP service behind fescuebankd, as opposed to
// a model engine.
package echoserver

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// Call is a request as the service received it.
type Call struct {
	Method  string      `json:"method"`
	Path    string      `json:"path"`
	Headers http.Header `json:"headers"`
	Body    string      `json:"body"`
}

// EchoServer records each call and echoes it in the response.
type EchoServer struct {
	mu    sync.Mutex
	calls []Call
	// responsesToLose is the number of calls that take effect without a response.
	responsesToLose int
}

// New returns a service.
func New() *EchoServer {
	return &EchoServer{}
}

// Calls returns the calls received so far.
func (s *EchoServer) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// LoseResponses makes the next n calls take effect without a response.
func (s *EchoServer) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

const maxBodyBytes = 1 << 20

// Handler returns a handler that responds to each call with its Call as JSON.
func (s *EchoServer) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			return
		}
		call := Call{Method: r.Method, Path: r.URL.Path, Headers: r.Header, Body: string(body)}
		if s.record(call) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(call)
	})
}

// record records a call and reports whether its response is to be lost.
func (s *EchoServer) record(c Call) (lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
	lost = s.responsesToLose > 0
	if lost {
		s.responsesToLose--
	}
	return lost
}
