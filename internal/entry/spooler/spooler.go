// Package spooler reads responses ahead of callers that read slowly, so that endpoints can end them: an
// endpoint whose response stays unread cuts it off, and holds a slot meanwhile. It answers a load of
// slow callers.
package spooler

import (
	"io"
	"sync"
	"time"

	"fescuebank"
)

const (
	// slowWrite is how long a write to the caller may take before the response is read ahead.
	slowWrite = 100 * time.Millisecond
	// maxAhead bounds the bytes that are read ahead of one caller.
	maxAhead = 256 * fescuebank.KiB
	// partBytes is the size of one read.
	partBytes = 4 * fescuebank.KiB
)

// Config holds a spooler's dependencies.
type Config struct {
	// From is the endpoint's response, and To the caller.
	From io.Reader
	To   fescuebank.ResponseWriter
	// Memory holds what was read ahead.
	Memory fescuebank.MemoryBudget
	// OnEnd is called when the response has been read ahead to its end.
	OnEnd func()
}

// Spooler relays one response. Read and Write are called by one goroutine.
type Spooler struct {
	Config
	// timer runs during a write.
	timer *time.Timer

	mu   sync.Mutex
	cond sync.Cond
	// writing is set during a write, and reading while another goroutine reads ahead.
	writing, reading bool
	// ahead is what was read ahead, and err the error after it.
	ahead []byte
	err   error
}

// New returns a spooler that has read nothing ahead.
func New(c Config) *Spooler {
	s := &Spooler{Config: c}
	s.cond.L = &s.mu
	return s
}

// Write sends a part of the response to the caller. While that takes long, the rest is read ahead.
func (s *Spooler) Write(p []byte) error {
	s.setWriting(true)
	if s.timer == nil {
		s.timer = time.AfterFunc(slowWrite, s.startReading)
	} else {
		s.timer.Reset(slowWrite)
	}
	err := s.To.Write(p)
	s.timer.Stop()
	s.setWriting(false)
	return err
}

func (s *Spooler) setWriting(writing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = writing
}

// startReading starts to read ahead if the write goes on.
func (s *Spooler) startReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writing || s.reading || s.err != nil {
		return
	}
	s.reading = true
	go s.readAhead()
}

// readAhead reads until the response ends or no memory is left for more.
func (s *Spooler) readAhead() {
	part := make([]byte, partBytes)
	for s.mayReadPart() {
		n, err := s.From.Read(part)
		s.Memory.Release(partBytes - fescuebank.Bytes(n))
		s.mu.Lock()
		s.ahead = append(s.ahead, part[:n]...)
		s.err = err
		s.cond.Broadcast()
		s.mu.Unlock()
		if err == io.EOF {
			s.OnEnd()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	s.cond.Broadcast()
}

// mayReadPart reports whether another part may be read, and reserves its memory.
func (s *Spooler) mayReadPart() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err == nil && fescuebank.Bytes(len(s.ahead))+partBytes <= maxAhead && s.Memory.Reserve(partBytes)
}

// Read reads the response: what was read ahead first.
func (s *Spooler) Read(p []byte) (int, error) {
	s.mu.Lock()
	for len(s.ahead) == 0 && s.reading && s.err == nil {
		s.cond.Wait()
	}
	if len(s.ahead) > 0 {
		defer s.mu.Unlock()
		n := copy(p, s.ahead)
		s.ahead = s.ahead[n:]
		s.Memory.Release(fescuebank.Bytes(n))
		return n, nil
	}
	err := s.err
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return s.From.Read(p)
}

// Close waits until nothing reads the response any more and gives up what was read ahead. It calls abort,
// which ends reads, if the response is being read.
func (s *Spooler) Close(abort func()) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = false
	if s.reading && s.err == nil {
		abort()
	}
	for s.reading {
		s.cond.Wait()
	}
	s.Memory.Release(fescuebank.Bytes(len(s.ahead)))
	s.ahead = nil
}
