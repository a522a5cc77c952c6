package runner

import (
	"bufio"
	"io"
	"net"
	"net/http"
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

// plainProtocol is an endpoint protocol without headers of its own.
type plainProtocol struct{}

// promptParts are the parts of the prompt of each request with a plainProtocol.
var promptParts = []fescuebank.PromptPart{{ID: "shared", Tokens: 10}, {ID: "own", Tokens: 5}}

func (plainProtocol) Prompt(http.Header) []fescuebank.PromptPart { return promptParts }

func (plainProtocol) Encode(http.Header, *fescuebank.Request, fescuebank.ServedEndpoint, time.Duration) {
}
func (plainProtocol) Resume(http.Header, string) {}
func (plainProtocol) Decode(int, http.Header) fescuebank.ResponseInfo {
	return fescuebank.ResponseInfo{}
}

// listen returns the address of an endpoint that handles each connection with handle.
func listen(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go handle(c)
		}
	}()
	return l.Addr().String()
}

// TestCauseOfAFailedAttempt checks that an attempt that only waited in an endpoint's queue is
// no evidence against the item: several such attempts in a row would hold the item back for a
// long time, as if it crashed its endpoints.
func TestCauseOfAFailedAttempt(t *testing.T) {
	for _, tt := range []struct {
		name   string
		handle func(net.Conn)
		want   manager.Cause
	}{
		{"no answer within the timeout", func(net.Conn) {}, manager.CauseNotRun},
		{"connection closed", func(c net.Conn) {
			buffer := make([]byte, 1)
			_, _ = c.Read(buffer)
			_ = c.Close()
		}, manager.CauseInterrupted},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := timekeeper.Timekeeper{}
			endpoint := fescuebank.ServedEndpoint{ID: "i-1", Service: "s", Addr: listen(t, tt.handle), Slots: 8}
			a := allocator.New(clock, func() {})
			a.SetEndpoints([]fescuebank.ServedEndpoint{endpoint})
			r := New(Config{
				Allocator: a, Exchanger: exchanger.New(plainProtocol{}, clock, dialer.Direct), Protocol: plainProtocol{}, Guard: &recordingGuard{}, Clock: clock, Log: hclog.NewNullLogger(),
			})
			slot := a.AcquireBatch("s", "", 0)
			if slot == nil {
				t.Fatal("got no slot, want one")
			}
			request := &fescuebank.Request{ID: "q", Service: "s", Method: http.MethodPost, Target: "/", Host: "h", Deadline: clock.Now().Add(time.Minute)}
			var progress fescuebank.Progress
			got, err := r.attempt(t.Context(), &attempt{task: &manager.Task{Request: request}, slot: slot}, &progress)
			if got != tt.want || err == nil {
				t.Errorf("got cause %v, error %v, want cause %v and an error", got, err, tt.want)
			}
		})
	}
}

// statingProtocol is an endpoint protocol whose endpoints state in each response that they
// leave.
type statingProtocol struct{ plainProtocol }

func (statingProtocol) Decode(status int, h http.Header) fescuebank.ResponseInfo {
	return fescuebank.ResponseInfo{
		Request: fescuebank.RequestID(h.Get("Request")), NotRun: status == http.StatusServiceUnavailable, Signed: true,
		Endpoint: fescuebank.EndpointID(h.Get("Endpoint")), Leaving: true,
	}
}

// TestEndpointThatStatesItLeavesGetsNoFurtherItem guards against items sent to an endpoint whose
// entry still says ready after it stated in a response that it leaves.
func TestEndpointThatStatesItLeavesGetsNoFurtherItem(t *testing.T) {
	for _, tt := range []struct {
		name     string
		response string
		// leaves is whether the endpoint is taken for leaving.
		leaves bool
	}{
		{"completed", "HTTP/1.1 200 OK\r\nRequest: q\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n", true},
		{"not run", "HTTP/1.1 503 Service Unavailable\r\nRequest: q\r\nContent-Length: 0\r\n\r\n", true},
		{"failed", "HTTP/1.1 500 Internal Server Error\r\nRequest: q\r\nContent-Length: 0\r\n\r\n", true},
		{"response by another endpoint", "HTTP/1.1 503 Service Unavailable\r\nRequest: q\r\nEndpoint: i-2\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := timekeeper.Timekeeper{}
			list := []fescuebank.ServedEndpoint{{ID: "i-1", Service: "s", Slots: 8, Addr: listen(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, tt.response)
				}
			})}}
			a := allocator.New(clock, func() {})
			a.SetEndpoints(list)
			r := New(Config{
				Allocator: a, Exchanger: exchanger.New(statingProtocol{}, clock, dialer.Direct), Protocol: statingProtocol{}, Guard: &recordingGuard{}, Clock: clock, Log: hclog.NewNullLogger(),
			})
			slot := a.AcquireBatch("s", "", 0)
			if slot == nil {
				t.Fatal("got no slot, want one")
			}
			request := &fescuebank.Request{ID: "q", Service: "s", Method: http.MethodPost, Target: "/", Host: "h", Deadline: clock.Now().Add(time.Minute)}
			var progress fescuebank.Progress
			_, _ = r.attempt(t.Context(), &attempt{task: &manager.Task{Request: request}, slot: slot}, &progress)
			slot.Release()
			a.SetEndpoints(list)
			if got := a.AcquireBatch("s", "", 0) == nil; got != tt.leaves {
				t.Errorf("got no slot for a further item: %v, want %v", got, tt.leaves)
			}
		})
	}
}
