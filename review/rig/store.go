package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"fescuebank/platform/simulator"
)

// answerTime is how long the platform's store takes for an answer, by the sheets.
const answerTime = 4 * time.Millisecond

// store is a stand-in for the platform's store, with disturbances.
type store struct {
	simulator.Store
	record *record
	url    string
	server *http.Server
	// down makes the store answer every call with status 503.
	down atomic.Bool
}

func startStore(r *record) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{record: r, url: "http://" + l.Addr().String()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// ServeHTTP answers one call, after the time that the store takes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	time.Sleep(answerTime)
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.Store.ServeHTTP(w, r)
}

// watch answers as soon as there is an event, or after the time that the call allows.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		if s.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		answer := httptest.NewRecorder()
		s.Store.ServeHTTP(answer, r)
		if !strings.Contains(answer.Body.String(), `"events":null`) || time.Now().After(until) || r.Context().Err() != nil {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(answer.Code)
			_, _ = w.Write(answer.Body.Bytes())
			return
		}
	}
}

// put writes an object as the operator or a worker does.
func (s *store) put(key, value string) error {
	o, _ := s.Memory.Get(context.Background(), key) // An absent object has version 0.
	_, err := s.Memory.Put(context.Background(), key, []byte(value), o.Version)
	return err
}

// config writes the configuration, in the style of the sheets of small deployments.
func (s *store) config(tenants int) error {
	var list []string
	for i := range tenants {
		list = append(list, fmt.Sprintf(`{"name":"t%d","apiKeys":["key%d"]}`, i, i))
	}
	return s.put("config/main", fmt.Sprintf(`{"version":1,"routes":[
{"name":"lots","host":"h.example","pathPrefix":"/lots/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"service":"s","maxAttempts":3,"targetRunMs":18000,"retentionS":60}],
"services":[{"name":"s"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[%s]}`, strings.Join(list, ",")))
}
