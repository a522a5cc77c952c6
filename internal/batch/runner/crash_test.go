package runner

import (
	"context"
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

// recordingGuard is a CrashGuard that records what became of its run.
type recordingGuard struct {
	request                *fescuebank.Request
	completed, lost, ended int
}

func (g *recordingGuard) Enter(context.Context, *fescuebank.Request, time.Duration) (fescuebank.GuardedRun, error) {
	panic("a batch item must run in any case")
}

func (g *recordingGuard) Observe(r *fescuebank.Request) fescuebank.GuardedRun {
	g.request = r
	return g
}
func (g *recordingGuard) RecordLost(fescuebank.ServedEndpoint) { g.lost++ }
func (g *recordingGuard) RecordCompleted()                     { g.completed++ }
func (g *recordingGuard) Leave()                               { g.ended++ }

// TestItemIsEvidenceOfWhatCrashesEndpoints guards against a sound part that stays suspect because
// only batch items hold it, and against a request that is blamed for a crash beside an item.
func TestItemIsEvidenceOfWhatCrashesEndpoints(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const event = "f\r\nid: 1\ndata: a\n\n\r\n"
	for _, tt := range []struct {
		name            string
		response        string
		completed, lost int
	}{
		{"completed", head + event + "0\r\n\r\n", 1, 0},
		{"lost before the response", "", 0, 1},
		{"lost before the first event", head, 0, 1},
		{"lost after it", head + event, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := timekeeper.Timekeeper{}
			handle := func(c net.Conn) {
				_, _ = c.Read(make([]byte, 1<<10))
				_, _ = c.Write([]byte(tt.response))
				_ = c.Close()
			}
			endpoint := fescuebank.ServedEndpoint{ID: "i-1", Service: "s", Addr: listen(t, handle), Slots: 8}
			a := allocator.New(clock, func() {})
			a.SetEndpoints([]fescuebank.ServedEndpoint{endpoint})
			guard := &recordingGuard{}
			r := New(Config{
				Allocator: a, Exchanger: exchanger.New(statusProtocol{}, clock, dialer.Direct), Protocol: statusProtocol{}, Guard: guard, Clock: clock, Log: hclog.NewNullLogger(),
			})
			request := &fescuebank.Request{ID: "q", Service: "s", Method: http.MethodPost, Target: "/", Host: "h", Deadline: clock.Now().Add(time.Minute)}
			_, _ = r.attempt(t.Context(), &attempt{task: &manager.Task{Request: request}, slot: a.AcquireBatch("s", "", 0)}, &fescuebank.Progress{})
			if guard.completed != tt.completed || guard.lost != tt.lost || guard.ended != 1 {
				t.Errorf("got %d completed, %d lost, %d ended, want %d, %d, 1", guard.completed, guard.lost, guard.ended, tt.completed, tt.lost)
			}
			if len(guard.request.Prompt) != len(promptParts) {
				t.Errorf("got prompt %v, want %v", guard.request.Prompt, promptParts)
			}
		})
	}
}
