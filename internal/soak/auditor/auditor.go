// Package auditor compares what callers were told with what endpoints ran.
package auditor

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuebank"
)

// Auditor collects events and names the promises that they break.
type Auditor struct {
	whole string
	quota fescuebank.Quota
	// window and tolerance are those of the quota's check.
	window    time.Duration
	tolerance func(allowed float64) float64

	mu sync.Mutex
	// runs are the times at which endpoints began to run a request.
	runs map[fescuebank.RequestID][]time.Time
	// once are requests that may run once; refused those that were told not to run.
	once    map[fescuebank.RequestID]bool
	refused map[fescuebank.RequestID]int
	limited []time.Time
	// positions hold the item first read at each position of each job.
	positions map[string]string
	broken    []string
}

// New returns an auditor of answers that are whole when they equal whole, and of one
// team's quota, of which tolerance says what may run where allowed may.
func New(whole string, q fescuebank.Quota, window time.Duration, tolerance func(allowed float64) float64) *Auditor {
	return &Auditor{
		whole: whole, quota: q, window: window, tolerance: tolerance,
		runs: make(map[fescuebank.RequestID][]time.Time), once: make(map[fescuebank.RequestID]bool),
		refused: make(map[fescuebank.RequestID]int), positions: make(map[string]string),
	}
}

func (a *Auditor) breaks(format string, args ...any) {
	a.broken = append(a.broken, fmt.Sprintf(format, args...))
}

// RecordExecution records that an endpoint began to run a request; limited ones count for the quota.
func (a *Auditor) RecordExecution(id fescuebank.RequestID, limited bool, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[id] = append(a.runs[id], at)
	if limited {
		a.limited = append(a.limited, at)
	}
}

// RecordNonRepeatable records that a request may run once at most.
func (a *Auditor) RecordNonRepeatable(id fescuebank.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.once[id] = true
}

// RecordRefusal records that a caller was told that its request has not run and never will.
func (a *Auditor) RecordRefusal(id fescuebank.RequestID, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused[id] = status
}

// RecordResponse records a success. Its body must be the whole answer, or a part from its
// beginning if it did not end properly.
func (a *Auditor) RecordResponse(id fescuebank.RequestID, body string, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ended && body != a.whole {
		a.breaks("request %s: answer %q looks complete, want %q", id, body, a.whole)
	}
	if !ended && !strings.HasPrefix(a.whole, body) {
		a.breaks("request %s: broken off answer %q is no part of %q", id, body, a.whole)
	}
}

// RecordResult records what a caller read at a position of a job.
func (a *Auditor) RecordResult(job string, position int, item, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := fmt.Sprintf("%s/%d", job, position)
	value := item + " " + state
	first, known := a.positions[key]
	if known && first != value {
		a.breaks("job %s: got %s at position %d, where %s was read before", job, value, position, first)
	}
	a.positions[key] = value
}

// RecordViolation records a broken promise that another part saw.
func (a *Auditor) RecordViolation(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.breaks(format, args...)
}

// ExecutedRequests returns how many different requests the endpoints ran.
func (a *Auditor) ExecutedRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs)
}

// Violations returns the promises broken, over all that was noted.
func (a *Auditor) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	broken := slices.Clone(a.broken)
	for id, runs := range a.runs {
		if a.once[id] && len(runs) > 1 {
			broken = append(broken, fmt.Sprintf("request %s: ran %d times, want once at most", id, len(runs)))
		}
		if status, ok := a.refused[id]; ok && a.once[id] {
			broken = append(broken, fmt.Sprintf("request %s: ran though its caller was told %d", id, status))
		}
	}
	if most, allowed := a.worstWindow(); float64(most) > allowed {
		broken = append(broken, fmt.Sprintf("limited team: %d requests ran in %v, want %.0f at most", most, a.window, allowed))
	}
	slices.Sort(broken)
	return broken
}

// worstWindow returns the most runs of the limited team in one window, and what may run.
func (a *Auditor) worstWindow() (most int, allowed float64) {
	times := slices.Clone(a.limited)
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > a.window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, a.tolerance(float64(a.quota.Rate)*a.window.Seconds() + float64(a.quota.Burst))
}
