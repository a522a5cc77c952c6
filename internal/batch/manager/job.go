package manager

import (
	"sync"
	"time"

	"fescuebank"
)

// phase is where an item stands.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseRunning
	// phaseFinished items have an outcome that is not committed yet.
	phaseFinished
	phaseListed
)

// item is the state of one item.
type item struct {
	spec  *fescuebank.RoutedItem
	phase phase
	// failures counts the answers that say that the item failed, breaks those
	// that ended without progress.
	failures int
	breaks   int
	// progress is what was generated so far.
	progress fescuebank.Progress
	// notBefore is until when the item pauses after a failure.
	notBefore time.Time
	// stop ends the running attempt.
	stop func()
}

// job is the state of one job.
type job struct {
	account *account
	spec    *fescuebank.RoutedJob

	mu    sync.Mutex
	items map[string]*item
	// results are the committed ones by position; segments is the number of
	// segments that hold them.
	results  []fescuebank.RoutedResult
	segments int
	// pending are outcomes that wait for their commit, since pendingSince.
	pending      []fescuebank.RoutedResult
	pendingSince time.Time
	committing   bool
	// hurry is set when outcomes are committed without waiting for others.
	hurry bool
	ended bool
	// changed closes when results are added, and is then replaced.
	changed chan struct{}
}

func newJob(a *account, spec *fescuebank.RoutedJob) *job {
	j := &job{account: a, spec: spec, items: make(map[string]*item, len(spec.Items)), changed: make(chan struct{})}
	for i := range spec.Items {
		j.items[spec.Items[i].ID] = &item{spec: &spec.Items[i]}
	}
	return j
}

// take lists the results of the next segment.
func (j *job) take(results []fescuebank.RoutedResult) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.segments++
	for _, r := range results {
		j.results = append(j.results, r)
		it := j.items[r.Item]
		if it == nil {
			continue
		}
		if it.stop != nil {
			it.stop()
		}
		it.phase = phaseListed
		it.progress = fescuebank.Progress{}
		it.spec.Body = nil
	}
	j.dropListed()
	close(j.changed)
	j.changed = make(chan struct{})
}

// dropListed removes pending outcomes of items that another owner listed. The
// caller holds the lock.
func (j *job) dropListed() {
	kept := j.pending[:0]
	for _, r := range j.pending {
		if it := j.items[r.Item]; it != nil && it.phase == phaseFinished {
			kept = append(kept, r)
		}
	}
	j.pending = kept
}

func (j *job) isDone() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.results) >= len(j.spec.Items)
}

func (j *job) isEnded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended
}

// addTo counts the job.
func (j *job) addTo(status *Status, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	status.Jobs++
	status.Listed += len(j.results)
	if j.ended || len(j.results) >= len(j.spec.Items) {
		return
	}
	status.Open++
	status.OldestMs = max(status.OldestMs, now.Sub(j.spec.Submitted).Milliseconds())
	for _, it := range j.items {
		switch it.phase {
		case phaseWaiting:
			status.Waiting++
		case phaseRunning:
			status.Running++
		}
	}
}

// end stops the work on a job that its caller ended.
func (j *job) end() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended = true
	j.stopRunning()
}

// stopAll stops the work on a job that this run doesn't own any more.
func (j *job) stopAll() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stopRunning()
}

func (j *job) stopRunning() {
	for _, it := range j.items {
		if it.stop != nil {
			it.stop()
		}
	}
}

// waitingTokens sums the tokens of items without a listed result.
func (j *job) waitingTokens() fescuebank.Tokens {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return 0
	}
	var sum fescuebank.Tokens
	for _, it := range j.items {
		if it.phase != phaseListed {
			sum += it.spec.Tokens
		}
	}
	return sum
}

// page returns results from a position on, and what closes when there are more.
func (j *job) page(after int) (*fescuebank.ResultPage, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := &fescuebank.ResultPage{Total: len(j.spec.Items)}
	if after < len(j.results) {
		p.Results = LimitToPage(j.results[after:])
	}
	return p, j.changed
}

// LimitToPage returns as many results as fit on one page, at least one if there is one.
func LimitToPage(results []fescuebank.RoutedResult) []fescuebank.RoutedResult {
	size := 0
	for i, r := range results {
		size += len(r.Output)
		if size > pageBytes && i > 0 {
			return results[:i]
		}
	}
	return results
}

// body returns the body of an item without a listed result.
func (j *job) body(id string) ([]byte, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	it := j.items[id]
	if it == nil || it.phase == phaseListed {
		return nil, false
	}
	return it.spec.Body, true
}
