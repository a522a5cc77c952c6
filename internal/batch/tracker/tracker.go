// Package tracker tracks the state of one batch job's items at the job's owner.
package tracker

import (
	"encoding/json"
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
