package linker_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/linker"
)

// stallFirst accepts connections, never answers on the first and passes the others on to
// target.
func stallFirst(t *testing.T, target string) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			if i == 0 {
				continue
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = out.Close() })
			go func() { _, _ = io.Copy(out, c) }()
			go func() { _, _ = io.Copy(c, out) }()
		}
	}()
	return l.Addr().String()
}

// TestStalledConnectionIsReplaced checks that a call after one that got no reply on a
// connection that fell silent uses a new connection.
func TestStalledConnectionIsReplaced(t *testing.T) {
	a, b := newLinker(t), newLinker(t)
	addr := stallFirst(t, b.Addr())
	if _, err := callAddr(a, addr, "one"); !errors.Is(err, fescuebank.ErrPeerLost) {
		t.Fatalf("got %v on the stalled connection, want %v", err, fescuebank.ErrPeerLost)
	}
	if got, err := callAddr(a, addr, "two"); got != "two" || err != nil {
		t.Errorf("got %q, %v on the next call, want two", got, err)
	}
}

// TestSlowReaderDoesNotDelayNotifications checks that a peer that doesn't read holds up
// neither the sender nor the notifications to others.
func TestSlowReaderDoesNotDelayNotifications(t *testing.T) {
	a := newLinker(t)
	slow, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	received := make(chan string, 1)
	fast, err := linker.New("127.0.0.1:0", timekeeper.Timekeeper{}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	fast.HandleNotification(fescuebank.KindGossip, func(decode func(into any) error) {
		var m message
		if decode(&m) == nil && m.Text == "last" {
			received <- m.Text
		}
	})
	go fast.Run(t.Context())
	addrs := []string{slow.Addr().String(), fast.Addr()}
	encode := func(text string) []byte {
		body, err := linker.Encode(&message{Text: text})
		if err != nil {
			t.Fatal(err)
		}
		return body
	}
	a.Notify(addrs, fescuebank.KindGossip, encode("connect"))
	time.Sleep(100 * time.Millisecond)
	large := encode(string(make([]byte, 1<<20)))
	const writeTimeout = time.Second // A wait for a peer that never reads lasts as long.
	for range 20 {
		started := time.Now()
		a.Notify(addrs, fescuebank.KindGossip, large) // Far more than the socket buffers hold.
		if took := time.Since(started); took >= writeTimeout {
			t.Errorf("got a notification sent in %v, want no wait for the slow reader", took)
		}
	}
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		a.Notify(addrs, fescuebank.KindGossip, encode("last"))
		select {
		case <-received:
			return
		default:
		}
	}
	t.Error("got no notification at the fast reader, want one")
}
