// Package manager manages the routed batch jobs of the teams that this instance
// owns: it accepts them, hands out their items and commits the results.
package manager

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/estimator"
	"fescuebank/internal/batch/persister"
)

const (
	// maxCommitDelay bounds how long a finished item waits for others that can be
	// committed in the same segment.
	maxCommitDelay = 1800 * time.Millisecond
	// commitRetryPause is the pause after a failed commit.
	commitRetryPause = 250 * time.Millisecond
	// loadTimeout bounds one attempt to load a team's jobs.
	loadTimeout = 8 * time.Second
	// ledgerAttempts bounds the conditional writes of one ledger update.
	ledgerAttempts = 6
	// confirmAttempts and confirmTimeout bound the reads of the list of owners for one call. All of them fit in the time that an
	// instance gives the owner for the end of a job.
	confirmAttempts = 2
	confirmTimeout  = 350 * time.Millisecond
	// capRetryAfter is the Retry-After of a job that exceeds the route's cap of
	// waiting tokens.
	capRetryAfter = time.Second
	// storeRetryAfter is the Retry-After while the store is unreachable, and the
	// pause between attempts to load a team's jobs.
	storeRetryAfter = 500 * time.Millisecond
	// unreadableRetryAfter is the Retry-After of calls about a job that is damaged in the store, and the minimum time
	// between two attempts to read it.
	unreadableRetryAfter = 10 * time.Second
	// maxUnmarkedDone bounds the number of done jobs that the ledger lists as open.
	maxUnmarkedDone = 32
	// recentClosedJobs is how many jobs of a team that are done or ended are loaded at a takeover.
	recentClosedJobs = 4
	// maxPageBytes bounds the outputs of one page of results.
	maxPageBytes = 1 << 20
)

// Config holds a manager's dependencies and callbacks.
type Config struct {
	// Owns reports whether this incarnation owns a team, and under which epoch of
	// the list of owners.
	Owns func(fescuebank.TeamID) (fescuebank.FencingNumber, bool)
	// ConfirmOwner reads the list of owners from the store, which calls back UpdateOwnership if it is a new one, and reports
	// whether it names this incarnation as a team's owner.
	ConfirmOwner func(ctx context.Context, team fescuebank.TeamID) (bool, error)
	// TookOver reports whether the newest list of owners moved the team here from
	// another incarnation.
	TookOver  func(fescuebank.TeamID) bool
	Persister *persister.Persister
	// Table returns the current configuration, or nil.
	Table func() *fescuebank.RouteTable
	// ConfigAsOf returns the store version up to which the replica of the configuration is current.
	ConfigAsOf func() fescuebank.StoreVersion
	// RefreshConfig makes this instance read the configuration from the store soon. It doesn't wait for it.
	RefreshConfig func()
	// Estimator estimates the run times of items.
	Estimator *estimator.Estimator
	Clock     fescuebank.Clock
	Log       hclog.Logger
	// TimeToEnd returns how long an item of a service takes from now on to run for a time; nil means
	// that it is never interrupted.
	TimeToEnd func(service fescuebank.ServiceName, run time.Duration) time.Duration
	// OnItemEnd is called when Finish records an item's outcome.
	OnItemEnd func(team fescuebank.TeamID, failed, onTime bool)
	// OnItemsAvailable is called when items may be waiting.
	OnItemsAvailable func()
	// Self is this instance's id.
	Self fescuebank.InstanceID
	// SendHandover sends the progress of a team's items to the team's next owner.
	SendHandover func(ProgressHandover)
	// FormerOwner returns the instance that owned a team by the list of owners before, if it is
	// alive, so that it sends the progress of the team's items. Nil means that none is known.
	FormerOwner func(fescuebank.TeamID) (FormerOwner, bool)
	// ClosedBudget bounds the memory of loaded jobs that are done or ended, but one of them may exceed it; 0 sets no bound.
	ClosedBudget fescuebank.Bytes
}

// FormerOwner is the instance that owned a team by the list of owners before.
type FormerOwner struct {
	ID fescuebank.InstanceID
	// ConfirmsChanges is set if the instance acknowledges changes of jobs only while the store names it as the owner. Older builds
	// don't.
	ConfirmsChanges bool
}

// Manager holds the jobs of each owned team.
type Manager struct {
	Config

	// uncommitted is the number of jobs with outcomes that are not committed yet.
	uncommitted atomic.Int64
	// handovers is the number of teams whose progress is being sent to the next owner.
	handovers atomic.Int64
	// dropped counts the jobs that were dropped from memory, reloaded those that were loaded for a caller.
	dropped, reloaded atomic.Uint64
	// dropLock serializes dropClosed. It is held during writes, so it is a channel like ledgerLock.
	dropLock chan struct{}

	mu    sync.Mutex
	teams map[fescuebank.TeamID]*teamJobs
	// refreshedAt is when RefreshConfig was last called.
	refreshedAt time.Time
}

// teamJobs is the state of one team's jobs.
type teamJobs struct {
	team fescuebank.TeamID
	// epoch is the epoch of the list of owners by which this incarnation became the
	// team's owner.
	epoch fescuebank.FencingNumber
	// ledgerLock serializes reads and writes of the ledger in the store. It is a
	// channel, so that a context can end the wait for it.
	ledgerLock chan struct{}

	mu      sync.Mutex
	loaded  bool
	ledger  persister.Ledger
	version fescuebank.StoreVersion
	// jobs are the jobs that are loaded: all open ones, and of the others those that were open here or
	// were read and have not been dropped since.
	jobs map[fescuebank.JobID]*job
	// unreadable are the listed jobs that could not be read, with the time before which they are not read again.
	unreadable map[fescuebank.JobID]time.Time
	// closed is set when this incarnation no longer owns the team.
	closed bool
	// expectedFrom is the former owner from which a handover is expected, else empty. Items that
	// are loaded meanwhile wait for it until expectedUntil.
	expectedFrom  fescuebank.InstanceID
	expectedUntil time.Time
	// handedOver is closed when the expected handover has arrived.
	handedOver chan struct{}
}

// New returns a manager without jobs.
func New(c Config) *Manager {
	return &Manager{Config: c, dropLock: make(chan struct{}, 1), teams: make(map[fescuebank.TeamID]*teamJobs)}
}

// teamJobs returns the jobs of a team that this incarnation owns, and loads them
// from the store on the first call.
func (m *Manager) teamJobs(ctx context.Context, team fescuebank.TeamID) (*teamJobs, error) {
	epoch, owns := m.Owns(team)
	if !owns {
		return nil, fescuebank.ErrNotOwner
	}
	tj := m.addTeam(team, epoch)
	if tj.isLoaded() {
		return tj, nil
	}
	if err := tj.lockLedger(ctx); err != nil {
		return nil, err
	}
	defer tj.unlockLedger()
	if tj.isLoaded() {
		return tj, nil
	}
	return tj, m.refresh(ctx, tj)
}

func (tj *teamJobs) isLoaded() bool {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	return tj.loaded
}

func (tj *teamJobs) isClosed() bool {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	return tj.closed
}

// Status summarizes the jobs that this incarnation owns.
type Status struct {
	Jobs    int `json:"jobs"`
	Open    int `json:"open"`
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Committed is the number of committed results of the jobs in memory.
	Committed int `json:"listed"`
	// OldestMs is the age of the oldest open job in milliseconds.
	OldestMs int64 `json:"oldestMs"`
	// ClosedBytes is the memory of the jobs that are done or ended.
	ClosedBytes fescuebank.Bytes `json:"closedBytes"`
	// Dropped counts the jobs that were dropped from memory, Reloaded the done or ended jobs that were loaded for a caller, since
	// the start.
	Dropped  uint64 `json:"dropped"`
	Reloaded uint64 `json:"reloaded"`
}

// Status returns the counts of the jobs and items that this incarnation owns.
func (m *Manager) Status() Status {
	status := Status{Dropped: m.dropped.Load(), Reloaded: m.reloaded.Load()}
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, tj := range m.teams {
		tj.mu.Lock()
		for _, j := range tj.jobs {
			j.addTo(&status, now)
		}
		tj.mu.Unlock()
	}
	return status
}

// ExpediteCommits makes finished items commit without waiting for others.
func (m *Manager) ExpediteCommits() {
	for _, j := range m.openJobs() {
		j.mu.Lock()
		j.expedited = true
		j.mu.Unlock()
	}
}

// AllCommitted reports whether every outcome is committed.
func (m *Manager) AllCommitted() bool {
	return m.uncommitted.Load() == 0
}
