package persister

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// frameBytes is the room that an object needs beside its value: its key and what the platform adds.
	frameBytes = 2 << 10
	// maxObjectBytes bounds the values that this package writes to one object.
	maxObjectBytes = int(fescuebank.MaxValue) - frameBytes
	// partFrameBytes is the room that a part needs for the JSON around its bytes.
	partFrameBytes = 256
	// maxPartBytes bounds the encoded bytes in one part, which base64 makes longer by a third.
	maxPartBytes = (maxObjectBytes - partFrameBytes) / 4 * 3
	// setBytes is the length of the digest that names the parts of a value.
	setBytes = 16
	// writeAttempts bounds the attempts of a write while the store is unavailable or
	// the outcome of the write is unknown.
	writeAttempts = 4
	// retryPause is the pause between two attempts.
	retryPause = 60 * time.Millisecond
)

// part is a stored object that holds a piece of an encoded value. It is never overwritten. The first part
// has the key of the value and names the others, so a value is stored once its first part is, and is then always
// the one encoding to which all its parts belong.
type part struct {
	// Parts is the number of objects that hold the value.
	Parts int `json:"parts"`
	// Set is the digest of the encoded value if that is part of the other parts' keys, else empty.
	Set  string `json:"set,omitempty"`
	Data []byte `json:"data"`
}

// putValue stores an encoded value under a key, in as many objects as it needs. It fails with ErrExists if another value
// is stored there. The parts after the first get the keys by plain, unless it is nil or parts of another
// encoding have these keys, as of an attempt that failed halfway: then they get keys of their own.
func (p *Persister) putValue(ctx context.Context, key string, encoded []byte, plain func(i int) string) error {
	pieces := splitParts(encoded)
	first := part{Parts: len(pieces), Data: pieces[0]}
	err := ErrExists
	if plain != nil || len(pieces) == 1 {
		err = p.createParts(ctx, pieces, plain)
	}
	if errors.Is(err, ErrExists) {
		first.Set = digest(encoded)
		err = p.createParts(ctx, pieces, setKeys(key, first.Set))
	}
	if err != nil {
		return err
	}
	return p.create(ctx, key, first)
}

// createParts creates the parts after the first, the last one first.
func (p *Persister) createParts(ctx context.Context, pieces [][]byte, keyOf func(i int) string) error {
	for i := len(pieces) - 1; i > 0; i-- {
		if err := p.create(ctx, keyOf(i), part{Parts: len(pieces), Data: pieces[i]}); err != nil {
			return err
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

// setKeys returns the keys of the parts of the encoding with a digest.
func setKeys(key, set string) func(i int) string {
	return func(i int) string { return key + "." + set + "." + strconv.Itoa(i) }
}

func digest(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:setBytes])
}

// readValue reads the value under a key. plain returns the keys of its parts if it has no set.
func (p *Persister) readValue(ctx context.Context, key string, plain func(i int) string, into any) error {
	first, err := p.read(ctx, key)
	if err != nil {
		return err
	}
	keyOf := plain
	if first.Set != "" {
		keyOf = setKeys(key, first.Set)
	}
	encoded := first.Data
	for i := 1; i < first.Parts && keyOf != nil; i++ {
		piece, err := p.read(ctx, keyOf(i))
		if errors.Is(err, fescuebank.ErrAbsent) {
			return eris.Wrapf(ErrUnreadable, "part %d of %d is missing", i, first.Parts)
		}
		if err != nil {
			return err
		}
		encoded = append(encoded, piece.Data...)
	}
	if first.Set != "" && digest(encoded) != first.Set {
		return eris.Wrap(ErrUnreadable, "digest differs")
	}
	return p.decode(encoded, into)
}

// create writes an object that must not exist with another content. It repeats the write while the store is
// unavailable or the outcome is unknown.
func (p *Persister) create(ctx context.Context, key string, piece part) error {
	value, err := json.Marshal(piece)
	if err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		_, err = p.store.Put(ctx, key, value, fescuebank.Absent)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, fescuebank.ErrVersion):
			return p.verifyCreated(ctx, key, piece)
		case !errors.Is(err, fescuebank.ErrOutcomeUnknown) && !errors.Is(err, fescuebank.ErrStoreDown):
			return err
		}
		if attempt == writeAttempts || fescuebank.Sleep(ctx, p.clock, retryPause) != nil {
			return err
		}
	}
}

// verifyCreated returns nil if the existing object has the content of this write, as after an earlier attempt,
// else ErrExists.
func (p *Persister) verifyCreated(ctx context.Context, key string, piece part) error {
	existing, err := p.read(ctx, key)
	switch {
	case errors.Is(err, ErrUnreadable):
		return ErrExists
	case err != nil:
		return err
	case existing.Parts == piece.Parts && existing.Set == piece.Set && bytes.Equal(existing.Data, piece.Data):
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
	if err := json.Unmarshal(o.Value, &piece); err != nil {
		return piece, eris.Wrapf(ErrUnreadable, "%v", err)
	}
	return piece, nil
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
		return eris.Wrapf(ErrUnreadable, "%v", err)
	}
	if err := cbor.Unmarshal(b, into); err != nil {
		return eris.Wrapf(ErrUnreadable, "%v", err)
	}
	return nil
}
