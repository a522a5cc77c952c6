// Package granter grants tokens of the teams of one shard ahead of their use.
package granter

import (
	"math"
	"slices"
	"time"

	"fescuebank"
)

// Granter holds the token buckets of one shard's teams for one owner. It does no
// I/O and takes no lock. At each moment and for each team, the bucket's level plus
// all outstanding tokens is at most the burst times the share of the home slots
// whose floors are closed. A floor is closed while no home can use it.
type Granter struct {
	timing fescuebank.TokenTiming
	// fencing is the fencing number under which tokens are granted.
	fencing fescuebank.FencingNumber
	// grantsFrom is when granting begins: by then the tokens of former owners have
	// expired.
	grantsFrom time.Time
	slots      []slot
	teams      map[fescuebank.TeamID]*bucket
	// closedFloors states for each slot whether its floor was known to be closed at the
	// last update of the floors; closedSince is when the set of closed floors last changed.
	closedFloors []bool
	closedSince  time.Time
	lastGrant    fescuebank.GrantID
	// clockJumpedAt is when a jump of the clock was last detected. The time elapsed
	// since an earlier timestamp or request is unknown.
	clockJumpedAt time.Time
	// handover is the handover state of the former owner, or nil if none was received.
	handover *handover
	// sequences holds the sequence number of the newest request of each instance.
	sequences map[fescuebank.Holder]uint64
}

// slot is one home slot as the owner sees it.
type slot struct {
	home Slot
	// waivedUntil is the end of the holder's floor waiver.
	waivedUntil time.Time
}

// Slot describes a home slot.
type Slot struct {
	// Holder is empty if no instance holds the slot.
	Holder fescuebank.Holder
	// FormerStopped is set if no former holder can use the slot's floor.
	FormerStopped bool
}

// bucket is the token bucket of one team.
type bucket struct {
	level      float64
	refilledAt time.Time
	// outstanding are the grants that have not expired, oldest first.
	outstanding []outstandingGrant
	// handoverApplied is set after the former owner's level has been added.
	handoverApplied bool
}

// outstandingGrant is a grant whose tokens may still be unspent.
type outstandingGrant struct {
	id      fescuebank.GrantID
	holder  fescuebank.Holder
	count   int
	expires time.Time
}

// New returns the granter of a shard whose owner begins to act at now.
func New(timing fescuebank.TokenTiming, fencing fescuebank.FencingNumber, now time.Time, slots []Slot) *Granter {
	g := &Granter{
		timing: timing, fencing: fencing,
		grantsFrom: now.Add(timing.GrantDelay()), closedSince: now.Add(timing.GrantDelay()),
		teams:     make(map[fescuebank.TeamID]*bucket),
		sequences: make(map[fescuebank.Holder]uint64),
	}
	g.SetSlots(now, slots, nil)
	return g
}

// Fencing returns the fencing number under which tokens are granted.
func (g *Granter) Fencing() fescuebank.FencingNumber {
	return g.fencing
}

// OnClockJump treats every floor as open and drops the handover state, after the
// clock was stopped for an unknown time: floor waivers may have ended meanwhile.
func (g *Granter) OnClockJump(now time.Time, quota QuotaSource) {
	for i := range g.slots {
		g.slots[i].waivedUntil = time.Time{}
	}
	g.clockJumpedAt = now
	g.handover = nil
	g.updateFloors(now, quota)
}

// QuotaSource returns the quota of a team, or false if there is no such team.
type QuotaSource func(fescuebank.TeamID) (fescuebank.Quota, bool)

// SetSlots applies the home slots of a newer assignment. A slot whose holder
// changed has no floor waiver.
func (g *Granter) SetSlots(now time.Time, slots []Slot, quota QuotaSource) {
	next := make([]slot, len(slots))
	for i, s := range slots {
		next[i] = slot{home: s}
		if i < len(g.slots) && g.slots[i].home.Holder == s.Holder {
			next[i].waivedUntil = g.slots[i].waivedUntil
		}
	}
	g.slots = next
	g.updateFloors(now, quota)
}

// findClosedFloors reports for each slot whether its floor is known to be closed:
// former holders can't use it, and the slot is vacant or its holder's waiver lasts.
func (g *Granter) findClosedFloors(now time.Time) []bool {
	closed := make([]bool, len(g.slots))
	for i, s := range g.slots {
		closed[i] = s.home.FormerStopped && (s.home.Holder == (fescuebank.Holder{}) || now.Before(s.waivedUntil))
	}
	return closed
}

// share returns the part of a team's quota that the bucket may use, from 0 to 1:
// that of the slots whose floors are closed. Holders of the other slots may use
// their parts without the owner.
func (g *Granter) share(team fescuebank.TeamID, q fescuebank.Quota) float64 {
	total := 0.0
	for i, closed := range g.closedFloors {
		if closed {
			total += fescuebank.FloorSlotShare(team, q, i, len(g.closedFloors))
		}
	}
	return min(1, total)
}

// updateFloors refills all buckets whenever a floor opens or closes, because they
// refill in proportion to the closed floors. A waiver that ended since the last call
// takes effect from its end, not from now.
func (g *Granter) updateFloors(now time.Time, quota QuotaSource) {
	from := g.closedSince
	for {
		end, ok := g.nextWaiverEnd(from, now)
		if !ok {
			break
		}
		g.setClosedFloors(end, quota)
		from = end
	}
	g.setClosedFloors(now, quota)
}

// nextWaiverEnd returns the earliest end of a floor waiver after from and up to
// now.
func (g *Granter) nextWaiverEnd(from, now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, s := range g.slots {
		if s.waivedUntil.After(from) && !s.waivedUntil.After(now) && (earliest.IsZero() || s.waivedUntil.Before(earliest)) {
			earliest = s.waivedUntil
		}
	}
	return earliest, !earliest.IsZero()
}

// setClosedFloors records which floors are closed at now. If that differs from the
// last record, it first refills the buckets at the former share and drops those of
// deleted teams.
func (g *Granter) setClosedFloors(now time.Time, quota QuotaSource) {
	closed := g.findClosedFloors(now)
	if slices.Equal(closed, g.closedFloors) || now.Before(g.closedSince) {
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
	g.closedFloors = closed
	g.closedSince = now
}

// refill accrues at the recorded share and caps the level, so that level and
// outstanding tokens together stay within the burst.
func (g *Granter) refill(team fescuebank.TeamID, b *bucket, q fescuebank.Quota, now time.Time) {
	for len(b.outstanding) > 0 && !now.Before(b.outstanding[0].expires) {
		b.outstanding = b.outstanding[1:]
	}
	share := g.share(team, q)
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level += float64(g.timing.SafeRate(q.Rate).Over(elapsed)) * share
		b.refilledAt = now
	}
	b.clamp(q, share)
}

func (b *bucket) clamp(q fescuebank.Quota, share float64) {
	outstanding := 0
	for _, o := range b.outstanding {
		outstanding += o.count
	}
	b.level = max(0, min(b.level, float64(q.Burst)*share-float64(outstanding)))
}

// bucket returns a team's bucket, refilled up to now. A new one starts empty and
// accrues from when the set of closed floors last changed.
func (g *Granter) bucket(team fescuebank.TeamID, q fescuebank.Quota, now time.Time) *bucket {
	b, ok := g.teams[team]
	if !ok {
		b = &bucket{refilledAt: g.closedSince}
		g.teams[team] = b
	}
	g.refill(team, b, q, now)
	g.addHandover(team, b, q, now)
	return b
}

// HandleRequest answers the token request of an instance. A request that is repeated,
// arrives out of order, or arrives before granting begins gets no grants.
func (g *Granter) HandleRequest(now time.Time, from fescuebank.Holder, r fescuebank.ShardTokenRequest, quota QuotaSource) fescuebank.ShardTokenReply {
	reply := fescuebank.ShardTokenReply{Shard: r.Shard, Sequence: r.Sequence, OwnerFencing: g.fencing}
	if r.Sequence <= g.sequences[from] || now.Before(g.grantsFrom) {
		return reply
	}
	g.sequences[from] = r.Sequence
	g.recordWaiver(now, from, r)
	g.updateFloors(now, quota)
	if r.OwnerFencing == g.fencing {
		g.applyUsage(now, r, quota)
	}
	for _, demand := range r.Demands {
		if q, ok := quota(demand.Team); ok {
			reply.Grants = append(reply.Grants, g.grant(now, from, demand, q))
		}
	}
	reply.Timestamp = fescuebank.Timestamp(now.Sub(g.grantsFrom)) + 1
	return reply
}

// recordWaiver extends the floor waiver of a home by the timestamp that it echoes: the
// home has not used its floor since it received that timestamp. The waiver counts from
// when the owner sent the timestamp.
func (g *Granter) recordWaiver(now time.Time, from fescuebank.Holder, r fescuebank.ShardTokenRequest) {
	if r.OwnerFencing != g.fencing || r.Echo <= 0 {
		return
	}
	issuedAt := g.grantsFrom.Add(time.Duration(r.Echo - 1))
	if issuedAt.After(now) || !issuedAt.After(g.clockJumpedAt) {
		return
	}
	for i := range g.slots {
		s := &g.slots[i]
		until := issuedAt.Add(g.timing.FloorWaiver)
		if s.home.Holder == from && until.After(s.waivedUntil) && until.After(now) {
			s.waivedUntil = until
		}
	}
}

// applyUsage subtracts spent and returned tokens from the outstanding grants and adds
// the returned ones to their buckets.
func (g *Granter) applyUsage(now time.Time, r fescuebank.ShardTokenRequest, quota QuotaSource) {
	for _, c := range r.Spent {
		if q, ok := quota(c.Team); ok {
			g.reduceGrant(g.bucket(c.Team, q, now), c)
		}
	}
	for _, c := range r.Returned {
		q, ok := quota(c.Team)
		if !ok {
			continue
		}
		b := g.bucket(c.Team, q, now)
		b.level += float64(g.reduceGrant(b, c))
		b.clamp(q, g.share(c.Team, q))
	}
}

// reduceGrant subtracts tokens from an unexpired grant and returns how many.
func (g *Granter) reduceGrant(b *bucket, c fescuebank.GrantCount) int {
	for i := range b.outstanding {
		if b.outstanding[i].id == c.Grant {
			n := min(max(0, c.Count), b.outstanding[i].count)
			b.outstanding[i].count -= n
			return n
		}
	}
	return 0
}

// grant grants what waiting requests need. For expected requests it grants only a
// part of the rest, so that other instances find tokens too.
func (g *Granter) grant(now time.Time, from fescuebank.Holder, demand fescuebank.TokenDemand, q fescuebank.Quota) fescuebank.TokenGrant {
	b := g.bucket(demand.Team, q, now)
	need := max(0, demand.Need)
	count := min(need, int(b.level))
	if count == need {
		spare := (b.level - float64(count)) / float64(len(g.slots)+1)
		count += min(max(0, demand.Expected), int(spare))
	}
	granted := fescuebank.TokenGrant{Team: demand.Team, Count: count}
	if count > 0 {
		g.lastGrant++
		granted.Grant = g.lastGrant
		b.level -= float64(count)
		b.outstanding = append(b.outstanding, outstandingGrant{id: g.lastGrant, holder: from, count: count, expires: now.Add(g.timing.WithDriftMargin(g.timing.Lifetime))})
	}
	if count < need {
		granted.Wait = g.nextTokenWait(b, q, g.share(demand.Team, q))
		granted.OutstandingElsewhere = b.heldElsewhere(from)
		granted.Recovering = g.isRecovering(now, demand.Team, q)
	}
	return granted
}

// isRecovering reports whether the bucket may be short of tokens only because the
// owner began recently or counts floors as open.
func (g *Granter) isRecovering(now time.Time, team fescuebank.TeamID, q fescuebank.Quota) bool {
	const fullShare = 1 - 1e-9
	if g.share(team, q) < fullShare {
		return true
	}
	fillTime, ok := q.Rate.TimeFor(q.Burst)
	return ok && now.Sub(g.closedSince) < fillTime
}

// heldElsewhere counts the outstanding tokens of instances other than from.
func (b *bucket) heldElsewhere(from fescuebank.Holder) int {
	total := 0
	for _, o := range b.outstanding {
		if o.holder != from {
			total += o.count
		}
	}
	return total
}

// maxWait bounds the wait that is reported, and is reported if no tokens accrue.
const maxWait = time.Minute

// nextTokenWait returns how long it takes the bucket to accrue its next whole token.
func (g *Granter) nextTokenWait(b *bucket, q fescuebank.Quota, share float64) time.Duration {
	missing := fescuebank.Requests(math.Ceil(b.level+1e-9) - b.level)
	rate := fescuebank.RequestRate(float64(g.timing.SafeRate(q.Rate)) * share)
	d, ok := rate.TimeFor(missing)
	if !ok {
		return maxWait
	}
	return min(d, maxWait)
}
