package throttler

import (
	"time"

	"fescuebank"
)

// FillGossip adds the endpoints that this instance itself found to be cold, with the time left in
// milliseconds. Those that entries say are known to all by the entries.
func (t *Throttler) FillGossip(g *fescuebank.ZoneGossip) {
	if !t.mayBeCold() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for _, s := range t.states {
		if !now.Before(s.observedUntil) {
			continue
		}
		if g.Cold == nil {
			g.Cold = make(map[fescuebank.EndpointTag]int64)
		}
		g.Cold[s.tag] = s.observedUntil.Sub(now).Milliseconds()
	}
}

// ApplyGossip applies what another instance found out.
func (t *Throttler) ApplyGossip(g *fescuebank.ZoneGossip) {
	if g == nil || len(g.Cold) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for _, s := range t.states {
		left := time.Duration(g.Cold[s.tag]) * time.Millisecond
		if left > 0 && t.coldTime(s) > 0 {
			t.markCold(s, left, now)
		}
	}
}
