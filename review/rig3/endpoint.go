package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// reach is a request as an endpoint got it.
type reach struct {
	at       time.Time
	id       string
	endpoint string
	last     int
}

// endpoint is a worker. It answers each request with a stream of events, or as answer says.
type endpoint struct {
	id       string
	addr     string
	fleet    *fleet
	events   int
	interval time.Duration
	slots    int
	// answer, if set, may answer a request in another way; it reports whether it has.
	answer func(w http.ResponseWriter, r *http.Request, e *endpoint) bool

	mu      sync.Mutex
	reaches []reach
	running int
	server  *http.Server
}

// addEndpointOf starts a worker of a service and writes its entry.
func (f *fleet) addEndpointOf(service, id, zone string, slots int) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, addr: l.Addr().String(), fleet: f, slots: slots}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	f.endpoints = append(f.endpoints, e)
	return e, f.put("servers/"+e.id, map[string]any{
		"service": service, "address": e.addr, "zone": zone, "version": "v1", "slots": e.slots, "state": "ready",
		"coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
}

func (e *endpoint) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.server.Shutdown(ctx)
	_ = e.server.Close()
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Fescuebank-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Fescuebank-Request-Id", id)
	if target := r.Header.Get("X-Fescuebank-Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.reaches = append(e.reaches, reach{time.Now(), id, e.id, last})
	e.running++
	load := fmt.Sprintf("%d,0,%d", e.running, e.slots)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.fleet.record.add("endpoint %s: request %s after event %d", e.id, id, last)
	w.Header().Set("X-Fescuebank-Server-Load", load)
	w.Header().Set("X-Fescuebank-Response-Signature", "s-"+e.id)
	if e.answer != nil && e.answer(w, r, e) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for n := last + 1; n <= e.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.interval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", n, n); err != nil || control.Flush() != nil {
			return
		}
	}
}

// reached returns what all endpoints got of a request, in order.
func (f *fleet) reached(id string) []reach {
	var list []reach
	for _, e := range f.endpoints {
		e.mu.Lock()
		for _, r := range e.reaches {
			if r.id == id {
				list = append(list, r)
			}
		}
		e.mu.Unlock()
	}
	return list
}
