// Package granter sells prepaid tokens of the teams of one shard.
package granter

import (
	"math"
	"slices"
	"time"

	"fescuebank"
)

// Granter is the bucket side of one shard under one owner. It does no I/O and
// takes no lock. At each moment, for each team, the bucket's level plus all
// unspent tokens is at most the burst times the share of slots that are off
// their floor.
type Granter struct {
	timing fescuebank.TokenTiming
	// owner is the fencing number under which tokens are sold.
	owner fescuebank.FencingNumber
	// opens is when selling begins, after the former owner's tokens have died.
	opens time.Time
	slots []slot
	teams map[fescuebank.TeamID]*bucket
	// closed says of each slot whether its floor was surely closed when the
	// buckets were last settled; steady is when that last changed.
	closed []bool
	steady time.Time
	next   fescuebank.GrantID
	// leapt is when the clock was last found to have stood still. Stamps and
	// questions from before measure nothing.
	leapt time.Time
	// estate is what the former owner left, if it told.
	estate *estate
	// sequences is the newest request seen of each buyer.
	sequences map[fescuebank.Holder]uint64
}

// slot is one home slot as the owner sees it.
type slot struct {
	home Slot
	// confirmed is until when the holder surely stays off its floor.
	confirmed time.Time
}

// Slot describes a home slot.
type Slot struct {
	// Holder is empty if nobody holds the slot.
	Holder fescuebank.Holder
	// Clear is set once no former holder can use the slot's floor.
	Clear bool
}

// bucket is one team's account.
type bucket struct {
	level float64
	at    time.Time
	// sold are grants not yet dead, oldest first.
	sold []sale
	// settledEstate is set once the former owner's level has been taken over.
	settledEstate bool
}

// sale is a grant whose tokens may still be unspent.
type sale struct {
	id    fescuebank.GrantID
	buyer fescuebank.Holder
	count int
	dead  time.Time
}

// New returns the granter of a shard whose owner begins to act at now.
func New(timing fescuebank.TokenTiming, owner fescuebank.FencingNumber, now time.Time, slots []Slot) *Granter {
	g := &Granter{
		timing: timing, owner: owner, opens: now.Add(timing.GrantDelay()), steady: now.Add(timing.GrantDelay()),
		teams:     make(map[fescuebank.TeamID]*bucket),
		sequences: make(map[fescuebank.Holder]uint64),
	}
	g.SetSlots(now, slots, nil)
	return g
}

// Owner returns the fencing number under which tokens are sold.
func (g *Granter) Owner() fescuebank.FencingNumber {
	return g.owner
}

// OnClockJump treats every floor as open and drops the handover state, after the
// clock stood still for an unknown time: floor waivers may have ended meanwhile.
func (g *Granter) OnClockJump(now time.Time, quota QuotaSource) {
	for i := range g.slots {
		g.slots[i].confirmed = time.Time{}
	}
	g.leapt = now
	g.estate = nil
	g.settle(now, quota)
}

// QuotaSource returns the quota of a team, or false if there is no such team.
type QuotaSource func(fescuebank.TeamID) (fescuebank.Quota, bool)

// SetSlots takes in the home slots of a newer assignment. A slot whose holder
// changed is unconfirmed.
func (g *Granter) SetSlots(now time.Time, slots []Slot, quota QuotaSource) {
	next := make([]slot, len(slots))
	for i, s := range slots {
		next[i] = slot{home: s}
		if i < len(g.slots) && g.slots[i].home.Holder == s.Holder {
			next[i].confirmed = g.slots[i].confirmed
		}
	}
	g.slots = next
	g.settle(now, quota)
}

// currentClosed says of each slot whether its floor is surely closed.
func (g *Granter) currentClosed(now time.Time) []bool {
	closed := make([]bool, len(g.slots))
	for i, s := range g.slots {
		closed[i] = s.home.Clear && (s.home.Holder == (fescuebank.Holder{}) || now.Before(s.confirmed))
	}
	return closed
}

// share is the part of a team's quota that the bucket may use.
func (g *Granter) share(team fescuebank.TeamID, q fescuebank.Quota) float64 {
	total := 0.0
	for i, closed := range g.closed {
		if closed {
			total += fescuebank.SlotPart(team, q, i, len(g.closed))
		}
	}
	return min(1, total)
}

// settle brings all buckets up to date when a floor opens or closes. A confirmation
// that ended in between is taken to have ended when it did.
func (g *Granter) settle(now time.Time, quota QuotaSource) {
	from := g.steady
	for {
		end, ok := g.nextEnd(from, now)
		if !ok {
			break
		}
		g.changeClosed(end, quota)
		from = end
	}
	g.changeClosed(now, quota)
}

// nextEnd returns the earliest end of a confirmation after from and up to now.
func (g *Granter) nextEnd(from, now time.Time) (time.Time, bool) {
	var first time.Time
	for _, s := range g.slots {
		if s.confirmed.After(from) && !s.confirmed.After(now) && (first.IsZero() || s.confirmed.Before(first)) {
			first = s.confirmed
		}
	}
	return first, !first.IsZero()
}

func (g *Granter) changeClosed(now time.Time, quota QuotaSource) {
	closed := g.currentClosed(now)
	if slices.Equal(closed, g.closed) || now.Before(g.steady) {
		return
	}
	for team, b := range g.teams {
		q, ok := quota(team)
		if !ok {
			delete(g.teams, team)
			continue
		}
		g.refill(team, b, q, now)
	}
	g.closed = closed
	g.steady = now
}

// refill accrues at the settled share and caps the level, so that level and
// unspent tokens together stay within the burst.
func (g *Granter) refill(team fescuebank.TeamID, b *bucket, q fescuebank.Quota, now time.Time) {
	for len(b.sold) > 0 && !now.Before(b.sold[0].dead) {
		b.sold = b.sold[1:]
	}
	share := g.share(team, q)
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += float64(g.timing.SafeRate(q.Rate).Over(elapsed)) * share
		b.at = now
	}
	b.clamp(q, share)
}

func (b *bucket) clamp(q fescuebank.Quota, share float64) {
	unspent := 0
	for _, s := range b.sold {
		unspent += s.count
	}
	b.level = max(0, min(b.level, float64(q.Burst)*share-float64(unspent)))
}

// bucket returns a team's account. One first seen now has accrued since the
// set of closed floors last changed.
func (g *Granter) bucket(team fescuebank.TeamID, q fescuebank.Quota, now time.Time) *bucket {
	b, ok := g.teams[team]
	if !ok {
		b = &bucket{at: g.steady}
		g.teams[team] = b
	}
	g.refill(team, b, q, now)
	g.takeOver(team, b, q, now)
	return b
}

// HandleRequest answers the token request of an instance. A repeated or late
// request gets no grants, and neither does one before granting begins.
func (g *Granter) HandleRequest(now time.Time, from fescuebank.Holder, r fescuebank.ShardTokenRequest, quota QuotaSource) fescuebank.ShardTokenReply {
	reply := fescuebank.ShardTokenReply{Shard: r.Shard, Sequence: r.Sequence, Owner: g.owner}
	if r.Sequence <= g.sequences[from] || now.Before(g.opens) {
		return reply
	}
	g.sequences[from] = r.Sequence
	g.confirm(now, from, r)
	g.settle(now, quota)
	if r.Owner == g.owner {
		g.takeBack(now, r, quota)
	}
	for _, ask := range r.Demands {
		if q, ok := quota(ask.Team); ok {
			reply.Grants = append(reply.Grants, g.grant(now, from, ask, q))
		}
	}
	reply.Timestamp = fescuebank.Timestamp(now.Sub(g.opens)) + 1
	return reply
}

// confirm notes that a home has been off its floor since it got the echoed
// stamp. That counts from when the stamp was given out.
func (g *Granter) confirm(now time.Time, from fescuebank.Holder, r fescuebank.ShardTokenRequest) {
	if r.Owner != g.owner || r.Echo <= 0 {
		return
	}
	stamped := g.opens.Add(time.Duration(r.Echo - 1))
	if stamped.After(now) || !stamped.After(g.leapt) {
		return
	}
	for i := range g.slots {
		s := &g.slots[i]
		until := stamped.Add(g.timing.FloorWaiver)
		if s.home.Holder == from && until.After(s.confirmed) && until.After(now) {
			s.confirmed = until
		}
	}
}

// takeBack accounts for spent and returned tokens.
func (g *Granter) takeBack(now time.Time, r fescuebank.ShardTokenRequest, quota QuotaSource) {
	for _, c := range r.Spent {
		if q, ok := quota(c.Team); ok {
			g.reduce(g.bucket(c.Team, q, now), c)
		}
	}
	for _, c := range r.Returned {
		q, ok := quota(c.Team)
		if !ok {
			continue
		}
		b := g.bucket(c.Team, q, now)
		b.level += float64(g.reduce(b, c))
		b.clamp(q, g.share(c.Team, q))
	}
}

// reduce takes tokens off a sale that is not dead and returns how many.
func (g *Granter) reduce(b *bucket, c fescuebank.GrantCount) int {
	for i := range b.sold {
		if b.sold[i].id == c.Grant {
			n := min(max(0, c.Count), b.sold[i].count)
			b.sold[i].count -= n
			return n
		}
	}
	return 0
}

// grant sells what is needed, and ahead of need only a part of the rest, so
// that other buyers find something too.
func (g *Granter) grant(now time.Time, from fescuebank.Holder, ask fescuebank.TokenDemand, q fescuebank.Quota) fescuebank.TokenGrant {
	b := g.bucket(ask.Team, q, now)
	need := max(0, ask.Need)
	count := min(need, int(b.level))
	if count == need {
		spare := (b.level - float64(count)) / float64(len(g.slots)+1)
		count += min(max(0, ask.Expected), int(spare))
	}
	sold := fescuebank.TokenGrant{Team: ask.Team, Count: count}
	if count > 0 {
		g.next++
		sold.Grant = g.next
		b.level -= float64(count)
		b.sold = append(b.sold, sale{id: g.next, buyer: from, count: count, dead: now.Add(g.timing.WithDriftMargin(g.timing.Lifetime))})
	}
	if count < need {
		sold.Wait = g.wait(b, q, g.share(ask.Team, q))
		sold.OutstandingElsewhere = b.elsewhere(from)
		sold.Recovering = g.isRecovering(now, ask.Team, q)
	}
	return sold
}

// isRecovering reports whether a full bucket may be missing only because the
// owner began lately or counts floors as open.
func (g *Granter) isRecovering(now time.Time, team fescuebank.TeamID, q fescuebank.Quota) bool {
	const whole = 1 - 1e-9
	if g.share(team, q) < whole {
		return true
	}
	fill, ok := q.Rate.TimeFor(q.Burst)
	return ok && now.Sub(g.steady) < fill
}

// elsewhere counts unspent tokens of other buyers than from.
func (b *bucket) elsewhere(from fescuebank.Holder) int {
	total := 0
	for _, s := range b.sold {
		if s.buyer != from {
			total += s.count
		}
	}
	return total
}

// longWait is told when tokens don't accrue.
const longWait = time.Minute

// wait is when the bucket will hold a whole token.
func (g *Granter) wait(b *bucket, q fescuebank.Quota, share float64) time.Duration {
	missing := fescuebank.Requests(math.Ceil(b.level+1e-9) - b.level)
	rate := fescuebank.RequestRate(float64(g.timing.SafeRate(q.Rate)) * share)
	d, ok := rate.TimeFor(missing)
	if !ok {
		return longWait
	}
	return min(d, longWait)
}
