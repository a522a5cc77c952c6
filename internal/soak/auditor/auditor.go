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
	expectedBody string
	quota        fescuebank.Quota
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
	// results holds the item last read at each position of each job.
	results    map[string]string
	violations []string
}

// New returns an auditor that expects each complete response body to equal
// expectedBody, and that checks the quota q of one team in every window of the given
// length. The tolerance function returns how many requests may run where the quota
// allows the given number.
func New(expectedBody string, q fescuebank.Quota, window time.Duration, tolerance func(allowed float64) float64) *Auditor {
	return &Auditor{
		expectedBody: expectedBody, quota: q, window: window, tolerance: tolerance,
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

// RecordResponse records a successful response. Its body must be the expected one, or
// a prefix of it if the response is not complete.
func (a *Auditor) RecordResponse(id fescuebank.RequestID, body string, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if complete && body != a.expectedBody {
		a.addViolation("request %s: response %q looks complete, want %q", id, body, a.expectedBody)
	}
	if !complete && !strings.HasPrefix(a.expectedBody, body) {
		a.addViolation("request %s: truncated response %q is not a prefix of %q", id, body, a.expectedBody)
	}
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
