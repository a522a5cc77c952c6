// Package logwriter writes log lines without ever holding up their authors.
package logwriter

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"fescuebank"
)

const (
	// queueLines is how many lines may wait for the writer.
	queueLines = 4096
	// gapInterval is how often lines that were left out are told.
	gapInterval = time.Second
	bufferBytes = 16 << 10
)

// Rate bounds the lines of a second.
type Rate struct {
	// Ordinary bounds the lines that Ordinary says are of ordinary successes, All
	// those of every kind. The rest is left out and counted.
	Ordinary int
	All      int
}

// LogWriter is an io.Writer that takes one line a call. Lines over its rate are
// left out and counted, ordinary ones first; so are those that its reader is too
// slow for.
type LogWriter struct {
	lines chan []byte
	out   *bufio.Writer
	clock fescuebank.Clock
	rate  Rate
	// isOrdinary tells the lines that may be left out first.
	isOrdinary func(line []byte) bool
	done       chan struct{}
	dropped    atomic.Int64

	mu sync.Mutex
	// second is when the running second began, and ordinary and all what it took.
	second   time.Time
	ordinary int
	all      int
}

// New returns a log writer that writes to out.
func New(out io.Writer, clock fescuebank.Clock, rate Rate, isOrdinary func(line []byte) bool) *LogWriter {
	j := &LogWriter{
		lines: make(chan []byte, queueLines), out: bufio.NewWriterSize(out, bufferBytes), clock: clock,
		rate: rate, isOrdinary: isOrdinary, done: make(chan struct{}), second: clock.Now(),
	}
	go j.run()
	return j
}

// Write queues a line. It never blocks and never fails.
func (j *LogWriter) Write(line []byte) (int, error) {
	if !j.admits(line) {
		j.dropped.Add(1)
		return len(line), nil
	}
	select {
	case j.lines <- append([]byte(nil), line...):
	default:
		j.dropped.Add(1)
	}
	return len(line), nil
}

// admits counts a line against the rate.
func (j *LogWriter) admits(line []byte) bool {
	ordinary := j.isOrdinary(line)
	now := j.clock.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if now.Sub(j.second) >= time.Second {
		j.second, j.ordinary, j.all = now, 0, 0
	}
	if j.all >= j.rate.All || (ordinary && j.ordinary >= j.rate.Ordinary) {
		return false
	}
	j.all++
	if ordinary {
		j.ordinary++
	}
	return true
}

// Dropped returns how many lines were left out so far.
func (j *LogWriter) Dropped() int64 {
	return j.dropped.Load()
}

// Close writes what waits. Lines that follow are lost.
func (j *LogWriter) Close() {
	close(j.lines)
	select {
	case <-j.done:
	case <-j.clock.After(gapInterval):
	}
}

func (j *LogWriter) run() {
	defer close(j.done)
	told := int64(0)
	toldAt := j.clock.Now()
	for line := range j.lines {
		_, _ = j.out.Write(line) // Nobody is left to tell of a log that fails.
		now := j.clock.Now()
		if dropped := j.dropped.Load(); dropped > told && now.Sub(toldAt) >= gapInterval {
			fmt.Fprintf(j.out, gapLine, now.Format(time.RFC3339Nano), dropped-told)
			told, toldAt = dropped, now
		}
		if len(j.lines) == 0 {
			_ = j.out.Flush()
		}
	}
	_ = j.out.Flush()
}

// gapLine tells how many lines were left out since the last such line.
const gapLine = "{\"@level\":\"warn\",\"@module\":\"fescuebank.log\",\"@message\":\"Lines left out.\",\"@timestamp\":%q,\"lines\":%d}\n"
