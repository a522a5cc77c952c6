package gossiper

import (
	"slices"
	"time"

	"fescuebank"
	"fescuebank/internal/fleet/selector"
	"fescuebank/internal/wire/linker"
)

// relayRetryInterval is how long a relay that fell silent is not used again, unless it
// sends something.
const relayRetryInterval = 5 * time.Second

// targets are the peers that this instance sends gossip to.
type targets struct {
	selector.Selection
	// own are the addresses for this instance's own messages. A relay has none: it sends
	// its messages together with those that it relays.
	own []string
	// zone and remote are the addresses for messages that this instance relays: all of its
	// zone, and the relays of the other zones.
	zone, remote []string
}

// selectTargets selects the peers that this instance sends gossip to. The caller holds the
// lock.
func (g *Gossiper) selectTargets(now time.Time) {
	g.selections++
	intervals := g.intervals()
	candidates := make([]selector.Candidate, 0, len(g.members))
	for id, m := range g.members {
		candidates = append(candidates, selector.Candidate{
			ID: id, Zone: m.entry.Zone, Weight: m.entry.Weight, Eligible: m.mayRelay(now, intervals),
			StoreUnreachable: m.gossip.StoreUnreachable,
		})
	}
	self := selector.Candidate{
		ID: g.Self.ID, Zone: g.Self.Zone, Weight: g.Self.Weight, Eligible: true, StoreUnreachable: g.StoreUnreachable(),
	}
	selection := selector.Selector{Self: self, Attempt: g.selections}.Select(candidates)
	next := targets{Selection: selection, zone: g.addrs(selection.ZonePeers), remote: g.addrs(selection.RemoteRelays)}
	var sentTo []fescuebank.InstanceID
	switch {
	case selection.Direct:
		for id := range g.members {
			sentTo = append(sentTo, id)
		}
		next.own = g.addrs(sentTo)
	case selection.Relaying:
		sentTo = slices.Concat(selection.ZonePeers, selection.RemoteRelays)
	default:
		sentTo = selection.Relays
		next.own = g.addrs(sentTo)
	}
	g.markTargets(sentTo, now)
	g.targets = next
}

// Watching reports whether this instance has to watch the store itself, because no other
// instance does it for it.
func (g *Gossiper) Watching() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targets.Direct || g.targets.Watching
}

// mayRelay reports whether the peer can be expected to relay gossip: it is alive, or may
// still be about to send its first message.
func (m *member) mayRelay(now time.Time, intervals intervals) bool {
	alive := m.isAlive(now, intervals) || now.Sub(m.addedAt) < intervals.suspectTimeout()
	failed := m.relayFailedAt.After(m.directAt) && now.Sub(m.relayFailedAt) < relayRetryInterval
	return alive && !failed && !m.gossip.Leaving
}

// markTargets records since when this instance has been sending to each peer. The caller
// holds the lock.
func (g *Gossiper) markTargets(sentTo []fescuebank.InstanceID, now time.Time) {
	isTarget := make(map[fescuebank.InstanceID]bool, len(sentTo))
	for _, id := range sentTo {
		isTarget[id] = true
	}
	for id, m := range g.members {
		switch {
		case !isTarget[id]:
			m.targetSince = time.Time{}
		case m.targetSince.IsZero():
			m.targetSince = now
		}
	}
}

// checkRelays marks the relays that this instance sends to as failed if they have sent it
// nothing within the relay timeout. The relays of all zones send to one another. The caller
// holds the lock.
func (g *Gossiper) checkRelays(now time.Time) {
	relays := g.targets.Relays
	switch {
	case g.targets.Direct:
		return
	case g.targets.Relaying:
		relays = g.targets.RemoteRelays
	}
	intervals := g.intervals()
	for _, id := range relays {
		m := g.members[id]
		if m == nil || m.targetSince.IsZero() {
			continue
		}
		silent := now.Sub(fescuebank.Latest(m.targetSince, m.directAt))
		if silent < intervals.relayTimeout() {
			continue
		}
		m.relayFailedAt = now
		g.Log.Info("Relay of gossip is silent.", "peer", string(id), "heardMsAgo", silent.Milliseconds())
	}
}

// addrs returns the addresses of the members among list. The caller holds the lock.
func (g *Gossiper) addrs(list []fescuebank.InstanceID) []string {
	addrs := make([]string, 0, len(list))
	for _, id := range list {
		if m := g.members[id]; m != nil {
			addrs = append(addrs, m.entry.PeerAddr)
		}
	}
	return addrs
}

// handleBundle applies the messages of a bundle that are new here, and relays them to the
// own zone if the sender asks for it.
func (g *Gossiper) handleBundle(decode func(into any) error) {
	var bundle fescuebank.GossipBundle
	if err := decode(&bundle); err != nil {
		g.Log.Warn("Gossip bundle not decoded.", "err", err.Error())
		return
	}
	now := g.Clock.Now()
	g.mu.Lock()
	if m := g.members[bundle.From]; m != nil {
		m.directAt = now
	}
	var applied []fescuebank.Gossip
	acknowledged := make(map[fescuebank.Holder]fescuebank.FencingNumber)
	for _, relayed := range bundle.Messages {
		if g.isKnown(relayed) {
			continue
		}
		var msg fescuebank.Gossip
		if err := linker.Decode(relayed.Body, &msg); err != nil {
			g.Log.Warn("Relayed gossip not decoded.", "from", string(bundle.From), "err", err.Error())
			continue
		}
		if !g.apply(&msg, msg.From == bundle.From, now, acknowledged) {
			continue
		}
		applied = append(applied, msg)
		if bundle.Relay {
			g.pendingZone = append(g.pendingZone, relayed)
		}
	}
	g.mu.Unlock()
	if bundle.Relay && len(applied) > 0 {
		g.signal()
	}
	g.notify(applied, acknowledged)
}

// isKnown reports whether the message or a newer one of its incarnation has been applied.
// This instance's own messages count as known. The caller holds the lock.
func (g *Gossiper) isKnown(relayed fescuebank.RelayedGossip) bool {
	if relayed.Origin == g.tag {
		return true
	}
	m := g.byTag[relayed.Origin]
	return m != nil && m.gossip.Incarnation == m.entry.Incarnation && relayed.Sequence <= m.gossip.Sequence
}

// flush sends the messages that this instance has to relay.
func (g *Gossiper) flush() {
	g.mu.Lock()
	fleet, zone := g.pendingFleet, g.pendingZone
	g.pendingFleet, g.pendingZone = nil, nil
	targets := g.targets
	g.mu.Unlock()
	g.sendBundle(slices.Concat(fleet, zone), targets.zone, false)
	g.sendBundle(fleet, targets.remote, true)
}

// sendBundle sends relayed messages to the instances at addrs. relay asks them to relay the
// messages to their own zone.
func (g *Gossiper) sendBundle(messages []fescuebank.RelayedGossip, addrs []string, relay bool) {
	if len(messages) == 0 || len(addrs) == 0 {
		return
	}
	body, err := linker.Encode(&fescuebank.GossipBundle{From: g.Self.ID, Relay: relay, Messages: messages})
	if err != nil {
		g.Log.Error("Gossip bundle not encoded.", "err", err.Error())
		return
	}
	g.Linker.Notify(addrs, fescuebank.KindGossipBundle, body)
}
