package coordinator

import (
	"sync"

	"fescuebank"
	"fescuebank/internal/batch/tracker"
)

// ownedJob is one job that this instance owns.
type ownedJob struct {
	mu   sync.Mutex
	spec fescuebank.Job
	// fencing is the fencing number under which the job was loaded.
	fencing fescuebank.FencingNumber
	tracker *tracker.Tracker
	// stale is set when the job must be loaded again, because another owner may have
	// written to it or the outcome of a write is unknown.
	stale bool
}

// isStale returns stale.
func (j *ownedJob) isStale() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stale
}

// status returns the status of the job when it was loaded.
func (j *ownedJob) status() fescuebank.JobStatus {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.spec.Status
}
