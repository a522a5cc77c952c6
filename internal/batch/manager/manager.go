// Package manager manages the routed batch jobs of the teams that this instance
// owns: it accepts them, hands out their items and commits the results.
package manager

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
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
	// capRetryAfter is the Retry-After of a job that exceeds the route's cap of
	// waiting tokens.
	capRetryAfter = time.Second
	// storeRetryAfter is the Retry-After while the store is unreachable, and the
	// pause between attempts to load a team's jobs.
	storeRetryAfter = 500 * time.Millisecond
	// maxPageBytes bounds the outputs of one page of results.
	maxPageBytes = 1 << 20
)

// Config holds a manager's dependencies and callbacks.
type Config struct {
	// Owns reports whether this incarnation owns a team, and under which epoch of
	// the list of owners.
	Owns func(fescuebank.TeamID) (fescuebank.FencingNumber, bool)
	// TookOver reports whether the newest list of owners moved the team here from
	// another incarnation.
	TookOver  func(fescuebank.TeamID) bool
	Persister *persister.Persister
	// Table returns the current configuration, or nil.
	Table func() *fescuebank.RouteTable
	Clock fescuebank.Clock
	Log   hclog.Logger
	// OnItemEnd is called when Finish records an item's outcome.
	OnItemEnd func(team fescuebank.TeamID, failed, onTime bool)
	// OnItemsAvailable is called when items may be waiting.
	OnItemsAvailable func()
	// SendHandover sends the progress of a team's items to the team's next owner.
	SendHandover func(ProgressHandover)
}

// Manager holds the jobs of each owned team.
type Manager struct {
	Config

	// uncommitted is the number of jobs with outcomes that are not committed yet.
	uncommitted atomic.Int64

	mu    sync.Mutex
	teams map[fescuebank.TeamID]*teamJobs
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
	jobs    map[fescuebank.JobID]*job
	// closed is set when this incarnation no longer owns the team.
	closed bool
}

// New returns a manager without jobs.
func New(c Config) *Manager {
	return &Manager{Config: c, teams: make(map[fescuebank.TeamID]*teamJobs)}
}

// teamJobs returns the jobs of a team that this incarnation owns, and loads them
// from the store on the first call.
func (m *Manager) teamJobs(ctx context.Context, team fescuebank.TeamID) (*teamJobs, error) {
	epoch, owns := m.Owns(team)
	if !owns {
		return nil, fescuebank.ErrNotOwner
	}
	m.mu.Lock()
	tj := m.teams[team]
	if tj == nil {
		tj = &teamJobs{team: team, epoch: epoch, jobs: make(map[fescuebank.JobID]*job), ledgerLock: make(chan struct{}, 1)}
		m.teams[team] = tj
	}
	m.mu.Unlock()
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

// lockLedger acquires ledgerLock.
func (tj *teamJobs) lockLedger(ctx context.Context) error {
	select {
	case tj.ledgerLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (tj *teamJobs) unlockLedger() {
	<-tj.ledgerLock
}

// refresh reads the ledger, and those jobs in it that are not loaded yet. The
// caller holds ledgerLock.
func (m *Manager) refresh(ctx context.Context, tj *teamJobs) error {
	ledger, version, err := m.Persister.Ledger(ctx, tj.team)
	if err != nil {
		return err
	}
	if ledger.Epoch > tj.epoch {
		m.release(tj)
		return fescuebank.ErrNotOwner
	}
	var missing []persister.LedgerEntry
	tj.mu.Lock()
	for _, e := range ledger.Jobs {
		j := tj.jobs[e.Job]
		if j == nil {
			missing = append(missing, e)
			continue
		}
		if e.Ended {
			j.end()
		}
	}
	tj.mu.Unlock()
	jobs := make([]*job, 0, len(missing))
	for _, e := range missing {
		j, err := m.loadJob(ctx, tj, e)
		if err != nil {
			return err
		}
		jobs = append(jobs, j)
	}
	tj.mu.Lock()
	for _, j := range jobs {
		tj.jobs[j.spec.ID] = j
	}
	tj.ledger, tj.version, tj.loaded = ledger, version, true
	tj.mu.Unlock()
	if len(jobs) > 0 {
		m.Log.Info("Jobs loaded.", "team", string(tj.team), "jobs", len(jobs), "version", uint64(version))
	}
	m.OnItemsAvailable()
	return nil
}

// loadJob reads a job and its results. If results are missing it writes the next
// segment, empty: a former owner that still commits then conflicts with it and
// learns from its epoch that the team has a new owner.
func (m *Manager) loadJob(ctx context.Context, tj *teamJobs, e persister.LedgerEntry) (*job, error) {
	spec, err := m.Persister.Job(ctx, e.Job)
	if err != nil {
		return nil, err
	}
	j := newJob(tj, spec)
	j.delayItems(m.Clock.Now().Add(handoverWait))
	if e.Ended {
		j.end()
	}
	for {
		segment, err := m.Persister.Segment(ctx, e.Job, j.segments)
		if errors.Is(err, fescuebank.ErrAbsent) {
			if j.isDone() {
				return j, nil
			}
			segment = persister.Segment{Epoch: tj.epoch}
			err = m.Persister.PutSegment(ctx, e.Job, j.segments, segment)
			if errors.Is(err, persister.ErrExists) {
				continue
			}
			if err == nil {
				j.applySegment(nil)
				return j, nil
			}
		}
		if err != nil {
			return nil, err
		}
		if segment.Epoch > tj.epoch {
			m.release(tj)
			return nil, fescuebank.ErrNotOwner
		}
		j.applySegment(segment.Results)
	}
}

// release drops the jobs of a team that another incarnation has taken over. If
// this incarnation owns the team again it reloads them from the store.
func (m *Manager) release(tj *teamJobs) {
	m.Log.Info("Jobs released: the store names a newer owner.", "team", string(tj.team), "epoch", uint64(tj.epoch))
	m.mu.Lock()
	if m.teams[tj.team] == tj {
		delete(m.teams, tj.team)
	}
	m.mu.Unlock()
	tj.close()
}

// UpdateOwnership drops the jobs of teams that this incarnation no longer owns, or that
// another incarnation owned in between, and sends the progress of their items to the
// next owner. It loads the jobs of teams that this incarnation owns now.
func (m *Manager) UpdateOwnership() {
	m.mu.Lock()
	for team, tj := range m.teams {
		if epoch, owns := m.Owns(team); owns && (tj.epoch == epoch || !m.TookOver(team)) {
			continue
		}
		delete(m.teams, team)
		tj.close()
		go m.handOver(tj)
		m.Log.Info("Jobs released: ownership of the team changed.", "team", string(team))
	}
	m.mu.Unlock()
	t := m.Table()
	if t == nil {
		return
	}
	for team := range t.Teams {
		if _, owns := m.Owns(team); owns && !m.hasTeam(team) {
			go m.preload(team)
		}
	}
}

func (m *Manager) hasTeam(team fescuebank.TeamID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.teams[team] != nil
}

// preload loads a team's jobs. It retries until it succeeds or the team has another
// owner.
func (m *Manager) preload(team fescuebank.TeamID) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		_, err := m.teamJobs(ctx, team)
		cancel()
		if err == nil || errors.Is(err, fescuebank.ErrNotOwner) {
			return
		}
		m.Log.Warn("Jobs not loaded.", "team", string(team), "err", err.Error())
		_ = fescuebank.Sleep(context.Background(), m.Clock, storeRetryAfter)
	}
}

// close stops all running attempts of the team's items.
func (tj *teamJobs) close() {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	tj.closed = true
	for _, j := range tj.jobs {
		j.stopAll()
	}
}

// Status summarizes the jobs that this incarnation owns.
type Status struct {
	Jobs    int `json:"jobs"`
	Open    int `json:"open"`
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Committed is the number of committed results.
	Committed int `json:"listed"`
	// OldestMs is the age of the oldest open job in milliseconds.
	OldestMs int64 `json:"oldestMs"`
}

// Status returns the counts of the jobs and items that this incarnation owns.
func (m *Manager) Status() Status {
	var status Status
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

// Submit stores a job with all its items. It returns nil if the job is accepted,
// by this call or an earlier one, and otherwise a refusal or fescuebank.ErrNotOwner.
func (m *Manager) Submit(ctx context.Context, spec *fescuebank.RoutedJob) error {
	tj, err := m.teamJobs(ctx, spec.Team)
	if err != nil {
		return m.refusalOf(err)
	}
	if err := tj.lockLedger(ctx); err != nil {
		return m.refusalOf(err)
	}
	defer tj.unlockLedger()
	if tj.lists(spec.ID) {
		return nil
	}
	if err := m.checkCap(tj, spec); err != nil {
		return err
	}
	if err := m.Persister.PutJob(ctx, spec); err != nil {
		m.Log.Warn("Job not stored.", "job", string(spec.ID), "team", string(spec.Team), "err", err.Error())
		return m.refusalOf(err)
	}
	err = m.updateLedger(ctx, tj, func(l *persister.Ledger) bool {
		if l.Find(spec.ID) != nil {
			return false
		}
		l.Jobs = append(l.Jobs, persister.LedgerEntry{
			Job: spec.ID, Route: spec.Route, SubmittedUnixMilli: spec.Submitted.UnixMilli(), Total: len(spec.Items), Tokens: spec.Tokens(),
		})
		return true
	})
	if err != nil {
		return err
	}
	tj.mu.Lock()
	if tj.jobs[spec.ID] == nil {
		tj.jobs[spec.ID] = newJob(tj, spec)
	}
	tj.mu.Unlock()
	m.Log.Info("Job accepted.", "job", string(spec.ID), "team", string(spec.Team), "items", len(spec.Items),
		"tokens", int64(spec.Tokens()), "waiting", int64(tj.waiting(spec.Route)), "ledger", uint64(tj.version))
	m.OnItemsAvailable()
	return nil
}

func (tj *teamJobs) lists(id fescuebank.JobID) bool {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	return tj.ledger.Find(id) != nil
}

// refusalOf converts an error of the store into a refusal of a call that changed
// nothing. It returns fescuebank.ErrNotOwner unchanged.
func (m *Manager) refusalOf(err error) error {
	if errors.Is(err, fescuebank.ErrNotOwner) {
		return err
	}
	return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeStoreDown, "the store is out of reach").WithRetryAfter(storeRetryAfter)
}

// checkCap refuses a job that would exceed the route's cap of waiting tokens.
func (m *Manager) checkCap(tj *teamJobs, spec *fescuebank.RoutedJob) error {
	route := m.route(spec)
	if route == nil {
		return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeConfigStale, "the route is not known here yet").WithRetryAfter(storeRetryAfter)
	}
	waiting := tj.waiting(spec.Route)
	if route.MaxWaitingTokens > 0 && waiting+spec.Tokens() > route.MaxWaitingTokens {
		m.Log.Info("Job refused.", "job", string(spec.ID), "team", string(spec.Team), "waiting", int64(waiting),
			"tokens", int64(spec.Tokens()), "cap", int64(route.MaxWaitingTokens))
		return fescuebank.Refuse(http.StatusTooManyRequests, fescuebank.CodeRateLimited, "the team has too many tokens waiting").WithRetryAfter(capRetryAfter)
	}
	return nil
}

// route returns a job's route in the current configuration, or nil.
func (m *Manager) route(spec *fescuebank.RoutedJob) *fescuebank.Route {
	t := m.Table()
	if t == nil {
		return nil
	}
	r, ok := t.Match(spec.Host, spec.Path)
	if !ok || r.Kind != fescuebank.RouteBatch {
		return nil
	}
	return r
}

// waiting returns the sum of the tokens of a route's items without a committed
// result. Ended jobs don't count.
func (tj *teamJobs) waiting(route string) fescuebank.Tokens {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	var sum fescuebank.Tokens
	for _, j := range tj.jobs {
		if j.spec.Route == route {
			sum += j.waitingTokens()
		}
	}
	return sum
}

// updateLedger applies edit to the ledger and writes it conditionally, until a write
// succeeds or edit reports that there is nothing to change. If a write's outcome
// stays unknown the refusal says that the change may have taken effect. The caller
// holds ledgerLock.
func (m *Manager) updateLedger(ctx context.Context, tj *teamJobs, edit func(*persister.Ledger) bool) error {
	outcomeUnknown := false
	for range ledgerAttempts {
		next := tj.nextLedger()
		if !edit(&next) {
			return nil
		}
		version, err := m.Persister.PutLedger(ctx, tj.team, next, tj.version)
		if err == nil {
			tj.mu.Lock()
			tj.ledger, tj.version = next, version
			tj.mu.Unlock()
			return nil
		}
		switch {
		case errors.Is(err, fescuebank.ErrVersion):
			// Another owner wrote the ledger, or an earlier write of this call whose
			// outcome was unknown took effect.
			err := m.refresh(ctx, tj)
			if errors.Is(err, fescuebank.ErrNotOwner) && !outcomeUnknown {
				return err
			}
			if err != nil {
				m.Log.Warn("Ledger not read.", "team", string(tj.team), "err", err.Error())
			}
		case errors.Is(err, fescuebank.ErrOutcomeUnknown):
			outcomeUnknown = true
		}
		if fescuebank.Sleep(ctx, m.Clock, commitRetryPause/4) != nil {
			break
		}
	}
	m.Log.Warn("Ledger not written.", "team", string(tj.team), "open", outcomeUnknown)
	if outcomeUnknown {
		return fescuebank.Refuse(http.StatusGatewayTimeout, fescuebank.CodeStoreDown, "the store did not answer").WithState(fescuebank.MayHaveRun)
	}
	return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeStoreDown, "the store is out of reach").WithRetryAfter(storeRetryAfter)
}

// nextLedger returns a copy of the ledger in which finished jobs are marked done.
func (tj *teamJobs) nextLedger() persister.Ledger {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	next := persister.Ledger{Epoch: max(tj.epoch, tj.ledger.Epoch)}
	for _, e := range tj.ledger.Jobs {
		if j := tj.jobs[e.Job]; j != nil && j.isDone() {
			e.Done = true
		}
		next.Jobs = append(next.Jobs, e)
	}
	return next
}

// End ends a job at its caller's request.
func (m *Manager) End(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID) error {
	tj, err := m.teamJobs(ctx, team)
	if err != nil {
		return m.refusalOf(err)
	}
	if _, err := m.find(ctx, tj, id); err != nil {
		return err
	}
	if err := tj.lockLedger(ctx); err != nil {
		return m.refusalOf(err)
	}
	defer tj.unlockLedger()
	err = m.updateLedger(ctx, tj, func(l *persister.Ledger) bool {
		e := l.Find(id)
		if e == nil || e.Ended {
			return false
		}
		e.Ended = true
		return true
	})
	if err != nil {
		return err
	}
	tj.mu.Lock()
	j := tj.jobs[id]
	tj.mu.Unlock()
	if j != nil {
		j.end()
	}
	m.Log.Info("Job ended by its caller.", "job", string(id), "team", string(team), "ledger", uint64(tj.version))
	return nil
}

// find returns a job. If the job is not loaded it reads the ledger before it
// reports that there is none.
func (m *Manager) find(ctx context.Context, tj *teamJobs, id fescuebank.JobID) (*job, error) {
	tj.mu.Lock()
	j := tj.jobs[id]
	tj.mu.Unlock()
	if j != nil {
		return j, nil
	}
	if err := tj.lockLedger(ctx); err != nil {
		return nil, m.refusalOf(err)
	}
	defer tj.unlockLedger()
	if err := m.refresh(ctx, tj); err != nil {
		return nil, m.refusalOf(err)
	}
	tj.mu.Lock()
	defer tj.mu.Unlock()
	if j := tj.jobs[id]; j != nil {
		return j, nil
	}
	return nil, fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "no such batch job")
}

// Read returns the results from position after on. If there is none yet it waits
// for one, up to wait.
func (m *Manager) Read(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID, after int, wait time.Duration) (*fescuebank.ResultPage, error) {
	tj, err := m.teamJobs(ctx, team)
	if err != nil {
		return nil, m.refusalOf(err)
	}
	j, err := m.find(ctx, tj, id)
	if err != nil {
		return nil, err
	}
	timeout := m.Clock.After(wait)
	for {
		page, changed := j.page(after)
		if len(page.Results) > 0 || wait <= 0 || after >= page.Total {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, nil
		}
	}
}

// Item returns the body of an item without a committed result.
func (m *Manager) Item(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID, item string) ([]byte, error) {
	tj, err := m.teamJobs(ctx, team)
	if err != nil {
		return nil, m.refusalOf(err)
	}
	j, err := m.find(ctx, tj, id)
	if err != nil {
		return nil, err
	}
	body, ok := j.itemBody(item)
	if !ok {
		return nil, fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "no such item without a result")
	}
	return body, nil
}
