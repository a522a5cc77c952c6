// Package tracker keeps the state of one batch job's items at its owner.
package tracker

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"fescuebank"
)

const (
	// MaxLosses bounds how often an item may be lost under an endpoint or puller.
	MaxLosses = 4
	// segmentBytes commits a chunk's results early.
	segmentBytes = 256 << 10
	// pendingLow loads the next chunk when fewer items are pending.
	pendingLow = 256
)

// status is where an item stands at the owner.
type status uint8

const (
	pending status = iota
	out
	ready
	committed
)

// item is one item of a loaded chunk.
type item struct {
	status  status
	model   fescuebank.ModelName
	attempt int
	losses  int
	puller  fescuebank.InstanceID
	expiry  time.Time
	resume  fescuebank.Partial
}

// chunk is one chunk of the job's input.
type chunk struct {
	record  fescuebank.ChunkRecord
	version fescuebank.StoreVersion
	loaded  bool
	lines   [][]byte
	items   []item
	// results wait for the next commit.
	results []fescuebank.ItemResult
	bytes   int
	oldest  time.Time
	// committing is set while a commit of this chunk is being written.
	committing bool
	// left is the number of items without a committed result.
	left int
}

// Tracker does no I/O and takes no lock.
type Tracker struct {
	job    fescuebank.JobID
	team   fescuebank.TeamID
	chunks []chunk
	// pending lists items that can be handed out, by model.
	pending map[fescuebank.ModelName][]fescuebank.ItemRef
	// next is the next chunk to load.
	next     int
	pendingN int
}

// New returns the ledger of a job whose chunk records are given by chunk.
func New(job *fescuebank.Job, records map[int]fescuebank.ChunkRecord, versions map[int]fescuebank.StoreVersion) *Tracker {
	l := &Tracker{
		job: job.ID, team: job.Team,
		chunks:  make([]chunk, job.Chunks),
		pending: make(map[fescuebank.ModelName][]fescuebank.ItemRef),
	}
	for n, record := range records {
		if n < len(l.chunks) {
			l.chunks[n].record = record
			l.chunks[n].version = versions[n]
		}
	}
	return l
}

// NextChunk returns the chunk to load next, or false if enough is loaded.
func (l *Tracker) NextChunk() (int, bool) {
	if l.next >= len(l.chunks) || l.pendingN >= pendingLow {
		return 0, false
	}
	return l.next, true
}

// LoadChunk takes in the lines of a chunk. Items with a committed result are skipped.
func (l *Tracker) LoadChunk(number int, lines [][]byte) {
	c := &l.chunks[number]
	c.loaded = true
	c.lines = lines
	c.items = make([]item, len(lines))
	for n, line := range lines {
		if c.record.IsDone(n) {
			c.items[n].status = committed
			continue
		}
		c.left++
		c.items[n].model = modelOf(line)
		l.enqueue(fescuebank.ItemRef{Job: l.job, Chunk: number, Item: n})
	}
	l.next = max(l.next, number+1)
	c.release()
}

// release drops the lines of a chunk that is done.
func (c *chunk) release() {
	if c.loaded && c.left == 0 {
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

func (l *Tracker) enqueue(ref fescuebank.ItemRef) {
	m := l.chunks[ref.Chunk].items[ref.Item].model
	l.pending[m] = append(l.pending[m], ref)
	l.pendingN++
}

// PendingModels returns the models that pending items are for.
func (l *Tracker) PendingModels() []fescuebank.ModelName {
	var models []fescuebank.ModelName
	for m, list := range l.pending {
		if len(list) > 0 {
			models = append(models, m)
		}
	}
	return models
}

// Take hands out up to limit items for one of the models.
func (l *Tracker) Take(now time.Time, puller fescuebank.InstanceID, models []fescuebank.ModelName, limit int, expiry time.Duration) []fescuebank.PulledItem {
	var taken []fescuebank.PulledItem
	for _, m := range models {
		for len(taken) < limit && len(l.pending[m]) > 0 {
			ref := l.pending[m][0]
			l.pending[m] = l.pending[m][1:]
			l.pendingN--
			taken = append(taken, l.handOut(now, ref, puller, expiry))
		}
	}
	return taken
}

func (l *Tracker) handOut(now time.Time, ref fescuebank.ItemRef, puller fescuebank.InstanceID, expiry time.Duration) fescuebank.PulledItem {
	c := &l.chunks[ref.Chunk]
	it := &c.items[ref.Item]
	it.status = out
	it.attempt++
	it.puller = puller
	it.expiry = now.Add(expiry)
	return fescuebank.PulledItem{Ref: ref, Attempt: it.attempt, Team: l.team, Line: c.lines[ref.Item], Resume: it.resume}
}

// item returns a loaded item, or nil.
func (l *Tracker) item(ref fescuebank.ItemRef) *item {
	if ref.Job != l.job || ref.Chunk < 0 || ref.Chunk >= len(l.chunks) {
		return nil
	}
	c := &l.chunks[ref.Chunk]
	if ref.Item < 0 || ref.Item >= len(c.items) {
		return nil
	}
	return &c.items[ref.Item]
}

// Report takes in a puller's word. It returns false if the puller should stop
// the item: it has been given to somebody else, or is done.
func (l *Tracker) Report(now time.Time, from fescuebank.InstanceID, r fescuebank.ItemReport, expiry time.Duration) bool {
	it := l.item(r.Ref)
	if it == nil || it.status != out || it.attempt != r.Attempt || it.puller != from {
		return false
	}
	switch r.Kind {
	case fescuebank.ItemDone:
		l.finish(now, r.Ref, r.Outcome)
	case fescuebank.ItemReturned:
		it.keep(r.Resume)
		l.giveBack(r.Ref)
	case fescuebank.ItemLost:
		it.keep(r.Resume)
		l.lose(now, r.Ref)
	case fescuebank.ItemRunning:
		it.keep(r.Resume)
		it.expiry = now.Add(expiry)
	}
	return true
}

// keep remembers the longest partial answer.
func (i *item) keep(p fescuebank.Partial) {
	if p.Tokens > i.resume.Tokens {
		i.resume = p
	}
}

func (l *Tracker) giveBack(ref fescuebank.ItemRef) {
	l.item(ref).status = pending
	l.enqueue(ref)
}

// lose gives an item back after a failure, or ends it after too many.
func (l *Tracker) lose(now time.Time, ref fescuebank.ItemRef) {
	it := l.item(ref)
	it.losses++
	if it.losses < MaxLosses {
		l.giveBack(ref)
		return
	}
	body, _ := json.Marshal(lossBody{Code: fescuebank.CodeEndpointLost, Message: "the item failed on every endpoint that tried it"})
	l.finish(now, ref, fescuebank.ItemOutcome{
		CustomID: customID(l.chunks[ref.Chunk].lines[ref.Item]), Status: http.StatusBadGateway, Body: body, Failed: true,
	})
}

// lossBody is the error body of an item that was given up.
type lossBody struct {
	Code    fescuebank.RefusalCode `json:"code"`
	Message string                 `json:"message"`
}

func customID(line []byte) string {
	var request fescuebank.BatchLine
	_ = json.Unmarshal(line, &request) // The line was checked when it was uploaded.
	return request.CustomID
}

func (l *Tracker) finish(now time.Time, ref fescuebank.ItemRef, outcome fescuebank.ItemOutcome) {
	c := &l.chunks[ref.Chunk]
	it := &c.items[ref.Item]
	it.status = ready
	it.resume = fescuebank.Partial{}
	if len(c.results) == 0 {
		c.oldest = now
	}
	c.results = append(c.results, fescuebank.ItemResult{Item: ref.Item, Outcome: outcome})
	c.bytes += len(outcome.Body)
}

// Expire gives back items whose puller fell silent.
func (l *Tracker) Expire(now time.Time) {
	for n := range l.chunks {
		for i := range l.chunks[n].items {
			it := &l.chunks[n].items[i]
			if it.status == out && !now.Before(it.expiry) {
				l.lose(now, fescuebank.ItemRef{Job: l.job, Chunk: n, Item: i})
			}
		}
	}
}

// Commit is one group of results to be written.
type Commit struct {
	Chunk   int
	Results []fescuebank.ItemResult
	// Record is the chunk record without the new segment's key.
	Record fescuebank.ChunkRecord
	// Version is the record's version that the write must meet.
	Version fescuebank.StoreVersion
}

// DueCommits returns the groups that are due: large enough, older than age, or
// the last of their chunk. Each must be ended by ApplyCommit or RevertCommit.
func (l *Tracker) DueCommits(now time.Time, age time.Duration) []Commit {
	var due []Commit
	for n := range l.chunks {
		c := &l.chunks[n]
		if c.committing || len(c.results) == 0 {
			continue
		}
		if c.bytes < segmentBytes && now.Sub(c.oldest) < age && len(c.results) < c.left {
			continue
		}
		c.committing = true
		due = append(due, Commit{Chunk: n, Results: c.results, Record: c.nextRecord(), Version: c.version})
		c.results, c.bytes = nil, 0
	}
	return due
}

// nextRecord returns the record with the waiting results marked as done.
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

// ApplyCommit takes in that a commit was written with the record as given.
func (l *Tracker) ApplyCommit(done Commit, record fescuebank.ChunkRecord, version fescuebank.StoreVersion) {
	c := &l.chunks[done.Chunk]
	c.committing = false
	c.record = record
	c.version = version
	c.left -= len(done.Results)
	if c.items == nil {
		return // The job was stopped meanwhile.
	}
	for _, r := range done.Results {
		c.items[r.Item].status = committed
	}
	c.release()
}

// RevertCommit puts results back after a write that surely took no effect.
func (l *Tracker) RevertCommit(failed Commit, now time.Time) {
	c := &l.chunks[failed.Chunk]
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
func (l *Tracker) Done() bool {
	for n := range l.chunks {
		if !l.chunks[n].loaded || l.chunks[n].left > 0 {
			return false
		}
	}
	return true
}

// Counts returns the committed items by outcome.
func (l *Tracker) Counts() (completed, failed int) {
	for n := range l.chunks {
		completed += l.chunks[n].record.Completed
		failed += l.chunks[n].record.Failed
	}
	return completed, failed
}

// OpenRecord is the record of a chunk that could still change.
type OpenRecord struct {
	Chunk   int
	Record  fescuebank.ChunkRecord
	Version fescuebank.StoreVersion
}

// OpenRecords returns the records of chunks that are not closed.
func (l *Tracker) OpenRecords() []OpenRecord {
	var open []OpenRecord
	for n := range l.chunks {
		c := &l.chunks[n]
		if !c.record.Closed && (!c.loaded || c.left > 0) {
			open = append(open, OpenRecord{Chunk: n, Record: c.record, Version: c.version})
		}
	}
	return open
}

// MarkClosed takes in that a record was closed.
func (l *Tracker) MarkClosed(number int, version fescuebank.StoreVersion) {
	l.chunks[number].record.Closed = true
	l.chunks[number].version = version
}

// Stop drops everything that is not committed, after a cancellation. Reports
// that come later are refused.
func (l *Tracker) Stop() {
	l.pending = make(map[fescuebank.ModelName][]fescuebank.ItemRef)
	l.pendingN = 0
	l.next = len(l.chunks)
	for n := range l.chunks {
		c := &l.chunks[n]
		c.lines, c.items, c.results, c.bytes = nil, nil, nil, 0
	}
}
