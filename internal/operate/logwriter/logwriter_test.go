package logwriter_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"fescuebank/internal/operate/logwriter"
	"fescuebank/internal/timing/timekeeper"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func isOrdinary(line []byte) bool { return bytes.HasPrefix(line, []byte("ok")) }

// TestBlockedOutputDoesNotBlockWrite checks that Write returns at once while the output
// blocks, and that every line is either written or counted as dropped.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := logwriter.New(out, timekeeper.Timekeeper{}, logwriter.Rate{Ordinary: 1 << 20, All: 1 << 20}, isOrdinary)
	start := time.Now()
	const lines = 20_000
	for range lines {
		if _, err := w.Write([]byte("line of a log with a blocked output, long enough to fill buffers\n")); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("got %v for %d lines, want well under a second", elapsed, lines)
	}
	if w.Dropped() == 0 {
		t.Error("got no lines counted as dropped, want some")
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	written := int64(strings.Count(out.written.String(), "line of a log"))
	if got := written + w.Dropped(); got != lines {
		t.Errorf("got %d lines written and %d dropped, want %d in total", written, w.Dropped(), lines)
	}
}

func TestOrdinaryLinesAreDroppedFirst(t *testing.T) {
	var out bytes.Buffer
	w := logwriter.New(&out, timekeeper.Timekeeper{}, logwriter.Rate{Ordinary: 5, All: 20}, isOrdinary)
	for range 10 {
		_, _ = w.Write([]byte("ok\n"))
		_, _ = w.Write([]byte("refused\n"))
	}
	w.Close()
	if got := strings.Count(out.String(), "ok"); got != 5 {
		t.Errorf("got %d ordinary lines, want 5", got)
	}
	if got := strings.Count(out.String(), "refused"); got != 10 {
		t.Errorf("got %d lines of refusals, want all 10", got)
	}
	if got := w.Dropped(); got != 5 {
		t.Errorf("got %d lines dropped, want 5", got)
	}
}

func BenchmarkWrite(b *testing.B) {
	var out bytes.Buffer
	w := logwriter.New(&out, timekeeper.Timekeeper{}, logwriter.Rate{Ordinary: 100, All: 1000}, isOrdinary)
	line := []byte(`ok {"@level":"info","@message":"Request ended.","request":"9c41d07be2a35f68"}` + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(line)
	}
}

// TestWriteAfterCloseIsDropped checks that components that still log while the process ends
// don't end it with a panic.
func TestWriteAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	w := logwriter.New(&out, timekeeper.Timekeeper{}, logwriter.Rate{Ordinary: 10, All: 10}, func([]byte) bool { return false })
	w.Close()
	if n, err := w.Write([]byte("late\n")); n != 5 || err != nil {
		t.Errorf("got %d, %v, want 5 bytes taken", n, err)
	}
	if got := w.Dropped(); got != 1 {
		t.Errorf("got %d lines dropped, want 1", got)
	}
}
