package gossiper

import (
	"context"
	"time"

	"fescuebank"
)

// removeAfter is how long a peer must be silent before its member entry is removed
// from the store.
const removeAfter = 30 * time.Second

// checkPeers drops the connections to unresponsive peers that gossip is sent to, so that
// they are re-established, and selects anew which ones it is sent to. A peer is
// unresponsive if it has sent nothing within the suspect timeout or acknowledged nothing
// within the acknowledgement timeout. The live instance with the lowest id also removes
// the member entries of peers that have been silent for removeAfter.
func (g *Gossiper) checkPeers(ctx context.Context) {
	now := g.Clock.Now()
	g.mu.Lock()
	intervals := g.intervals()
	var reconnect []string
	var remove []*member
	silent := 0
	g.liveCount = 1
	for _, m := range g.members {
		if m.isAlive(now, intervals) {
			g.liveCount++
		}
		if m.mustReconnect(now, intervals) {
			m.reconnectedAt = now
			reconnect = append(reconnect, m.entry.PeerAddr)
		}
		if g.markSilent(m, now, intervals) {
			silent++
		}
		if m.isRemovable(now) {
			remove = append(remove, m)
		}
	}
	manySilent := silent > 1 && silent*2 >= len(g.members)
	first := g.isFirst(now)
	g.checkRelays(now)
	g.selectTargets(now)
	g.mu.Unlock()
	for _, addr := range reconnect {
		g.Linker.Disconnect(addr)
	}
	g.OnTargets()
	if manySilent {
		g.OnConnectionsStalled()
	}
	if first {
		g.removeEntries(ctx, remove)
	}
}

// mustReconnect reports whether gossip is sent to the peer, the peer is unresponsive, and its
// connection has not been dropped lately.
func (m *member) mustReconnect(now time.Time, intervals intervals) bool {
	if m.targetSince.IsZero() || now.Sub(m.reconnectedAt) < intervals.ackTimeout() {
		return false
	}
	sentNothing := now.Sub(m.heardAt()) >= intervals.suspectTimeout()
	ackedNothing := now.Sub(fescuebank.Latest(m.ackedAt, m.targetSince)) >= intervals.ackTimeout()
	return sentNothing || ackedNothing
}

// markSilent marks a peer as silent if it has sent nothing within the suspect timeout, and
// reports whether it was not marked before. The caller holds the lock.
func (g *Gossiper) markSilent(m *member, now time.Time, intervals intervals) bool {
	since := now.Sub(m.heardAt())
	if m.silent || since < intervals.suspectTimeout() {
		return false
	}
	m.silent = true
	g.subtract(m)
	g.Log.Warn("Instance is silent.", "peer", string(m.entry.ID), "heardMsAgo", since.Milliseconds())
	return true
}

// isRemovable reports whether no instance has heard from the peer, and its entry has not
// changed, for removeAfter.
func (m *member) isRemovable(now time.Time) bool {
	elsewhere := fescuebank.Latest(m.reportedAt, m.entryChangedAt)
	return now.Sub(fescuebank.Latest(m.heardAt(), elsewhere)) >= removeAfter
}

// isFirst reports whether no live peer has a lower id. The caller holds the lock.
func (g *Gossiper) isFirst(now time.Time) bool {
	for id, m := range g.members {
		if id < g.Self.ID && m.isAlive(now, g.intervals()) {
			return false
		}
	}
	return true
}

// removeEntries removes the member entries of silent members from the store.
func (g *Gossiper) removeEntries(ctx context.Context, members []*member) {
	for _, m := range members {
		err := g.Store.Delete(ctx, fescuebank.MemberPrefix+string(m.entry.ID), m.version)
		g.Log.Info("Member entry of a silent instance removed.", "peer", string(m.entry.ID), "err", errText(err))
	}
}

// errText returns the text of an error, or nothing without one.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
