package manager

import (
	"context"
	"errors"
	"net/http"

	"fescuebank"
	"fescuebank/internal/batch/persister"
)

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

// ledgerEdit changes a ledger and reports whether it did, or refuses to. It is called again with a later ledger if another owner has
// written one.
type ledgerEdit func(*persister.Ledger) (changed bool, err error)

// updateLedger applies edit to the ledger and writes it conditionally, until a write
// succeeds or edit refuses or reports that there is nothing to change. If a write's outcome
// stays unknown the refusal says that the change may have taken effect. The caller
// holds ledgerLock.
func (m *Manager) updateLedger(ctx context.Context, tj *teamJobs, edit ledgerEdit) error {
	outcomeUnknown := false
	for range ledgerAttempts {
		next := tj.nextLedger()
		changed, err := edit(&next)
		if err != nil && outcomeUnknown {
			break
		}
		if err != nil || !changed {
			return err
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
		case errors.Is(err, fescuebank.ErrTooLarge):
			m.Log.Warn("Ledger is full.", "team", string(tj.team), "jobs", len(next.Jobs))
			return fescuebank.Refuse(http.StatusTooManyRequests, fescuebank.CodeRateLimited, "the team has too many jobs")
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

// markDone writes the ledger if it lists at least so many jobs as open that are done: the next owner would load them all, and none of
// them can be dropped. Otherwise they are marked by the next change of the ledger.
func (m *Manager) markDone(ctx context.Context, tj *teamJobs, least int) {
	if tj.unmarkedDone() < least {
		return
	}
	if tj.lockLedger(ctx) != nil {
		return
	}
	defer tj.unlockLedger()
	if tj.unmarkedDone() < least {
		return // Another job that ended meanwhile has done it.
	}
	// A failure is logged there; the next job that ends tries again.
	_ = m.updateLedger(ctx, tj, func(*persister.Ledger) (bool, error) { return true, nil })
}

// unmarkedDone returns the number of done jobs that the ledger lists as open, 0 if the team isn't owned any more.
func (tj *teamJobs) unmarkedDone() int {
	tj.mu.Lock()
	defer tj.mu.Unlock()
	if tj.closed {
		return 0
	}
	count := 0
	for _, e := range tj.ledger.Jobs {
		if j := tj.jobs[e.Job]; !e.Done && j != nil && j.isDone() {
			count++
		}
	}
	return count
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
