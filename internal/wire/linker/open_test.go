package linker_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/wire/linker"
)

// openEcho handles connections on which it sends back what it receives.
func openEcho(_ context.Context, decode func(into any) error) (any, func(net.Conn), error) {
	var m message
	if err := decode(&m); err != nil {
		return nil, nil, err
	}
	if m.Text == "refuse" {
		return nil, nil, fescuebank.ErrNotOwner
	}
	return &m, func(c net.Conn) {
		_, _ = io.Copy(c, c)
		_ = c.Close()
	}, nil
}

func open(from *linker.Linker, addr, text string) (net.Conn, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var reply message
	c, err := from.Open(ctx, addr, fescuebank.KindDialEndpoint, &message{Text: text}, &reply)
	return c, reply.Text, err
}

func newOpenLinker(t *testing.T) *linker.Linker {
	t.Helper()
	l := newLinker(t)
	l.HandleOpen(fescuebank.KindDialEndpoint, openEcho)
	return l
}

// TestOpenedConnectionCarriesBytes guards against bytes that are lost or read as frames.
func TestOpenedConnectionCarriesBytes(t *testing.T) {
	a, b := newOpenLinker(t), newOpenLinker(t)
	c, reply, err := open(a, b.Addr(), "hello")
	if err != nil || reply != "hello" {
		t.Fatalf("got reply %q, err %v, want hello", reply, err)
	}
	time.Sleep(20 * time.Millisecond) // The context of Open has ended; the connection must not.
	for _, text := range []string{"one", "two"} {
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(text))
		if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
			t.Errorf("got %q, err %v, want %q", got, err, text)
		}
	}
	_ = c.Close()
}

func TestOpenFails(t *testing.T) {
	a, b, without := newOpenLinker(t), newOpenLinker(t), newLinker(t)
	if _, _, err := open(a, b.Addr(), "refuse"); !errors.Is(err, fescuebank.ErrNotOwner) {
		t.Errorf("got %v, want %v", err, fescuebank.ErrNotOwner)
	}
	if _, _, err := open(a, without.Addr(), "hello"); err == nil {
		t.Errorf("got a connection of an instance that doesn't know the kind, want an error")
	}
	if _, _, err := open(a, "127.0.0.1:1", "hello"); !errors.Is(err, fescuebank.ErrPeerUnreachable) {
		t.Errorf("got %v, want %v", err, fescuebank.ErrPeerUnreachable)
	}
}
