// Package persister stores routed batch jobs, their results and each team's ledger of
// jobs in the platform's store.
package persister

import (
	"context"
	"errors"
	"time"

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

// Errors of the stored values.
var (
	// ErrExists means that another writer has stored another value first.
	ErrExists = errors.New("another value is stored already")
	// ErrUnreadable means that a stored value is damaged or incomplete. No retry reads it.
	ErrUnreadable = errors.New("stored value is damaged")
)

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

// Segment is a part of a job's results, written once.
type Segment struct {
	// Epoch is the epoch under which the writer owned the team. An incarnation that
	// finds a segment with a higher epoch than its own no longer owns the team.
	Epoch fescuebank.FencingNumber `cbor:"1,keyasint"`
	// Results is empty in the segment that a new owner writes first.
	Results []fescuebank.RoutedResult `cbor:"2,keyasint,omitempty"`
	// Age is a time for which the job has existed at least, 0 if the writer's version doesn't state it.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// PutSegment stores the next segment of a job's results with as many of the leading results as fit in one
// object, and returns their number: one at least. It fails with ErrExists if another writer has
// stored a segment of that number.
func (p *Persister) PutSegment(ctx context.Context, name StoredName, number int, segment Segment) (stored int, err error) {
	encoded, stored, err := p.encodeLeading(segment)
	if err != nil {
		return 0, eris.Wrap(err, "Persister.PutSegment")
	}
	return stored, eris.Wrap(p.putValue(ctx, objectKey(resultPrefix, name, number), encoded, nil), "Persister.PutSegment")
}

// encodeLeading encodes a segment without the last ones of its results until it fits in one object or
// one result is left.
func (p *Persister) encodeLeading(segment Segment) (encoded []byte, results int, err error) {
	for {
		encoded, err := p.encode(segment)
		if err != nil || len(encoded) <= maxPartBytes || len(segment.Results) <= 1 {
			return encoded, len(segment.Results), err
		}
		segment.Results = segment.Results[:len(segment.Results)/2]
	}
}

// Segment reads one segment of a job's results. It fails with fescuebank.ErrAbsent if there is none, and
// with ErrUnreadable if what is stored is not a complete segment.
func (p *Persister) Segment(ctx context.Context, name StoredName, number int) (Segment, error) {
	var segment Segment
	err := p.readValue(ctx, objectKey(resultPrefix, name, number), nil, &segment)
	return segment, eris.Wrap(err, "Persister.Segment")
}
