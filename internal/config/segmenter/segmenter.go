// Package segmenter splits a desired state into values that are small enough for the
// store.
package segmenter

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// teamSegments is the number of segments that teams are distributed over by the hash of
	// their id.
	teamSegments = 256
	// nameBytes is the length of the truncated content hash that names a segment.
	nameBytes = 16
	// maxSegmentBytes is the largest size of a decompressed segment.
	maxSegmentBytes = 64 << 20
)

// Segmenter converts desired states to segments and back.
type Segmenter struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// New returns a segmenter.
func New() (*Segmenter, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, eris.Wrap(err, "segmenter.New")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxSegmentBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, eris.Wrap(err, "segmenter.New")
	}
	return &Segmenter{encoder: encoder, decoder: decoder}, nil
}

// baseContent is the content of the segment that holds everything except teams.
type baseContent struct {
	Models     []fescuebank.Model        `json:"models"`
	Endpoints  []fescuebank.EndpointSpec `json:"endpoints"`
	Services   []fescuebank.Service      `json:"services"`
	Objectives fescuebank.Objectives     `json:"objectives"`
}

// Segment is one stored part of a desired state.
type Segment struct {
	// Name is the content hash of Value.
	Name string
	// Value is zstd-compressed JSON.
	Value []byte
}

// Split returns the segments of d and a manifest that names them.
func (s *Segmenter) Split(d *fescuebank.DesiredState) (fescuebank.Manifest, []Segment, error) {
	manifest := fescuebank.Manifest{Generation: d.Generation, Teams: make([]string, teamSegments)}
	baseSegment, err := s.encode(baseContent{Models: d.Models, Endpoints: d.Endpoints, Services: d.Services, Objectives: d.Objectives})
	if err != nil {
		return manifest, nil, err
	}
	manifest.Base = baseSegment.Name
	segments := []Segment{baseSegment}
	var teamsBySegment [teamSegments][]fescuebank.Team
	for _, t := range d.Teams {
		n := xxhash.Sum64String(string(t.ID)) % teamSegments
		teamsBySegment[n] = append(teamsBySegment[n], t)
	}
	for n, teams := range teamsBySegment {
		if len(teams) == 0 {
			continue
		}
		slices.SortFunc(teams, func(a, b fescuebank.Team) int { return strings.Compare(string(a.ID), string(b.ID)) })
		segment, err := s.encode(teams)
		if err != nil {
			return manifest, nil, err
		}
		manifest.Teams[n] = segment.Name
		segments = append(segments, segment)
	}
	return manifest, segments, nil
}

func (s *Segmenter) encode(content any) (Segment, error) {
	text, err := json.Marshal(content)
	if err != nil {
		return Segment{}, eris.Wrap(err, "Segmenter.encode")
	}
	value := s.encoder.EncodeAll(text, nil)
	return Segment{Name: nameOf(value), Value: value}, nil
}

func nameOf(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:nameBytes])
}

// SegmentNames returns the names of the segments of m, without empty ones.
func SegmentNames(m fescuebank.Manifest) []string {
	names := []string{m.Base}
	for _, name := range m.Teams {
		if name != "" {
			names = append(names, name)
		}
	}
	return names
}

// Join returns the desired state of m from its segments, given by name.
func (s *Segmenter) Join(m fescuebank.Manifest, values map[string][]byte) (*fescuebank.DesiredState, error) {
	var base baseContent
	if err := s.decode(m.Base, values, &base); err != nil {
		return nil, err
	}
	d := &fescuebank.DesiredState{
		Generation: m.Generation, Models: base.Models, Endpoints: base.Endpoints,
		Services: base.Services, Objectives: base.Objectives,
	}
	for _, name := range m.Teams {
		if name == "" {
			continue
		}
		var teams []fescuebank.Team
		if err := s.decode(name, values, &teams); err != nil {
			return nil, err
		}
		d.Teams = append(d.Teams, teams...)
	}
	slices.SortFunc(d.Teams, func(a, b fescuebank.Team) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return d, nil
}

func (s *Segmenter) decode(name string, values map[string][]byte, into any) error {
	value, ok := values[name]
	if !ok || nameOf(value) != name {
		return eris.Errorf("Segmenter.Join: segment %s is missing or damaged", name)
	}
	text, err := s.decoder.DecodeAll(value, nil)
	if err != nil {
		return eris.Wrap(err, "Segmenter.Join")
	}
	return eris.Wrap(json.Unmarshal(text, into), "Segmenter.Join")
}
