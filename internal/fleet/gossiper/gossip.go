package gossiper

import (
	"maps"
	"time"

	"fescuebank"
	"fescuebank/internal/wire/linker"
)

// hear takes in the news of a peer.
func (r *Gossiper) hear(decode func(into any) error) {
	var n fescuebank.Gossip
	if err := decode(&n); err != nil {
		r.Log.Warn("News not read.", "err", err.Error())
		return
	}
	now := r.Clock.Now()
	r.mu.Lock()
	m := r.members[n.From]
	if m == nil || (m.news.Incarnation == n.Incarnation && n.Sequence <= m.news.Sequence) {
		r.mu.Unlock()
		return
	}
	if m.silent {
		m.silent = false
		r.Log.Info("Instance is heard again.", "peer", string(n.From))
	}
	r.discount(m)
	m.heard, m.news, m.counted = now, n, true
	r.counted.add(&n)
	if echo := n.Received[r.tag]; echo.Sequence > m.echo {
		m.echo, m.echoed = echo.Sequence, now
	}
	told := r.hearsay(&n, now)
	r.mu.Unlock()
	for h, epoch := range told {
		r.OnAcknowledged(h, epoch)
	}
	r.OnGossip(&n)
}

// hearsay takes in what a peer heard of others, and returns the epochs that they
// acknowledged. The caller holds the lock.
func (r *Gossiper) hearsay(n *fescuebank.Gossip, now time.Time) map[fescuebank.Holder]fescuebank.FencingNumber {
	told := make(map[fescuebank.Holder]fescuebank.FencingNumber)
	for tag, of := range n.Received {
		m := r.runs[tag]
		if m == nil || of.Sequence <= m.sequence {
			continue
		}
		m.sequence, m.sign = of.Sequence, now
		told[m.holder()] = of.Epoch
	}
	return told
}

// Send sends the news at once.
func (r *Gossiper) Send() {
	r.send(true)
}

func (r *Gossiper) send(full bool) {
	n := fescuebank.Gossip{From: r.Self.ID, Incarnation: r.Self.Incarnation}
	r.Fill(&n)
	r.mu.Lock()
	r.sequence++
	n.Sequence = r.sequence
	addrs := make([]string, 0, len(r.members))
	for _, m := range r.members {
		addrs = append(addrs, m.entry.PeerAddr)
	}
	if full {
		n.Received = r.tell()
	}
	r.mu.Unlock()
	body, err := linker.Encode(&n)
	if err != nil {
		r.Log.Error("News not encoded.", "err", err.Error())
		return
	}
	for _, addr := range addrs {
		r.Linker.Notify(addr, fescuebank.KindGossip, body)
	}
}

// tell returns what was heard of the runs whose turn it is. The caller holds the lock.
func (r *Gossiper) tell() map[fescuebank.IncarnationTag]fescuebank.ReceivedFrom {
	count := min(heardPerBeat, len(r.turns))
	heard := make(map[fescuebank.IncarnationTag]fescuebank.ReceivedFrom, count)
	for range count {
		tag := r.turns[r.turn%len(r.turns)]
		r.turn++
		m := r.runs[tag]
		if m.news.Sequence > 0 && m.news.Incarnation == m.entry.Incarnation {
			heard[tag] = fescuebank.ReceivedFrom{Sequence: m.news.Sequence, Epoch: m.news.Epoch}
		}
	}
	return heard
}

// PeerTotals sums what the live peers have at endpoints, batch items included, how many
// of their requests wait, and how many of what they have are batch items.
func (r *Gossiper) PeerTotals() (counts fescuebank.EndpointCounts, waiting, batch int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counted.counts), r.counted.waiting, r.counted.batch
}

// discount takes a member's news out of the sums. The caller holds the lock.
func (r *Gossiper) discount(m *member) {
	if m.counted {
		r.counted.remove(&m.news)
		m.counted = false
	}
}

// totals sums the counts of several instances. Counts of 0 are left out.
type totals struct {
	// counts are all requests at endpoints, and batch the number of batch items among
	// them.
	counts  fescuebank.EndpointCounts
	batch   int
	waiting int
}

func (t *totals) add(n *fescuebank.Gossip) {
	t.counts.Add(n.Online)
	t.counts.Add(n.Batch)
	t.batch += n.Batch.Sum()
	t.waiting += n.Waiting
}

func (t *totals) remove(n *fescuebank.Gossip) {
	t.counts.Subtract(n.Online)
	t.counts.Subtract(n.Batch)
	t.batch -= n.Batch.Sum()
	t.waiting -= n.Waiting
}
