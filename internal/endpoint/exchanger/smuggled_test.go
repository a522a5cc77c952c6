package exchanger_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/endpoint/dialer"
	"fescuebank/internal/endpoint/exchanger"
)

// recordRequests serves connections to the returned address and sends what it reads from them.
func recordRequests(t *testing.T) (addr string, requests <-chan *http.Request) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	seen := make(chan *http.Request, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for reader := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					seen <- r
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return l.Addr().String(), seen
}

// TestNoHeaderChangesTheRequest guards against a stored item with headers that frame its body in another way, so that the endpoint
// finds a second request in it.
func TestNoHeaderChangesTheRequest(t *testing.T) {
	for _, tt := range []struct {
		name   string
		header http.Header
	}{
		{"transfer encoding", http.Header{"Transfer-Encoding": {"chunked"}}},
		{"transfer encoding in small letters", http.Header{"transfer-encoding": {"chunked"}}},
		{"length", http.Header{"Content-Length": {"0"}}},
		{"length in small letters", http.Header{"content-length": {"0"}}},
		{"host", http.Header{"host": {"other"}}},
		{"key", http.Header{"authorization": {"Bearer key"}}},
		{"line end in a value", http.Header{"A": {"b\r\nTransfer-Encoding: chunked"}}},
		{"line end in a name", http.Header{"A: b\r\nTransfer-Encoding": {"chunked"}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, requests := recordRequests(t)
			x := exchanger.New(plainProtocol{}, &manualClock{now: time.Unix(0, 0)}, dialer.Direct)
			request := &fescuebank.Request{
				Method: http.MethodPost, Target: "/", Host: "h", Header: tt.header,
				Body: []byte("0\r\n\r\nPOST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"),
			}
			_, _ = x.Send(t.Context(), exchanger.Target{Endpoint: fescuebank.ServedEndpoint{Addr: addr}}, request, exchanger.Attempt{})
			time.Sleep(20 * time.Millisecond)
			if got := len(requests); got != 1 {
				t.Fatalf("got %d requests at the endpoint, want 1", got)
			}
			r := <-requests
			if r.URL.Path != "/" || r.Host != "h" || len(r.TransferEncoding) > 0 || r.ContentLength != int64(len(request.Body)) || r.Header.Get("Authorization") != "" {
				t.Errorf("got %+v, want the request without the header", r)
			}
		})
	}
}

// TestMalformedRequestIsNotSent guards against a stored item whose target or method ends the first line of the request.
func TestMalformedRequestIsNotSent(t *testing.T) {
	for _, tt := range []struct{ name, method, target string }{
		{"line end in the target", http.MethodPost, "/ HTTP/1.1\r\nA: b"},
		{"space in the target", http.MethodPost, "/a b"},
		{"no target", http.MethodPost, ""},
		{"space in the method", "GET /other", "/"},
		{"no method", "", "/"},
	} {
		addr, requests := recordRequests(t)
		x := exchanger.New(plainProtocol{}, &manualClock{now: time.Unix(0, 0)}, dialer.Direct)
		_, err := x.Send(t.Context(), exchanger.Target{Endpoint: fescuebank.ServedEndpoint{Addr: addr}},
			&fescuebank.Request{Method: tt.method, Target: tt.target, Host: "h"}, exchanger.Attempt{})
		if !errors.Is(err, exchanger.ErrMalformed) || len(requests) > 0 {
			t.Errorf("%s: got error %v and %d requests at the endpoint, want ErrMalformed and none", tt.name, err, len(requests))
		}
	}
}
