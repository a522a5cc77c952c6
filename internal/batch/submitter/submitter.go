// Package submitter stores files and batch jobs before they are acknowledged, and reads
// their state.
package submitter

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"fescuebank"
	"fescuebank/internal/batch/serializer"
	"fescuebank/internal/batch/splitter"
)

const (
	// parallelWrites bounds the concurrent chunk writes of one upload.
	parallelWrites = 4
	// updateAttempts bounds the attempts of a conditional update of a job.
	updateAttempts = 6
	// storeRetryAfter is the Retry-After while the store is unavailable.
	storeRetryAfter    = 5 * time.Second
	maxMetadataEntries = 16
)

// Submitter accepts files and jobs and returns their state.
type Submitter struct {
	store      fescuebank.ObjectStore
	serializer *serializer.Serializer
	clock      fescuebank.Clock
	log        hclog.Logger
}

// New returns a submitter.
func New(store fescuebank.ObjectStore, s *serializer.Serializer, clock fescuebank.Clock, log hclog.Logger) *Submitter {
	return &Submitter{store: store, serializer: s, clock: clock, log: log}
}

// refusalOf converts an error of the store into a refusal. Only a write whose outcome
// is unknown may have created something.
func refusalOf(err error) error {
	var r *fescuebank.Refusal
	if errors.As(err, &r) {
		return r
	}
	r = fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeStoreDown,
		"the platform's store can't take this now").WithRetryAfter(storeRetryAfter)
	if errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		r.State = fescuebank.MayHaveRun
	}
	return r
}

// Upload reads a JSONL file of batch items and stores it. known reports whether items
// may request a model.
func (s *Submitter) Upload(ctx context.Context, team fescuebank.TeamID, name string, known func(fescuebank.ModelName) bool, body io.Reader) (*fescuebank.File, error) {
	file := &fescuebank.File{
		ID: fescuebank.FileID(fescuebank.NewRandomID("file-")), Team: team, Name: name, Purpose: "batch",
		Created: s.clock.Now().UTC(),
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(parallelWrites)
	split := splitter.New(known, func(c fescuebank.Chunk) error {
		number := file.Chunks
		file.Chunks++
		group.Go(func() error { return s.putChunk(groupCtx, file.ID, number, c) })
		return groupCtx.Err()
	})
	splitErr := split.Split(body)
	if err := group.Wait(); err != nil {
		return nil, refusalOf(err)
	}
	if splitErr != nil {
		return nil, splitErr
	}
	file.Items = split.Items()
	file.Size = split.Size()
	file.ContentHash = split.ContentHash()
	if err := s.create(ctx, fescuebank.FileKey(file.ID), file); err != nil {
		return nil, refusalOf(err)
	}
	return file, nil
}

func (s *Submitter) putChunk(ctx context.Context, id fescuebank.FileID, number int, c fescuebank.Chunk) error {
	value, err := s.serializer.EncodeChunk(c)
	if err != nil {
		return err
	}
	return s.putNew(ctx, fescuebank.FileChunkKey(id, number), value)
}

// create stores content as JSON in a new object, like putNew.
func (s *Submitter) create(ctx context.Context, key string, content any) error {
	value, err := json.Marshal(content)
	if err != nil {
		return eris.Wrap(err, "Submitter.create")
	}
	return s.putNew(ctx, key, value)
}

// putNew creates an object. If it exists already it stays unchanged: an earlier attempt
// whose response was lost, or a submission of the same job, has created it.
func (s *Submitter) putNew(ctx context.Context, key string, value []byte) error {
	const attempts = 3
	var err error
	for range attempts {
		_, err = s.store.Put(ctx, key, value, fescuebank.Absent)
		if err == nil || errors.Is(err, fescuebank.ErrVersion) {
			return nil
		}
		if !errors.Is(err, fescuebank.ErrOutcomeUnknown) {
			break
		}
	}
	return eris.Wrap(err, "Submitter.putNew")
}

// File returns a file of the team.
func (s *Submitter) File(ctx context.Context, team fescuebank.TeamID, id fescuebank.FileID) (*fescuebank.File, error) {
	var f fescuebank.File
	_, err := s.read(ctx, fescuebank.FileKey(id), &f)
	if errors.Is(err, fescuebank.ErrAbsent) || (err == nil && f.Team != team) {
		return nil, fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "no such file")
	}
	if err != nil {
		return nil, refusalOf(err)
	}
	return &f, nil
}

func (s *Submitter) read(ctx context.Context, key string, into any) (fescuebank.StoreVersion, error) {
	o, err := s.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return o.Version, json.Unmarshal(o.Value, into)
}

// JobRequest describes a job to be created. The job is due when CompletionWindow has
// passed since its creation.
type JobRequest struct {
	Input            fescuebank.FileID
	Path             string
	CompletionWindow time.Duration
	Metadata         map[string]string
	// IdempotencyKey identifies the job, so that a resent request creates no second one.
	IdempotencyKey string
}

// Submit creates a job, or returns it if it exists already.
func (s *Submitter) Submit(ctx context.Context, team fescuebank.TeamID, r JobRequest) (*fescuebank.Job, error) {
	if len(r.Metadata) > maxMetadataEntries {
		return nil, fescuebank.Refuse(http.StatusBadRequest, fescuebank.CodeBadRequest, "want at most %d metadata entries", maxMetadataEntries)
	}
	file, err := s.File(ctx, team, r.Input)
	if err != nil {
		return nil, err
	}
	key := r.IdempotencyKey
	if key == "" {
		key = "content " + file.ContentHash + " " + r.Path
	}
	now := s.clock.Now().UTC()
	job := &fescuebank.Job{
		ID: fescuebank.NewJobID(team, key), Team: team, Input: r.Input, ContentHash: file.ContentHash, Path: r.Path, Chunks: file.Chunks,
		Status: fescuebank.JobInProgress, Counts: fescuebank.Counts{Total: file.Items},
		Created: now, Due: now.Add(r.CompletionWindow), Metadata: r.Metadata,
	}
	existing, err := s.createJob(ctx, job)
	if err != nil {
		return nil, refusalOf(err)
	}
	if existing.ContentHash != job.ContentHash || existing.Path != job.Path || !maps.Equal(existing.Metadata, job.Metadata) {
		return nil, fescuebank.Refuse(http.StatusConflict, fescuebank.CodeConflict, "the idempotency key belongs to another job, %s", existing.ID)
	}
	return existing, nil
}

// createJob writes the job object last, after the job's marker: the job exists only when
// its object does, and owners ignore a marker without one.
func (s *Submitter) createJob(ctx context.Context, job *fescuebank.Job) (*fescuebank.Job, error) {
	var existing fescuebank.Job
	if _, err := s.read(ctx, fescuebank.JobKey(job.ID), &existing); err == nil {
		return &existing, nil
	} else if !errors.Is(err, fescuebank.ErrAbsent) {
		return nil, err
	}
	if err := s.create(ctx, fescuebank.TeamJobKey(job.Team, job.ID), struct{}{}); err != nil {
		return nil, err
	}
	marker := fescuebank.ActiveJob{Team: job.Team, Due: job.Due}
	if err := s.create(ctx, fescuebank.ActiveKey(job.ID), marker); err != nil {
		return nil, err
	}
	if err := s.create(ctx, fescuebank.JobKey(job.ID), job); err != nil {
		return nil, err
	}
	// Another instance may have created the job at the same time.
	if _, err := s.read(ctx, fescuebank.JobKey(job.ID), &existing); err != nil {
		return nil, eris.Wrap(fescuebank.ErrOutcomeUnknown, "Submitter.createJob")
	}
	return &existing, nil
}

// Job returns a job of the team with its current counts.
func (s *Submitter) Job(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID) (*fescuebank.Job, error) {
	job, _, err := s.job(ctx, team, id)
	if err != nil {
		return nil, err
	}
	if !job.Status.Final() {
		if err := s.count(ctx, job); err != nil {
			return nil, refusalOf(err)
		}
	}
	return job, nil
}

func (s *Submitter) job(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID) (*fescuebank.Job, fescuebank.StoreVersion, error) {
	var job fescuebank.Job
	version, err := s.read(ctx, fescuebank.JobKey(id), &job)
	if errors.Is(err, fescuebank.ErrAbsent) || (err == nil && job.Team != team) {
		return nil, 0, fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "no such batch")
	}
	if err != nil {
		return nil, 0, refusalOf(err)
	}
	return &job, version, nil
}

// count sets the job's counts to the sums of its chunk records.
func (s *Submitter) count(ctx context.Context, job *fescuebank.Job) error {
	objects, _, err := s.store.List(ctx, fescuebank.RecordPrefix(job.ID))
	if err != nil {
		return err
	}
	job.Counts.Completed, job.Counts.Failed = 0, 0
	for _, o := range objects {
		record, err := s.serializer.DecodeRecord(o.Value)
		if err != nil {
			return err
		}
		job.Counts.Completed += record.Completed
		job.Counts.Failed += record.Failed
	}
	return nil
}

// Jobs returns up to limit of the team's jobs, the newest first.
func (s *Submitter) Jobs(ctx context.Context, team fescuebank.TeamID, limit int) ([]*fescuebank.Job, error) {
	prefix := fescuebank.TeamJobKey(team, "")
	objects, _, err := s.store.List(ctx, prefix)
	if err != nil {
		return nil, refusalOf(err)
	}
	slices.SortFunc(objects, func(a, b fescuebank.Object) int { return int(b.Version) - int(a.Version) })
	var jobs []*fescuebank.Job
	for _, o := range objects {
		if len(jobs) == limit {
			break
		}
		var job fescuebank.Job
		_, err := s.read(ctx, fescuebank.JobKey(fescuebank.JobID(strings.TrimPrefix(o.Key, prefix))), &job)
		if errors.Is(err, fescuebank.ErrAbsent) {
			continue
		}
		if err != nil {
			return nil, refusalOf(err)
		}
		jobs = append(jobs, &job)
	}
	return jobs, nil
}

// ActiveJobs returns up to limit unfinished jobs of all teams with their current counts.
func (s *Submitter) ActiveJobs(ctx context.Context, limit int) ([]*fescuebank.Job, error) {
	objects, _, err := s.store.List(ctx, fescuebank.ActivePrefix)
	if err != nil {
		return nil, refusalOf(err)
	}
	var jobs []*fescuebank.Job
	for _, o := range objects[:min(len(objects), limit)] {
		var marker fescuebank.ActiveJob
		if json.Unmarshal(o.Value, &marker) != nil {
			continue // One odd marker must not hide all jobs.
		}
		id := fescuebank.JobID(strings.TrimPrefix(o.Key, fescuebank.ActivePrefix))
		if job, err := s.Job(ctx, marker.Team, id); err == nil {
			jobs = append(jobs, job)
		}
	}
	return jobs, nil
}

// Cancel marks a job that has not ended as cancelling; its owner then stops it.
func (s *Submitter) Cancel(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID) (*fescuebank.Job, error) {
	for range updateAttempts {
		job, version, err := s.job(ctx, team, id)
		if err != nil {
			return nil, err
		}
		if job.Status.Final() {
			return job, nil
		}
		if err := s.markCancelling(ctx, job, version); errors.Is(err, fescuebank.ErrVersion) || errors.Is(err, fescuebank.ErrOutcomeUnknown) {
			continue
		} else if err != nil {
			return nil, refusalOf(err)
		}
		return job, nil
	}
	return nil, refusalOf(fescuebank.ErrStoreDown)
}

// markCancelling records the cancellation in the job, and then in the marker, by which
// the owner learns of it.
func (s *Submitter) markCancelling(ctx context.Context, job *fescuebank.Job, version fescuebank.StoreVersion) error {
	if job.Status != fescuebank.JobCancelling {
		job.Status = fescuebank.JobCancelling
		value, err := json.Marshal(job)
		if err != nil {
			return eris.Wrap(err, "Submitter.markCancelling")
		}
		if _, err := s.store.Put(ctx, fescuebank.JobKey(job.ID), value, version); err != nil {
			return err
		}
	}
	var marker fescuebank.ActiveJob
	markerVersion, err := s.read(ctx, fescuebank.ActiveKey(job.ID), &marker)
	if errors.Is(err, fescuebank.ErrAbsent) || (err == nil && marker.Cancel) {
		return nil
	}
	if err != nil {
		return err
	}
	marker.Cancel = true
	value, err := json.Marshal(marker)
	if err != nil {
		return eris.Wrap(err, "Submitter.markCancelling")
	}
	_, err = s.store.Put(ctx, fescuebank.ActiveKey(job.ID), value, markerVersion)
	return err
}
