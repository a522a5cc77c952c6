// Package persister keeps routed batch jobs, their results and the ledgers of
// the teams' jobs in the platform's store.
package persister

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"fescuebank"
)

// The store prefixes.
const (
	ledgerPrefix = "batchledgers/"
	jobPrefix    = "batchjobs/"
	resultPrefix = "batchresults/"
)

const (
	// partBytes is how much of a packed job goes into one object: base64 and the
	// object's frame stay under fescuebank.MaxValue.
	maxPartBytes = 700 << 10
	// writeTries is how often a write whose outcome is open is repeated.
	writeAttempts = 4
	// retryPause is the pause before a write is repeated.
	retryPause = 60 * time.Millisecond
)

// ErrExists means that another writer was first.
var ErrExists = errors.New("written by another")

// Persister reads and writes the objects.
type Persister struct {
	store   fescuebank.ObjectStore
	clock   fescuebank.Clock
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// New returns a persister over the store.
func New(store fescuebank.ObjectStore, clock fescuebank.Clock) (*Persister, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, eris.Wrap(err, "persister.New")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, eris.Wrap(err, "persister.New")
	}
	return &Persister{store: store, clock: clock, encoder: encoder, decoder: decoder}, nil
}

// LedgerEntry is one job in a ledger.
type LedgerEntry struct {
	Job   fescuebank.JobID `json:"job"`
	Route string           `json:"route"`
	// Submitted is in Unix milliseconds.
	Submitted int64             `json:"submitted"`
	Total     int               `json:"total"`
	Tokens    fescuebank.Tokens `json:"tokens"`
	// Ended is set when the caller ended the job, Done when all its results stand.
	Ended bool `json:"ended,omitempty"`
	Done  bool `json:"done,omitempty"`
}

// Ledger lists the accepted jobs of a team. Only what it lists was accepted.
type Ledger struct {
	// Epoch is the highest under which an owner wrote the ledger.
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

// Ledger reads a team's ledger. A team without one has an empty one.
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

// PutLedger writes a team's ledger over the version that it was read at. It
// fails with fescuebank.ErrVersion if another writer was first and with
// fescuebank.ErrOutcomeUnknown if the write may still take effect.
func (p *Persister) PutLedger(ctx context.Context, team fescuebank.TeamID, l Ledger, version fescuebank.StoreVersion) (fescuebank.StoreVersion, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return 0, eris.Wrap(err, "Persister.PutLedger")
	}
	written, err := p.store.Put(ctx, ledgerPrefix+string(team), value, version)
	return written, eris.Wrap(err, "Persister.PutLedger")
}

// part is an object that holds a piece of a packed value.
type part struct {
	// Parts is the number of objects that hold the value.
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// PutJob keeps a job. It is complete once its first part stands, which is
// written last. A job that is kept already stays as it is.
func (p *Persister) PutJob(ctx context.Context, job *fescuebank.RoutedJob) error {
	encoded, err := p.encode(job)
	if err != nil {
		return eris.Wrap(err, "Persister.PutJob")
	}
	pieces := splitParts(encoded)
	for i := len(pieces) - 1; i >= 0; i-- {
		err := p.create(ctx, partKey(jobPrefix, job.ID, i), part{Parts: len(pieces), Data: pieces[i]})
		if err != nil && !errors.Is(err, ErrExists) {
			return eris.Wrap(err, "Persister.PutJob")
		}
	}
	return nil
}

func splitParts(b []byte) [][]byte {
	var pieces [][]byte
	for len(b) > maxPartBytes {
		pieces = append(pieces, b[:maxPartBytes])
		b = b[maxPartBytes:]
	}
	return append(pieces, b)
}

func partKey(prefix string, id fescuebank.JobID, i int) string {
	return prefix + string(id) + "." + strconv.Itoa(i)
}

// Job reads a job, or fails with fescuebank.ErrAbsent.
func (p *Persister) Job(ctx context.Context, id fescuebank.JobID) (*fescuebank.RoutedJob, error) {
	var encoded []byte
	for i, parts := 0, 1; i < parts; i++ {
		piece, err := p.read(ctx, partKey(jobPrefix, id, i))
		if err != nil {
			return nil, eris.Wrap(err, "Persister.Job")
		}
		parts = piece.Parts
		encoded = append(encoded, piece.Data...)
	}
	var job fescuebank.RoutedJob
	if err := p.decode(encoded, &job); err != nil {
		return nil, eris.Wrap(err, "Persister.Job")
	}
	return &job, nil
}

// Segment is a part of a job's results, written once.
type Segment struct {
	// Epoch is the one under which its writer owned the team. A run that finds a
	// segment with a higher epoch than its own owns the team no more.
	Epoch fescuebank.FencingNumber `cbor:"1,keyasint"`
	// Results is empty in the segment with which an owner begins.
	Results []fescuebank.RoutedResult `cbor:"2,keyasint,omitempty"`
}

// PutSegment keeps one segment of a job's results. It fails with ErrExists if
// another stands under the number.
func (p *Persister) PutSegment(ctx context.Context, id fescuebank.JobID, number int, segment Segment) error {
	encoded, err := p.encode(segment)
	if err != nil {
		return eris.Wrap(err, "Persister.PutSegment")
	}
	return eris.Wrap(p.create(ctx, partKey(resultPrefix, id, number), part{Parts: 1, Data: encoded}), "Persister.PutSegment")
}

// Segment reads one segment of a job's results, or fails with
// fescuebank.ErrAbsent if there is none yet.
func (p *Persister) Segment(ctx context.Context, id fescuebank.JobID, number int) (Segment, error) {
	var segment Segment
	piece, err := p.read(ctx, partKey(resultPrefix, id, number))
	if err != nil {
		return segment, eris.Wrap(err, "Persister.Segment")
	}
	return segment, eris.Wrap(p.decode(piece.Data, &segment), "Persister.Segment")
}

// create writes an object that must not exist. A write whose outcome is open is
// repeated; if it then stands, with the same bytes, it is ours.
func (p *Persister) create(ctx context.Context, key string, piece part) error {
	value, err := json.Marshal(piece)
	if err != nil {
		return err
	}
	outcomeUnknown := false
	for try := 1; ; try++ {
		_, err = p.store.Put(ctx, key, value, fescuebank.Absent)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, fescuebank.ErrVersion):
			return p.verifyCreated(ctx, key, piece, outcomeUnknown)
		case errors.Is(err, fescuebank.ErrOutcomeUnknown):
			outcomeUnknown = true
		case !errors.Is(err, fescuebank.ErrStoreDown):
			return err
		}
		if try == writeAttempts || fescuebank.Sleep(ctx, p.clock, retryPause) != nil {
			return err
		}
	}
}

// compare finds out whether the object that stands is the one that was written.
func (p *Persister) verifyCreated(ctx context.Context, key string, piece part, outcomeUnknown bool) error {
	if !outcomeUnknown {
		return ErrExists
	}
	have, err := p.read(ctx, key)
	if err != nil {
		return err
	}
	if have.Parts == piece.Parts && string(have.Data) == string(piece.Data) {
		return nil
	}
	return ErrExists
}

func (p *Persister) read(ctx context.Context, key string) (part, error) {
	var piece part
	o, err := p.store.Get(ctx, key)
	if err != nil {
		return piece, err
	}
	return piece, json.Unmarshal(o.Value, &piece)
}

func (p *Persister) encode(value any) ([]byte, error) {
	b, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	return p.encoder.EncodeAll(b, nil), nil
}

func (p *Persister) decode(encoded []byte, into any) error {
	b, err := p.decoder.DecodeAll(encoded, nil)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, into)
}
