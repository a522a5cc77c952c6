// Package applier loads new generations of the desired state from the store and applies
// them on this instance.
package applier

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/config/publisher"
	"fescuebank/internal/config/segmenter"
)

const (
	// minRetryWait and maxRetryWait bound the backoff, before jitter, after a generation
	// could not be loaded.
	minRetryWait = 200 * time.Millisecond
	maxRetryWait = 5 * time.Second
)

// Applier is the fescuebank.ConfigSource of a running daemon. It only applies complete
// generations and never returns to an older one.
type Applier struct {
	store     fescuebank.ObjectStore
	segmenter *segmenter.Segmenter
	clock     fescuebank.Clock
	log       hclog.Logger
	// newest is the newest manifest received.
	newest atomic.Pointer[fescuebank.Manifest]
	// wake notifies Run of a new manifest.
	wake    chan struct{}
	current atomic.Pointer[fescuebank.Snapshot]
	// values holds the segments fetched for the current generation by name, and possibly
	// others. Only Run uses it.
	values   map[string][]byte
	onChange []func(*fescuebank.Snapshot)
}

// New returns an applier whose current state is empty.
func New(store fescuebank.ObjectStore, s *segmenter.Segmenter, clock fescuebank.Clock, log hclog.Logger) *Applier {
	a := &Applier{store: store, segmenter: s, clock: clock, log: log, wake: make(chan struct{}, 1)}
	a.current.Store(fescuebank.NewSnapshot(&fescuebank.DesiredState{}))
	return a
}

// OnChange calls f with each new generation. Call it before Run.
func (a *Applier) OnChange(f func(*fescuebank.Snapshot)) {
	a.onChange = append(a.onChange, f)
}

// Current returns the generation in force.
func (a *Applier) Current() *fescuebank.Snapshot {
	return a.current.Load()
}

// ApplyObject records the manifest in o if it is newer than those received before, and
// wakes Run.
func (a *Applier) ApplyObject(o fescuebank.Object) {
	var m fescuebank.Manifest
	if o.Key != fescuebank.ManifestKey || json.Unmarshal(o.Value, &m) != nil {
		return
	}
	for {
		old := a.newest.Load()
		if old != nil && old.Generation >= m.Generation {
			return
		}
		if a.newest.CompareAndSwap(old, &m) {
			break
		}
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run applies the newest generation received until ctx ends.
func (a *Applier) Run(ctx context.Context) {
	wait := minRetryWait
	for ctx.Err() == nil {
		m := a.newest.Load()
		if m == nil || m.Generation <= a.Current().State.Generation {
			select {
			case <-a.wake:
			case <-ctx.Done():
			}
			continue
		}
		if err := a.apply(ctx, *m); err != nil {
			a.log.Warn("Generation not applied.", "generation", uint64(m.Generation), "err", err)
			_ = fescuebank.Sleep(ctx, a.clock, fescuebank.Jitter(wait))
			wait = min(2*wait, maxRetryWait)
			continue
		}
		wait = minRetryWait
	}
}

func (a *Applier) apply(ctx context.Context, m fescuebank.Manifest) error {
	values, err := publisher.FetchSegments(ctx, a.store, segmenter.SegmentNames(m), a.values)
	if err != nil {
		return err
	}
	state, err := a.segmenter.Join(m, values)
	if err != nil {
		return err
	}
	a.values = values
	next := fescuebank.NewSnapshot(state)
	a.current.Store(next)
	a.log.Info("Generation applied.", "generation", uint64(m.Generation), "teams", len(state.Teams))
	for _, f := range a.onChange {
		f(next)
	}
	return nil
}
