// Package encoder encodes assignments for the store as compressed JSON. With 400 instances
// the plain JSON is about 200 KB, which every instance reads at each change.
package encoder

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"fescuebank"
)

// maxPlainBytes is the maximum size of a decompressed assignment.
const maxPlainBytes = 32 << 20

// Encoder encodes assignments as store values and decodes them. It is safe for concurrent
// use.
type Encoder struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// New returns an encoder.
func New() *Encoder {
	// The calls can't fail, as their options are constant.
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxPlainBytes), zstd.WithDecoderConcurrency(1))
	return &Encoder{encoder: encoder, decoder: decoder}
}

// Encode returns the store value of an assignment.
func (e *Encoder) Encode(a *fescuebank.Assignment) ([]byte, error) {
	plain, err := json.Marshal(a)
	if err != nil {
		return nil, eris.Wrap(err, "Encoder.Encode")
	}
	return e.encoder.EncodeAll(plain, nil), nil
}

// Decode returns the assignment of a store value.
func (e *Encoder) Decode(value []byte) (*fescuebank.Assignment, error) {
	plain, err := e.decoder.DecodeAll(value, nil)
	if err != nil {
		return nil, eris.Wrap(err, "Encoder.Decode")
	}
	var a fescuebank.Assignment
	if err := json.Unmarshal(plain, &a); err != nil {
		return nil, eris.Wrap(err, "Encoder.Decode")
	}
	return &a, nil
}
