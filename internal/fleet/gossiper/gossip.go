package gossiper

import (
	"maps"
	"time"

	"fescuebank"
	"fescuebank/internal/wire/linker"
)

// handleGossip applies a gossip message of a peer. Messages that are older than the newest
// one of the incarnation, and those of unknown instances, are ignored.
func (g *Gossiper) handleGossip(decode func(into any) error) {
	var msg fescuebank.Gossip
	if err := decode(&msg); err != nil {
		g.Log.Warn("Gossip message not decoded.", "err", err.Error())
		return
	}
	now := g.Clock.Now()
	g.mu.Lock()
	m := g.members[msg.From]
	if m == nil || (m.gossip.Incarnation == msg.Incarnation && msg.Sequence <= m.gossip.Sequence) {
		g.mu.Unlock()
		return
	}
	if m.silent {
		m.silent = false
		g.Log.Info("Instance is no longer silent.", "peer", string(msg.From))
	}
	g.subtract(m)
	m.receivedAt, m.gossip, m.counted = now, msg, true
	g.totals.add(&msg)
	if ack := msg.Received[g.tag]; ack.Sequence > m.ackedSequence {
		m.ackedSequence, m.ackedAt = ack.Sequence, now
	}
	acknowledged := g.applyReports(&msg, now)
	g.mu.Unlock()
	for h, epoch := range acknowledged {
		g.OnAcknowledged(h, epoch)
	}
	g.OnGossip(&msg)
}

// applyReports applies a peer's reports of what it received from other instances, and
// returns the epochs that those instances acknowledged. The caller holds the lock.
func (g *Gossiper) applyReports(msg *fescuebank.Gossip, now time.Time) map[fescuebank.Holder]fescuebank.FencingNumber {
	acknowledged := make(map[fescuebank.Holder]fescuebank.FencingNumber)
	for tag, report := range msg.Received {
		m := g.byTag[tag]
		if m == nil || report.Sequence <= m.reportedSequence {
			continue
		}
		m.reportedSequence, m.reportedAt = report.Sequence, now
		acknowledged[m.holder()] = report.Epoch
	}
	return acknowledged
}

// Send sends a gossip message at once.
func (g *Gossiper) Send() {
	g.send(true)
}

// send sends a gossip message to all members. A full message also reports what was
// received from other incarnations.
func (g *Gossiper) send(full bool) {
	msg := fescuebank.Gossip{From: g.Self.ID, Incarnation: g.Self.Incarnation}
	g.Fill(&msg)
	g.mu.Lock()
	g.sequence++
	msg.Sequence = g.sequence
	addrs := make([]string, 0, len(g.members))
	for _, m := range g.members {
		addrs = append(addrs, m.entry.PeerAddr)
	}
	if full {
		msg.Received = g.nextReports()
	}
	g.mu.Unlock()
	body, err := linker.Encode(&msg)
	if err != nil {
		g.Log.Error("Gossip message not encoded.", "err", err.Error())
		return
	}
	for _, addr := range addrs {
		g.Linker.Notify(addr, fescuebank.KindGossip, body)
	}
}

// nextReports returns what was last received from the next incarnations in reportOrder.
// The caller holds the lock.
func (g *Gossiper) nextReports() map[fescuebank.IncarnationTag]fescuebank.ReceivedFrom {
	count := min(reportsPerHeartbeat, len(g.reportOrder))
	reports := make(map[fescuebank.IncarnationTag]fescuebank.ReceivedFrom, count)
	for range count {
		tag := g.reportOrder[g.reportNext%len(g.reportOrder)]
		g.reportNext++
		m := g.byTag[tag]
		if m.gossip.Sequence > 0 && m.gossip.Incarnation == m.entry.Incarnation {
			reports[tag] = fescuebank.ReceivedFrom{Sequence: m.gossip.Sequence, Epoch: m.gossip.Epoch}
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
	// waiting is the number of online requests that wait for a slot at an endpoint.
	waiting int
}

func (t *totals) add(msg *fescuebank.Gossip) {
	t.counts.Add(msg.Online)
	t.counts.Add(msg.Batch)
	t.batch += msg.Batch.Sum()
	t.waiting += msg.Waiting
}

func (t *totals) subtract(msg *fescuebank.Gossip) {
	t.counts.Subtract(msg.Online)
	t.counts.Subtract(msg.Batch)
	t.batch -= msg.Batch.Sum()
	t.waiting -= msg.Waiting
}
