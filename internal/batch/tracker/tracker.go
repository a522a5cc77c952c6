// Package tracker tracks the state of one batch job's items at the job's owner.
package tracker

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"fescuebank"
)

const (
	// MaxFailures is the number of attempts for which an endpoint responded that the item
	// failed after which it fails permanently.
	MaxFailures = 4
	// lossPause is the pause after an attempt that was lost with its endpoint or puller; it
	// doubles with each consecutive loss without progress, up to maxLossDoublings times. A
	// loss is no evidence against the item.
	lossPause        = 200 * time.Millisecond
	maxLossDoublings = 4
	// maxSegmentBytes is the size from which on a chunk's results are committed without
	// waiting for more.
	maxSegmentBytes = 256 << 10
	// loadThreshold is the number of pending items below which the next chunk is
	// loaded.
	loadThreshold = 256
)

// status is an item's processing state.
type status uint8

const (
	pending status = iota
	// paused items become pending at notBefore.
	paused
	// handedOut means that a puller runs the item.
	handedOut
	// finished means that the item has a result that is not committed yet.
	finished
	committed
)

// item is one item of a loaded chunk.
type item struct {
	status  status
	model   fescuebank.ModelName
	attempt int
	// failures counts the attempts for which an endpoint responded that the item failed, and
	// losses those lost with their endpoint or puller since the last one with progress.
	failures  int
	losses    int
	puller    fescuebank.InstanceID
	expiry    time.Time
	notBefore time.Time
	resume    fescuebank.PartialResponse
}

// chunk is one chunk of the job's input.
type chunk struct {
	record  fescuebank.ChunkRecord
	version fescuebank.StoreVersion
	loaded  bool
	lines   [][]byte
	items   []item
	// results are to be written by the next commit; bytes is their size, and oldest
	// when the first of them was added.
	results []fescuebank.ItemResult
	bytes   int
	oldest  time.Time
	// committing is set while a commit of this chunk is being written.
	committing bool
	// remaining is the number of items of a loaded chunk without a committed result.
	remaining int
}

// Tracker is the state of one job's items. It does no I/O and takes no lock: its
// caller serializes the calls.
type Tracker struct {
	job    fescuebank.JobID
	team   fescuebank.TeamID
	chunks []chunk
	// pending lists the items that can be handed out, by model.
	pending map[fescuebank.ModelName][]fescuebank.ItemRef
	// next is the next chunk to load.
	next         int
	pendingCount int
}

// New returns a tracker of a job. records and versions are the job's chunk records in
// the store, by chunk number.
func New(job *fescuebank.Job, records map[int]fescuebank.ChunkRecord, versions map[int]fescuebank.StoreVersion) *Tracker {
	t := &Tracker{
		job: job.ID, team: job.Team,
		chunks:  make([]chunk, job.Chunks),
		pending: make(map[fescuebank.ModelName][]fescuebank.ItemRef),
	}
	for n, record := range records {
		if n < len(t.chunks) {
			t.chunks[n].record = record
			t.chunks[n].version = versions[n]
		}
	}
	return t
}

// NextChunk returns the chunk to load next, or false if enough is loaded.
func (t *Tracker) NextChunk() (int, bool) {
	if t.next >= len(t.chunks) || t.pendingCount >= loadThreshold {
		return 0, false
	}
	return t.next, true
}

// LoadChunk adds the items of a chunk, given as lines, to the pending ones. Items with
// a committed result are skipped.
func (t *Tracker) LoadChunk(number int, lines [][]byte) {
	c := &t.chunks[number]
	c.loaded = true
	c.lines = lines
	c.items = make([]item, len(lines))
	for n, line := range lines {
		if c.record.IsDone(n) {
			c.items[n].status = committed
			continue
		}
		c.remaining++
		c.items[n].model = modelOf(line)
		t.enqueue(fescuebank.ItemRef{Job: t.job, Chunk: number, Item: n})
	}
	t.next = max(t.next, number+1)
	c.releaseIfDone()
}

// releaseIfDone frees the lines and items of a chunk whose results are all committed.
func (c *chunk) releaseIfDone() {
	if c.loaded && c.remaining == 0 {
		c.lines, c.items = nil, nil
	}
}

func modelOf(line []byte) fescuebank.ModelName {
	var request struct {
		Body struct {
			Model fescuebank.ModelName `json:"model"`
		} `json:"body"`
	}
	_ = json.Unmarshal(line, &request) // The line was checked when it was uploaded.
	return request.Body.Model
}

func (t *Tracker) enqueue(ref fescuebank.ItemRef) {
	m := t.chunks[ref.Chunk].items[ref.Item].model
	t.pending[m] = append(t.pending[m], ref)
	t.pendingCount++
}

// PendingModels returns the models that pending items request.
func (t *Tracker) PendingModels() []fescuebank.ModelName {
	var models []fescuebank.ModelName
	for m, list := range t.pending {
		if len(list) > 0 {
			models = append(models, m)
		}
	}
	return models
}

// TakeItems hands out up to limit items that request one of the models. An attempt that its
// puller does not report for the time expiry counts as lost.
func (t *Tracker) TakeItems(now time.Time, puller fescuebank.InstanceID, models []fescuebank.ModelName, limit int, expiry time.Duration) []fescuebank.PulledItem {
	var items []fescuebank.PulledItem
	for _, m := range models {
		for len(items) < limit && len(t.pending[m]) > 0 {
			ref := t.pending[m][0]
			t.pending[m] = t.pending[m][1:]
			t.pendingCount--
			items = append(items, t.handOut(now, ref, puller, expiry))
		}
	}
	return items
}

func (t *Tracker) handOut(now time.Time, ref fescuebank.ItemRef, puller fescuebank.InstanceID, expiry time.Duration) fescuebank.PulledItem {
	c := &t.chunks[ref.Chunk]
	it := &c.items[ref.Item]
	it.status = handedOut
	it.attempt++
	it.puller = puller
	it.expiry = now.Add(expiry)
	return fescuebank.PulledItem{Ref: ref, Attempt: it.attempt, Team: t.team, Line: c.lines[ref.Item], Resume: it.resume}
}

// item returns a loaded item, or nil.
func (t *Tracker) item(ref fescuebank.ItemRef) *item {
	if ref.Job != t.job || ref.Chunk < 0 || ref.Chunk >= len(t.chunks) {
		return nil
	}
	c := &t.chunks[ref.Chunk]
	if ref.Item < 0 || ref.Item >= len(c.items) {
		return nil
	}
	return &c.items[ref.Item]
}

// Report applies a puller's report on an item. It returns false if the puller should
// stop the item, because the item was handed out to another puller or is done.
func (t *Tracker) Report(now time.Time, from fescuebank.InstanceID, r fescuebank.ItemReport, expiry time.Duration) bool {
	it := t.item(r.Ref)
	if it == nil || it.status != handedOut || it.attempt != r.Attempt || it.puller != from {
		return false
	}
	switch r.Kind {
	case fescuebank.ItemDone:
		t.finish(now, r.Ref, r.Outcome)
	case fescuebank.ItemReturned:
		it.saveProgress(r.Resume)
		t.requeue(r.Ref)
	case fescuebank.ItemLost:
		it.saveProgress(r.Resume)
		it.recordLoss(now)
	case fescuebank.ItemFailed:
		it.saveProgress(r.Resume)
		t.recordFailure(now, r.Ref)
	case fescuebank.ItemRunning:
		it.saveProgress(r.Resume)
		it.expiry = now.Add(expiry)
	}
	return true
}

// saveProgress stores a partial output if it is longer than the stored one.
func (i *item) saveProgress(p fescuebank.PartialResponse) {
	if p.Tokens > i.resume.Tokens {
		i.resume = p
		i.losses = 0
	}
}

func (t *Tracker) requeue(ref fescuebank.ItemRef) {
	t.item(ref).status = pending
	t.enqueue(ref)
}

// recordLoss pauses an item whose attempt was lost.
func (i *item) recordLoss(now time.Time) {
	i.status = paused
	i.notBefore = now.Add(lossPause << min(i.losses, maxLossDoublings))
	i.losses++
}

// recordFailure requeues an item that failed at its endpoint, or fails it after MaxFailures.
func (t *Tracker) recordFailure(now time.Time, ref fescuebank.ItemRef) {
	it := t.item(ref)
	it.failures++
	if it.failures < MaxFailures {
		t.requeue(ref)
		return
	}
	body, _ := json.Marshal(failureBody{Code: fescuebank.CodeEndpointError, Message: "the item failed on every endpoint that tried it"})
	t.finish(now, ref, fescuebank.ItemOutcome{
		CustomID: customID(t.chunks[ref.Chunk].lines[ref.Item]), Status: http.StatusBadGateway, Body: body, Failed: true,
	})
}

// failureBody is the error body of an item that failed after MaxFailures.
type failureBody struct {
	Code    fescuebank.RefusalCode `json:"code"`
	Message string                 `json:"message"`
}

func customID(line []byte) string {
	var request fescuebank.BatchLine
	_ = json.Unmarshal(line, &request) // The line was checked when it was uploaded.
	return request.CustomID
}

// finish records an item's outcome for the next commit.
func (t *Tracker) finish(now time.Time, ref fescuebank.ItemRef, outcome fescuebank.ItemOutcome) {
	c := &t.chunks[ref.Chunk]
	it := &c.items[ref.Item]
	it.status = finished
	it.resume = fescuebank.PartialResponse{}
	if len(c.results) == 0 {
		c.oldest = now
	}
	c.results = append(c.results, fescuebank.ItemResult{Item: ref.Item, Outcome: outcome})
	c.bytes += len(outcome.Body)
}

// Expire counts an attempt as lost if its puller has not reported in time, and requeues the
// items whose pause is over.
func (t *Tracker) Expire(now time.Time) {
	for n := range t.chunks {
		for i := range t.chunks[n].items {
			it := &t.chunks[n].items[i]
			switch {
			case it.status == handedOut && !now.Before(it.expiry):
				it.recordLoss(now)
			case it.status == paused && !now.Before(it.notBefore):
				t.requeue(fescuebank.ItemRef{Job: t.job, Chunk: n, Item: i})
			}
		}
	}
}

// Commit is a group of results of one chunk to be written to the store.
type Commit struct {
	Chunk   int
	Results []fescuebank.ItemResult
	// Record is the chunk record with the results marked as done, but without the key
	// of the new segment.
	Record fescuebank.ChunkRecord
	// Version is the version that the record must have in the store when it is written.
	Version fescuebank.StoreVersion
}

// DueCommits returns the groups that are due: large enough, older than age, or the
// last of their chunk. Each must be completed by ApplyCommit or RevertCommit.
func (t *Tracker) DueCommits(now time.Time, age time.Duration) []Commit {
	var due []Commit
	for n := range t.chunks {
		c := &t.chunks[n]
		if c.committing || len(c.results) == 0 {
			continue
		}
		if c.bytes < maxSegmentBytes && now.Sub(c.oldest) < age && len(c.results) < c.remaining {
			continue
		}
		c.committing = true
		due = append(due, Commit{Chunk: n, Results: c.results, Record: c.nextRecord(), Version: c.version})
		c.results, c.bytes = nil, 0
	}
	return due
}

// nextRecord returns the record with the chunk's uncommitted results marked as done.
func (c *chunk) nextRecord() fescuebank.ChunkRecord {
	next := c.record
	next.Done = slices.Clone(c.record.Done)
	next.Segments = slices.Clone(c.record.Segments)
	for _, r := range c.results {
		next.MarkDone(r.Item)
		if r.Outcome.Failed {
			next.Failed++
		} else {
			next.Completed++
		}
	}
	return next
}

// ApplyCommit records that a commit was written with the given record.
func (t *Tracker) ApplyCommit(done Commit, record fescuebank.ChunkRecord, version fescuebank.StoreVersion) {
	c := &t.chunks[done.Chunk]
	c.committing = false
	c.record = record
	c.version = version
	c.remaining -= len(done.Results)
	if c.items == nil {
		return // The job was stopped meanwhile.
	}
	for _, r := range done.Results {
		c.items[r.Item].status = committed
	}
	c.releaseIfDone()
}

// RevertCommit returns the results of a commit to the uncommitted ones, after a write
// that is known to have had no effect.
func (t *Tracker) RevertCommit(failed Commit, now time.Time) {
	c := &t.chunks[failed.Chunk]
	c.committing = false
	if len(c.results) == 0 {
		c.oldest = now
	}
	c.results = append(failed.Results, c.results...)
	for _, r := range failed.Results {
		c.bytes += len(r.Outcome.Body)
	}
}

// Done reports whether every item has a committed result.
func (t *Tracker) Done() bool {
	for n := range t.chunks {
		if !t.chunks[n].loaded || t.chunks[n].remaining > 0 {
			return false
		}
	}
	return true
}

// Counts returns the numbers of committed items by outcome.
func (t *Tracker) Counts() (completed, failed int) {
	for n := range t.chunks {
		completed += t.chunks[n].record.Completed
		failed += t.chunks[n].record.Failed
	}
	return completed, failed
}

// OpenRecord is the record of a chunk that may still change.
type OpenRecord struct {
	Chunk   int
	Record  fescuebank.ChunkRecord
	Version fescuebank.StoreVersion
}

// OpenRecords returns the records that are not closed, of the chunks that are not
// loaded or have items without a committed result.
func (t *Tracker) OpenRecords() []OpenRecord {
	var open []OpenRecord
	for n := range t.chunks {
		c := &t.chunks[n]
		if !c.record.Closed && (!c.loaded || c.remaining > 0) {
			open = append(open, OpenRecord{Chunk: n, Record: c.record, Version: c.version})
		}
	}
	return open
}

// MarkClosed records that a chunk's record was closed.
func (t *Tracker) MarkClosed(number int, version fescuebank.StoreVersion) {
	t.chunks[number].record.Closed = true
	t.chunks[number].version = version
}

// Stop drops all items without a committed result, after a cancellation. Later
// reports on them return false.
func (t *Tracker) Stop() {
	t.pending = make(map[fescuebank.ModelName][]fescuebank.ItemRef)
	t.pendingCount = 0
	t.next = len(t.chunks)
	for n := range t.chunks {
		c := &t.chunks[n]
		c.lines, c.items, c.results, c.bytes = nil, nil, nil, 0
	}
}
