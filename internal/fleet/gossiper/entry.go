package gossiper

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// entryBeat is how often an owner changes its entry while others are silent.
	entryBeat = time.Second
	// entryBeatFor is for how long it does so after the last sign of a peer.
	entryBeatFor = 15 * time.Second
	// registerRetry is the pause between attempts to write the entry.
	registerRetry = 300 * time.Millisecond
)

// register writes this run's entry whenever the store doesn't show it.
func (r *Gossiper) register(ctx context.Context) {
	for ctx.Err() == nil {
		if r.isEntryLost() || r.mustBeat() {
			if err := r.writeEntry(ctx); err != nil {
				r.Log.Warn("Entry not written.", "err", err.Error())
				_ = fescuebank.Sleep(ctx, r.Clock, registerRetry)
				continue
			}
			r.mu.Lock()
			r.entryLost = false
			r.mu.Unlock()
		}
		_ = fescuebank.Sleep(ctx, r.Clock, entryBeat)
	}
}

// Registered reports whether this run's entry is in the store.
func (r *Gossiper) Registered() bool {
	return !r.isEntryLost()
}

func (r *Gossiper) isEntryLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entryLost
}

// mustBeat reports whether an owner has to show by its entry that it lives: when
// most other owners are silent, so that it may be this one that is cut off, or
// when a silent owner shows the same.
func (r *Gossiper) mustBeat() bool {
	if !r.Self.Owner {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	pace := r.pace()
	owners, silent := 0, 0
	for _, m := range r.members {
		if !m.entry.Owner {
			continue
		}
		owners++
		since := now.Sub(fescuebank.Latest(m.lastHeard(), m.known))
		if since < pace.suspect() {
			continue
		}
		if now.Sub(m.changed) < entryLife {
			return true
		}
		if since < entryBeatFor {
			silent++
		}
	}
	return silent*2 > owners
}

// writeEntry writes this run's entry with a higher beat.
func (r *Gossiper) writeEntry(ctx context.Context) error {
	r.Self.Heartbeat++
	value, err := json.Marshal(r.Self)
	if err != nil {
		return eris.Wrap(err, "Gossiper.writeEntry")
	}
	key := fescuebank.MemberPrefix + string(r.Self.ID)
	r.mu.Lock()
	expected := r.version
	r.mu.Unlock()
	version, err := r.Store.Put(ctx, key, value, expected)
	if err == nil {
		r.Log.Info("Entry written.", "incarnation", string(r.Self.Incarnation), "version", uint64(version))
	}
	if errors.Is(err, fescuebank.ErrVersion) || errors.Is(err, fescuebank.ErrAbsent) {
		version, err = r.readEntry(ctx, key)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.version = version
	r.mu.Unlock()
	return nil
}

// readEntry returns the version of this instance's entry and fails unless the
// entry is this run's.
func (r *Gossiper) readEntry(ctx context.Context, key string) (fescuebank.StoreVersion, error) {
	o, err := r.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
		return 0, err
	}
	r.mu.Lock()
	r.version = o.Version
	r.mu.Unlock()
	var have fescuebank.MemberEntry
	if err != nil || json.Unmarshal(o.Value, &have) != nil || have.Incarnation != r.Self.Incarnation {
		return 0, errForeign
	}
	return o.Version, nil
}

// errForeign means that the entry is absent or that of another run.
var errForeign = errors.New("entry is not this run's")

// Leave removes this run's entry, so that others forget it.
func (r *Gossiper) Leave(ctx context.Context) {
	key := fescuebank.MemberPrefix + string(r.Self.ID)
	o, err := r.Store.Get(ctx, key)
	if err != nil {
		return
	}
	if err := r.Store.Delete(ctx, key, o.Version); err != nil {
		r.Log.Warn("Entry not removed.", "err", err.Error())
	}
}
