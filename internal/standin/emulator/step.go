package emulator

import (
	"slices"
	"time"
)

// startStep schedules one step and returns its duration, or false if there is no
// work.
func (e *Emulator) startStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad()
	closeIfCancelled := func(s *sequence) bool {
		if s.cancelled {
			close(s.out)
		}
		return s.cancelled
	}
	e.waiting = slices.DeleteFunc(e.waiting, closeIfCancelled)
	e.running = slices.DeleteFunc(e.running, closeIfCancelled)
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.lookup(s.blocks)
		s.prefill = max(0, s.prefill-cached*blockTokens)
		e.running = append(e.running, s)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	e.totals.Steps++
	e.allocateTokens()
	return e.config.StepBase + time.Duration(len(e.running))*e.config.StepPerRequest, true
}

// allocateTokens spends the token budget of a step: first on decoding, then on
// prefill in order of admission. The caller holds mu.
func (e *Emulator) allocateTokens() {
	budget := e.config.TokenBudget
	for _, s := range e.running {
		if s.prefill == 0 {
			budget--
		}
	}
	for _, s := range e.running {
		if s.prefill == 0 || budget <= 0 {
			continue
		}
		part := min(s.prefill, budget)
		s.prefill -= part
		budget -= part
		e.totals.Prefilled += int64(part)
		if s.prefill == 0 {
			e.cacheBlocks(s.blocks)
		}
	}
}

// finishStep emits the next token of each request whose prefill is complete.
func (e *Emulator) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.ContainsFunc(e.running, func(s *sequence) bool { return s.crash && s.prefill == 0 }) {
		e.crash()
		return
	}
	for _, s := range e.running {
		if s.prefill > 0 || s.cancelled {
			continue
		}
		s.out <- token{index: s.next, text: tokenText(s.seed, s.next), last: s.next+1 == s.end}
		s.next++
		e.totals.Generated++
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.next < s.end {
			return false
		}
		close(s.out)
		return true
	})
}

// crash drops all requests and the prefix cache. The caller holds mu.
func (e *Emulator) crash() {
	e.totals.Crashes++
	for _, s := range slices.Concat(e.waiting, e.running) {
		s.cancelled = true
		close(s.out)
	}
	e.waiting, e.running = nil, nil
	e.cache = newPrefixCache(e.config.CacheBlocks)
	if e.onCrash != nil {
		e.onCrash()
	}
}
