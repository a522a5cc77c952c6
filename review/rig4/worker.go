package rig4

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"fescuebank/platform/simulator"
)

const (
	// EventInterval is the time of an event, nine tokens of 2.55 ms.
	EventInterval = 23 * time.Millisecond
	// ItemEvents is the number of events of a batch item, the mean of the sheet.
	ItemEvents = 204
	// OnlineEvents is the number of events of an online request, the mean of the sheet.
	OnlineEvents = 30
	// eventBytes is the size of the text in an event.
	eventBytes = 60
)

// Word is the data of an event.
func Word(n int) string {
	return fmt.Sprintf("%d-%s", n, strings.Repeat("x", eventBytes))
}

// WholeOutput is the output of a batch item.
func WholeOutput() string {
	words := make([]string, 0, ItemEvents)
	for n := 1; n <= ItemEvents; n++ {
		words = append(words, Word(n))
	}
	return strings.Join(words, "\n")
}

// Worker is an endpoint that can crash and come back. It runs a request on each connection.
type Worker struct {
	ID, Addr string
	// Unframed workers send answers without a length or chunks, which end with their connections.
	Unframed bool
	// OnRun, if set, is called when a request begins to run.
	OnRun func(id string)

	rig *Rig

	mu       sync.Mutex
	listener net.Listener
	// conns are the open connections, with the request that runs on each, if any.
	conns map[net.Conn]string
}

// StartWorkers starts workers.
func (r *Rig) StartWorkers(count int, unframed bool, onRun func(id string)) ([]*Worker, error) {
	var list []*Worker
	for i, addr := range r.FreePorts(count) {
		w := &Worker{ID: fmt.Sprintf("i-%d", i), Addr: addr, Unframed: unframed, OnRun: onRun, rig: r}
		if err := w.Start(); err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	return list, nil
}

// Start begins to listen at the worker's address and writes the entry.
func (w *Worker) Start() error {
	listener, err := net.Listen("tcp", w.Addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener, w.conns = listener, make(map[net.Conn]string)
	w.mu.Unlock()
	go w.accept(listener)
	w.rig.Log("worker %s starts", w.ID)
	return w.rig.Put(simulator.EntryKey(w.ID), Entry("v1", w.Addr, time.Now(), 0))
}

// Crash ends the worker as the end of its process does: the listener and all connections are closed.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.listener.Close()
	for conn, id := range w.conns {
		if id != "" {
			w.rig.Log("worker %s crashes under %s", w.ID, id)
		}
		_ = conn.Close()
	}
}

// Running returns the number of requests that run.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, id := range w.conns {
		if id != "" {
			count++
		}
	}
	return count
}

func (w *Worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.set(conn, "")
		go w.serve(conn)
	}
}

// set records the request that runs on a connection.
func (w *Worker) set(conn net.Conn, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[conn] = id
}

// serve serves one connection.
func (w *Worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Fescuebank-Request-Id")
		if req.Header.Get("X-Fescuebank-Target-Instance") != w.ID {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Fescuebank-Instance-Id: %s\r\nX-Fescuebank-Request-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", w.ID, id)
			return
		}
		if _, err := reader.Discard(int(req.ContentLength)); err != nil {
			return
		}
		w.set(conn, id)
		if w.OnRun != nil {
			w.OnRun(id)
		}
		if err := w.answer(conn, req, id); err != nil || w.Unframed {
			return
		}
		w.set(conn, "")
	}
}

// answer sends the events that the request asks for.
func (w *Worker) answer(conn net.Conn, req *http.Request, id string) error {
	events := OnlineEvents
	if strings.HasPrefix(req.URL.Path, "/jobs/") {
		events = ItemEvents
	}
	framing := "Transfer-Encoding: chunked\r\n"
	if w.Unframed {
		framing = ""
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Fescuebank-Request-Id: %s\r\nX-Fescuebank-Response-Signature: %s\r\n%s\r\n", id, w.ID, framing)
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if there is none.
	for n := last + 1; n <= events && err == nil; n++ {
		time.Sleep(EventInterval)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, Word(n))
		if !w.Unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		_, err = io.WriteString(conn, event)
	}
	if err == nil && !w.Unframed {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err
}
