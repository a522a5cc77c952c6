// Package coordinator runs the batch jobs that this instance owns: it hands items
// to pullers, commits their results and ends the jobs.
package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/batch/serializer"
	"fescuebank/internal/batch/tracker"
)

const (
	// tickInterval is how often jobs are looked after.
	tickInterval = 200 * time.Millisecond
	// maxPull bounds the items of one pull.
	maxPull = 64
	// loadRetry is the wait after a job could not be loaded.
	loadRetryPause = 2 * time.Second
)

// Coordinator owns jobs by the shard of their team.
type Coordinator struct {
	store      fescuebank.ObjectStore
	serializer *serializer.Serializer
	directory  fescuebank.Directory
	config     fescuebank.ConfigSource
	clock      fescuebank.Clock
	log        hclog.Logger
	commitAge  time.Duration
	pullExpiry time.Duration
	observe    Observer

	mu sync.Mutex
	// active are the unfinished jobs of the whole fleet.
	active map[fescuebank.JobID]fescuebank.ActiveJob
	jobs   map[fescuebank.JobID]*ownedJob
	// served is the weighted work done for each team, to share capacity by.
	served map[fescuebank.TeamID]float64
	// failed is when loading a job last failed.
	loadFailed map[fescuebank.JobID]time.Time
}

// Observer is told what happens to batch items.
type Observer interface {
	// BatchItem reports a committed item and whether it met its due time.
	BatchItem(team fescuebank.TeamID, failed, onTime bool)
}

// entry is one job that this instance owns.
type ownedJob struct {
	mu      sync.Mutex
	spec    fescuebank.Job
	version fescuebank.StoreVersion
	fencing fescuebank.FencingNumber
	ledger  *tracker.Tracker
	// broken is set when another owner's write was met.
	stale bool
}

// Config is what a coordinator works with.
type Config struct {
	Store      fescuebank.ObjectStore
	Serializer *serializer.Serializer
	Directory  fescuebank.Directory
	Source     fescuebank.ConfigSource
	Clock      fescuebank.Clock
	Log        hclog.Logger
	// CommitAge is how long a result waits at most for its group commit.
	CommitAge time.Duration
	// Expiry is how long a puller may be silent about an item.
	Expiry   time.Duration
	Observer Observer
}

// New returns a coordinator without jobs.
func New(c Config) *Coordinator {
	return &Coordinator{
		store: c.Store, serializer: c.Serializer, directory: c.Directory, config: c.Source, clock: c.Clock, log: c.Log,
		commitAge: c.CommitAge, pullExpiry: c.Expiry, observe: c.Observer,
		active:     make(map[fescuebank.JobID]fescuebank.ActiveJob),
		jobs:       make(map[fescuebank.JobID]*ownedJob),
		served:     make(map[fescuebank.TeamID]float64),
		loadFailed: make(map[fescuebank.JobID]time.Time),
	}
}

// ApplyObject takes in a marker of an unfinished job.
func (k *Coordinator) ApplyObject(o fescuebank.Object) {
	id := fescuebank.JobID(strings.TrimPrefix(o.Key, fescuebank.ActivePrefix))
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.Deleted {
		delete(k.active, id)
		return
	}
	var marker fescuebank.ActiveJob
	if json.Unmarshal(o.Value, &marker) == nil {
		k.active[id] = marker
	}
}

// ActiveOwners returns the instances that own unfinished jobs.
func (k *Coordinator) ActiveOwners() []fescuebank.Instance {
	shards := make(map[fescuebank.ShardID]bool)
	k.mu.Lock()
	for id := range k.active {
		if s, ok := id.Shard(); ok {
			shards[s] = true
		}
	}
	k.mu.Unlock()
	var owners []fescuebank.Instance
	for s := range shards {
		if owner, ok := k.directory.Owner(s); ok && !slices.Contains(owners, owner) {
			owners = append(owners, owner)
		}
	}
	return owners
}

// Run looks after the jobs until ctx ends.
func (k *Coordinator) Run(ctx context.Context) {
	for fescuebank.Sleep(ctx, k.clock, tickInterval) == nil {
		k.updateOwnership(ctx)
		var group sync.WaitGroup
		for id, j := range k.snapshot() {
			group.Go(func() { k.maintain(ctx, id, j) })
		}
		group.Wait()
	}
}

func (k *Coordinator) snapshot() map[fescuebank.JobID]*ownedJob {
	k.mu.Lock()
	defer k.mu.Unlock()
	copied := make(map[fescuebank.JobID]*ownedJob, len(k.jobs))
	for id, j := range k.jobs {
		copied[id] = j
	}
	return copied
}

// adopt loads jobs that this instance owns now and drops those it doesn't.
func (k *Coordinator) updateOwnership(ctx context.Context) {
	now := k.clock.Now()
	var load []fescuebank.JobID
	k.mu.Lock()
	for id := range k.active {
		shard, ok := id.Shard()
		if !ok {
			continue
		}
		fencing, mayAct := k.directory.MayAct(shard)
		j, known := k.jobs[id]
		if known && (!mayAct || j.isStale() || j.fencing != fencing) {
			delete(k.jobs, id)
			known = false
		}
		if mayAct && !known && now.Sub(k.loadFailed[id]) >= loadRetryPause {
			load = append(load, id)
		}
	}
	for id := range k.jobs {
		if _, ok := k.active[id]; !ok {
			delete(k.jobs, id)
		}
	}
	k.mu.Unlock()
	for _, id := range load {
		if err := k.load(ctx, id); err != nil {
			k.log.Warn("Job not loaded.", "job", string(id), "err", err)
			k.mu.Lock()
			k.loadFailed[id] = now
			k.mu.Unlock()
		}
	}
}

func (j *ownedJob) isStale() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stale
}

// load reads a job and its records from the store.
func (k *Coordinator) load(ctx context.Context, id fescuebank.JobID) error {
	shard, _ := id.Shard()
	fencing, mayAct := k.directory.MayAct(shard)
	if !mayAct {
		return nil
	}
	o, err := k.store.Get(ctx, fescuebank.JobKey(id))
	if errors.Is(err, fescuebank.ErrAbsent) {
		return nil // The job is still being created, or never was.
	}
	if err != nil {
		return eris.Wrap(err, "Coordinator.load")
	}
	j := &ownedJob{version: o.Version, fencing: fencing}
	if err := json.Unmarshal(o.Value, &j.spec); err != nil {
		return eris.Wrap(err, "Coordinator.load")
	}
	records, versions, err := k.loadRecords(ctx, id)
	if err != nil {
		return err
	}
	j.ledger = tracker.New(&j.spec, records, versions)
	k.mu.Lock()
	k.jobs[id] = j
	k.mu.Unlock()
	k.log.Info("Job adopted.", "job", string(id), "fencing", uint64(fencing))
	return nil
}

func (k *Coordinator) loadRecords(ctx context.Context, id fescuebank.JobID) (map[int]fescuebank.ChunkRecord, map[int]fescuebank.StoreVersion, error) {
	objects, _, err := k.store.List(ctx, fescuebank.RecordPrefix(id))
	if err != nil {
		return nil, nil, eris.Wrap(err, "Coordinator.loadRecords")
	}
	records := make(map[int]fescuebank.ChunkRecord)
	versions := make(map[int]fescuebank.StoreVersion)
	for _, o := range objects {
		number, err := fescuebank.ChunkNumber(o.Key)
		if err != nil {
			return nil, nil, eris.Wrap(err, "Coordinator.loadRecords")
		}
		record, err := k.serializer.DecodeRecord(o.Value)
		if err != nil {
			return nil, nil, eris.Wrap(err, "Coordinator.loadRecords")
		}
		records[number], versions[number] = record, o.Version
	}
	return records, versions, nil
}

// tend loads input, expires pulls, commits results and ends a job.
func (k *Coordinator) maintain(ctx context.Context, id fescuebank.JobID, j *ownedJob) {
	if k.isCancelled(id) || j.status() == fescuebank.JobCancelling {
		k.cancel(ctx, j)
		return
	}
	k.loadInput(ctx, j)
	j.mu.Lock()
	now := k.clock.Now()
	j.ledger.Expire(now)
	commits := j.ledger.DueCommits(now, k.commitAge)
	j.mu.Unlock()
	for _, c := range commits {
		k.commit(ctx, j, c)
	}
	j.mu.Lock()
	done := j.ledger.Done() && !j.stale
	j.mu.Unlock()
	if done {
		k.end(ctx, j, fescuebank.JobCompleted)
	}
}

func (j *ownedJob) status() fescuebank.JobStatus {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.spec.Status
}

func (k *Coordinator) isCancelled(id fescuebank.JobID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.active[id].Cancel
}

// loadInput reads chunks until enough items are pending.
func (k *Coordinator) loadInput(ctx context.Context, j *ownedJob) {
	for {
		j.mu.Lock()
		number, ok := j.ledger.NextChunk()
		j.mu.Unlock()
		if !ok {
			return
		}
		o, err := k.store.Get(ctx, fescuebank.FileChunkKey(j.spec.Input, number))
		if err != nil {
			k.log.Warn("Chunk not read.", "job", string(j.spec.ID), "chunk", number, "err", err)
			return
		}
		c, err := k.serializer.DecodeChunk(o.Value)
		if err != nil {
			k.log.Error("Chunk is damaged.", "job", string(j.spec.ID), "chunk", number, "err", err)
			return
		}
		j.mu.Lock()
		j.ledger.LoadChunk(number, c.Lines)
		j.mu.Unlock()
	}
}

// commit writes a segment, then the record that names it. Only the record's
// conditional write makes the items complete.
func (k *Coordinator) commit(ctx context.Context, j *ownedJob, c tracker.Commit) {
	record, version, err := k.write(ctx, j, c)
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case err == nil:
		j.ledger.ApplyCommit(c, record, version)
		k.notifyObserver(j, c)
	case errors.Is(err, fescuebank.ErrStoreDown):
		j.ledger.RevertCommit(c, k.clock.Now())
	default:
		// Another owner wrote, or the outcome stays unknown: read all afresh.
		k.log.Warn("Commit failed.", "job", string(j.spec.ID), "chunk", c.Chunk, "err", err)
		j.stale = true
	}
}

func (k *Coordinator) notifyObserver(j *ownedJob, c tracker.Commit) {
	onTime := !k.clock.Now().After(j.spec.Due)
	for _, r := range c.Results {
		k.observe.BatchItem(j.spec.Team, r.Outcome.Failed, onTime)
	}
}

func (k *Coordinator) write(ctx context.Context, j *ownedJob, c tracker.Commit) (fescuebank.ChunkRecord, fescuebank.StoreVersion, error) {
	record := c.Record
	record.Owner = j.fencing
	if shard, _ := j.spec.ID.Shard(); !k.mayActUnder(shard, j.fencing) {
		return record, 0, fescuebank.ErrNotOwner
	}
	segment, err := k.serializer.EncodeSegment(c.Results)
	if err != nil {
		return record, 0, err
	}
	key := fescuebank.SegmentKey(j.spec.ID, c.Chunk, j.fencing, fescuebank.NewRandomID(""))
	// The key is random, so a segment left over by a lost answer is never named.
	if _, err := k.store.Put(ctx, key, segment, fescuebank.Absent); err != nil {
		return record, 0, storeDownIfUnknown(err)
	}
	record.Segments = append(record.Segments, key)
	value, err := k.serializer.EncodeRecord(record)
	if err != nil {
		return record, 0, err
	}
	version, err := k.store.Put(ctx, fescuebank.RecordKey(j.spec.ID, c.Chunk), value, c.Version)
	if errors.Is(err, fescuebank.ErrOutcomeUnknown) || errors.Is(err, fescuebank.ErrVersion) {
		return k.readBack(ctx, j, c, record, key)
	}
	return record, version, err
}

// storeDownIfUnknown treats an unknown outcome as none. It is right only for
// writes that nothing refers to yet.
func storeDownIfUnknown(err error) error {
	if errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		return fescuebank.ErrStoreDown
	}
	return err
}

func (k *Coordinator) mayActUnder(shard fescuebank.ShardID, fencing fescuebank.FencingNumber) bool {
	current, mayAct := k.directory.MayAct(shard)
	return mayAct && current == fencing
}

// readBack finds out whether the record in the store names the new segment.
func (k *Coordinator) readBack(ctx context.Context, j *ownedJob, c tracker.Commit, record fescuebank.ChunkRecord, key string) (fescuebank.ChunkRecord, fescuebank.StoreVersion, error) {
	o, err := k.store.Get(ctx, fescuebank.RecordKey(j.spec.ID, c.Chunk))
	if errors.Is(err, fescuebank.ErrAbsent) && c.Version == fescuebank.Absent {
		return record, 0, fescuebank.ErrStoreDown
	}
	if err != nil {
		return record, 0, fescuebank.ErrOutcomeUnknown
	}
	found, err := k.serializer.DecodeRecord(o.Value)
	if err != nil {
		return record, 0, err
	}
	if slices.Contains(found.Segments, key) {
		return found, o.Version, nil
	}
	return record, 0, fescuebank.ErrVersion
}

// cancel stops a job's items and ends it. Closing the records first keeps a
// former owner that wakes up late from adding results to a job that has ended.
func (k *Coordinator) cancel(ctx context.Context, j *ownedJob) {
	j.mu.Lock()
	j.ledger.Stop()
	open := j.ledger.OpenRecords()
	j.mu.Unlock()
	for _, o := range open {
		if err := k.closeRecord(ctx, j, o); err != nil {
			k.log.Warn("Record not closed.", "job", string(j.spec.ID), "chunk", o.Chunk, "err", err)
			return // Tried again at the next tick.
		}
	}
	k.end(ctx, j, fescuebank.JobCancelled)
}

func (k *Coordinator) closeRecord(ctx context.Context, j *ownedJob, o tracker.OpenRecord) error {
	o.Record.Closed = true
	o.Record.Owner = j.fencing
	value, err := k.serializer.EncodeRecord(o.Record)
	if err != nil {
		return err
	}
	version, err := k.store.Put(ctx, fescuebank.RecordKey(j.spec.ID, o.Chunk), value, o.Version)
	j.mu.Lock()
	defer j.mu.Unlock()
	if errors.Is(err, fescuebank.ErrVersion) || errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		j.stale = true // Read all afresh.
	}
	if err != nil {
		return err
	}
	j.ledger.MarkClosed(o.Chunk, version)
	return nil
}

// end writes the job's final status, then removes its marker.
func (k *Coordinator) end(ctx context.Context, j *ownedJob, status fescuebank.JobStatus) {
	o, err := k.store.Get(ctx, fescuebank.JobKey(j.spec.ID))
	if err != nil {
		return
	}
	var job fescuebank.Job
	if err := json.Unmarshal(o.Value, &job); err != nil {
		return
	}
	if !job.Status.Final() {
		if status == fescuebank.JobCompleted && job.Status == fescuebank.JobCancelling {
			status = fescuebank.JobCancelled
		}
		j.mu.Lock()
		job.Counts.Completed, job.Counts.Failed = j.ledger.Counts()
		j.mu.Unlock()
		job.Status = status
		job.Finished = k.clock.Now().UTC()
		value, err := json.Marshal(job)
		if err != nil {
			return
		}
		if _, err := k.store.Put(ctx, o.Key, value, o.Version); err != nil {
			k.log.Warn("Job not ended.", "job", string(job.ID), "err", err)
			return // Tried again at the next tick.
		}
		k.log.Info("Job ended.", "job", string(job.ID), "status", string(status), "completed", job.Counts.Completed, "failed", job.Counts.Failed)
	}
	k.removeMarker(ctx, j.spec.ID)
}

func (k *Coordinator) removeMarker(ctx context.Context, id fescuebank.JobID) {
	o, err := k.store.Get(ctx, fescuebank.ActiveKey(id))
	if err == nil {
		err = k.store.Delete(ctx, o.Key, o.Version)
	}
	if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.active, id)
	delete(k.jobs, id)
}
