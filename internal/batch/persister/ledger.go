package persister

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"fescuebank"
)

// LedgerEntry is one job in a ledger.
type LedgerEntry struct {
	Job   fescuebank.JobID `json:"job"`
	Route string           `json:"route"`
	// SubmittedUnixMilli is in Unix milliseconds.
	SubmittedUnixMilli int64             `json:"submitted"`
	Total              int               `json:"total"`
	Tokens             fescuebank.Tokens `json:"tokens"`
	// Ended is set when the caller has ended the job.
	Ended bool `json:"ended,omitempty"`
	// Done is set when all results of the job are committed.
	Done bool `json:"done,omitempty"`
}

// IsOpen reports whether items of the job may still have to run.
func (e *LedgerEntry) IsOpen() bool {
	return !e.Done && !e.Ended
}

// Ledger lists the jobs of a team. A job is accepted only when the ledger lists it.
type Ledger struct {
	// Epoch is the highest epoch under which an owner wrote the ledger.
	Epoch fescuebank.FencingNumber `json:"epoch"`
	Jobs  []LedgerEntry            `json:"jobs"`
}

// Find returns the entry of a job, or nil.
func (l *Ledger) Find(id fescuebank.JobID) *LedgerEntry {
	for i := range l.Jobs {
		if l.Jobs[i].Job == id {
			return &l.Jobs[i]
		}
	}
	return nil
}

// Lengths of the marks of an entry.
const (
	endedBytes = len(`,"ended":true`)
	doneBytes  = len(`,"done":true`)
)

// unmarkedBytes returns the length of the marks that the entries don't have yet.
func (l *Ledger) unmarkedBytes() int {
	sum := 0
	for i := range l.Jobs {
		if !l.Jobs[i].Ended {
			sum += endedBytes
		}
		if !l.Jobs[i].Done {
			sum += doneBytes
		}
	}
	return sum
}

// Ledger reads a team's ledger. If there is none it returns an empty one.
func (p *Persister) Ledger(ctx context.Context, team fescuebank.TeamID) (Ledger, fescuebank.StoreVersion, error) {
	var l Ledger
	o, err := p.store.Get(ctx, ledgerPrefix+string(team))
	if errors.Is(err, fescuebank.ErrAbsent) {
		return l, fescuebank.Absent, nil
	}
	if err != nil {
		return l, 0, eris.Wrap(err, "Persister.Ledger")
	}
	if err := json.Unmarshal(o.Value, &l); err != nil {
		return l, 0, eris.Wrap(err, "Persister.Ledger")
	}
	return l, o.Version, nil
}

// PutLedger replaces the given version of a team's ledger. It fails with
// fescuebank.ErrVersion if the ledger has another version, with fescuebank.ErrOutcomeUnknown if the write may
// still take effect, and with fescuebank.ErrTooLarge if it doesn't fit in an object together with the marks that its
// entries may get later: a job that is listed can always be ended.
func (p *Persister) PutLedger(ctx context.Context, team fescuebank.TeamID, l Ledger, version fescuebank.StoreVersion) (fescuebank.StoreVersion, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return 0, eris.Wrap(err, "Persister.PutLedger")
	}
	if len(value)+l.unmarkedBytes() > maxObjectBytes {
		return 0, eris.Wrap(fescuebank.ErrTooLarge, "Persister.PutLedger")
	}
	written, err := p.store.Put(ctx, ledgerPrefix+string(team), value, version)
	return written, eris.Wrap(err, "Persister.PutLedger")
}
