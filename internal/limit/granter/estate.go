package granter

import (
	"time"

	"fescuebank"
)

// estate is what the buckets of a former owner held when it stopped. Since then
// floors may have let requests through at up to the whole rate, so each level
// wanes at the rate until it is taken over.
type estate struct {
	levels map[fescuebank.TeamID]fescuebank.Requests
	rest   time.Duration
	// stopped is no later than when the former owner stopped.
	stopped time.Time
}

// Retire ends the granter and returns what its buckets hold.
func (g *Granter) Retire(now time.Time, quota QuotaSource) fescuebank.BucketHandoverReply {
	var left fescuebank.BucketHandoverReply
	if now.Before(g.opens) {
		return g.passOn(now)
	}
	g.settle(now, quota)
	for team := range g.teams {
		if q, ok := quota(team); ok {
			left.Levels = append(left.Levels, fescuebank.BucketLevel{Team: team, Level: fescuebank.Requests(g.bucket(team, q, now).level)})
		}
	}
	if g.allClosed() {
		left.OthersAccruedFor = now.Sub(g.steady)
	}
	return left
}

// passOn returns what was inherited by a granter that never sold anything.
func (g *Granter) passOn(now time.Time) fescuebank.BucketHandoverReply {
	var left fescuebank.BucketHandoverReply
	if g.estate == nil {
		return left
	}
	for team, level := range g.estate.levels {
		left.Levels = append(left.Levels, fescuebank.BucketLevel{Team: team, Level: level})
	}
	left.OthersAccruedFor = g.estate.rest
	left.SinceStop = g.timing.WithDriftMargin(now.Sub(g.estate.stopped))
	return left
}

// StartFull makes every bucket start full. It is for the first owner that a shard
// ever had: no token was granted and no floor used before.
func (g *Granter) StartFull(now time.Time) {
	const ever = 10 * 365 * 24 * time.Hour
	g.estate = &estate{rest: ever, stopped: now}
}

func (g *Granter) allClosed() bool {
	for _, closed := range g.closed {
		if !closed {
			return false
		}
	}
	return len(g.closed) > 0
}

// ApplyHandover records the handover state of the former owner. asked is when it
// was requested.
func (g *Granter) ApplyHandover(asked time.Time, left fescuebank.BucketHandoverReply) {
	if g.estate != nil || left.SinceStop < 0 || !asked.After(g.leapt) {
		return
	}
	e := &estate{rest: left.OthersAccruedFor, stopped: asked.Add(-g.timing.WithDriftMargin(left.SinceStop)), levels: make(map[fescuebank.TeamID]fescuebank.Requests)}
	for _, l := range left.Levels {
		e.levels[l.Team] = l.Level
	}
	g.estate = e
}

// takeOver adds what is left of the former owner's level, once no floor of the
// team can be open any more.
func (g *Granter) takeOver(team fescuebank.TeamID, b *bucket, q fescuebank.Quota, now time.Time) {
	const whole = 1 - 1e-9
	share := g.share(team, q)
	if g.estate == nil || b.settledEstate || share < whole {
		return
	}
	b.settledEstate = true
	level, told := g.estate.levels[team]
	if !told {
		level = min(q.Burst, g.timing.SafeRate(q.Rate).Over(g.estate.rest))
	}
	waned := q.Rate.Over(g.timing.WithDriftMargin(now.Sub(g.estate.stopped)))
	if level > waned {
		b.level += float64(level - waned)
		b.clamp(q, share)
	}
}
