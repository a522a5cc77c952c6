package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/endpoint/dialer"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/endpoint/scanner"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// statusProtocol takes each response for one to request "q", which 503 states not to have run.
type statusProtocol struct{ plainProtocol }

func (statusProtocol) Decode(status int, _ http.Header) fescuebank.ResponseInfo {
	return fescuebank.ResponseInfo{Request: "q", Signed: true, NotRun: status == http.StatusServiceUnavailable}
}

// respondAndStall sends text as the response to a request and then nothing.
func respondAndStall(text string) func(net.Conn) {
	return func(c net.Conn) {
		buffer := make([]byte, 1)
		_, _ = c.Read(buffer)
		_, _ = c.Write([]byte(text))
	}
}

// attemptAt runs an item that has some progress at an endpoint that handles its connections
// with handle.
func attemptAt(ctx context.Context, t *testing.T, handle func(net.Conn), progress *fescuebank.Progress) (manager.Cause, error) {
	t.Helper()
	clock := timekeeper.Timekeeper{}
	endpoint := fescuebank.ServedEndpoint{ID: "i-1", Service: "s", Addr: listen(t, handle), Slots: 8}
	a := allocator.New(clock, func() {})
	a.SetEndpoints([]fescuebank.ServedEndpoint{endpoint})
	r := New(Config{
		Allocator: a, Exchanger: exchanger.New(statusProtocol{}, clock, dialer.Direct), Protocol: statusProtocol{}, Guard: &recordingGuard{}, Clock: clock, Log: hclog.NewNullLogger(),
	})
	slot := a.AcquireBatch("s", "", 0)
	if slot == nil {
		t.Fatal("got no slot, want one")
	}
	request := &fescuebank.Request{ID: "q", Service: "s", Method: http.MethodPost, Target: "/", Host: "h", Deadline: clock.Now().Add(time.Minute)}
	return r.attempt(ctx, &attempt{task: &manager.Task{Request: request}, slot: slot}, progress)
}

// TestAttemptEndsWhileARefusalStalls checks that an endpoint that is lost within the body of a
// refusal doesn't keep the item, and its slot, for good.
func TestAttemptEndsWhileARefusalStalls(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 4*idleTimeout)
	defer cancel()
	handle := respondAndStall("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100\r\n\r\npart")
	cause, err := attemptAt(ctx, t, handle, &fescuebank.Progress{})
	if ctx.Err() != nil {
		t.Fatalf("got an attempt that goes on after %v, want its end", 4*idleTimeout)
	}
	if cause != manager.CauseNotRun || !errors.Is(err, errNotRun) {
		t.Errorf("got cause %v, error %v, want cause %v, error %v", cause, err, manager.CauseNotRun, errNotRun)
	}
}

// TestSilenceKeepsProgressAndIsNoInterruption checks what a silence within a response means for
// the item: it keeps all events, and the silence doesn't count as a crash of the endpoint.
func TestSilenceKeepsProgressAndIsNoInterruption(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const events = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	for _, tt := range []struct {
		name   string
		handle func(net.Conn)
		want   manager.Cause
	}{
		{"silent", respondAndStall(head + "1e\r\n" + events + "\r\n"), manager.CauseSilent},
		{"silent within an event", respondAndStall(head + "20\r\n" + events + "id"), manager.CauseSilent},
		{"connection closed", func(c net.Conn) {
			respondAndStall(head + "1e\r\n" + events + "\r\n")(c)
			_ = c.Close()
		}, manager.CauseInterrupted},
	} {
		t.Run(tt.name, func(t *testing.T) {
			progress := fescuebank.Progress{Events: 2, Last: "2", Output: []byte("a\nb")}
			got, err := attemptAt(t.Context(), t, tt.handle, &progress)
			if got != tt.want || err == nil {
				t.Errorf("got cause %v, error %v, want cause %v and an error", got, err, tt.want)
			}
			if progress.Events != 4 || progress.Last != "4" || string(progress.Output) != "a\nb\nc\nd" {
				t.Errorf("got progress %+v with output %q, want 4 events", progress, progress.Output)
			}
		})
	}
}

// TestEndlessEventEndsAttempt guards against an endpoint that fills the memory with an event without
// an end.
func TestEndlessEventEndsAttempt(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), idleTimeout)
	defer cancel()
	handle := func(c net.Conn) {
		buffer := make([]byte, 1)
		_, _ = c.Read(buffer)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
		for block := make([]byte, 64<<10); ; {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}
	cause, err := attemptAt(ctx, t, handle, &fescuebank.Progress{})
	if ctx.Err() != nil {
		t.Fatalf("got an attempt that goes on after %v, want its end", idleTimeout)
	}
	if cause != manager.CauseInterrupted || !errors.Is(err, scanner.ErrTooLong) {
		t.Errorf("got cause %v, error %v, want cause %v, error %v", cause, err, manager.CauseInterrupted, scanner.ErrTooLong)
	}
}

// TestBytesWithoutAnEventAreNoProgress guards against an attempt that goes on because its stalled endpoint
// sends a byte or a comment now and then.
func TestBytesWithoutAnEventAreNoProgress(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n"
	for _, tt := range []struct {
		name string
		part string
	}{
		{"bytes", "x"},
		{"comments", ": still here\n\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 2*idleTimeout)
			defer cancel()
			handle := func(c net.Conn) {
				respondAndStall(head)(c)
				for err := error(nil); err == nil; time.Sleep(idleTimeout / 5) {
					_, err = c.Write([]byte(tt.part))
				}
			}
			progress := fescuebank.Progress{}
			cause, err := attemptAt(ctx, t, handle, &progress)
			if ctx.Err() != nil {
				t.Fatalf("got an attempt that goes on after %v, want its end", 2*idleTimeout)
			}
			if cause != manager.CauseSilent || err == nil {
				t.Errorf("got cause %v, error %v, want cause %v and an error", cause, err, manager.CauseSilent)
			}
			if progress.Events != 1 || string(progress.Output) != "a" {
				t.Errorf("got progress %+v with output %q, want 1 event", progress, progress.Output)
			}
		})
	}
}
