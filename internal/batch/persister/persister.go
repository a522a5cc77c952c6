// Package persister stores routed batch jobs, their results and each team's ledger of
// jobs in the platform's store.
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

// Key prefixes in the store.
const (
	ledgerPrefix = "batchledgers/"
	jobPrefix    = "batchjobs/"
	resultPrefix = "batchresults/"
)

const (
	// maxPartBytes bounds the piece of an encoded job in one object, so that the object,
	// with base64 and its JSON frame, stays under fescuebank.MaxValue.
	maxPartBytes = 700 << 10
	// writeAttempts bounds the attempts of a write while the store is unavailable or
	// the outcome of the write is unknown.
	writeAttempts = 4
	// retryPause is the pause between two attempts.
	retryPause = 60 * time.Millisecond
)

// ErrExists means that another writer has created the object first.
var ErrExists = errors.New("object was created by another writer")

// Persister reads and writes the stored objects.
type Persister struct {
	store   fescuebank.ObjectStore
	clock   fescuebank.Clock
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// New returns a persister that uses the store.
func New(store fescuebank.ObjectStore, clock fescuebank.Clock) (*Persister, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
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
	// SubmittedUnixMilli is in Unix milliseconds.
	SubmittedUnixMilli int64             `json:"submitted"`
	Total              int               `json:"total"`
	Tokens             fescuebank.Tokens `json:"tokens"`
	// Ended is set when the caller has ended the job.
	Ended bool `json:"ended,omitempty"`
	// Done is set when all results of the job are committed.
	Done bool `json:"done,omitempty"`
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
// fescuebank.ErrVersion if the ledger has another version, and with
// fescuebank.ErrOutcomeUnknown if the write may still take effect.
func (p *Persister) PutLedger(ctx context.Context, team fescuebank.TeamID, l Ledger, version fescuebank.StoreVersion) (fescuebank.StoreVersion, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return 0, eris.Wrap(err, "Persister.PutLedger")
	}
	written, err := p.store.Put(ctx, ledgerPrefix+string(team), value, version)
	return written, eris.Wrap(err, "Persister.PutLedger")
}

// part is a stored object that holds a piece of an encoded value.
type part struct {
	// Parts is the number of objects that hold the value.
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// PutJob stores a job. It writes the first part last: the job is complete when that
// exists. Parts that exist already stay unchanged.
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
	// Epoch is the epoch under which the writer owned the team. An incarnation that
	// finds a segment with a higher epoch than its own no longer owns the team.
	Epoch fescuebank.FencingNumber `cbor:"1,keyasint"`
	// Results is empty in the segment that a new owner writes first.
	Results []fescuebank.RoutedResult `cbor:"2,keyasint,omitempty"`
}

// PutSegment stores one segment of a job's results. It fails with ErrExists if
// another writer has stored a segment of that number.
func (p *Persister) PutSegment(ctx context.Context, id fescuebank.JobID, number int, segment Segment) error {
	encoded, err := p.encode(segment)
	if err != nil {
		return eris.Wrap(err, "Persister.PutSegment")
	}
	return eris.Wrap(p.create(ctx, partKey(resultPrefix, id, number), part{Parts: 1, Data: encoded}), "Persister.PutSegment")
}

// Segment reads one segment of a job's results, or fails with
// fescuebank.ErrAbsent if there is none.
func (p *Persister) Segment(ctx context.Context, id fescuebank.JobID, number int) (Segment, error) {
	var segment Segment
	piece, err := p.read(ctx, partKey(resultPrefix, id, number))
	if err != nil {
		return segment, eris.Wrap(err, "Persister.Segment")
	}
	return segment, eris.Wrap(p.decode(piece.Data, &segment), "Persister.Segment")
}

// create writes an object that must not exist. It repeats the write while the store is
// unavailable or the outcome is unknown. If the object then exists with the same
// content, an earlier attempt has written it.
func (p *Persister) create(ctx context.Context, key string, piece part) error {
	value, err := json.Marshal(piece)
	if err != nil {
		return err
	}
	outcomeUnknown := false
	for attempt := 1; ; attempt++ {
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
		if attempt == writeAttempts || fescuebank.Sleep(ctx, p.clock, retryPause) != nil {
			return err
		}
	}
}

// verifyCreated returns nil if the existing object has the content of this write and the
// outcome of an earlier attempt is unknown: that attempt has then created the object.
// Otherwise it returns ErrExists.
func (p *Persister) verifyCreated(ctx context.Context, key string, piece part, outcomeUnknown bool) error {
	if !outcomeUnknown {
		return ErrExists
	}
	existing, err := p.read(ctx, key)
	if err != nil {
		return err
	}
	if existing.Parts == piece.Parts && string(existing.Data) == string(piece.Data) {
		return nil
	}
	return ErrExists
}

func (p *Persister) read(ctx context.Context, key string) (part, error) {
	var piece part
	o, err := p.getCreated(ctx, key)
	if err != nil {
		return piece, err
	}
	return piece, json.Unmarshal(o.Value, &piece)
}

// getCreated reads an object that never changes once it was created. A stale read finds all but the
// newest ones.
func (p *Persister) getCreated(ctx context.Context, key string) (fescuebank.Object, error) {
	if getter, ok := p.store.(fescuebank.StaleGetter); ok {
		o, err := getter.GetStale(ctx, key)
		if !errors.Is(err, fescuebank.ErrAbsent) {
			return o, err
		}
	}
	return p.store.Get(ctx, key)
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
