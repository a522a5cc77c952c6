package coordinator

import (
	"context"
	"encoding/json"
	"errors"

	"fescuebank"
	"fescuebank/internal/batch/tracker"
)

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

// closeRecord marks a record as closed, so that no results can be added to it.
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
		if err := co.writeEnd(ctx, job, o.Version); err != nil {
			co.log.Warn("Job not ended.", "job", string(job.ID), "err", err)
			return // The next tick retries.
		}
	}
	co.removeMarker(ctx, j.spec.ID)
}

// writeEnd writes a job with its final status and counts, if it still has the store version
// expected.
func (co *Coordinator) writeEnd(ctx context.Context, job fescuebank.Job, expected fescuebank.StoreVersion) error {
	job.Finished = co.clock.Now().UTC()
	value, err := json.Marshal(job)
	if err != nil {
		return err
	}
	if _, err := co.store.Put(ctx, fescuebank.JobKey(job.ID), value, expected); err != nil {
		return err
	}
	co.log.Info("Job ended.", "job", string(job.ID), "status", string(job.Status), "completed", job.Counts.Completed, "failed", job.Counts.Failed)
	return nil
}

// removeMarker removes the marker of a job that has ended, and the job itself from here.
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
