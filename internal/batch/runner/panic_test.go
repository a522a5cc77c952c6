package runner

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/endpoint/dialer"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// panickingProtocol panics on the first response.
type panickingProtocol struct {
	resumingProtocol
	calls int
}

func (p *panickingProtocol) Decode(status int, h http.Header) fescuebank.ResponseInfo {
	p.calls++
	if p.calls == 1 {
		panic("a response that nobody foresaw")
	}
	return p.resumingProtocol.Decode(status, h)
}

// TestPanicInAnAttemptEndsOnlyTheAttempt guards against an owner that ends because of one response.
func TestPanicInAnAttemptEndsOnlyTheAttempt(t *testing.T) {
	server := httptest.NewServer(generate("v1"))
	defer server.Close()
	clock, protocol := timekeeper.Timekeeper{}, &panickingProtocol{}
	a := allocator.New(clock, func() {})
	a.SetEndpoints([]fescuebank.ServedEndpoint{{ID: "i-1", Service: testService, Addr: server.Listener.Addr().String(), Slots: 1, Version: "v1"}})
	m := newManager(t, []fescuebank.Route{testRoute("batch", fescuebank.ServiceShare{Service: testService, Weight: 1})}, testJob("batch", "item"))
	r := New(Config{
		Manager: m, Allocator: a, Exchanger: exchanger.New(protocol, clock, dialer.Direct), Protocol: protocol, Guard: &recordingGuard{},
		Clock: clock, Log: hclog.NewNullLogger(),
	})
	for range 2 {
		task := m.NextTask(func() {}, nil)
		for until := clock.Now().Add(idleTimeout); task == nil && clock.Now().Before(until); task = m.NextTask(func() {}, nil) {
			time.Sleep(minCheckInterval)
		}
		slot := a.AcquireBatch(testService, "", 0)
		if task == nil || slot == nil {
			t.Fatalf("got the task %v and the slot %v, want both for each attempt", task, slot)
		}
		ctx, cancel := context.WithCancel(t.Context())
		r.run(ctx, &attempt{task: task, slot: slot, cancel: cancel})
	}
	if page, err := m.Read(t.Context(), testTeam, "job-batch", 0, idleTimeout*2); err != nil || len(page.Results) != 1 || page.Results[0].Failed {
		t.Errorf("got %+v, error %v, want the result of the second attempt", page, err)
	}
}
