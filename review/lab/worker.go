package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of requests to workers and of their responses.
const (
	headerID     = "X-Fescuebank-Request-Id"
	headerTarget = "X-Fescuebank-Target-Instance"
	headerNotRun = "X-Fescuebank-Not-Executed"
	headerProof  = "X-Fescuebank-Response-Signature"
)

// Run is one run of a request at a worker.
type Run struct {
	Worker, Request string
	Began, Ended    time.Time
	// IsWhole is set if the run brought its last event.
	IsWhole bool
}

// Worker runs requests: it answers each with Events server-sent events, one every Pace.
type Worker struct {
	ID, Service, Zone string
	Slots, Events     int
	Pace              time.Duration

	addr     string
	listener net.Listener
	server   *http.Server
	slots    chan struct{}

	mu   sync.Mutex
	runs []*Run
}

// Start serves on a free loopback address.
func (k *Worker) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k.listener, k.addr = l, l.Addr().String()
	k.slots = make(chan struct{}, k.Slots)
	k.server = &http.Server{Handler: k, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	go func() { _ = k.server.Serve(l) }()
	return nil
}

// Crash closes the listener and all connections.
func (k *Worker) Crash() {
	_ = k.server.Close()
}

// Entry is what the worker registers in the store.
func (k *Worker) Entry(born time.Time) map[string]any {
	return map[string]any{
		"service": k.Service, "address": k.addr, "zone": k.Zone, "version": "v1", "slots": k.Slots, "state": "ready",
		"coldLeftMs": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"seq": 1, "born": born.UnixMilli(),
	}
}

// Runs returns the runs so far.
func (k *Worker) Runs() []Run {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Run, 0, len(k.runs))
	for _, r := range k.runs {
		list = append(list, *r)
	}
	return list
}

// ServeHTTP runs a request.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if r.Method == http.MethodGet {
		w.Header().Set("X-Fescuebank-Instance-Id", k.ID)
		return
	}
	if target := r.Header.Get(headerTarget); target != "" && target != k.ID {
		w.Header().Set("X-Fescuebank-Instance-Id", k.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // A body that breaks off ends the request's context.
	select {
	case k.slots <- struct{}{}:
		defer func() { <-k.slots }()
	default:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.run(w, r, id)
}

// run sends the events after the one that the request names.
func (k *Worker) run(w http.ResponseWriter, r *http.Request, id string) {
	run := &Run{Worker: k.ID, Request: id, Began: time.Now()}
	k.mu.Lock()
	k.runs = append(k.runs, run)
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		run.Ended = time.Now()
		k.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerProof, "proof-"+k.ID)
	w.Header().Set("X-Fescuebank-Server-Load", fmt.Sprintf("%d,0,%d", len(k.slots), k.Slots))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	for n := last + 1; n <= k.Events; n++ {
		select {
		case <-time.After(time.Until(run.Began.Add(time.Duration(n-last) * k.Pace))):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(id, n)); err != nil || control.Flush() != nil {
			return
		}
	}
	k.mu.Lock()
	run.IsWhole = true
	k.mu.Unlock()
}

// EventData returns the data of an event of a request.
func EventData(id string, n int) string {
	return fmt.Sprintf("%s-%d", id, n)
}
