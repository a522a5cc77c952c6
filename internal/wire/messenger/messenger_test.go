package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/certifier"
)

var (
	clock      = timekeeper.Timekeeper{}
	nullLogger = hclog.NewNullLogger()
)

func newAuthority(t *testing.T) *certifier.Certifier {
	t.Helper()
	authority, err := certifier.New(clock)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func issue(t *testing.T, authority *certifier.Certifier) *tls.Config {
	t.Helper()
	cert, key, err := authority.Issue(net.ParseIP("127.0.0.1"))
	if err != nil {
		t.Fatal(err)
	}
	config, err := certifier.Config(authority.Authority(), cert, key)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// start runs a messenger with the handlers and returns it with a function that stops it.
func start(t *testing.T, config *tls.Config, handlers map[fescuebank.MessageKind]fescuebank.PeerHandler) (*Messenger, func()) {
	t.Helper()
	m, err := New("127.0.0.1:0", config, clock, nullLogger)
	if err != nil {
		t.Fatal(err)
	}
	for kind, h := range handlers {
		m.Handle(kind, h)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = m.Run(ctx)
		close(done)
	}()
	end := func() {
		stop()
		<-done
	}
	t.Cleanup(end)
	return m, end
}

func echo(_ context.Context, decode func(into any) error) (any, error) {
	var r fescuebank.ProbeRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	return &fescuebank.ProbeReply{ID: r.From}, nil
}

// TestPeerContract checks the replies and errors that fescuebank.Peer specifies.
func TestPeerContract(t *testing.T) {
	authority := newAuthority(t)
	var ran atomic.Int64
	server, _ := start(t, issue(t, authority), map[fescuebank.MessageKind]fescuebank.PeerHandler{
		fescuebank.KindProbe:  echo,
		fescuebank.KindTokens: func(context.Context, func(any) error) (any, error) { return nil, fescuebank.ErrNotOwner },
		fescuebank.KindPull:   func(context.Context, func(any) error) (any, error) { return nil, errors.New("broken") },
		fescuebank.KindLend: func(ctx context.Context, _ func(any) error) (any, error) {
			ran.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	client, _ := start(t, issue(t, authority), nil)
	stopped, end := start(t, issue(t, authority), nil)
	address := stopped.Addr()
	end()
	for _, tt := range []struct {
		name string
		addr string
		kind fescuebank.MessageKind
		want error
	}{
		{"reply", server.Addr(), fescuebank.KindProbe, nil},
		{"not the owner", server.Addr(), fescuebank.KindTokens, fescuebank.ErrNotOwner},
		{"handler fails", server.Addr(), fescuebank.KindPull, errRemoteFailure},
		{"no handler for the kind", server.Addr(), fescuebank.KindStatus, errRemoteFailure},
		{"peer not running", address, fescuebank.KindProbe, fescuebank.ErrPeerUnreachable},
		{"no reply in time", server.Addr(), fescuebank.KindLend, fescuebank.ErrPeerLost},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			var reply fescuebank.ProbeReply
			err := client.Call(ctx, tt.addr, tt.kind, &fescuebank.ProbeRequest{From: "me"}, &reply)
			if !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
			if tt.want == nil && reply.ID != "me" {
				t.Errorf("got reply %+v, want the echo", reply)
			}
		})
	}
	if ran.Load() != 1 {
		t.Errorf("got the request without a reply run %d times, want once", ran.Load())
	}
}

// TestForeignCertificateIsRejected calls a peer with a certificate of another authority.
func TestForeignCertificateIsRejected(t *testing.T) {
	server, _ := start(t, issue(t, newAuthority(t)), map[fescuebank.MessageKind]fescuebank.PeerHandler{fescuebank.KindProbe: echo})
	foreign, _ := start(t, issue(t, newAuthority(t)), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply fescuebank.ProbeReply
	if err := foreign.Call(ctx, server.Addr(), fescuebank.KindProbe, &fescuebank.ProbeRequest{}, &reply); err == nil {
		t.Error("got a reply with a certificate of another authority, want an error")
	}
}

// TestReconnectToRestartedPeer restarts a peer at its address. Calls must use a new
// connection instead of the closed one.
func TestReconnectToRestartedPeer(t *testing.T) {
	authority := newAuthority(t)
	handlers := map[fescuebank.MessageKind]fescuebank.PeerHandler{fescuebank.KindProbe: echo}
	server, end := start(t, issue(t, authority), handlers)
	client, _ := start(t, issue(t, authority), nil)
	address := server.Addr()
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var reply fescuebank.ProbeReply
		return client.Call(ctx, address, fescuebank.KindProbe, &fescuebank.ProbeRequest{From: "me"}, &reply)
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	end()
	// The address may stay in use for a moment.
	until := time.Now().Add(time.Minute)
	m, err := New(address, issue(t, authority), clock, nullLogger)
	for err != nil && time.Now().Before(until) {
		time.Sleep(10 * time.Millisecond)
		m, err = New(address, issue(t, authority), clock, nullLogger)
	}
	if err != nil {
		t.Fatal(err)
	}
	m.Handle(fescuebank.KindProbe, echo)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = m.Run(ctx) }()
	for call() != nil {
		if time.Now().After(until) {
			t.Fatal("got no reply from the restarted peer, want one")
		}
	}
}

// FuzzDispatch feeds untrusted bytes to the decoders of requests and of replies.
func FuzzDispatch(f *testing.F) {
	request, _ := encodeRequest(fescuebank.KindProbe, &fescuebank.ProbeRequest{From: "a"})
	f.Add(request)
	f.Add(encodeReply(&fescuebank.ProbeReply{ID: "a"}))
	f.Add([]byte{1})
	m := &Messenger{log: nullLogger, handlers: map[fescuebank.MessageKind]fescuebank.PeerHandler{fescuebank.KindProbe: echo}}
	f.Fuzz(func(t *testing.T, body []byte) {
		var reply fescuebank.ProbeReply
		_ = decodeReply(body, &reply)
		response := m.dispatch(context.Background(), body)
		if len(response) == 0 {
			t.Error("got an empty response, want one with an outcome")
		}
	})
}
