package manager

import (
	"bytes"
	"context"
	"errors"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/persister"
)

// refresh reads the ledger, and those open jobs in it that are not loaded yet. Each job is acted on as soon as it is loaded,
// and stays if a later one can't be. The caller holds ledgerLock.
func (m *Manager) refresh(ctx context.Context, tj *teamJobs) error {
	ledger, version, err := m.Persister.Ledger(ctx, tj.team)
	if err != nil {
		return err
	}
	if ledger.Epoch > tj.epoch {
		m.release(tj)
		return fescuebank.ErrNotOwner
	}
	missing := tj.missing(&ledger)
	loaded := 0
	for _, e := range missing {
		if _, err := m.add(ctx, tj, e, version); err != nil {
			return err
		}
		loaded++
	}
	tj.mu.Lock()
	tj.ledger, tj.version, tj.loaded = ledger, version, true
	tj.mu.Unlock()
	if loaded > 0 {
		go m.dropClosed()
		m.Log.Info("Jobs loaded.", "team", string(tj.team), "jobs", loaded, "listed", len(ledger.Jobs), "version", uint64(version))
	}
	return nil
}

// missing returns the open jobs of a ledger that are not loaded, in order of submission. At the first load the newest of the others
// follow, from which the lengths of items are learned. It ends the loaded jobs that were ended elsewhere.
func (tj *teamJobs) missing(ledger *persister.Ledger) []persister.LedgerEntry {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	var open, closed []persister.LedgerEntry
	for _, e := range ledger.Jobs {
		j := tj.jobs[e.Job]
		switch {
		case j == nil && e.IsOpen():
			open = append(open, e)
		case j == nil:
			closed = append(closed, e)
		case e.Ended:
			j.end()
		}
	}
	if tj.loaded {
		return open
	}
	return append(open, closed[max(0, len(closed)-recentClosedJobs):]...)
}

// add loads a job that the ledger lists at a store version, and adds it to those of the team. It returns nil if the job can't be
// read or couldn't a moment ago. The caller holds ledgerLock.
func (m *Manager) add(ctx context.Context, tj *teamJobs, e persister.LedgerEntry, listedAt fescuebank.StoreVersion) (*job, error) {
	now := m.Clock.Now()
	if tj.isUnreadable(e.Job, now) {
		return nil, nil
	}
	j, err := m.loadJob(ctx, tj, e, listedAt)
	if isUnreadable(err) {
		m.Log.Error("Job can't be read.", "job", string(e.Job), "team", string(tj.team), "err", err.Error())
		tj.markUnreadable(e.Job, now.Add(unreadableRetryAfter))
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	tj.mu.Lock()
	tj.jobs[e.Job] = j
	tj.mu.Unlock()
	m.OnItemsAvailable()
	return j, nil
}

// isUnreadable reports whether a job that the ledger lists is damaged, so that no retry is likely to read it. Such a
// job holds up no other.
func isUnreadable(err error) bool {
	return errors.Is(err, persister.ErrUnreadable) || errors.Is(err, fescuebank.ErrAbsent)
}

// markUnreadable keeps a job from being read again before a time.
func (tj *teamJobs) markUnreadable(id fescuebank.JobID, until time.Time) {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	tj.unreadable[id] = until
}

// isUnreadable reports whether a job could not be read a moment ago.
func (tj *teamJobs) isUnreadable(id fescuebank.JobID, now time.Time) bool {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	return now.Before(tj.unreadable[id])
}

// loadJob reads a job and its results. If results are missing it writes the next
// segment, empty: a former owner that still commits then conflicts with it and
// learns from its epoch that the team has a new owner. An ended job whose last segment is of this
// owner needs none.
func (m *Manager) loadJob(ctx context.Context, tj *teamJobs, e persister.LedgerEntry, listedAt fescuebank.StoreVersion) (*job, error) {
	spec, name, err := m.Persister.Job(ctx, tj.team, e.Job)
	if err != nil {
		return nil, err
	}
	j := newJob(tj, spec, name, listing{route: e.Route, listedAt: listedAt}, m.Clock.Now())
	j.estimateSubmitted(m.Clock.Now())
	j.delayItems(tj.itemsDelayedUntil(m.Clock.Now()))
	if e.Ended {
		j.end()
	}
	isLearned := e.IsOpen() || !tj.isLoaded()
	var lastEpoch fescuebank.FencingNumber
	for {
		segment, err := m.Persister.Segment(ctx, name, j.segments)
		if errors.Is(err, fescuebank.ErrAbsent) {
			if j.isDone() || (e.Ended && lastEpoch == tj.epoch) {
				return j, nil
			}
			segment = persister.Segment{Epoch: tj.epoch, Age: j.age(m.Clock.Now())}
			_, err = m.Persister.PutSegment(ctx, name, j.segments, segment)
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
		lastEpoch = segment.Epoch
		j.applySegment(segment.Results)
		j.recordAge(segment.Age, m.Clock.Now())
		if isLearned {
			m.learnLengths(e.Route, segment.Results)
		}
	}
}

// learnLengths estimates the lengths of a route's items from results of earlier owners: an incarnation
// that has just started has seen no item end. An output has one line for each event.
func (m *Manager) learnLengths(route string, results []fescuebank.RoutedResult) {
	for _, r := range results {
		if !r.Failed {
			m.Estimator.ObserveItem(route, bytes.Count(r.Output, []byte{'\n'})+1)
		}
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
		m.handovers.Add(1)
		go m.handOver(tj)
		m.Log.Info("Jobs released: ownership of the team changed.", "team", string(team))
	}
	m.mu.Unlock()
	t := m.Table()
	if t == nil {
		return
	}
	for team := range t.Teams {
		if epoch, owns := m.Owns(team); owns {
			m.addTeam(team, epoch)
		}
	}
}

// addTeam adds a team that this incarnation owns, unless it is there. Its jobs are loaded in the background, whoever asked for it first:
// a call that does so may fail. The list of owners that moved it here tells from whom a handover is expected, which the next one may not.
func (m *Manager) addTeam(team fescuebank.TeamID, epoch fescuebank.FencingNumber) *teamJobs {
	m.mu.Lock()
	defer m.mu.Unlock()
	if tj := m.teams[team]; tj != nil {
		return tj
	}
	tj := &teamJobs{team: team, epoch: epoch, jobs: make(map[fescuebank.JobID]*job), unreadable: make(map[fescuebank.JobID]time.Time), ledgerLock: make(chan struct{}, 1), handedOver: make(chan struct{})}
	m.teams[team] = tj
	m.expectHandover(tj)
	go m.preload(team)
	return tj
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
