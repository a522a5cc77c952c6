// Package auditor checks the guarantees of a deployment: it compares the responses
// that callers got with the requests that endpoints ran.
package auditor

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuebank"
)

// Auditor records events and reports the guarantees that they violate.
type Auditor struct {
	// expectedBodies are the complete response bodies, one per software version.
	expectedBodies []string
	quota          fescuebank.Quota
	// window is the interval over which the quota is checked. tolerance returns how
	// many requests may run where the quota allows the given number.
	window    time.Duration
	tolerance func(allowed float64) float64

	mu sync.Mutex
	// executions are the times at which endpoints started to run each request.
	executions map[fescuebank.RequestID][]time.Time
	// nonRepeatable are the requests that may run at most once. refusals are the
	// response statuses of the requests that were refused without being run.
	nonRepeatable map[fescuebank.RequestID]bool
	refusals      map[fescuebank.RequestID]int
	// limitedExecutions are the start times of the limited team's requests.
	limitedExecutions []time.Time
	// begun and resumed count the attempts to begin and to continue streams.
	begun, resumed share
	// results holds the item last read at each position of each job.
	results    map[string]string
	violations []string
}

// minResumed is the number of attempts to continue streams from which their share is checked.
const minResumed = 12

// share counts attempts and those of them that were served.
type share struct {
	attempts, served int
}

// value returns the share of the attempts that were served.
func (s share) value() float64 {
	return float64(s.served) / float64(max(1, s.attempts))
}

// New returns an auditor that expects each complete response body to equal one of
// expectedBodies, and that checks the quota q of one team in every window of the given
// length. The tolerance function returns how many requests may run where the quota
// allows the given number.
func New(expectedBodies []string, q fescuebank.Quota, window time.Duration, tolerance func(allowed float64) float64) *Auditor {
	return &Auditor{
		expectedBodies: expectedBodies, quota: q, window: window, tolerance: tolerance,
		executions: make(map[fescuebank.RequestID][]time.Time), nonRepeatable: make(map[fescuebank.RequestID]bool),
		refusals: make(map[fescuebank.RequestID]int), results: make(map[string]string),
	}
}

// addViolation appends a formatted violation. The caller holds mu.
func (a *Auditor) addViolation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// RecordExecution records that an endpoint started to run a request. Limited requests
// count towards the quota.
func (a *Auditor) RecordExecution(id fescuebank.RequestID, limited bool, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.executions[id] = append(a.executions[id], at)
	if limited {
		a.limitedExecutions = append(a.limitedExecutions, at)
	}
}

// RecordNonRepeatable records that a request may run at most once.
func (a *Auditor) RecordNonRepeatable(id fescuebank.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nonRepeatable[id] = true
}

// RecordRefusal records a response with the given status, which promises that the request
// has not run and will not run.
func (a *Auditor) RecordRefusal(id fescuebank.RequestID, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusals[id] = status
}

// RecordResponse records a successful response, or what a caller got of one over several
// attempts. Its body must be an expected one, or a prefix of one if the response is not
// complete.
func (a *Auditor) RecordResponse(id fescuebank.RequestID, body string, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if complete && !slices.Contains(a.expectedBodies, body) {
		a.addViolation("request %s: response %q looks complete, want one of %q", id, body, a.expectedBodies)
	}
	isPrefix := func(expected string) bool { return strings.HasPrefix(expected, body) }
	if !complete && !slices.ContainsFunc(a.expectedBodies, isPrefix) {
		a.addViolation("request %s: truncated response %q is not a prefix of one of %q", id, body, a.expectedBodies)
	}
}

// RecordStream records an attempt to begin or to continue a stream, and whether it was served.
func (a *Auditor) RecordStream(resumed, served bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.begun
	if resumed {
		s = &a.resumed
	}
	s.attempts++
	if served {
		s.served++
	}
}

// ResumedStreams returns the numbers of attempts to continue a stream and of those served.
func (a *Auditor) ResumedStreams() (attempts, served int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.resumed.attempts, a.resumed.served
}

// RecordResult records the result that a caller read at a position of a job.
func (a *Auditor) RecordResult(job string, position int, item, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := fmt.Sprintf("%s/%d", job, position)
	value := item + " " + state
	previous, known := a.results[key]
	if known && previous != value {
		a.addViolation("job %s: got %s at position %d, previously %s", job, value, position, previous)
	}
	a.results[key] = value
}

// RecordViolation records a violation that was detected outside the auditor.
func (a *Auditor) RecordViolation(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addViolation(format, args...)
}

// ExecutedRequests returns the number of distinct requests that endpoints started to
// run.
func (a *Auditor) ExecutedRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.executions)
}

// Violations returns a description of each violation among the events recorded so far.
func (a *Auditor) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	violations := slices.Clone(a.violations)
	for id, executions := range a.executions {
		if a.nonRepeatable[id] && len(executions) > 1 {
			violations = append(violations, fmt.Sprintf("request %s: ran %d times, want at most once", id, len(executions)))
		}
		if status, ok := a.refusals[id]; ok && a.nonRepeatable[id] {
			violations = append(violations, fmt.Sprintf("request %s: ran although it was refused with status %d", id, status))
		}
	}
	if started, allowed := a.busiestWindow(); float64(started) > allowed {
		violations = append(violations, fmt.Sprintf("limited team: %d requests ran within %v, want at most %.0f", started, a.window, allowed))
	}
	if a.resumed.attempts >= minResumed && a.resumed.value() < a.begun.value()/2 {
		violations = append(violations, fmt.Sprintf("streams: %d of %d continue, want half the share of the %d of %d that begin",
			a.resumed.served, a.resumed.attempts, a.begun.served, a.begun.attempts))
	}
	slices.Sort(violations)
	return violations
}

// busiestWindow returns the largest number of requests of the limited team that
// started in one window, and the number allowed.
func (a *Auditor) busiestWindow() (started int, allowed float64) {
	times := slices.Clone(a.limitedExecutions)
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > a.window {
			first++
		}
		started = max(started, i-first+1)
	}
	return started, a.tolerance(float64(a.quota.Rate)*a.window.Seconds() + float64(a.quota.Burst))
}
