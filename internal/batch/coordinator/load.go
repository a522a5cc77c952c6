package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/batch/tracker"
)

// loadRetryPause is the pause after a job could not be loaded.
const loadRetryPause = 2 * time.Second

// updateOwnership loads jobs that this instance owns now and drops those that it no
// longer owns or that are stale.
func (co *Coordinator) updateOwnership(ctx context.Context) {
	now := co.clock.Now()
	for _, id := range co.dropJobs(now) {
		if err := co.loadJob(ctx, id); err != nil {
			co.log.Warn("Job not loaded.", "job", string(id), "err", err)
			co.mu.Lock()
			co.loadFailedAt[id] = now
			co.mu.Unlock()
		}
	}
}

// dropJobs drops the jobs that this instance no longer owns or that are stale, and returns
// those to load.
func (co *Coordinator) dropJobs(now time.Time) []fescuebank.JobID {
	co.mu.Lock()
	defer co.mu.Unlock()
	var load []fescuebank.JobID
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
	return load
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
	j := &ownedJob{fencing: fencing}
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

// loadRecords reads the records of a job and their store versions, by chunk number.
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
