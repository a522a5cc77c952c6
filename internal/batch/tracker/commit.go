package tracker

import (
	"slices"
	"time"

	"fescuebank"
)

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
