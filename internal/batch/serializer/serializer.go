// Package serializer encodes the stored parts of batch jobs, as compressed CBOR.
package serializer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"fescuebank"
)

// maxPlainBytes bounds the memory for decompressing a part.
const maxPlainBytes = 64 << 20

// Serializer encodes and decodes chunks, segments and records.
type Serializer struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// New returns a serializer, which is safe for concurrent use.
func New() (*Serializer, error) {
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		return nil, eris.Wrap(err, "serializer.New")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxPlainBytes))
	if err != nil {
		return nil, eris.Wrap(err, "serializer.New")
	}
	return &Serializer{encoder: encoder, decoder: decoder}, nil
}

// EncodeChunk returns the stored form of a chunk.
func (s *Serializer) EncodeChunk(c fescuebank.Chunk) ([]byte, error) {
	return s.encode(c)
}

// DecodeChunk decodes a stored chunk.
func (s *Serializer) DecodeChunk(value []byte) (fescuebank.Chunk, error) {
	var c fescuebank.Chunk
	err := s.decode(value, &c)
	return c, err
}

// EncodeSegment returns the stored form of a segment of results.
func (s *Serializer) EncodeSegment(results []fescuebank.ItemResult) ([]byte, error) {
	return s.encode(results)
}

// DecodeSegment decodes a stored segment of results.
func (s *Serializer) DecodeSegment(value []byte) ([]fescuebank.ItemResult, error) {
	var results []fescuebank.ItemResult
	err := s.decode(value, &results)
	return results, err
}

// EncodeRecord returns the stored form of a chunk record.
func (s *Serializer) EncodeRecord(r fescuebank.ChunkRecord) ([]byte, error) {
	return s.encode(r)
}

// DecodeRecord decodes a stored chunk record.
func (s *Serializer) DecodeRecord(value []byte) (fescuebank.ChunkRecord, error) {
	var r fescuebank.ChunkRecord
	err := s.decode(value, &r)
	return r, err
}

func (s *Serializer) encode(content any) ([]byte, error) {
	plain, err := cbor.Marshal(content)
	if err != nil {
		return nil, eris.Wrap(err, "Serializer.encode")
	}
	return s.encoder.EncodeAll(plain, nil), nil
}

func (s *Serializer) decode(value []byte, into any) error {
	plain, err := s.decoder.DecodeAll(value, nil)
	if err != nil {
		return eris.Wrap(err, "Serializer.decode")
	}
	return eris.Wrap(cbor.Unmarshal(plain, into), "Serializer.decode")
}
