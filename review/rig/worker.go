package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// workerSlots is the number of requests that a worker runs at once, and workerQueue
	// the number of those that may wait.
	workerSlots = 8
	workerQueue = 24
)

// work is what a worker does for each request.
type work struct {
	events   int
	interval time.Duration
	// varied is set if the interval varies by half from request to request.
	varied bool
	// data returns the data of an event of a request.
	data func(id string, event int) string
	// endless is set if the events don't end until the caller closes.
	endless bool
}

// worker is a stand-in for a worker. It runs what it gets and answers completely.
type worker struct {
	id     string
	record *record
	server *http.Server
	slots  chan struct{}
	queued atomic.Int64

	mu   sync.Mutex
	work work
	// endedAt is when the last run came to its end.
	endedAt time.Time
	// runs are the requests that the worker has begun to run.
	runs []ranRequest
}

// ranRequest is a request that a worker has begun to run.
type ranRequest struct {
	id, method, path string
	// tenants and keys are the values of X-Fescuebank-Tenant and Authorization.
	tenants, keys []string
}

func startWorker(id string, r *record, s *store, w work) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &worker{id: id, record: r, slots: make(chan struct{}, workerSlots), work: w}
	k.server = &http.Server{Handler: k, ReadHeaderTimeout: time.Second}
	go func() { _ = k.server.Serve(l) }()
	return k, s.put("servers/"+id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","version":"1","slots":%d,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`,
		l.Addr(), workerSlots, time.Now().UnixMilli()))
}

func (k *worker) setWork(w work) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.work = w
}

// ServeHTTP runs one request.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Fescuebank-Request-Id")
	w.Header().Set("X-Fescuebank-Instance-Id", k.id)
	w.Header().Set("X-Fescuebank-Server-Load", fmt.Sprintf("%d,%d,%d", len(k.slots), k.queued.Load(), workerSlots))
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("X-Fescuebank-Request-Id", id)
	if target := r.Header.Get("X-Fescuebank-Target-Instance"); target != "" && target != k.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if k.queued.Add(1) > workerQueue {
		k.queued.Add(-1)
		w.Header().Set("X-Fescuebank-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case k.slots <- struct{}{}:
	case <-r.Context().Done():
		k.queued.Add(-1)
		return
	}
	k.queued.Add(-1)
	defer func() { <-k.slots }()
	k.stream(w, r, id)
}

// stream sends the events after the request's Last-Event-Id.
func (k *worker) stream(w http.ResponseWriter, r *http.Request, id string) {
	k.mu.Lock()
	job := k.work
	k.runs = append(k.runs, ranRequest{
		id: id, method: r.Method, path: r.RequestURI, tenants: r.Header.Values("X-Fescuebank-Tenant"), keys: r.Header.Values("Authorization"),
	})
	k.mu.Unlock()
	if job.varied {
		job.interval = time.Duration((0.5 + rand.Float64()) * float64(job.interval))
	}
	k.record.printf("worker %s: begins %s %s, id %s, tenant %q, key %q", k.id, r.Method, r.RequestURI, id, r.Header.Values("X-Fescuebank-Tenant"), r.Header.Values("Authorization"))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if there is none.
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Fescuebank-Response-Signature", "signed-"+k.id)
	w.WriteHeader(http.StatusOK)
	if job.endless {
		k.sendEndlessly(w, id, last)
		return
	}
	for n := last + 1; n <= job.events; n++ {
		select {
		case <-time.After(job.interval):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, job.data(id, n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
	k.mu.Lock()
	k.endedAt = time.Now()
	k.mu.Unlock()
	k.record.printf("worker %s: %s run from event %d to its end", k.id, id, last+1)
}

const (
	// endlessPart is the number of bytes of a part of what has no end, and endlessPause the pause after a
	// part. All slots together send about 40 MB a second, half of what a store machine's link carries.
	endlessPart  = 64 << 10
	endlessPause = 12 * time.Millisecond
)

// sendEndlessly sends events until the caller closes.
func (k *worker) sendEndlessly(w http.ResponseWriter, id string, last int) {
	k.record.printf("worker %s: %s: events without end", k.id, id)
	total := 0
	for n := last + 1; ; {
		var part bytes.Buffer
		for ; part.Len() < endlessPart; n++ {
			_, _ = fmt.Fprintf(&part, "id: %d\ndata: %s\n\n", n, dense(id, n))
		}
		total += part.Len()
		if _, err := w.Write(part.Bytes()); err != nil {
			k.record.printf("worker %s: %s: closed by the caller after %d bytes, %d events", k.id, id, total, n-1)
			return
		}
		time.Sleep(endlessPause)
	}
}
