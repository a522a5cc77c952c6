// Package coordinator coordinates the batch jobs that this instance owns: it hands
// items to pullers, commits their results and ends the jobs.
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
	// tickInterval is how often ownership is updated and each job maintained.
	tickInterval = 200 * time.Millisecond
	// maxPullItems bounds the items of one pull.
	maxPullItems = 64
	// loadRetryPause is the pause after a job could not be loaded.
	loadRetryPause = 2 * time.Second
)

// Coordinator holds the jobs whose team's shard this instance owns.
type Coordinator struct {
	store      fescuebank.ObjectStore
	serializer *serializer.Serializer
	directory  fescuebank.Directory
	config     fescuebank.ConfigSource
	clock      fescuebank.Clock
	log        hclog.Logger
	commitAge  time.Duration
	pullExpiry time.Duration
	observer   Observer

	mu sync.Mutex
	// active are the markers of the unfinished jobs of the whole fleet.
	active map[fescuebank.JobID]fescuebank.ActiveJob
	jobs   map[fescuebank.JobID]*ownedJob
	// served is the work charged to each team, in tokens, divided by the team's weight.
	// The team with the lowest value is served next.
	served map[fescuebank.TeamID]float64
	// loadFailedAt is when loading a job last failed.
	loadFailedAt map[fescuebank.JobID]time.Time
}

// Observer records what happens to batch items.
type Observer interface {
	// BatchItem records a committed item and whether it met its due time.
	BatchItem(team fescuebank.TeamID, failed, onTime bool)
}

// ownedJob is one job that this instance owns.
type ownedJob struct {
	mu          sync.Mutex
	spec        fescuebank.Job
	specVersion fescuebank.StoreVersion
	fencing     fescuebank.FencingNumber
	tracker     *tracker.Tracker
	// stale is set when the job must be loaded again, because another owner may have
	// written to it or the outcome of a write is unknown.
	stale bool
}

// Config holds a coordinator's dependencies and settings.
type Config struct {
	Store      fescuebank.ObjectStore
	Serializer *serializer.Serializer
	Directory  fescuebank.Directory
	Source     fescuebank.ConfigSource
	Clock      fescuebank.Clock
	Log        hclog.Logger
	// CommitAge is how long a result waits at most to be committed with others.
	CommitAge time.Duration
	// PullExpiry is how long a puller may leave an item unreported before the attempt
	// counts as lost.
	PullExpiry time.Duration
	Observer   Observer
}

// New returns a coordinator without jobs.
func New(c Config) *Coordinator {
	return &Coordinator{
		store: c.Store, serializer: c.Serializer, directory: c.Directory, config: c.Source, clock: c.Clock, log: c.Log,
		commitAge: c.CommitAge, pullExpiry: c.PullExpiry, observer: c.Observer,
		active:       make(map[fescuebank.JobID]fescuebank.ActiveJob),
		jobs:         make(map[fescuebank.JobID]*ownedJob),
		served:       make(map[fescuebank.TeamID]float64),
		loadFailedAt: make(map[fescuebank.JobID]time.Time),
	}
}

// ApplyObject applies a change of the marker of an unfinished job.
func (co *Coordinator) ApplyObject(o fescuebank.Object) {
	id := fescuebank.JobID(strings.TrimPrefix(o.Key, fescuebank.ActivePrefix))
	co.mu.Lock()
	defer co.mu.Unlock()
	if o.Deleted {
		delete(co.active, id)
		return
	}
	var marker fescuebank.ActiveJob
	if json.Unmarshal(o.Value, &marker) == nil {
		co.active[id] = marker
	}
}

// ActiveOwners returns the instances that own unfinished jobs.
func (co *Coordinator) ActiveOwners() []fescuebank.Instance {
	shards := make(map[fescuebank.ShardID]bool)
	co.mu.Lock()
	for id := range co.active {
		if s, ok := id.Shard(); ok {
			shards[s] = true
		}
	}
	co.mu.Unlock()
	var owners []fescuebank.Instance
	for s := range shards {
		if owner, ok := co.directory.Owner(s); ok && !slices.Contains(owners, owner) {
			owners = append(owners, owner)
		}
	}
	return owners
}

// Run maintains the owned jobs until ctx ends.
func (co *Coordinator) Run(ctx context.Context) {
	for fescuebank.Sleep(ctx, co.clock, tickInterval) == nil {
		co.updateOwnership(ctx)
		var group sync.WaitGroup
		for id, j := range co.snapshot() {
			group.Go(func() { co.maintainJob(ctx, id, j) })
		}
		group.Wait()
	}
}

// snapshot returns a copy of the owned jobs.
func (co *Coordinator) snapshot() map[fescuebank.JobID]*ownedJob {
	co.mu.Lock()
	defer co.mu.Unlock()
	copied := make(map[fescuebank.JobID]*ownedJob, len(co.jobs))
	for id, j := range co.jobs {
		copied[id] = j
	}
	return copied
}

// updateOwnership loads jobs that this instance owns now and drops those that it no
// longer owns or that are stale.
func (co *Coordinator) updateOwnership(ctx context.Context) {
	now := co.clock.Now()
	var load []fescuebank.JobID
	co.mu.Lock()
	for id := range co.active {
		shard, ok := id.Shard()
		if !ok {
			continue
		}
		fencing, mayAct := co.directory.MayAct(shard)
		j, known := co.jobs[id]
		if known && (!mayAct || j.isStale() || j.fencing != fencing) {
			delete(co.jobs, id)
			known = false
		}
		if mayAct && !known && now.Sub(co.loadFailedAt[id]) >= loadRetryPause {
			load = append(load, id)
		}
	}
	for id := range co.jobs {
		if _, ok := co.active[id]; !ok {
			delete(co.jobs, id)
		}
	}
	co.mu.Unlock()
	for _, id := range load {
		if err := co.loadJob(ctx, id); err != nil {
			co.log.Warn("Job not loaded.", "job", string(id), "err", err)
			co.mu.Lock()
			co.loadFailedAt[id] = now
			co.mu.Unlock()
		}
	}
}

func (j *ownedJob) isStale() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stale
}

// loadJob reads a job and its records from the store.
func (co *Coordinator) loadJob(ctx context.Context, id fescuebank.JobID) error {
	shard, _ := id.Shard()
	fencing, mayAct := co.directory.MayAct(shard)
	if !mayAct {
		return nil
	}
	o, err := co.store.Get(ctx, fescuebank.JobKey(id))
	if errors.Is(err, fescuebank.ErrAbsent) {
		return nil // The job is still being created, or its creation failed after the marker was written.
	}
	if err != nil {
		return eris.Wrap(err, "Coordinator.loadJob")
	}
	j := &ownedJob{specVersion: o.Version, fencing: fencing}
	if err := json.Unmarshal(o.Value, &j.spec); err != nil {
		return eris.Wrap(err, "Coordinator.loadJob")
	}
	records, versions, err := co.loadRecords(ctx, id)
	if err != nil {
		return err
	}
	j.tracker = tracker.New(&j.spec, records, versions)
	co.mu.Lock()
	co.jobs[id] = j
	co.mu.Unlock()
	co.log.Info("Job loaded.", "job", string(id), "fencing", uint64(fencing))
	return nil
}

func (co *Coordinator) loadRecords(ctx context.Context, id fescuebank.JobID) (map[int]fescuebank.ChunkRecord, map[int]fescuebank.StoreVersion, error) {
	objects, _, err := co.store.List(ctx, fescuebank.RecordPrefix(id))
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
		record, err := co.serializer.DecodeRecord(o.Value)
		if err != nil {
			return nil, nil, eris.Wrap(err, "Coordinator.loadRecords")
		}
		records[number], versions[number] = record, o.Version
	}
	return records, versions, nil
}

// maintainJob advances a job: it loads input, expires pulls, commits results, and ends the
// job when it is complete or cancelled.
func (co *Coordinator) maintainJob(ctx context.Context, id fescuebank.JobID, j *ownedJob) {
	if co.isCancelled(id) || j.status() == fescuebank.JobCancelling {
		co.cancelJob(ctx, j)
		return
	}
	co.loadInput(ctx, j)
	j.mu.Lock()
	now := co.clock.Now()
	j.tracker.Expire(now)
	commits := j.tracker.DueCommits(now, co.commitAge)
	j.mu.Unlock()
	for _, c := range commits {
		co.commit(ctx, j, c)
	}
	j.mu.Lock()
	done := j.tracker.Done() && !j.stale
	j.mu.Unlock()
	if done {
		co.endJob(ctx, j, fescuebank.JobCompleted)
	}
}

func (j *ownedJob) status() fescuebank.JobStatus {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.spec.Status
}

func (co *Coordinator) isCancelled(id fescuebank.JobID) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.active[id].Cancel
}

// loadInput reads chunks until enough items are pending.
func (co *Coordinator) loadInput(ctx context.Context, j *ownedJob) {
	for {
		j.mu.Lock()
		number, ok := j.tracker.NextChunk()
		j.mu.Unlock()
		if !ok {
			return
		}
		o, err := co.store.Get(ctx, fescuebank.FileChunkKey(j.spec.Input, number))
		if err != nil {
			co.log.Warn("Chunk not read.", "job", string(j.spec.ID), "chunk", number, "err", err)
			return
		}
		c, err := co.serializer.DecodeChunk(o.Value)
		if err != nil {
			co.log.Error("Chunk not decoded.", "job", string(j.spec.ID), "chunk", number, "err", err)
			return
		}
		j.mu.Lock()
		j.tracker.LoadChunk(number, c.Lines)
		j.mu.Unlock()
	}
}

// commit writes a segment and then the record that names it. The items are complete
// only after the conditional write of the record.
func (co *Coordinator) commit(ctx context.Context, j *ownedJob, c tracker.Commit) {
	record, version, err := co.writeRecord(ctx, j, c)
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case err == nil:
		j.tracker.ApplyCommit(c, record, version)
		co.notifyObserver(j, c)
	case errors.Is(err, fescuebank.ErrStoreDown):
		j.tracker.RevertCommit(c, co.clock.Now())
	default:
		// Another owner wrote the record, this instance no longer owns the job, or the
		// outcome is unknown: load the job again.
		co.log.Warn("Commit failed.", "job", string(j.spec.ID), "chunk", c.Chunk, "err", err)
		j.stale = true
	}
}

func (co *Coordinator) notifyObserver(j *ownedJob, c tracker.Commit) {
	onTime := !co.clock.Now().After(j.spec.Due)
	for _, r := range c.Results {
		co.observer.BatchItem(j.spec.Team, r.Outcome.Failed, onTime)
	}
}

func (co *Coordinator) writeRecord(ctx context.Context, j *ownedJob, c tracker.Commit) (fescuebank.ChunkRecord, fescuebank.StoreVersion, error) {
	record := c.Record
	record.OwnerFencing = j.fencing
	if shard, _ := j.spec.ID.Shard(); !co.mayActUnder(shard, j.fencing) {
		return record, 0, fescuebank.ErrNotOwner
	}
	segment, err := co.serializer.EncodeSegment(c.Results)
	if err != nil {
		return record, 0, err
	}
	key := fescuebank.SegmentKey(j.spec.ID, c.Chunk, j.fencing, fescuebank.NewRandomID(""))
	// The key is random: a segment that was written although the store's response was
	// lost is never named by a record.
	if _, err := co.store.Put(ctx, key, segment, fescuebank.Absent); err != nil {
		return record, 0, storeDownIfUnknown(err)
	}
	record.Segments = append(record.Segments, key)
	value, err := co.serializer.EncodeRecord(record)
	if err != nil {
		return record, 0, err
	}
	version, err := co.store.Put(ctx, fescuebank.RecordKey(j.spec.ID, c.Chunk), value, c.Version)
	if errors.Is(err, fescuebank.ErrOutcomeUnknown) || errors.Is(err, fescuebank.ErrVersion) {
		return co.readBack(ctx, j, c, record, key)
	}
	return record, version, err
}

// storeDownIfUnknown converts an unknown outcome to fescuebank.ErrStoreDown, so that the
// write counts as not done. This is correct only for objects that nothing refers to yet.
func storeDownIfUnknown(err error) error {
	if errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		return fescuebank.ErrStoreDown
	}
	return err
}

func (co *Coordinator) mayActUnder(shard fescuebank.ShardID, fencing fescuebank.FencingNumber) bool {
	current, mayAct := co.directory.MayAct(shard)
	return mayAct && current == fencing
}

// readBack determines from the record in the store whether a write with an unknown or
// conflicting outcome took effect, which it did if the record names the new segment.
func (co *Coordinator) readBack(ctx context.Context, j *ownedJob, c tracker.Commit, record fescuebank.ChunkRecord, key string) (fescuebank.ChunkRecord, fescuebank.StoreVersion, error) {
	o, err := co.store.Get(ctx, fescuebank.RecordKey(j.spec.ID, c.Chunk))
	if errors.Is(err, fescuebank.ErrAbsent) && c.Version == fescuebank.Absent {
		return record, 0, fescuebank.ErrStoreDown
	}
	if err != nil {
		return record, 0, fescuebank.ErrOutcomeUnknown
	}
	found, err := co.serializer.DecodeRecord(o.Value)
	if err != nil {
		return record, 0, err
	}
	if slices.Contains(found.Segments, key) {
		return found, o.Version, nil
	}
	return record, 0, fescuebank.ErrVersion
}

// cancelJob stops a job's items and ends it. It closes the records first, so that a former
// owner that has not noticed its loss of ownership can't add results to an ended job.
func (co *Coordinator) cancelJob(ctx context.Context, j *ownedJob) {
	j.mu.Lock()
	j.tracker.Stop()
	open := j.tracker.OpenRecords()
	j.mu.Unlock()
	for _, o := range open {
		if err := co.closeRecord(ctx, j, o); err != nil {
			co.log.Warn("Record not closed.", "job", string(j.spec.ID), "chunk", o.Chunk, "err", err)
			return // The next tick retries.
		}
	}
	co.endJob(ctx, j, fescuebank.JobCancelled)
}

func (co *Coordinator) closeRecord(ctx context.Context, j *ownedJob, o tracker.OpenRecord) error {
	o.Record.Closed = true
	o.Record.OwnerFencing = j.fencing
	value, err := co.serializer.EncodeRecord(o.Record)
	if err != nil {
		return err
	}
	version, err := co.store.Put(ctx, fescuebank.RecordKey(j.spec.ID, o.Chunk), value, o.Version)
	j.mu.Lock()
	defer j.mu.Unlock()
	if errors.Is(err, fescuebank.ErrVersion) || errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		j.stale = true
	}
	if err != nil {
		return err
	}
	j.tracker.MarkClosed(o.Chunk, version)
	return nil
}

// endJob writes the job's final status and then removes its marker.
func (co *Coordinator) endJob(ctx context.Context, j *ownedJob, status fescuebank.JobStatus) {
	o, err := co.store.Get(ctx, fescuebank.JobKey(j.spec.ID))
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
		job.Counts.Completed, job.Counts.Failed = j.tracker.Counts()
		j.mu.Unlock()
		job.Status = status
		job.Finished = co.clock.Now().UTC()
		value, err := json.Marshal(job)
		if err != nil {
			return
		}
		if _, err := co.store.Put(ctx, o.Key, value, o.Version); err != nil {
			co.log.Warn("Job not ended.", "job", string(job.ID), "err", err)
			return // The next tick retries.
		}
		co.log.Info("Job ended.", "job", string(job.ID), "status", string(status), "completed", job.Counts.Completed, "failed", job.Counts.Failed)
	}
	co.removeMarker(ctx, j.spec.ID)
}

func (co *Coordinator) removeMarker(ctx context.Context, id fescuebank.JobID) {
	o, err := co.store.Get(ctx, fescuebank.ActiveKey(id))
	if err == nil {
		err = co.store.Delete(ctx, o.Key, o.Version)
	}
	if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	delete(co.active, id)
	delete(co.jobs, id)
}
