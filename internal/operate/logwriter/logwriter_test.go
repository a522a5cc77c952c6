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

// stuck is a reader that reads nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	read    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read.Write(p)
}

func isOrdinary(line []byte) bool { return bytes.HasPrefix(line, []byte("ok")) }

func TestReaderThatStopsHoldsUpNobody(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	j := logwriter.New(out, timekeeper.Timekeeper{}, logwriter.Rate{Ordinary: 1 << 20, All: 1 << 20}, isOrdinary)
	began := time.Now()
	const lines = 20_000
	for range lines {
		if _, err := j.Write([]byte("line of a log that nobody reads, long enough to fill buffers\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("got %v for %d lines, want well under a second", took, lines)
	}
	if j.Dropped() == 0 {
		t.Error("got no line counted as left out, want some")
	}
	close(out.release)
	j.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	written := int64(strings.Count(out.read.String(), "line of a log"))
	if got := written + j.Dropped(); got != lines {
		t.Errorf("got %d lines written and %d left out, want %d in all", written, j.Dropped(), lines)
	}
}

func TestOrdinaryLinesAreLeftOutFirst(t *testing.T) {
	var out bytes.Buffer
	j := logwriter.New(&out, timekeeper.Timekeeper{}, logwriter.Rate{Ordinary: 5, All: 20}, isOrdinary)
	for range 10 {
		_, _ = j.Write([]byte("ok\n"))
		_, _ = j.Write([]byte("refused\n"))
	}
	j.Close()
	if got := strings.Count(out.String(), "ok"); got != 5 {
		t.Errorf("got %d ordinary lines, want 5", got)
	}
	if got := strings.Count(out.String(), "refused"); got != 10 {
		t.Errorf("got %d lines of refusals, want all 10", got)
	}
	if got := j.Dropped(); got != 5 {
		t.Errorf("got %d lines left out, want 5", got)
	}
}

func BenchmarkWrite(b *testing.B) {
	var out bytes.Buffer
	j := logwriter.New(&out, timekeeper.Timekeeper{}, logwriter.Rate{Ordinary: 100, All: 1000}, isOrdinary)
	line := []byte(`ok {"@level":"info","@message":"Request ended.","request":"9c41d07be2a35f68"}` + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = j.Write(line)
	}
}
