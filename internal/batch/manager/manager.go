// Package manager keeps the routed batch jobs of the teams that this instance
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
	// commitAge is how long a finished item may wait for others before its result
	// is committed.
	commitAge = 1800 * time.Millisecond
	// commitRetry is the pause after a commit that failed.
	commitRetry = 250 * time.Millisecond
	// loadTimeout bounds the reading of a team's jobs.
	loadTimeout = 8 * time.Second
	// ledgerTries is how often a ledger is written over newer versions.
	ledgerTries = 6
	// capRetry is when a caller should return whose job did not fit.
	capRetry = time.Second
	// storeRetry is when a caller should return while the store is out of reach.
	storeRetry = 500 * time.Millisecond
	// pageBytes bounds the outputs of one page of results.
	pageBytes = 1 << 20
)

// Config is what a manager works with.
type Config struct {
	// Owns reports whether this run owns a team, and under which epoch of the list
	// of owners. TookOver reports whether the list took the team from another run.
	Owns      func(fescuebank.TeamID) (fescuebank.FencingNumber, bool)
	TookOver  func(fescuebank.TeamID) bool
	Persister *persister.Persister
	// Table returns the configuration in force, or nil.
	Table func() *fescuebank.RouteTable
	Clock fescuebank.Clock
	Log   hclog.Logger
	// OnItemEnd counts an item that was completed or given up.
	OnItemEnd func(team fescuebank.TeamID, failed, onTime bool)
	// OnItemsAvailable is called when items wait.
	OnItemsAvailable func()
	// SendHandover tells the next owner of a team the progress of its items.
	SendHandover func(ProgressHandover)
}

// Manager holds an account for each team.
type Manager struct {
	Config

	// uncommitted is the number of jobs with outcomes that wait for their commit.
	uncommitted atomic.Int64

	mu       sync.Mutex
	accounts map[fescuebank.TeamID]*account
}

// account is the state of one team's jobs.
type account struct {
	team fescuebank.TeamID
	// epoch is the one under which this run began to own the team.
	epoch fescuebank.FencingNumber
	// writing holds a value while the ledger is read or written.
	writing chan struct{}

	mu      sync.Mutex
	loaded  bool
	ledger  persister.Ledger
	version fescuebank.StoreVersion
	jobs    map[fescuebank.JobID]*job
	// closed is set once this run doesn't own the team any more.
	closed bool
}

// New returns a manager without jobs.
func New(c Config) *Manager {
	return &Manager{Config: c, accounts: make(map[fescuebank.TeamID]*account)}
}

// account returns the account of a team that this run owns, read from the store.
func (s *Manager) account(ctx context.Context, team fescuebank.TeamID) (*account, error) {
	epoch, owns := s.Owns(team)
	if !owns {
		return nil, fescuebank.ErrNotOwner
	}
	s.mu.Lock()
	a := s.accounts[team]
	if a == nil {
		a = &account{team: team, epoch: epoch, jobs: make(map[fescuebank.JobID]*job), writing: make(chan struct{}, 1)}
		s.accounts[team] = a
	}
	s.mu.Unlock()
	if a.isLoaded() {
		return a, nil
	}
	if err := a.begin(ctx); err != nil {
		return nil, err
	}
	defer a.finish()
	if a.isLoaded() {
		return a, nil
	}
	return a, s.refresh(ctx, a)
}

func (a *account) isLoaded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loaded
}

// begin waits for the turn to read or write the ledger.
func (a *account) begin(ctx context.Context) error {
	select {
	case a.writing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *account) finish() {
	<-a.writing
}

// refresh reads the ledger and the jobs that it lists and this run lacks. The
// caller holds the account's writing lock.
func (s *Manager) refresh(ctx context.Context, a *account) error {
	ledger, version, err := s.Persister.Ledger(ctx, a.team)
	if err != nil {
		return err
	}
	if ledger.Epoch > a.epoch {
		s.forsake(a)
		return fescuebank.ErrNotOwner
	}
	var missing []persister.LedgerEntry
	a.mu.Lock()
	for _, e := range ledger.Jobs {
		have := a.jobs[e.Job]
		if have == nil {
			missing = append(missing, e)
			continue
		}
		if e.Ended {
			have.end()
		}
	}
	a.mu.Unlock()
	jobs := make([]*job, 0, len(missing))
	for _, e := range missing {
		j, err := s.load(ctx, a, e)
		if err != nil {
			return err
		}
		jobs = append(jobs, j)
	}
	a.mu.Lock()
	for _, j := range jobs {
		a.jobs[j.spec.ID] = j
	}
	a.ledger, a.version, a.loaded = ledger, version, true
	a.mu.Unlock()
	if len(jobs) > 0 {
		s.Log.Info("Jobs loaded.", "team", string(a.team), "jobs", len(jobs), "version", uint64(version))
	}
	s.OnItemsAvailable()
	return nil
}

// load reads a job and its results. Of a job without all results it writes the next
// segment, empty, so that an earlier owner finds out that it is one.
func (s *Manager) load(ctx context.Context, a *account, e persister.LedgerEntry) (*job, error) {
	spec, err := s.Persister.Job(ctx, e.Job)
	if err != nil {
		return nil, err
	}
	j := newJob(a, spec)
	j.pause(s.Clock.Now().Add(handoverPause))
	if e.Ended {
		j.end()
	}
	for {
		segment, err := s.Persister.Segment(ctx, e.Job, j.segments)
		if errors.Is(err, fescuebank.ErrAbsent) {
			if j.isDone() {
				return j, nil
			}
			segment = persister.Segment{Epoch: a.epoch}
			err = s.Persister.PutSegment(ctx, e.Job, j.segments, segment)
			if errors.Is(err, persister.ErrExists) {
				continue
			}
			if err == nil {
				j.take(nil)
				return j, nil
			}
		}
		if err != nil {
			return nil, err
		}
		if segment.Epoch > a.epoch {
			s.forsake(a)
			return nil, fescuebank.ErrNotOwner
		}
		j.take(segment.Results)
	}
}

// forsake drops an account that another run has taken over. If this run owns the
// team again it reads everything anew.
func (s *Manager) forsake(a *account) {
	s.Log.Info("Team has another owner.", "team", string(a.team), "epoch", uint64(a.epoch))
	s.mu.Lock()
	if s.accounts[a.team] == a {
		delete(s.accounts, a.team)
	}
	s.mu.Unlock()
	a.close()
}

// UpdateOwnership drops the accounts of teams that this run doesn't own any more and
// reads those that it owns now.
func (s *Manager) UpdateOwnership() {
	s.mu.Lock()
	for team, a := range s.accounts {
		if epoch, owns := s.Owns(team); owns && (a.epoch == epoch || !s.TookOver(team)) {
			continue
		}
		delete(s.accounts, team)
		a.close()
		go s.pass(a)
		s.Log.Info("Jobs given up.", "team", string(team))
	}
	s.mu.Unlock()
	t := s.Table()
	if t == nil {
		return
	}
	for team := range t.Teams {
		if _, owns := s.Owns(team); owns && !s.has(team) {
			go s.preload(team)
		}
	}
}

func (s *Manager) has(team fescuebank.TeamID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accounts[team] != nil
}

func (s *Manager) preload(team fescuebank.TeamID) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		_, err := s.account(ctx, team)
		cancel()
		if err == nil || errors.Is(err, fescuebank.ErrNotOwner) {
			return
		}
		s.Log.Warn("Jobs not loaded.", "team", string(team), "err", err.Error())
		_ = fescuebank.Sleep(context.Background(), s.Clock, storeRetry)
	}
}

// close ends the work on an account's jobs.
func (a *account) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, j := range a.jobs {
		j.stopAll()
	}
}

// Status is the state of the jobs that this run owns.
type Status struct {
	Jobs    int `json:"jobs"`
	Open    int `json:"open"`
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	Listed  int `json:"listed"`
	// OldestMs is the age of the oldest open job.
	OldestMs int64 `json:"oldestMs"`
}

// Status counts the jobs and items that this run owns.
func (s *Manager) Status() Status {
	var status Status
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		a.mu.Lock()
		for _, j := range a.jobs {
			j.addTo(&status, now)
		}
		a.mu.Unlock()
	}
	return status
}

// ExpediteCommits commits what is finished without waiting for more.
func (s *Manager) ExpediteCommits() {
	for _, j := range s.openJobs() {
		j.mu.Lock()
		j.hurry = true
		j.mu.Unlock()
	}
}

// AllCommitted reports whether no outcome waits for its commit.
func (s *Manager) AllCommitted() bool {
	return s.uncommitted.Load() == 0
}

// Submit keeps a job whole. It returns a refusal, fescuebank.ErrNotOwner, or nil
// if the job is accepted, now or earlier.
func (s *Manager) Submit(ctx context.Context, spec *fescuebank.RoutedJob) error {
	a, err := s.account(ctx, spec.Team)
	if err != nil {
		return s.refuse(err)
	}
	if err := a.begin(ctx); err != nil {
		return s.refuse(err)
	}
	defer a.finish()
	if a.knows(spec.ID) {
		return nil
	}
	if err := s.checkCap(a, spec); err != nil {
		return err
	}
	if err := s.Persister.PutJob(ctx, spec); err != nil {
		s.Log.Warn("Job not kept.", "job", string(spec.ID), "team", string(spec.Team), "err", err.Error())
		return s.refuse(err)
	}
	err = s.editLedger(ctx, a, func(l *persister.Ledger) bool {
		if l.Find(spec.ID) != nil {
			return false
		}
		l.Jobs = append(l.Jobs, persister.LedgerEntry{
			Job: spec.ID, Route: spec.Route, Submitted: spec.Submitted.UnixMilli(), Total: len(spec.Items), Tokens: spec.Tokens(),
		})
		return true
	})
	if err != nil {
		return err
	}
	a.mu.Lock()
	if a.jobs[spec.ID] == nil {
		a.jobs[spec.ID] = newJob(a, spec)
	}
	a.mu.Unlock()
	s.Log.Info("Job accepted.", "job", string(spec.ID), "team", string(spec.Team), "items", len(spec.Items),
		"tokens", int64(spec.Tokens()), "waiting", int64(a.waiting(spec.Route)), "ledger", uint64(a.version))
	s.OnItemsAvailable()
	return nil
}

func (a *account) knows(id fescuebank.JobID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Find(id) != nil
}

// refuse turns an error of the store into a refusal of a call that changed nothing.
func (s *Manager) refuse(err error) error {
	if errors.Is(err, fescuebank.ErrNotOwner) {
		return err
	}
	return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeStoreDown, "the store is out of reach").WithRetryAfter(storeRetry)
}

// checkCap refuses a job that doesn't fit under the route's cap.
func (s *Manager) checkCap(a *account, spec *fescuebank.RoutedJob) error {
	route := s.route(spec)
	if route == nil {
		return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeConfigStale, "the route is not known here yet").WithRetryAfter(storeRetry)
	}
	waiting := a.waiting(spec.Route)
	if route.MaxWaitingTokens > 0 && waiting+spec.Tokens() > route.MaxWaitingTokens {
		s.Log.Info("Job refused.", "job", string(spec.ID), "team", string(spec.Team), "waiting", int64(waiting),
			"tokens", int64(spec.Tokens()), "cap", int64(route.MaxWaitingTokens))
		return fescuebank.Refuse(http.StatusTooManyRequests, fescuebank.CodeRateLimited, "the team has too many tokens waiting").WithRetryAfter(capRetry)
	}
	return nil
}

// route returns the route of a job as the configuration has it now, or nil.
func (s *Manager) route(spec *fescuebank.RoutedJob) *fescuebank.Route {
	t := s.Table()
	if t == nil {
		return nil
	}
	r, ok := t.Match(spec.Host, spec.Path)
	if !ok || r.Kind != fescuebank.RouteBatch {
		return nil
	}
	return r
}

// waiting sums the tokens of a route's items without a listed result.
func (a *account) waiting(route string) fescuebank.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	var sum fescuebank.Tokens
	for _, j := range a.jobs {
		if j.spec.Route == route {
			sum += j.waitingTokens()
		}
	}
	return sum
}

// editLedger changes the ledger by conditional writes until one takes effect or
// there is nothing to change. Its refusal says what is known of the change. The
// caller holds the account's writing lock.
func (s *Manager) editLedger(ctx context.Context, a *account, edit func(*persister.Ledger) bool) error {
	open := false
	for range ledgerTries {
		next := a.nextLedger()
		if !edit(&next) {
			return nil
		}
		version, err := s.Persister.PutLedger(ctx, a.team, next, a.version)
		if err == nil {
			a.mu.Lock()
			a.ledger, a.version = next, version
			a.mu.Unlock()
			return nil
		}
		switch {
		case errors.Is(err, fescuebank.ErrVersion):
			// The ledger moved on: by another owner, or by our own open write.
			err := s.refresh(ctx, a)
			if errors.Is(err, fescuebank.ErrNotOwner) && !open {
				return err
			}
			if err != nil {
				s.Log.Warn("Ledger not read.", "team", string(a.team), "err", err.Error())
			}
		case errors.Is(err, fescuebank.ErrOutcomeUnknown):
			open = true
		}
		if fescuebank.Sleep(ctx, s.Clock, commitRetry/4) != nil {
			break
		}
	}
	s.Log.Warn("Ledger not written.", "team", string(a.team), "open", open)
	if open {
		return fescuebank.Refuse(http.StatusGatewayTimeout, fescuebank.CodeStoreDown, "the store did not answer").WithState(fescuebank.MayHaveRun)
	}
	return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeStoreDown, "the store is out of reach").WithRetryAfter(storeRetry)
}

// nextLedger returns a copy of the ledger in which finished jobs are marked and
// old ones are left out.
func (a *account) nextLedger() persister.Ledger {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := persister.Ledger{Epoch: max(a.epoch, a.ledger.Epoch)}
	for _, e := range a.ledger.Jobs {
		if j := a.jobs[e.Job]; j != nil && j.isDone() {
			e.Done = true
		}
		next.Jobs = append(next.Jobs, e)
	}
	return next
}

// End ends a job.
func (s *Manager) End(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID) error {
	a, err := s.account(ctx, team)
	if err != nil {
		return s.refuse(err)
	}
	if _, err := s.find(ctx, a, id); err != nil {
		return err
	}
	if err := a.begin(ctx); err != nil {
		return s.refuse(err)
	}
	defer a.finish()
	err = s.editLedger(ctx, a, func(l *persister.Ledger) bool {
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
	a.mu.Lock()
	j := a.jobs[id]
	a.mu.Unlock()
	if j != nil {
		j.end()
	}
	s.Log.Info("Job ended by its caller.", "job", string(id), "team", string(team), "ledger", uint64(a.version))
	return nil
}

// find returns a job. Before it says that there is none it reads the ledger.
func (s *Manager) find(ctx context.Context, a *account, id fescuebank.JobID) (*job, error) {
	a.mu.Lock()
	j := a.jobs[id]
	a.mu.Unlock()
	if j != nil {
		return j, nil
	}
	if err := a.begin(ctx); err != nil {
		return nil, s.refuse(err)
	}
	defer a.finish()
	if err := s.refresh(ctx, a); err != nil {
		return nil, s.refuse(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if j := a.jobs[id]; j != nil {
		return j, nil
	}
	return nil, fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "no such batch job")
}

// Read returns the results at position after and later, waiting up to wait for one.
func (s *Manager) Read(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID, after int, wait time.Duration) (*fescuebank.ResultPage, error) {
	a, err := s.account(ctx, team)
	if err != nil {
		return nil, s.refuse(err)
	}
	j, err := s.find(ctx, a, id)
	if err != nil {
		return nil, err
	}
	due := s.Clock.After(wait)
	for {
		page, changed := j.page(after)
		if len(page.Results) > 0 || wait <= 0 || after >= page.Total {
			return page, nil
		}
		select {
		case <-changed:
		case <-due:
			return page, nil
		case <-ctx.Done():
			return page, nil
		}
	}
}

// Item returns the body of an item without a listed result.
func (s *Manager) Item(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID, item string) ([]byte, error) {
	a, err := s.account(ctx, team)
	if err != nil {
		return nil, s.refuse(err)
	}
	j, err := s.find(ctx, a, id)
	if err != nil {
		return nil, err
	}
	body, ok := j.body(item)
	if !ok {
		return nil, fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "no such item without a result")
	}
	return body, nil
}
