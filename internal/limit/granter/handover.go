package granter

import (
	"time"

	"fescuebank"
)

// handover is the state of a former owner's buckets when it stopped. Since then
// homes may have admitted requests from their floors at up to the team's full rate, so
// each level decays at that rate until it is added to the new owner's bucket.
type handover struct {
	levels map[fescuebank.TeamID]fescuebank.Requests
	// accruedFor is for how long the buckets of teams without an entry in levels had
	// accrued tokens.
	accruedFor time.Duration
	// stoppedAt is no later than when the former owner stopped.
	stoppedAt time.Time
}

// Retire ends the granter and returns its buckets' levels for the next owner.
func (g *Granter) Retire(now time.Time, quota QuotaSource) fescuebank.BucketHandoverReply {
	var reply fescuebank.BucketHandoverReply
	if now.Before(g.grantsFrom) {
		return g.forwardHandover(now)
	}
	g.updateFloors(now, quota)
	for team := range g.teams {
		if q, ok := quota(team); ok {
			reply.Levels = append(reply.Levels, fescuebank.BucketLevel{Team: team, Level: fescuebank.Requests(g.bucket(team, q, now).level)})
		}
	}
	if g.allFloorsClosed() {
		reply.OthersAccruedFor = now.Sub(g.closedSince)
	}
	return reply
}

// forwardHandover returns the handover state that a granter received if it stops
// before it granted anything.
func (g *Granter) forwardHandover(now time.Time) fescuebank.BucketHandoverReply {
	var reply fescuebank.BucketHandoverReply
	if g.handover == nil {
		return reply
	}
	for team, level := range g.handover.levels {
		reply.Levels = append(reply.Levels, fescuebank.BucketLevel{Team: team, Level: level})
	}
	reply.OthersAccruedFor = g.handover.accruedFor
	reply.SinceStop = g.timing.WithDriftMargin(now.Sub(g.handover.stoppedAt))
	return reply
}

// StartFull makes every bucket start full. It is only for the first owner of a shard:
// no token was granted and no floor used before.
func (g *Granter) StartFull(now time.Time) {
	const tenYears = 10 * 365 * 24 * time.Hour
	g.handover = &handover{accruedFor: tenYears, stoppedAt: now}
}

func (g *Granter) allFloorsClosed() bool {
	for _, closed := range g.closedFloors {
		if !closed {
			return false
		}
	}
	return len(g.closedFloors) > 0
}

// ApplyHandover records the handover state of the former owner. requestedAt is when
// this owner requested it. The former owner's stop is calculated back from then and not
// from the arrival of the reply, so that the result is never later than the true stop.
func (g *Granter) ApplyHandover(requestedAt time.Time, reply fescuebank.BucketHandoverReply) {
	if g.handover != nil || reply.SinceStop < 0 || !requestedAt.After(g.clockJumpedAt) {
		return
	}
	h := &handover{accruedFor: reply.OthersAccruedFor, stoppedAt: requestedAt.Add(-g.timing.WithDriftMargin(reply.SinceStop)), levels: make(map[fescuebank.TeamID]fescuebank.Requests)}
	for _, b := range reply.Levels {
		h.levels[b.Team] = b.Level
	}
	g.handover = h
}

// addHandover adds the remainder of the former owner's level after decay to a bucket, as
// soon as all floors of the team are closed.
func (g *Granter) addHandover(team fescuebank.TeamID, b *bucket, q fescuebank.Quota, now time.Time) {
	const fullShare = 1 - 1e-9
	share := g.share(team, q)
	if g.handover == nil || b.handoverApplied || share < fullShare {
		return
	}
	b.handoverApplied = true
	level, hasLevel := g.handover.levels[team]
	if !hasLevel {
		level = min(q.Burst, g.timing.SafeRate(q.Rate).Over(g.handover.accruedFor))
	}
	decayed := q.Rate.Over(g.timing.WithDriftMargin(now.Sub(g.handover.stoppedAt)))
	if level > decayed {
		b.level += float64(level - decayed)
		b.clamp(q, share)
	}
}
