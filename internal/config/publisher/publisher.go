// Package publisher writes desired states to the store.
package publisher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/config/segmenter"
)

// maxEditAttempts bounds the attempts of an edit that conflicts with other operators.
const maxEditAttempts = 8

// ConflictError means that the generation in force is not the one that a document was
// edited from.
type ConflictError struct {
	// Base is the generation that the document was edited from.
	Base fescuebank.Generation
	// Current is the generation in force.
	Current fescuebank.Generation
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the document was made from generation %d, but generation %d is in force", e.Base, e.Current)
}

// Publisher publishes complete generations of the desired state.
type Publisher struct {
	store     fescuebank.ObjectStore
	segmenter *segmenter.Segmenter
	log       hclog.Logger
	// deliver passes the new manifest to this instance's watcher without waiting for the
	// store to report the change.
	deliver func([]fescuebank.Object)
}

// New returns a publisher.
func New(store fescuebank.ObjectStore, s *segmenter.Segmenter, deliver func([]fescuebank.Object), log hclog.Logger) *Publisher {
	return &Publisher{store: store, segmenter: s, deliver: deliver, log: log}
}

// Current returns the newest state in the store. Its generation is 0 if there is none.
func (p *Publisher) Current(ctx context.Context) (*fescuebank.DesiredState, error) {
	state, _, _, err := p.read(ctx)
	return state, err
}

func (p *Publisher) read(ctx context.Context) (*fescuebank.DesiredState, fescuebank.Manifest, fescuebank.StoreVersion, error) {
	var m fescuebank.Manifest
	o, err := p.store.Get(ctx, fescuebank.ManifestKey)
	if errors.Is(err, fescuebank.ErrAbsent) {
		return &fescuebank.DesiredState{}, m, fescuebank.Absent, nil
	}
	if err != nil {
		return nil, m, 0, eris.Wrap(err, "Publisher.read")
	}
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return nil, m, 0, eris.Wrap(err, "Publisher.read")
	}
	values, err := FetchSegments(ctx, p.store, segmenter.SegmentNames(m), nil)
	if err != nil {
		return nil, m, 0, eris.Wrap(err, "Publisher.read")
	}
	state, err := p.segmenter.Join(m, values)
	return state, m, o.Version, err
}

// listThreshold is the number of segments from which one list call is cheaper than one
// read per segment.
const listThreshold = 16

// FetchSegments returns segments by name. It reads those that are not in have. If many are
// missing, it lists all segments of the store, so that the result may contain further ones
// and lack some of those named.
func FetchSegments(ctx context.Context, store fescuebank.ObjectStore, names []string, have map[string][]byte) (map[string][]byte, error) {
	values := make(map[string][]byte, len(names))
	var missing []string
	for _, name := range names {
		if value, ok := have[name]; ok {
			values[name] = value
			continue
		}
		missing = append(missing, name)
	}
	if len(missing) >= listThreshold {
		objects, _, err := store.List(ctx, fescuebank.SegmentPrefix)
		if err != nil {
			return nil, err
		}
		for _, o := range objects {
			values[o.Key[len(fescuebank.SegmentPrefix):]] = o.Value
		}
		return values, nil
	}
	for _, name := range missing {
		o, err := store.Get(ctx, fescuebank.SegmentPrefix+name)
		if err != nil {
			return nil, err
		}
		values[name] = o.Value
	}
	return values, nil
}

// Apply publishes d as the next generation and returns its number. It returns
// *fescuebank.Faults for an invalid document and *ConflictError if the generation in
// force is not d.Generation.
func (p *Publisher) Apply(ctx context.Context, d *fescuebank.DesiredState) (fescuebank.Generation, error) {
	current, manifest, version, err := p.read(ctx)
	if err != nil {
		return 0, eris.Wrap(err, "Publisher.Apply")
	}
	if d.Generation != current.Generation {
		return 0, &ConflictError{Base: d.Generation, Current: current.Generation}
	}
	return p.publish(ctx, d, manifest, version)
}

// Edit changes the newest state and publishes it. If another operator published a state
// meanwhile, it starts over, up to maxEditAttempts times in all.
func (p *Publisher) Edit(ctx context.Context, change func(*fescuebank.DesiredState) error) (fescuebank.Generation, error) {
	for range maxEditAttempts {
		d, manifest, version, err := p.read(ctx)
		if err != nil {
			return 0, eris.Wrap(err, "Publisher.Edit")
		}
		if err := change(d); err != nil {
			return 0, err
		}
		g, err := p.publish(ctx, d, manifest, version)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return g, err
		}
	}
	return 0, eris.New("Publisher.Edit: other operators were faster each time")
}

// publish writes the segments that the former manifest does not name, then the manifest if
// the stored one still has the given version.
func (p *Publisher) publish(ctx context.Context, d *fescuebank.DesiredState, old fescuebank.Manifest, version fescuebank.StoreVersion) (fescuebank.Generation, error) {
	d.Defaults()
	if err := d.Validate(); err != nil {
		return 0, err
	}
	next := *d
	next.Generation = old.Generation + 1
	manifest, segments, err := p.segmenter.Split(&next)
	if err != nil {
		return 0, err
	}
	manifest.Nonce = fescuebank.NewRandomID("")
	present := segmenter.SegmentNames(old)
	for _, s := range segments {
		if slices.Contains(present, s.Name) {
			continue
		}
		if err := p.putSegment(ctx, s); err != nil {
			return 0, err
		}
	}
	if err := p.putManifest(ctx, manifest, version); err != nil {
		return 0, err
	}
	p.log.Info("Desired state published.", "generation", uint64(manifest.Generation))
	p.deleteUnusedSegments(ctx, old, manifest)
	return manifest.Generation, nil
}

// putSegment writes a segment. If an object of that name exists, it has the same content,
// since the name is a hash of it.
func (p *Publisher) putSegment(ctx context.Context, s segmenter.Segment) error {
	_, err := p.store.Put(ctx, fescuebank.SegmentPrefix+s.Name, s.Value, fescuebank.Absent)
	if errors.Is(err, fescuebank.ErrVersion) {
		return nil
	}
	if errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		_, err = p.store.Get(ctx, fescuebank.SegmentPrefix+s.Name)
	}
	return eris.Wrap(err, "Publisher.putSegment")
}

func (p *Publisher) putManifest(ctx context.Context, m fescuebank.Manifest, version fescuebank.StoreVersion) error {
	value, err := json.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "Publisher.putManifest")
	}
	written, err := p.store.Put(ctx, fescuebank.ManifestKey, value, version)
	if errors.Is(err, fescuebank.ErrVersion) {
		return &ConflictError{Base: m.Generation - 1, Current: max(m.Generation, p.currentGeneration(ctx))}
	}
	if errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		return p.readBack(ctx, m)
	}
	if err != nil {
		return eris.Wrap(err, "Publisher.putManifest")
	}
	p.deliver([]fescuebank.Object{{Key: fescuebank.ManifestKey, Value: value, Version: written}})
	return nil
}

// currentGeneration returns the generation in the store, or 0 if it can't be read.
func (p *Publisher) currentGeneration(ctx context.Context) fescuebank.Generation {
	var m fescuebank.Manifest
	o, err := p.store.Get(ctx, fescuebank.ManifestKey)
	if err != nil || json.Unmarshal(o.Value, &m) != nil {
		return 0
	}
	return m.Generation
}

// readBack reads the manifest after a write with an unknown outcome. It returns nil if the
// write took effect, and ErrOutcomeUnknown if that can't be determined.
func (p *Publisher) readBack(ctx context.Context, m fescuebank.Manifest) error {
	o, err := p.store.Get(ctx, fescuebank.ManifestKey)
	if err != nil {
		return eris.Wrap(fescuebank.ErrOutcomeUnknown, "Publisher.readBack")
	}
	var found fescuebank.Manifest
	if err := json.Unmarshal(o.Value, &found); err != nil {
		return eris.Wrap(err, "Publisher.readBack")
	}
	if found.Nonce == m.Nonce {
		p.deliver([]fescuebank.Object{o})
		return nil
	}
	if found.Generation > m.Generation {
		// The later state may be based on this write. Whether it took effect is unknown.
		return eris.Wrap(fescuebank.ErrOutcomeUnknown, "Publisher.readBack")
	}
	return &ConflictError{Base: m.Generation - 1, Current: found.Generation}
}

// deleteUnusedSegments deletes the segments that neither the new nor the former manifest
// names, if the new generation is a multiple of cleanupGenerations. It may delete a segment
// that another operator has written for a manifest that is not written yet. That manifest
// write then fails, because the manifest has changed since the operator read it.
func (p *Publisher) deleteUnusedSegments(ctx context.Context, old, next fescuebank.Manifest) {
	const cleanupGenerations = 64
	if next.Generation%cleanupGenerations != 0 {
		return
	}
	objects, _, err := p.store.List(ctx, fescuebank.SegmentPrefix)
	if err != nil {
		return
	}
	referenced := append(segmenter.SegmentNames(old), segmenter.SegmentNames(next)...)
	for _, o := range objects {
		if !slices.Contains(referenced, o.Key[len(fescuebank.SegmentPrefix):]) {
			_ = p.store.Delete(ctx, o.Key, o.Version)
		}
	}
}
