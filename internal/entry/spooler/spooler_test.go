package spooler_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/spooler"
	"fescuebank/internal/limit/reserver"
)

// slowCaller is a ResponseWriter whose writes take a time.
type slowCaller struct {
	delay time.Duration
	body  bytes.Buffer
}

func (c *slowCaller) Start(int, http.Header) {}

func (c *slowCaller) Write(p []byte) error {
	time.Sleep(c.delay)
	c.body.Write(p)
	return nil
}

// endpoint sends parts of a response at an interval. It cuts the response off if a part stays unread for
// patience.
type endpoint struct {
	parts    int
	interval time.Duration
	patience time.Duration
	// err ends the response.
	err error
}

var errCut = errors.New("response cut off")

// respond returns the response as a reader.
func (e endpoint) respond() io.ReadCloser {
	reader, writer := io.Pipe()
	go func() {
		for range e.parts {
			time.Sleep(e.interval)
			cut := time.AfterFunc(e.patience, func() { _ = writer.CloseWithError(errCut) })
			_, err := writer.Write([]byte(part))
			cut.Stop()
			if err != nil {
				return
			}
		}
		_ = writer.CloseWithError(e.err)
	}()
	return reader
}

var part = strings.Repeat("x", 1000)

// relay relays a response as the relayer does and returns the error at its end.
func relay(s *spooler.Spooler) error {
	buffer := make([]byte, 4096)
	for {
		n, err := s.Read(buffer)
		if n > 0 {
			if err := s.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

func TestResponseIsReadAheadOfSlowCaller(t *testing.T) {
	broken := errors.New("connection broken")
	for _, tt := range []struct {
		name     string
		endpoint endpoint
		delay    time.Duration
		budget   fescuebank.Bytes
		// want is the error at the end of the response, and ahead whether the endpoint could end it before
		// the caller had read it.
		want  error
		ahead bool
	}{
		{"quick caller", endpoint{parts: 20, interval: 40 * time.Millisecond, patience: time.Second, err: io.EOF}, 0, fescuebank.MiB, io.EOF, false},
		{"slow caller", endpoint{parts: 20, interval: 40 * time.Millisecond, patience: time.Second, err: io.EOF}, 3 * time.Second, fescuebank.MiB, io.EOF, true},
		{"connection to the endpoint breaks", endpoint{parts: 20, interval: 40 * time.Millisecond, patience: time.Second, err: broken}, 3 * time.Second, fescuebank.MiB, broken, false},
		{"no memory", endpoint{parts: 20, interval: 40 * time.Millisecond, patience: time.Second, err: io.EOF}, 3 * time.Second, 1, errCut, false},
		{"more than is read ahead", endpoint{parts: 1000, interval: time.Millisecond, patience: time.Second, err: io.EOF}, 3 * time.Second, 16 * fescuebank.MiB, errCut, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := reserver.New(tt.budget)
				caller := &slowCaller{delay: tt.delay}
				response := tt.endpoint.respond()
				ended := false
				s := spooler.New(spooler.Config{From: response, To: caller, Memory: memory, OnEnd: func() { ended = true }})
				err := relay(s)
				s.Close(func() { _ = response.Close() })
				if !errors.Is(err, tt.want) {
					t.Errorf("got end %v, want %v", err, tt.want)
				}
				if ended != tt.ahead {
					t.Errorf("got end of the response read ahead %v, want %v", ended, tt.ahead)
				}
				if want := tt.endpoint.parts * len(part); !errors.Is(tt.want, errCut) && caller.body.Len() != want {
					t.Errorf("got %d bytes, want %d", caller.body.Len(), want)
				}
				if held := memory.Status().HeldBytes; held != 0 {
					t.Errorf("got %v held after the response, want 0", held)
				}
			})
		})
	}
}

// TestCloseEndsReadingAhead checks that nothing is held or read after the caller has left.
func TestCloseEndsReadingAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := reserver.New(fescuebank.MiB)
		response := endpoint{parts: 100, interval: 50 * time.Millisecond, patience: time.Minute, err: io.EOF}.respond()
		s := spooler.New(spooler.Config{From: response, To: &slowCaller{delay: time.Second}, Memory: memory, OnEnd: func() {}})
		if _, err := s.Read(make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
		if err := s.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		s.Close(func() { _ = response.Close() })
		time.Sleep(time.Second) // The endpoint notices.
		if held := memory.Status().HeldBytes; held != 0 {
			t.Errorf("got %v held, want 0", held)
		}
	})
}
