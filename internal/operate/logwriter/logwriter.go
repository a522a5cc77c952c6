// Package logwriter writes log lines without blocking the code that logs them.
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
	// queueLength is the maximum number of lines waiting to be written.
	queueLength = 4096
	// reportInterval is the minimum time between two log lines that report dropped
	// lines.
	reportInterval = time.Second
	bufferBytes    = 16 << 10
)

// Rate limits the number of lines per second. Lines over a limit are dropped and counted.
type Rate struct {
	// Ordinary limits the lines that isOrdinary reports as ordinary successes, and All
	// the lines of every kind.
	Ordinary int
	All      int
}

// LogWriter is an io.Writer that expects one line per call. It drops and counts the lines
// that exceed its rate, where ordinary lines have a lower limit, and those that find the
// queue full because the output is slow.
type LogWriter struct {
	lines chan []byte
	out   *bufio.Writer
	clock fescuebank.Clock
	rate  Rate
	// isOrdinary reports whether a line also counts against rate.Ordinary.
	isOrdinary func(line []byte) bool
	done       chan struct{}
	dropped    atomic.Int64

	mu sync.Mutex
	// closed is set from the start of Close, after which no line is queued.
	closed bool
	// windowStart is the start of the current window of one second, and ordinaryCount
	// and allCount the lines accepted in it.
	windowStart   time.Time
	ordinaryCount int
	allCount      int
}

// New returns a LogWriter that writes to out.
func New(out io.Writer, clock fescuebank.Clock, rate Rate, isOrdinary func(line []byte) bool) *LogWriter {
	w := &LogWriter{
		lines: make(chan []byte, queueLength), out: bufio.NewWriterSize(out, bufferBytes), clock: clock,
		rate: rate, isOrdinary: isOrdinary, done: make(chan struct{}), windowStart: clock.Now(),
	}
	go w.run()
	return w
}

// Write queues a line, or drops it after Close. It neither blocks nor fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	ordinary := w.isOrdinary(line)
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.allow(ordinary, now) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// allow reports whether a line is within the rate, and counts it if so. The caller holds the
// lock.
func (w *LogWriter) allow(ordinary bool, now time.Time) bool {
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.ordinaryCount, w.allCount = now, 0, 0
	}
	if w.allCount >= w.rate.All || (ordinary && w.ordinaryCount >= w.rate.Ordinary) {
		return false
	}
	w.allCount++
	if ordinary {
		w.ordinaryCount++
	}
	return true
}

// Dropped returns the number of lines dropped so far.
func (w *LogWriter) Dropped() int64 {
	return w.dropped.Load()
}

// Close waits until the queued lines have been written, for at most reportInterval. Call it
// once.
func (w *LogWriter) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-w.clock.After(reportInterval):
	}
}

func (w *LogWriter) run() {
	defer close(w.done)
	reported := int64(0)
	reportedAt := w.clock.Now()
	for line := range w.lines {
		_, _ = w.out.Write(line) // There is nowhere to report a failure of the log.
		now := w.clock.Now()
		if dropped := w.dropped.Load(); dropped > reported && now.Sub(reportedAt) >= reportInterval {
			fmt.Fprintf(w.out, droppedLine, now.Format(time.RFC3339Nano), dropped-reported)
			reported, reportedAt = dropped, now
		}
		if len(w.lines) == 0 {
			_ = w.out.Flush()
		}
	}
	_ = w.out.Flush()
}

// droppedLine is the format of the line that reports how many lines have been dropped since
// the last such line.
const droppedLine = "{\"@level\":\"warn\",\"@module\":\"fescuebank.log\",\"@message\":\"Lines left out.\",\"@timestamp\":%q,\"lines\":%d}\n"
