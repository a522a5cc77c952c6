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
		since := fescuebank.Latest(m.receivedAt, m.addedAt)
		isTarget := !m.targetSince.IsZero()
		unresponsive := now.Sub(since) >= intervals.suspectTimeout() || now.Sub(fescuebank.Latest(m.ackedAt, m.targetSince)) >= intervals.ackTimeout()
		if isTarget && unresponsive && now.Sub(m.reconnectedAt) >= intervals.ackTimeout() {
			m.reconnectedAt = now
			reconnect = append(reconnect, m.entry.PeerAddr)
		}
		if now.Sub(since) >= intervals.suspectTimeout() && !m.silent {
			m.silent = true
			silent++
			g.subtract(m)
			g.Log.Warn("Instance is silent.", "peer", string(m.entry.ID), "heardMsAgo", now.Sub(since).Milliseconds())
		}
		if now.Sub(fescuebank.Latest(since, fescuebank.Latest(m.reportedAt, m.entryChangedAt))) >= removeAfter {
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
