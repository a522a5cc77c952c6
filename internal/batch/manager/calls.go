package manager

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/persister"
)

// Submit stores a job with all its items. It returns nil if the job is accepted,
// by this call or an earlier one, and otherwise a refusal or fescuebank.ErrNotOwner.
func (m *Manager) Submit(ctx context.Context, spec *fescuebank.RoutedJob) error {
	tj, err := m.teamJobs(ctx, spec.Team)
	if err != nil {
		return m.refusalOf(err)
	}
	if err := m.addSubmitted(ctx, tj, spec); err != nil {
		return err
	}
	return m.confirm(ctx, tj, spec.ID)
}

// addSubmitted stores a job, lists it in the ledger and adds it to the team's jobs, unless the ledger lists it already.
func (m *Manager) addSubmitted(ctx context.Context, tj *teamJobs, spec *fescuebank.RoutedJob) error {
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
	route := spec.Route
	spec, name, err := m.store(ctx, spec)
	if err != nil {
		return err
	}
	// A job that is listed by another owner, or by an earlier write of this call, was loaded when the ledger was read again, or is closed.
	isListed := false
	err = m.updateLedger(ctx, tj, func(l *persister.Ledger) (bool, error) {
		if isListed = l.Find(spec.ID) != nil; isListed {
			return false, nil
		}
		if err := m.checkCap(tj, spec); err != nil {
			return false, err
		}
		l.Jobs = append(l.Jobs, persister.LedgerEntry{
			Job: spec.ID, Route: route, SubmittedUnixMilli: spec.Submitted.UnixMilli(), Total: len(spec.Items), Tokens: spec.Tokens(),
		})
		return true, nil
	})
	if err != nil {
		return err
	}
	if !isListed {
		tj.mu.Lock()
		tj.jobs[spec.ID] = newJob(tj, spec, name, listing{route: route, listedAt: tj.version}, m.Clock.Now())
		tj.mu.Unlock()
	}
	m.Log.Info("Job accepted.", "job", string(spec.ID), "team", string(spec.Team), "items", len(spec.Items), "bodies", spec.BodyDigests(),
		"tokens", int64(spec.Tokens()), "waiting", int64(tj.waiting(route)), "ledger", uint64(tj.version))
	m.OnItemsAvailable()
	return nil
}

// confirm returns nil if what the ledger says of a job may be acknowledged to its caller: this incarnation still owned the team when the
// ledger already said so. A later owner reads the ledger after it is on the list of owners, so it knows. Otherwise the present owner
// may have read the ledger before, and the call has to be repeated there. Nothing is held while the list is read.
func (m *Manager) confirm(ctx context.Context, tj *teamJobs, id fescuebank.JobID) error {
	isOwner, err := m.confirmOwner(ctx, tj.team)
	if err != nil {
		m.Log.Warn("Change not confirmed: the list of owners was not read.", "job", string(id), "team", string(tj.team), "err", err.Error())
		return fescuebank.Refuse(http.StatusGatewayTimeout, fescuebank.CodeStoreDown, "the store did not answer").WithState(fescuebank.MayHaveRun)
	}
	if !isOwner || tj.isClosed() {
		m.Log.Warn("Change not confirmed: the team has another owner.", "job", string(id), "team", string(tj.team), "epoch", uint64(tj.epoch))
		return fescuebank.Refuse(http.StatusGatewayTimeout, fescuebank.CodeOwnerChanged, "the owner of the team has changed").WithState(fescuebank.MayHaveRun)
	}
	return nil
}

// confirmOwner calls ConfirmOwner until it succeeds, as the store may lose a reply.
func (m *Manager) confirmOwner(ctx context.Context, team fescuebank.TeamID) (isOwner bool, err error) {
	for range confirmAttempts {
		attempt, cancel := context.WithTimeout(ctx, confirmTimeout)
		isOwner, err = m.ConfirmOwner(attempt, team)
		cancel()
		if err == nil || fescuebank.Sleep(ctx, m.Clock, commitRetryPause/4) != nil {
			break
		}
	}
	return isOwner, err
}

// store stores a job and returns the stored one: that of an earlier attempt if there was one.
func (m *Manager) store(ctx context.Context, spec *fescuebank.RoutedJob) (*fescuebank.RoutedJob, persister.StoredName, error) {
	stored, name, err := m.Persister.PutJob(ctx, spec)
	if err != nil && !errors.Is(err, persister.ErrExists) {
		m.Log.Warn("Job not stored.", "job", string(spec.ID), "team", string(spec.Team), "err", err.Error())
		return nil, "", m.refusalOf(err)
	}
	if err != nil || !stored.IsSameWork(spec) {
		m.Log.Warn("Job refused: another one is stored under its id.", "job", string(spec.ID), "team", string(spec.Team))
		return nil, "", fescuebank.Refuse(http.StatusConflict, fescuebank.CodeConflict, "another job was submitted under this id")
	}
	return stored, name, nil
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
	route := m.route(spec.Route)
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

// route returns the route of batch jobs with a name in the current configuration, or nil.
func (m *Manager) route(name string) *fescuebank.Route {
	t := m.Table()
	if t == nil {
		return nil
	}
	r, ok := t.BatchRoute(name)
	if !ok {
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
		if j.route == route {
			sum += j.waitingTokens()
		}
	}
	return sum
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
	if err := m.markEnded(ctx, tj, id); err != nil {
		return err
	}
	return m.confirm(ctx, tj, id)
}

// markEnded marks a job as ended in the ledger and stops its attempts.
func (m *Manager) markEnded(ctx context.Context, tj *teamJobs, id fescuebank.JobID) error {
	if err := tj.lockLedger(ctx); err != nil {
		return m.refusalOf(err)
	}
	defer tj.unlockLedger()
	err := m.updateLedger(ctx, tj, func(l *persister.Ledger) (bool, error) {
		e := l.Find(id)
		if e == nil || e.Ended {
			return false, nil
		}
		e.Ended = true
		return true, nil
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
	go m.dropClosed()
	m.Log.Info("Job ended by its caller.", "job", string(id), "team", string(tj.team), "ledger", uint64(tj.version))
	return nil
}

// find returns a job. If the job is not loaded it reads the ledger before it
// reports that there is none.
func (m *Manager) find(ctx context.Context, tj *teamJobs, id fescuebank.JobID) (*job, error) {
	tj.mu.Lock()
	j := tj.jobs[id]
	tj.mu.Unlock()
	if j != nil {
		j.use(m.Clock.Now())
		return j, nil
	}
	if err := tj.lockLedger(ctx); err != nil {
		return nil, m.refusalOf(err)
	}
	defer tj.unlockLedger()
	if err := m.refresh(ctx, tj); err != nil {
		return nil, m.refusalOf(err)
	}
	j, err := m.addListed(ctx, tj, id)
	if err != nil {
		return nil, m.refusalOf(err)
	}
	if j != nil {
		return j, nil
	}
	if tj.lists(id) {
		return nil, fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeStoreDown, "the job can't be read from the store").WithRetryAfter(unreadableRetryAfter)
	}
	return nil, fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "no such batch job")
}

// addListed returns a job that the ledger lists, or nil. It loads one that is done or ended and was not loaded at the takeover, or was
// dropped. The caller holds ledgerLock.
func (m *Manager) addListed(ctx context.Context, tj *teamJobs, id fescuebank.JobID) (*job, error) {
	tj.mu.Lock()
	entry, version := tj.ledger.Find(id), tj.version
	j := tj.jobs[id]
	tj.mu.Unlock()
	if entry == nil || entry.IsOpen() || j != nil {
		return j, nil
	}
	m.reloaded.Add(1)
	defer func() { go m.dropClosed() }()
	return m.add(ctx, tj, *entry, version)
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
