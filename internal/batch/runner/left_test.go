package runner

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
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

// TestItemDoesNotReachEndpointThatLeftWhileConnecting guards against batch items at an endpoint that has left
// between the choice and the end of a slow attempt to connect.
func TestItemDoesNotReachEndpointThatLeftWhileConnecting(t *testing.T) {
	clock := timekeeper.Timekeeper{}
	var received atomic.Int64
	addr := listen(t, func(c net.Conn) {
		buffer := make([]byte, 1)
		if n, _ := c.Read(buffer); n > 0 {
			received.Add(1)
		}
		_ = c.Close()
	})
	a := allocator.New(clock, func() {})
	a.SetEndpoints([]fescuebank.ServedEndpoint{{ID: "i-1", Service: "s", Addr: addr, Slots: 8}})
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		a.SetEndpoints(nil)
		return dialer.Direct(ctx, addr)
	}
	r := New(Config{
		Allocator: a, Exchanger: exchanger.New(plainProtocol{}, clock, dial), Protocol: plainProtocol{}, Guard: &recordingGuard{}, Clock: clock, Log: hclog.NewNullLogger(),
	})
	slot := a.AcquireBatch("s", "", 0)
	if slot == nil {
		t.Fatal("got no slot, want one")
	}
	request := &fescuebank.Request{ID: "q", Service: "s", Method: http.MethodPost, Target: "/", Host: "h", Deadline: clock.Now().Add(time.Minute)}
	var progress fescuebank.Progress
	cause, err := r.attempt(t.Context(), &attempt{task: &manager.Task{Request: request}, slot: slot}, &progress)
	if cause != manager.CauseNotRun || err == nil {
		t.Errorf("got cause %v, error %v, want cause %v and an error", cause, err, manager.CauseNotRun)
	}
	if got := received.Load(); got != 0 {
		t.Errorf("got %d items at the endpoint that left, want none", got)
	}
}
