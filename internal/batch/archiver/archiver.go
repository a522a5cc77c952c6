// Package archiver encodes the stored parts of batch jobs.
package archiver

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"fescuebank"
)

// maxPlainBytes bounds a part once decompressed.
const maxPlainBytes = 64 << 20

// Archiver encodes chunks, segments and records.
type Archiver struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// New returns an archiver. It may be used by several goroutines.
func New() (*Archiver, error) {
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		return nil, eris.Wrap(err, "archiver.New")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxPlainBytes))
	if err != nil {
		return nil, eris.Wrap(err, "archiver.New")
	}
	return &Archiver{encoder: encoder, decoder: decoder}, nil
}

// EncodeChunk returns the stored form of a chunk.
func (a *Archiver) EncodeChunk(c fescuebank.Chunk) ([]byte, error) {
	return a.encode(c)
}

// DecodeChunk reads a stored chunk.
func (a *Archiver) DecodeChunk(value []byte) (fescuebank.Chunk, error) {
	var c fescuebank.Chunk
	err := a.decode(value, &c)
	return c, err
}

// EncodeSegment returns the stored form of results.
func (a *Archiver) EncodeSegment(results []fescuebank.ItemResult) ([]byte, error) {
	return a.encode(results)
}

// DecodeSegment reads stored results.
func (a *Archiver) DecodeSegment(value []byte) ([]fescuebank.ItemResult, error) {
	var results []fescuebank.ItemResult
	err := a.decode(value, &results)
	return results, err
}

// EncodeRecord returns the stored form of a chunk record.
func (a *Archiver) EncodeRecord(r fescuebank.ChunkRecord) ([]byte, error) {
	return a.encode(r)
}

// DecodeRecord reads a stored chunk record.
func (a *Archiver) DecodeRecord(value []byte) (fescuebank.ChunkRecord, error) {
	var r fescuebank.ChunkRecord
	err := a.decode(value, &r)
	return r, err
}

func (a *Archiver) encode(content any) ([]byte, error) {
	plain, err := cbor.Marshal(content)
	if err != nil {
		return nil, eris.Wrap(err, "Archiver.encode")
	}
	return a.encoder.EncodeAll(plain, nil), nil
}

func (a *Archiver) decode(value []byte, into any) error {
	plain, err := a.decoder.DecodeAll(value, nil)
	if err != nil {
		return eris.Wrap(err, "Archiver.decode")
	}
	return eris.Wrap(cbor.Unmarshal(plain, into), "Archiver.decode")
}
