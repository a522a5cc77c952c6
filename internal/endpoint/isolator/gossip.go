package isolator

import (
	"slices"
	"time"

	"fescuebank"
)

const (
	// gossipTTL is how long the trials in a message of another instance are used.
	gossipTTL = 2 * time.Second
	// reportTime is how long gossip reports a crash or a completion.
	reportTime = 30 * time.Second
	// maxReports bounds the crashes, the completions and the quarantines in a message.
	maxReports = 32
)

// peerTrials are the suspects that another instance runs.
type peerTrials struct {
	receivedAt time.Time
	keys       map[fescuebank.SuspectKey]bool
}

// FillGossip sets the fields of the gossip message that belong to the isolator.
func (i *Isolator) FillGossip(g *fescuebank.Gossip) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.Clock.Now()
	for n := len(i.evidence.crashes) - 1; n >= 0 && len(g.Crashes) < maxReports; n-- {
		c := i.evidence.crashes[n]
		if len(c.own) > 0 && now.Sub(c.at) < reportTime {
			g.Crashes = append(g.Crashes, fescuebank.CrashReport{Crash: c.id, AgeMs: now.Sub(c.at).Milliseconds(), Requests: c.own})
		}
	}
	for key, c := range i.evidence.completed {
		if !c.own || now.Sub(c.at) >= reportTime || len(g.Completed) >= maxReports {
			continue
		}
		if g.Completed == nil {
			g.Completed = make(map[fescuebank.SuspectKey]int64)
		}
		g.Completed[key] = now.Sub(c.at).Milliseconds()
	}
	for _, q := range i.quarantines {
		if left := q.until.Sub(now); left > 0 && len(g.Quarantines) < maxReports {
			g.Quarantines = append(g.Quarantines, fescuebank.Quarantine{ID: string(q.id), Keys: q.keys, LeftMs: left.Milliseconds(), LengthMs: q.length.Milliseconds()})
		}
	}
	for key := range i.trials {
		g.Trials = append(g.Trials, key)
	}
}

// ApplyGossip processes what another instance states of crashes.
func (i *Isolator) ApplyGossip(g *fescuebank.Gossip) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.Clock.Now()
	i.applyTrials(g, now)
	for _, report := range g.Crashes {
		at := now.Add(-time.Duration(report.AgeMs) * time.Millisecond)
		for _, lost := range report.Requests {
			i.evidence.add(report.Crash, at, false, lost)
		}
	}
	for key, ageMs := range g.Completed {
		i.complete(key, now.Add(-time.Duration(ageMs)*time.Millisecond), false)
	}
	for _, q := range g.Quarantines {
		until := now.Add(time.Duration(q.LeftMs) * time.Millisecond)
		i.adopt(quarantine{id: quarantineID(q.ID), keys: q.Keys, until: until, length: time.Duration(q.LengthMs) * time.Millisecond})
	}
}

// applyTrials replaces what is known of the trials of another instance. The caller holds the
// lock.
func (i *Isolator) applyTrials(g *fescuebank.Gossip, now time.Time) {
	before := len(i.peerTrials[g.From].keys)
	if len(g.Trials) == 0 {
		delete(i.peerTrials, g.From)
	} else {
		keys := make(map[fescuebank.SuspectKey]bool, len(g.Trials))
		for _, key := range g.Trials {
			keys[key] = true
		}
		i.peerTrials[g.From] = peerTrials{receivedAt: now, keys: keys}
	}
	if before > 0 {
		i.signal()
	}
}

// adopt applies a quarantine that another instance decided, without the keys that have completed
// since it began, unless it is refuted. The caller holds the lock.
func (i *Isolator) adopt(q quarantine) {
	q.keys = slices.DeleteFunc(slices.Clone(q.keys), func(key fescuebank.SuspectKey) bool {
		return i.evidence.completed[key].at.After(q.since())
	})
	if len(q.keys) == 0 || i.isRefuted(q) {
		return
	}
	known, ok := i.quarantines[q.id]
	if ok && !q.until.After(known.until.Add(gossipTTL)) || !i.put(q) {
		return
	}
	i.Log.Warn("Quarantine adopted.", "suspect", string(q.id), "ms", q.length.Milliseconds())
	i.signal()
}
