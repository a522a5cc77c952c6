package exchanger_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/endpoint/dialer"
	"fescuebank/internal/endpoint/exchanger"
)

// echoProtocol is a plainProtocol whose responses all belong to the request that is due.
type echoProtocol struct {
	plainProtocol
	id *fescuebank.RequestID
}

func (p echoProtocol) Decode(int, http.Header) fescuebank.ResponseInfo {
	return fescuebank.ResponseInfo{Request: *p.id}
}

// TestRequestIDIsSentOnceOnAConnection guards against the late copy of the response to an item's earlier attempt, which has the
// id of the attempt that runs now.
func TestRequestIDIsSentOnceOnAConnection(t *testing.T) {
	e := newEndpoint(t)
	var id fescuebank.RequestID
	x := exchanger.New(echoProtocol{id: &id}, &manualClock{now: time.Unix(0, 0)}, dialer.Direct)
	for _, tt := range []struct {
		id     fescuebank.RequestID
		dialed int64
	}{{"a", 1}, {"b", 1}, {"a", 2}, {"b", 2}, {"c", 2}, {"a", 3}} {
		id = tt.id
		target := exchanger.Target{Endpoint: fescuebank.ServedEndpoint{Addr: e.addr}}
		response, err := x.Send(t.Context(), target, &fescuebank.Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h"}, exchanger.Attempt{})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response)
		response.Finish()
		if got := x.Dialed(); got != tt.dialed {
			t.Errorf("request %s: got %d connections, want %d", tt.id, got, tt.dialed)
		}
	}
}
