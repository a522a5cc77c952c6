// Package coordinator coordinates the batch jobs that this instance owns: it hands
// items to pullers, commits their results and ends the jobs.
package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/serializer"
)

// tickInterval is how often ownership is updated and each job maintained.
const tickInterval = 200 * time.Millisecond

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
	// jobs are the owned jobs that have been loaded.
	jobs map[fescuebank.JobID]*ownedJob
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

// isCancelled reports whether the marker of a job asks for its cancellation.
func (co *Coordinator) isCancelled(id fescuebank.JobID) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.active[id].Cancel
}
