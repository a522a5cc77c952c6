// Package encoder gives assignments their stored form. At 400 instances the
// plain JSON is some 200 KB, which every instance reads at each change.
package encoder

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"fescuebank"
)

// maxPlainBytes bounds an assignment once decompressed.
const maxPlainBytes = 32 << 20

// Encoder turns assignments into store values and back.
type Encoder struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// New returns an encoder. It may be used by several goroutines.
func New() *Encoder {
	// The options are constant, so that neither can fail.
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxPlainBytes), zstd.WithDecoderConcurrency(1))
	return &Encoder{encoder: encoder, decoder: decoder}
}

// Encode returns the stored form of an assignment.
func (e *Encoder) Encode(a *fescuebank.Assignment) ([]byte, error) {
	plain, err := json.Marshal(a)
	if err != nil {
		return nil, eris.Wrap(err, "Encoder.Encode")
	}
	return e.encoder.EncodeAll(plain, nil), nil
}

// Decode reads a stored assignment.
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
