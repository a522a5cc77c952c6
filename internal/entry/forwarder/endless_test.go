package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/forwarder"
	"fescuebank/internal/limit/reserver"
	"fescuebank/internal/standin/responder"
	"fescuebank/internal/timing/timekeeper"
)

const (
	// smallestMemory is the memory of the smallest machine that the design is for, in bytes.
	smallestMemory = 134 << 20
	// heapPercent is the part of it, in percent, that instances let the Go runtime use.
	heapPercent = 60
)

// serveEndless serves each connection to the returned address with a beginning that is followed by a part without end, until it is
// closed.
func serveEndless(t *testing.T, begin, part string) (url string) {
	t.Helper()
	return "http://" + responder.Responder(func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := io.WriteString(c, begin)
		for block := strings.Repeat(part, 64<<10/len(part)); err == nil; {
			_, err = io.WriteString(c, block)
		}
	}).Start(t)
}

// heldHeap returns the memory that is in use, in bytes.
func heldHeap() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// peakHeap returns the most memory that is in use beyond that before, in bytes, while run runs.
func peakHeap(run func()) uint64 {
	before := heldHeap()
	peak := before
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	for {
		select {
		case <-done:
			return peak - before
		case <-time.After(5 * time.Millisecond):
			peak = max(peak, heldHeap())
		}
	}
}

// TestServiceThatSendsWithoutEnd guards against a faulty service that takes all memory of the instance, and with it the calls of others.
func TestServiceThatSendsWithoutEnd(t *testing.T) {
	const calls = 40
	former := debug.SetMemoryLimit(smallestMemory * heapPercent / 100)
	defer debug.SetMemoryLimit(former)
	for _, tt := range []struct{ name, begin, part string }{
		{"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "body"},
		{"a body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		{"headers", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		{"one header", "HTTP/1.1 200 OK\r\nName: ", "value"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n"},
		{"no answer", "", "bytes"},
		{"blank lines", "", "\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			memory := reserver.New(fescuebank.HeldMemory(smallestMemory >> 20))
			f := forwarder.New(nil, memory, timekeeper.Timekeeper{})
			service := &fescuebank.Service{Name: "s", URLs: []string{serveEndless(t, tt.begin, tt.part)}, Timeout: 1}
			var running sync.WaitGroup
			peak := peakHeap(func() {
				for range calls {
					running.Go(func() {
						call := &forwarder.Call{Service: service, Path: "/x", Request: httptest.NewRequest(http.MethodPost, "/s/s/x", nil), IsKey: func(string) bool { return false }}
						if resp, err := f.Forward(t.Context(), call); err == nil {
							t.Errorf("got %d bytes as a response, want an error", len(resp.Body))
						}
					})
				}
				running.Wait()
			})
			if peak > smallestMemory {
				t.Errorf("got %d MiB in use by %d calls, want at most %d MiB", peak>>20, calls, smallestMemory>>20)
			}
			if held := memory.Status().HeldBytes; held != 0 {
				t.Errorf("got %d bytes held after all calls, want none", held)
			}
		})
	}
}
