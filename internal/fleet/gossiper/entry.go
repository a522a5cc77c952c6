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
	// entryHeartbeatInterval is how often an owner writes its member entry while
	// mustHeartbeat requires it.
	entryHeartbeatInterval = time.Second
	// entryHeartbeatWindow is how long after it was last seen mustHeartbeat counts an
	// owner as silent.
	entryHeartbeatWindow = 15 * time.Second
	// registerRetry is the pause between attempts to write the member entry.
	registerRetry = 300 * time.Millisecond
	// maxListWait is how long the first write of the member entry waits at most for the first list
	// of the members, which tells the version of the entry that it replaces.
	maxListWait = 100 * time.Millisecond
)

// register writes the member entry of this incarnation whenever the store doesn't contain
// it, and periodically while mustHeartbeat requires it.
func (g *Gossiper) register(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-g.listed:
	case <-g.Clock.After(maxListWait):
	}
	for ctx.Err() == nil {
		if g.isEntryLost() || g.mustHeartbeat() {
			err := g.writeEntry(ctx)
			if errors.Is(err, errForeignEntry) {
				// The entry of the incarnation before is still there. Its version is
				// known now, so that it can be replaced at once.
				err = g.writeEntry(ctx)
			}
			if err != nil {
				g.Log.Warn("Member entry not written.", "err", err.Error())
				_ = fescuebank.Sleep(ctx, g.Clock, registerRetry)
				continue
			}
			g.mu.Lock()
			g.entryLost = false
			g.mu.Unlock()
		}
		_ = fescuebank.Sleep(ctx, g.Clock, entryHeartbeatInterval)
	}
}

// Registered reports whether the member entry of this incarnation is in the store.
func (g *Gossiper) Registered() bool {
	return !g.isEntryLost()
}

// isEntryLost returns entryLost.
func (g *Gossiper) isEntryLost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.entryLost
}

// mustHeartbeat reports whether this owner has to show that it is alive by writing its
// member entry. It has to when most other owners are silent, because this instance may be
// the one that is disconnected, and when a silent owner does the same.
func (g *Gossiper) mustHeartbeat() bool {
	if !g.Self.Owner {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	intervals := g.intervals()
	owners, silent := 0, 0
	for _, m := range g.members {
		if !m.entry.Owner {
			continue
		}
		owners++
		since := now.Sub(fescuebank.Latest(m.lastSeen(), m.addedAt))
		if since < intervals.suspectTimeout() {
			continue
		}
		if now.Sub(m.entryChangedAt) < entryLivenessTTL {
			return true
		}
		if since < entryHeartbeatWindow {
			silent++
		}
	}
	return silent*2 > owners
}

// writeEntry writes the member entry of this incarnation with a higher heartbeat counter.
func (g *Gossiper) writeEntry(ctx context.Context) error {
	g.Self.Heartbeat++
	value, err := json.Marshal(g.Self)
	if err != nil {
		return eris.Wrap(err, "Gossiper.writeEntry")
	}
	key := fescuebank.MemberPrefix + string(g.Self.ID)
	g.mu.Lock()
	expected := g.version
	g.mu.Unlock()
	version, err := g.Store.Put(ctx, key, value, expected)
	if err == nil {
		g.Log.Info("Member entry written.", "incarnation", string(g.Self.Incarnation), "version", uint64(version))
	}
	if errors.Is(err, fescuebank.ErrVersion) || errors.Is(err, fescuebank.ErrAbsent) {
		version, err = g.readEntry(ctx, key)
	}
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.version = version
	g.mu.Unlock()
	return nil
}

// readEntry returns the store version of this instance's member entry. It returns
// errForeignEntry unless the entry is that of this incarnation.
func (g *Gossiper) readEntry(ctx context.Context, key string) (fescuebank.StoreVersion, error) {
	o, err := g.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
		return 0, err
	}
	g.mu.Lock()
	g.version = o.Version
	g.mu.Unlock()
	var current fescuebank.MemberEntry
	if err != nil || json.Unmarshal(o.Value, &current) != nil || current.Incarnation != g.Self.Incarnation {
		return 0, errForeignEntry
	}
	return o.Version, nil
}

// errForeignEntry means that the member entry is absent or that of another incarnation.
var errForeignEntry = errors.New("member entry is absent or belongs to another incarnation")

// Leave removes this instance's member entry, so that the others drop it from their
// members.
func (g *Gossiper) Leave(ctx context.Context) {
	key := fescuebank.MemberPrefix + string(g.Self.ID)
	o, err := g.Store.Get(ctx, key)
	if err != nil {
		return
	}
	if err := g.Store.Delete(ctx, key, o.Version); err != nil {
		g.Log.Warn("Member entry not removed.", "err", err.Error())
	}
}
