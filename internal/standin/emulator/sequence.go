package emulator

import (
	"slices"

	"fescuebank"
)

// sequence is one request inside the engine.
type sequence struct {
	request fescuebank.RequestID
	// seed is the hash of the prompt. It determines the generated text.
	seed uint64
	// blocks are the prompt's blocks in the prefix cache.
	blocks []uint64
	// prefill is the number of prompt tokens that remain to be computed.
	prefill int
	// next is the index of the next token; end is one past the last.
	next, end int
	// out receives the generated tokens. Its buffer holds all of them.
	out       chan token
	cancelled bool
	// crash makes the engine crash once the prefill is complete.
	crash bool
}

// token is one generated token.
type token struct {
	index int
	text  string
	last  bool
}

// enqueue accepts a request regardless of load.
func (e *Emulator) enqueue(model fescuebank.ModelName, s *sequence) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return errLeaving
	}
	if _, ok := e.models[model]; !ok {
		return errNotLoaded
	}
	e.totals.Requests++
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return nil
}

// cancel cancels the requests with the given id.
func (e *Emulator) cancel(id fescuebank.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.waiting, e.running) {
		if s.request == id {
			e.markCancelled(s)
		}
	}
}

// cancelSequence cancels one request whose connection has closed. Another request
// with the same id is not affected.
func (e *Emulator) cancelSequence(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.waiting, s) || slices.Contains(e.running, s) {
		e.markCancelled(s)
	}
}

// markCancelled marks a request as cancelled. The caller holds mu.
func (e *Emulator) markCancelled(s *sequence) {
	if !s.cancelled {
		s.cancelled = true
		e.totals.Cancelled++
	}
}
