package runner

import (
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
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// signatureProtocol decodes whether a response is signed.
type signatureProtocol struct{ plainProtocol }

func (signatureProtocol) Decode(_ int, h http.Header) fescuebank.ResponseInfo {
	return fescuebank.ResponseInfo{Request: "q", Signed: h.Get("Signature") != ""}
}

// TestOnlySignedFailuresCountAgainstAnItem guards against an item that is given up by a failure that isn't its endpoint's own.
func TestOnlySignedFailuresCountAgainstAnItem(t *testing.T) {
	for _, tt := range []struct {
		name, response string
		cause          manager.Cause
		err            error
	}{
		{"rejected", "HTTP/1.1 422 Unprocessable Entity\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", 0, errRejected},
		{"rejected, unsigned", "HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 0\r\n\r\n", manager.CauseInterrupted, errCorrupted},
		{"failed", "HTTP/1.1 500 Internal Server Error\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", manager.CauseItemFailed, errItemFailed},
		{"failed, unsigned", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", manager.CauseInterrupted, errCorrupted},
	} {
		clock := timekeeper.Timekeeper{}
		addr := listen(t, func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = c.Write([]byte(tt.response))
		})
		a := allocator.New(clock, func() {})
		a.SetEndpoints([]fescuebank.ServedEndpoint{{ID: "i-1", Service: "s", Addr: addr, Slots: 8}})
		r := New(Config{
			Allocator: a, Exchanger: exchanger.New(signatureProtocol{}, clock, dialer.Direct), Protocol: signatureProtocol{}, Guard: &recordingGuard{}, Clock: clock, Log: hclog.NewNullLogger(),
		})
		request := &fescuebank.Request{ID: "q", Service: "s", Method: http.MethodPost, Target: "/", Host: "h", Deadline: clock.Now().Add(time.Minute)}
		cause, err := r.attempt(t.Context(), &attempt{task: &manager.Task{Request: request}, slot: a.AcquireBatch("s", "", 0)}, &fescuebank.Progress{})
		if cause != tt.cause || !errors.Is(err, tt.err) {
			t.Errorf("%s: got cause %d, error %v, want %d, %v", tt.name, cause, err, tt.cause, tt.err)
		}
	}
}
