package runner

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/endpoint/dialer"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// TestOutputWithoutEndEndsTheAttempt guards against an endpoint whose events fill the memory of the owner that runs its items.
func TestOutputWithoutEndEndsTheAttempt(t *testing.T) {
	const maxEvents = 50
	for _, tt := range []struct {
		name      string
		maxEvents int
		eventData string
	}{
		{"more events than the item allows", maxEvents, "word"},
		{"events of any number, too long together", 0, strings.Repeat("word", 10_000)},
		{"few events, too long together", maxEvents, strings.Repeat("word", 10_000)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := timekeeper.Timekeeper{}
			closed := make(chan int, 1)
			addr := listen(t, func(c net.Conn) {
				_, _ = c.Read(make([]byte, 1<<10))
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
				for n := 4; ; n++ {
					if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", n, tt.eventData); err != nil {
						closed <- n
						return
					}
				}
			})
			a := allocator.New(clock, func() {})
			a.SetEndpoints([]fescuebank.ServedEndpoint{{ID: "i-1", Service: "s", Addr: addr, Slots: 8}})
			r := New(Config{
				Allocator: a, Exchanger: exchanger.New(statusProtocol{}, clock, dialer.Direct), Protocol: statusProtocol{}, Guard: &recordingGuard{}, Clock: clock, Log: hclog.NewNullLogger(),
			})
			request := &fescuebank.Request{ID: "q", Service: "s", Method: http.MethodPost, Target: "/", Host: "h", Deadline: clock.Now().Add(time.Minute)}
			task := &manager.Task{Request: request, MaxEvents: tt.maxEvents}
			progress := fescuebank.Progress{Events: 3, Last: "3", Output: []byte("a\nb\nc")}
			cause, err := r.attempt(t.Context(), &attempt{task: task, slot: a.AcquireBatch("s", "", 0)}, &progress)
			if cause != manager.CauseInterrupted || !errors.Is(err, errTooLong) {
				t.Errorf("got cause %d, error %v, want an interruption by the length", cause, err)
			}
			if progress.Events != 3 || string(progress.Output) != "a\nb\nc" {
				t.Errorf("got progress of %d events, want that of before the attempt", progress.Events)
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Error("got the connection open after 2 s, want it closed")
			}
		})
	}
}
