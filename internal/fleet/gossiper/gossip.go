package gossiper

import (
	"maps"
	"time"

	"fescuebank"
	"fescuebank/internal/wire/linker"
)

// handleGossip applies a gossip message of a peer, and relays it if the peer asks for it.
func (g *Gossiper) handleGossip(decode func(into any) error) {
	var msg fescuebank.Gossip
	if err := decode(&msg); err != nil {
		g.Log.Warn("Gossip message not decoded.", "err", err.Error())
		return
	}
	acknowledged := make(map[fescuebank.Holder]fescuebank.FencingNumber)
	g.mu.Lock()
	applied := g.apply(&msg, true, g.Clock.Now(), acknowledged)
	if applied && msg.Relay {
		g.relay(&msg)
	}
	g.mu.Unlock()
	if !applied {
		return
	}
	if msg.Relay {
		g.signal()
	}
	g.notify([]fescuebank.Gossip{msg}, acknowledged)
}

// apply applies a gossip message, which direct states to have arrived from its sender
// without a relay, and reports whether it was new. Messages that are older than the newest
// one of the incarnation, and those of unknown instances, are ignored. The epochs that
// other instances acknowledged are added to acknowledged. The caller holds the lock.
func (g *Gossiper) apply(msg *fescuebank.Gossip, direct bool, now time.Time, acknowledged map[fescuebank.Holder]fescuebank.FencingNumber) bool {
	m := g.members[msg.From]
	if m == nil {
		return false
	}
	if direct {
		m.directAt = now
		m.directSequence = max(m.directSequence, msg.Sequence)
	}
	if m.gossip.Incarnation == msg.Incarnation && msg.Sequence <= m.gossip.Sequence {
		return false
	}
	if m.silent {
		m.silent = false
		g.Log.Info("Instance is no longer silent.", "peer", string(msg.From))
	}
	g.subtract(m)
	g.peerStarts += startedSince(&m.gossip, msg)
	m.receivedAt, m.gossip, m.counted = now, *msg, true
	g.totals.add(msg)
	if ack := msg.Received[g.tag]; ack.Sequence > m.ackedSequence {
		m.ackedSequence, m.ackedAt = ack.Sequence, now
	}
	g.applyReports(msg, now, acknowledged)
	return true
}

// startedSince returns the number of requests that an instance started between two of its
// messages.
func startedSince(before, next *fescuebank.Gossip) uint64 {
	if before.Incarnation == next.Incarnation && next.Started >= before.Started {
		return next.Started - before.Started
	}
	return next.Started
}

// PeerStarts returns the number of online requests that the other instances are known to have
// sent to endpoints.
func (g *Gossiper) PeerStarts() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peerStarts
}

// relay adds a message to those that this instance relays to the fleet. The caller holds
// the lock.
func (g *Gossiper) relay(msg *fescuebank.Gossip) {
	body, err := linker.Encode(msg)
	if err != nil {
		g.Log.Error("Gossip message not encoded.", "err", err.Error())
		return
	}
	origin := fescuebank.Holder{ID: msg.From, Incarnation: msg.Incarnation}.Tag()
	g.pendingFleet = append(g.pendingFleet, fescuebank.RelayedGossip{Origin: origin, Sequence: msg.Sequence, Body: body})
}

// notify passes new messages and acknowledged epochs on.
func (g *Gossiper) notify(applied []fescuebank.Gossip, acknowledged map[fescuebank.Holder]fescuebank.FencingNumber) {
	for h, epoch := range acknowledged {
		g.OnAcknowledged(h, epoch)
	}
	if len(applied) > 0 {
		g.OnGossip(applied)
	}
}

// applyReports applies a peer's reports of what it received from other instances, and adds
// the epochs that those instances acknowledged to acknowledged. The caller holds the lock.
func (g *Gossiper) applyReports(msg *fescuebank.Gossip, now time.Time, acknowledged map[fescuebank.Holder]fescuebank.FencingNumber) {
	for tag, report := range msg.Received {
		m := g.byTag[tag]
		if m == nil || report.Sequence <= m.reportedSequence {
			continue
		}
		m.reportedSequence, m.reportedAt = report.Sequence, now
		acknowledged[m.holder()] = report.Epoch
	}
}

// Send sends a gossip message at once.
func (g *Gossiper) Send() {
	g.send(true)
	g.flush()
}

// send sends a gossip message of this instance to the relays, or to all members in a fleet
// without relays. A relay itself sends it with the next flush. A full message also reports
// what was received from other incarnations.
func (g *Gossiper) send(full bool) {
	msg := fescuebank.Gossip{From: g.Self.ID, Incarnation: g.Self.Incarnation}
	g.Fill(&msg, full)
	g.mu.Lock()
	g.sequence++
	msg.Sequence = g.sequence
	if full {
		msg.Received = g.nextReports()
	}
	msg.Relay = !g.targets.Direct
	addrs := g.targets.own
	if msg.Relay && g.targets.Relaying {
		g.relay(&msg)
	}
	g.mu.Unlock()
	if len(addrs) == 0 {
		return
	}
	body, err := linker.Encode(&msg)
	if err != nil {
		g.Log.Error("Gossip message not encoded.", "err", err.Error())
		return
	}
	g.Linker.Notify(addrs, fescuebank.KindGossip, body)
}

// nextReports returns what was last received without a relay from the next incarnations in
// reportOrder. The caller holds the lock.
func (g *Gossiper) nextReports() map[fescuebank.IncarnationTag]fescuebank.ReceivedFrom {
	reports := make(map[fescuebank.IncarnationTag]fescuebank.ReceivedFrom, reportsPerHeartbeat)
	for range g.reportOrder {
		tag := g.reportOrder[g.reportNext%len(g.reportOrder)]
		g.reportNext++
		m := g.byTag[tag]
		if m.directSequence > 0 && m.gossip.Incarnation == m.entry.Incarnation {
			reports[tag] = fescuebank.ReceivedFrom{Sequence: m.directSequence, Epoch: m.gossip.Epoch}
		}
		if len(reports) == reportsPerHeartbeat {
			break
		}
	}
	return reports
}

// PeerTotals returns sums over the live peers: their requests at endpoints including batch
// items, their waiting requests, and their batch items at endpoints.
func (g *Gossiper) PeerTotals() (counts fescuebank.EndpointCounts, waiting, batch int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.totals.counts), g.totals.waiting, g.totals.batch
}

// PeerOnline returns the online requests of the live peers at endpoints.
func (g *Gossiper) PeerOnline() fescuebank.EndpointCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.totals.online)
}

// PeerWaitingAt returns the sums of the waiting online requests of which the live peers state the service.
func (g *Gossiper) PeerWaitingAt() fescuebank.ServiceCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.totals.waitingAt)
}

// PeerDemand returns the sum of the demand for slots that the live peers state.
func (g *Gossiper) PeerDemand() fescuebank.SlotDemand {
	g.mu.Lock()
	defer g.mu.Unlock()
	demand := g.totals.demand
	demand.Teams = maps.Clone(demand.Teams)
	return demand
}

// subtract removes a member's counts from the totals. The caller holds the lock.
func (g *Gossiper) subtract(m *member) {
	if m.counted {
		g.totals.subtract(&m.gossip)
		m.counted = false
	}
}

// totals sums the counts of several instances. Counts of 0 are omitted.
type totals struct {
	// counts holds all requests at endpoints, and batch the number of batch items among
	// them.
	counts fescuebank.EndpointCounts
	batch  int
	// online holds the online requests among counts.
	online fescuebank.EndpointCounts
	// waiting is the number of online requests that wait for a slot at an endpoint.
	waiting int
	// waitingAt holds those of them whose service the instances state.
	waitingAt fescuebank.ServiceCounts
	// demand is the demand for slots that the instances state.
	demand fescuebank.SlotDemand
}

func (t *totals) add(msg *fescuebank.Gossip) {
	t.counts.Add(msg.Online)
	t.online.Add(msg.Online)
	t.counts.Add(msg.Batch)
	t.batch += msg.Batch.Sum()
	t.waiting += msg.Waiting
	t.waitingAt.Add(msg.WaitingAt)
	t.demand.Add(msg.Demand)
}

func (t *totals) subtract(msg *fescuebank.Gossip) {
	t.counts.Subtract(msg.Online)
	t.online.Subtract(msg.Online)
	t.counts.Subtract(msg.Batch)
	t.batch -= msg.Batch.Sum()
	t.waiting -= msg.Waiting
	t.waitingAt.Subtract(msg.WaitingAt)
	t.demand.Subtract(msg.Demand)
}
