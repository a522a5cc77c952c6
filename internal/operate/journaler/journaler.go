// Package journaler writes log lines without ever holding up their authors.
package journaler

import (
	"bufio"
	"fmt"
	"io"
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

// Journaler is an io.Writer that takes one line a call. While its reader is slow
// lines are left out and counted.
type Journaler struct {
	lines   chan []byte
	dropped atomic.Int64
	out     *bufio.Writer
	clock   fescuebank.Clock
	done    chan struct{}
}

// New returns a journaler that writes to out.
func New(out io.Writer, clock fescuebank.Clock) *Journaler {
	j := &Journaler{
		lines: make(chan []byte, queueLines), out: bufio.NewWriterSize(out, bufferBytes), clock: clock, done: make(chan struct{}),
	}
	go j.run()
	return j
}

// Write queues a line. It never blocks and never fails.
func (j *Journaler) Write(line []byte) (int, error) {
	select {
	case j.lines <- append([]byte(nil), line...):
	default:
		j.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out so far.
func (j *Journaler) Dropped() int64 {
	return j.dropped.Load()
}

// Close writes what waits. No line may follow.
func (j *Journaler) Close() {
	close(j.lines)
	select {
	case <-j.done:
	case <-j.clock.After(gapInterval):
	}
}

func (j *Journaler) run() {
	defer close(j.done)
	told := int64(0)
	toldAt := j.clock.Now()
	for line := range j.lines {
		_, _ = j.out.Write(line) // Nobody is left to tell of a log that fails.
		if dropped := j.dropped.Load(); dropped > told && j.clock.Now().Sub(toldAt) >= gapInterval {
			fmt.Fprintf(j.out, "{\"@level\":\"warn\",\"@module\":\"fescuebank.log\",\"@message\":\"Lines left out.\",\"lines\":%d}\n", dropped-told)
			told, toldAt = dropped, j.clock.Now()
		}
		if len(j.lines) == 0 {
			_ = j.out.Flush()
		}
	}
	_ = j.out.Flush()
}
