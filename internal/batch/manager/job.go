package manager

import (
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/persister"
)

// phase is an item's processing state.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseRunning
	// phaseFinished means that the item has an outcome that is not committed yet.
	phaseFinished
	// phaseCommitted means that the item's result is in a stored segment.
	phaseCommitted
)

// item is the state of one item.
type item struct {
	spec  *fescuebank.RoutedItem
	phase phase
	// failures counts the attempts for which the endpoint responded that the item
	// failed.
	failures int
	// interruptions counts the attempts that ended with CauseInterrupted since the last
	// of them that made progress.
	interruptions int
	// progress is the output generated so far.
	progress fescuebank.Progress
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
	// stop cancels the running attempt.
	stop func()
}

// listing is what the ledger says of a job.
type listing struct {
	// route is the name of the route on which the job was accepted, which may differ from that of an earlier submission
	// that was stored only.
	route string
	// listedAt is a store version at which the ledger listed the job. The configuration had the job's route before, so one
	// that is current up to this version and lacks the route has lost it.
	listedAt fescuebank.StoreVersion
}

// job is the state of one job.
type job struct {
	team *teamJobs
	spec *fescuebank.RoutedJob
	// name is that of the job's objects in the store.
	name persister.StoredName
	listing
	// submitted is when the job was submitted, as estimated from its submitter's time of day, which may differ from
	// the one here. It only orders work.
	submitted time.Time

	mu sync.Mutex
	// existsSince is a time at which the job certainly existed. Unlike submitted it depends on no other
	// instance's time of day, so nothing is given up too early by it.
	existsSince time.Time
	// items holds the items by id, and ordered in the order of the job.
	items   map[string]*item
	ordered []*item
	// results are the committed results in order of commit; segments is the number
	// of segments that hold them.
	results  []fescuebank.RoutedResult
	segments int
	// pending are the outcomes that are not committed yet; pendingSince is when the
	// first of them was recorded.
	pending      []fescuebank.RoutedResult
	pendingSince time.Time
	committing   bool
	// expedited is set when outcomes are committed without waiting for others.
	expedited bool
	ended     bool
	// routeRemovedAt is when the route was first found to have been removed, else zero.
	routeRemovedAt time.Time
	// changed is closed when results are added, and then replaced.
	changed chan struct{}
	// bodyBytes are the bodies of items without a committed result, outputBytes the outputs of results.
	bodyBytes, outputBytes fescuebank.Bytes
	// lastUsed is when the job was last asked for, or had its last result committed.
	lastUsed time.Time
}

// newJob returns a job that exists at least since now.
func newJob(tj *teamJobs, spec *fescuebank.RoutedJob, name persister.StoredName, l listing, now time.Time) *job {
	j := &job{
		team: tj, spec: spec, name: name, listing: l, submitted: now, existsSince: now, lastUsed: now,
		items: make(map[string]*item, len(spec.Items)), ordered: make([]*item, 0, len(spec.Items)), changed: make(chan struct{}),
	}
	for i := range spec.Items {
		it := &item{spec: &spec.Items[i]}
		j.items[it.spec.ID] = it
		j.ordered = append(j.ordered, it)
		j.bodyBytes += fescuebank.Bytes(len(spec.Items[i].Body))
	}
	return j
}

// applySegment adds the results of the next segment, which this or another owner
// has committed.
func (j *job) applySegment(results []fescuebank.RoutedResult) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.segments++
	for _, r := range results {
		j.results = append(j.results, r)
		j.outputBytes += fescuebank.Bytes(len(r.Output))
		it := j.items[r.Item]
		if it == nil {
			continue
		}
		if it.stop != nil {
			it.stop()
		}
		it.phase = phaseCommitted
		it.progress = fescuebank.Progress{}
		j.bodyBytes -= fescuebank.Bytes(len(it.spec.Body))
		it.spec.Body = nil
	}
	j.dropCommitted()
	close(j.changed)
	j.changed = make(chan struct{})
}

// dropCommitted removes pending outcomes of items whose results are committed, by
// this or another owner. The caller holds mu.
func (j *job) dropCommitted() {
	uncommitted := j.pending[:0]
	for _, r := range j.pending {
		if it := j.items[r.Item]; it != nil && it.phase == phaseFinished {
			uncommitted = append(uncommitted, r)
		}
	}
	j.pending = uncommitted
}

// isOpen reports whether the job has neither ended nor all its results.
func (j *job) isOpen() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.isClosed()
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

// addTo adds the job and its items to status.
func (j *job) addTo(status *Status, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	status.Jobs++
	status.Committed += len(j.results)
	if j.isClosed() {
		status.ClosedBytes += j.size()
		return
	}
	status.Open++
	status.OldestMs = max(status.OldestMs, now.Sub(j.submitted).Milliseconds())
	for _, it := range j.items {
		switch it.phase {
		case phaseWaiting:
			status.Waiting++
		case phaseRunning:
			status.Running++
		}
	}
}

// end marks a job as ended by its caller and stops its running attempts.
func (j *job) end() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended = true
	j.stopRunning()
}

// stopAll stops the running attempts of a job that this incarnation no longer owns.
func (j *job) stopAll() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stopRunning()
}

// stopRunning cancels the running attempts. The caller holds mu.
func (j *job) stopRunning() {
	for _, it := range j.items {
		if it.stop != nil {
			it.stop()
		}
	}
}

// waitingTokens returns the sum of the tokens of items without a committed result, or
// 0 if the job has ended.
func (j *job) waitingTokens() fescuebank.Tokens {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return 0
	}
	var sum fescuebank.Tokens
	for _, it := range j.items {
		if it.phase != phaseCommitted {
			sum += it.spec.Tokens
		}
	}
	return sum
}

// page returns the results from a position on, and a channel that is closed when
// results are added.
func (j *job) page(after int) (*fescuebank.ResultPage, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := &fescuebank.ResultPage{Total: len(j.spec.Items)}
	if after < len(j.results) {
		p.Results = LimitToPage(j.results[after:])
	}
	return p, j.changed
}

// LimitToPage returns the leading results that fit on one page, at least one if
// there is any.
func LimitToPage(results []fescuebank.RoutedResult) []fescuebank.RoutedResult {
	size := 0
	for i, r := range results {
		size += len(r.Output)
		if size > maxPageBytes && i > 0 {
			return results[:i]
		}
	}
	return results
}

// itemBody returns the body of an item without a committed result.
func (j *job) itemBody(id string) ([]byte, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	it := j.items[id]
	if it == nil || it.phase == phaseCommitted {
		return nil, false
	}
	return it.spec.Body, true
}
