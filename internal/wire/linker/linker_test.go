package linker_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/linker"
)

type message struct {
	Text string `cbor:"1,keyasint"`
}

// echo replies with the text of the message, or fails in the way that the text names.
func echo(ctx context.Context, decode func(into any) error) (any, error) {
	var m message
	if err := decode(&m); err != nil {
		return nil, err
	}
	switch m.Text {
	case "refuse":
		return nil, fescuebank.Refuse(429, fescuebank.CodeRateLimited, "too many").WithRetryAfter(3*time.Second).WithDetails("waiting", 7)
	case "not owner":
		return nil, fescuebank.ErrNotOwner
	case "fail":
		return nil, errors.New("broken inside")
	case "hang":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &m, nil
}

func newLinker(t *testing.T) *linker.Linker {
	t.Helper()
	l, err := linker.New("127.0.0.1:0", timekeeper.Timekeeper{}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	l.Handle(fescuebank.KindReadResults, echo)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l
}

func call(t *testing.T, from, to *linker.Linker, text string) (string, error) {
	t.Helper()
	return callAddr(from, to.Addr(), text)
}

func callAddr(from *linker.Linker, addr, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	var reply message
	err := from.Call(ctx, addr, fescuebank.KindReadResults, &message{Text: text}, &reply)
	return reply.Text, err
}

func TestCall(t *testing.T) {
	a, b := newLinker(t), newLinker(t)
	if got, err := call(t, a, b, "hello"); got != "hello" || err != nil {
		t.Errorf("got %q, %v, want hello", got, err)
	}
	for _, tt := range []struct {
		text string
		want error
	}{
		{"not owner", fescuebank.ErrNotOwner}, {"hang", fescuebank.ErrPeerLost},
	} {
		if _, err := call(t, a, b, tt.text); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.text, err, tt.want)
		}
	}
	_, err := call(t, a, b, "refuse")
	var r *fescuebank.Refusal
	if !errors.As(err, &r) || r.Status != 429 || r.RetryAfter != 3*time.Second || r.State != fescuebank.NotRun || len(r.Details) != 2 {
		t.Errorf("got %v, want the complete refusal", err)
	}
	if _, err := call(t, a, b, "fail"); err == nil || errors.Is(err, fescuebank.ErrPeerLost) {
		t.Errorf("got %v, want an error reported by the peer", err)
	}
}

func TestSlowCallDoesNotBlockOthers(t *testing.T) {
	a, b := newLinker(t), newLinker(t)
	go func() { _, _ = call(t, a, b, "hang") }()
	time.Sleep(20 * time.Millisecond)
	started := time.Now()
	if got, err := call(t, a, b, "hello"); got != "hello" || time.Since(started) > 150*time.Millisecond {
		t.Errorf("got %q, %v after %v, want hello at once", got, err, time.Since(started))
	}
}

func TestUnreachablePeer(t *testing.T) {
	a := newLinker(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	err = a.Call(context.Background(), addr, fescuebank.KindReadResults, &message{}, &message{})
	if !errors.Is(err, fescuebank.ErrPeerUnreachable) {
		t.Errorf("got %v, want %v", err, fescuebank.ErrPeerUnreachable)
	}
}

func TestReconnectAfterDisconnect(t *testing.T) {
	a, b := newLinker(t), newLinker(t)
	if _, err := call(t, a, b, "one"); err != nil {
		t.Fatal(err)
	}
	a.Disconnect(b.Addr())
	for until := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if got, err := call(t, a, b, "two"); err == nil && got == "two" {
			return
		}
		if time.Now().After(until) {
			t.Fatal("got no reply within 2 s after the disconnect, want one")
		}
	}
}

func TestNotification(t *testing.T) {
	a, b := newLinker(t), newLinker(t)
	var received atomic.Value
	c, err := linker.New("127.0.0.1:0", timekeeper.Timekeeper{}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	c.HandleNotification(fescuebank.KindGossip, func(decode func(into any) error) {
		var m message
		if decode(&m) == nil {
			received.Store(m.Text)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	body, err := linker.Encode(&message{Text: "gossip"})
	if err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(2 * time.Second); received.Load() != "gossip"; time.Sleep(10 * time.Millisecond) {
		a.Notify([]string{c.Addr()}, fescuebank.KindGossip, body)
		b.Notify([]string{c.Addr()}, fescuebank.KindWithdraw, body) // No handler is registered.
		if time.Now().After(until) {
			t.Fatal("got no notification within 2 s, want one")
		}
	}
}

func TestGarbageClosesOnlyItsConnection(t *testing.T) {
	a, b := newLinker(t), newLinker(t)
	c, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: not a peer\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("got a reply to garbage, want the connection closed")
	}
	if got, err := call(t, a, b, "hello"); got != "hello" {
		t.Errorf("got %q, %v, want hello", got, err)
	}
}
