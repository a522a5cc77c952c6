// Package requester requests tokens of one shard for one instance, holds those
// granted ahead of use, and keeps the floor that the instance falls back to.
package requester

import (
	"math"
	"slices"
	"time"

	"fescuebank"
)

// Requester is the requesting side of one shard on one instance. It does no I/O and
// takes no lock.
type Requester struct {
	timing fescuebank.TokenTiming
	shard  fescuebank.ShardID
	// slots is the number of home slots of the shard.
	slots int
	// owner is the newest owner heard of; its tokens alone are kept.
	owner fescuebank.FencingNumber
	stamp fescuebank.Timestamp
	// sequence is that of the newest request; pending marks it unanswered.
	sequence uint64
	pending  bool
	sentAt   time.Time
	// slot is the home slot that this instance holds and nobody else can use
	// any more, or noSlot.
	slot int
	// floorOpens is when the floor may be used, if there is a slot.
	floorOpens time.Time
	// leapt is when the clock was last found to have stood still.
	leapt time.Time
	teams map[fescuebank.TeamID]*purse
}

// purse is what this instance holds of one team.
type purse struct {
	// tokens are unspent, the first to die first.
	tokens []batch
	// spent are not yet told to the owner.
	spent []fescuebank.GrantCount
	// floor is the level of the floor's bucket at floorAt.
	floor   float64
	floorAt time.Time
	// waiting is the number of requests that wait for a token.
	waiting int
	// demand is the smoothed number of requests a second.
	demand   float64
	demandAt time.Time
	taken    int
}

// batch is a number of tokens of one grant.
type batch struct {
	grant fescuebank.GrantID
	count int
	// bought is when the tokens were asked for; dies is when they are dead.
	bought time.Time
	dies   time.Time
}

// New returns a requester that holds no tokens and no home slot.
func New(timing fescuebank.TokenTiming, shard fescuebank.ShardID, slots int) *Requester {
	return &Requester{timing: timing, shard: shard, slots: slots, slot: NoSlot, teams: make(map[fescuebank.TeamID]*purse)}
}

// NoSlot stands for an instance that holds no home slot.
const NoSlot = -1

// SetSlot names the slot that this instance holds and whose former holders are
// surely off its floor. The floor opens a while later.
func (b *Requester) SetSlot(now time.Time, slot int) {
	if slot != b.slot && slot != NoSlot {
		b.floorOpens = now.Add(b.timing.FloorWait())
	}
	b.slot = slot
}

// OnClockJump drops everything that depends on elapsed time, after the clock
// stood still for an unknown time.
func (b *Requester) OnClockJump(now time.Time) {
	b.stamp = 0
	b.pending = false
	b.leapt = now
	b.floorOpens = now.Add(b.timing.FloorWait())
	for _, p := range b.teams {
		p.tokens, p.spent = nil, nil
	}
}

// MayUseFloor reports whether this instance may use its floor.
func (b *Requester) MayUseFloor(now time.Time) bool {
	return b.slot != NoSlot && !now.Before(b.floorOpens)
}

func (b *Requester) purse(team fescuebank.TeamID) *purse {
	p, ok := b.teams[team]
	if !ok {
		p = &purse{}
		b.teams[team] = p
	}
	return p
}

// Take lets one request of the team through, if a token or the floor allows it.
func (b *Requester) Take(now time.Time, team fescuebank.TeamID, q fescuebank.Quota) bool {
	p := b.purse(team)
	p.taken++
	if b.takeToken(now, p, team) {
		return true
	}
	return b.MayUseFloor(now) && b.takeFloor(now, team, p, q)
}

// UncountDemand undoes the demand that one call of Take counted, so that a retry
// doesn't count the same request twice.
func (b *Requester) UncountDemand(team fescuebank.TeamID) {
	b.purse(team).taken--
}

func (b *Requester) takeToken(now time.Time, p *purse, team fescuebank.TeamID) bool {
	p.bury(now)
	if len(p.tokens) == 0 {
		return false
	}
	first := &p.tokens[0]
	first.count--
	p.noteSpent(first.grant, team)
	if first.count == 0 {
		p.tokens = p.tokens[1:]
	}
	return true
}

// bury drops dead tokens.
func (p *purse) bury(now time.Time) {
	for len(p.tokens) > 0 && !now.Before(p.tokens[0].dies) {
		p.tokens = p.tokens[1:]
	}
}

func (p *purse) noteSpent(grant fescuebank.GrantID, team fescuebank.TeamID) {
	for i := range p.spent {
		if p.spent[i].Grant == grant {
			p.spent[i].Count++
			return
		}
	}
	p.spent = append(p.spent, fescuebank.GrantCount{Grant: grant, Team: team, Count: 1})
}

// takeFloor uses the floor's bucket, which starts empty when the floor opens.
func (b *Requester) takeFloor(now time.Time, team fescuebank.TeamID, p *purse, q fescuebank.Quota) bool {
	if p.floorAt.Before(b.floorOpens) {
		p.floor, p.floorAt = 0, b.floorOpens
	}
	part := fescuebank.SlotPart(team, q, b.slot, b.slots)
	p.floor += float64(b.timing.SafeRate(q.Rate).Over(now.Sub(p.floorAt))) * part
	p.floor = min(p.floor, float64(q.Burst)*part)
	p.floorAt = now
	if p.floor < 1 {
		return false
	}
	p.floor--
	return true
}

// AddWaiter counts a request that waits for a token; the returned function ends
// the wait.
func (b *Requester) AddWaiter(team fescuebank.TeamID) func() {
	p := b.purse(team)
	p.waiting++
	return func() { p.waiting-- }
}

// Active reports whether there is something to tell or to ask: a home confirms
// regularly, and any instance asks while requests come.
func (b *Requester) Active() bool {
	return b.slot != NoSlot || len(b.teams) > 0
}

// Request returns what to send to the owner. An older request that is still
// unanswered is given up: its answer will be ignored.
func (b *Requester) Request(now time.Time) fescuebank.ShardTokenRequest {
	b.sequence++
	b.pending = true
	b.sentAt = now
	r := fescuebank.ShardTokenRequest{Shard: b.shard, Sequence: b.sequence, Owner: b.owner}
	if !b.MayUseFloor(now) {
		r.Echo = b.stamp
	}
	for team, p := range b.teams {
		p.bury(now)
		p.measure(now)
		r.Spent = append(r.Spent, p.spent...)
		p.spent = nil
		r.Returned = append(r.Returned, p.giveBack(now, team, b.timing.Lifetime/2)...)
		if ask, ok := b.ask(team, p); ok {
			r.Demands = append(r.Demands, ask)
		}
		if p.idle(b.floorOpens) {
			delete(b.teams, team)
		}
	}
	return r
}

// demandWindow smooths the measured demand.
const demandWindow = time.Second

func (p *purse) measure(now time.Time) {
	elapsed := now.Sub(p.demandAt)
	if p.demandAt.IsZero() {
		p.demandAt = now
		return
	}
	if elapsed < demandWindow/4 {
		return
	}
	rate := float64(p.taken) / elapsed.Seconds()
	weight := min(1, elapsed.Seconds()/demandWindow.Seconds())
	p.demand += (rate - p.demand) * weight
	p.taken = 0
	p.demandAt = now
}

const demandFloor = 0.05

// idle reports whether nothing is lost by forgetting the purse. What was used
// of a floor that is still open must be remembered.
func (p *purse) idle(floorOpens time.Time) bool {
	unused := p.waiting == 0 && len(p.tokens) == 0 && len(p.spent) == 0 && p.taken == 0 && p.demand < demandFloor
	return unused && p.floorAt.Before(floorOpens)
}

// giveBack takes out tokens that stayed unspent for too long.
func (p *purse) giveBack(now time.Time, team fescuebank.TeamID, after time.Duration) []fescuebank.GrantCount {
	var returned []fescuebank.GrantCount
	p.tokens = slices.DeleteFunc(p.tokens, func(t batch) bool {
		old := now.Sub(t.bought) >= after
		if old {
			returned = append(returned, fescuebank.GrantCount{Grant: t.grant, Team: team, Count: t.count})
		}
		return old
	})
	return returned
}

// ask sizes the request by who waits and by recent demand.
func (b *Requester) ask(team fescuebank.TeamID, p *purse) (fescuebank.TokenDemand, bool) {
	held := 0
	for _, t := range p.tokens {
		held += t.count
	}
	expected := int(math.Ceil(p.demand * b.timing.Lifetime.Seconds() / 2))
	ask := fescuebank.TokenDemand{Team: team, Need: max(0, p.waiting-held), Expected: max(0, expected-max(0, held-p.waiting))}
	return ask, ask.Need > 0 || ask.Expected > 0
}

// ApplyReply applies the owner's reply. It returns the grants that fell short of
// the need, and false if the reply is not for the newest request.
func (b *Requester) ApplyReply(now time.Time, r fescuebank.ShardTokenReply) ([]fescuebank.TokenGrant, bool) {
	if !b.pending || r.Sequence != b.sequence || r.NotOwner || r.Owner < b.owner {
		return nil, false
	}
	b.pending = false
	if r.Owner > b.owner {
		b.changeOwner(r.Owner)
	}
	if r.Timestamp == 0 {
		return nil, false
	}
	b.stamp = r.Timestamp
	// The answer proves an owner that counts on this home to stay off its floor.
	b.floorOpens = now.Add(b.timing.FloorWait())
	var short []fescuebank.TokenGrant
	for _, g := range r.Grants {
		if g.Wait > 0 {
			short = append(short, g)
		}
		if g.Count > 0 {
			b.add(g.Team, batch{grant: g.Grant, count: g.Count, bought: b.sentAt, dies: b.sentAt.Add(b.timing.Lifetime)})
		}
	}
	return short, true
}

// changeOwner drops what only the former owner knows of.
func (b *Requester) changeOwner(owner fescuebank.FencingNumber) {
	b.owner = owner
	b.stamp = 0
	for _, p := range b.teams {
		p.tokens, p.spent = nil, nil
	}
}

func (b *Requester) add(team fescuebank.TeamID, t batch) {
	p := b.purse(team)
	p.tokens = append(p.tokens, t)
	slices.SortFunc(p.tokens, func(x, y batch) int { return x.dies.Compare(y.dies) })
}

// Lend gives up to count unspent tokens away, and lets requests through on the
// floor if it is open.
func (b *Requester) Lend(now time.Time, team fescuebank.TeamID, count int, q fescuebank.Quota) fescuebank.LendReply {
	var reply fescuebank.LendReply
	p := b.purse(team)
	p.bury(now)
	for count > 0 && len(p.tokens) > 0 {
		first := &p.tokens[0]
		n := min(count, first.count)
		reply.Lent = append(reply.Lent, fescuebank.LentTokens{Owner: b.owner, Grant: first.grant, Count: n, Remaining: first.dies.Sub(now)})
		count -= n
		first.count -= n
		if first.count == 0 {
			p.tokens = p.tokens[1:]
		}
	}
	for count > 0 && b.MayUseFloor(now) && b.takeFloor(now, team, p, q) {
		reply.Floor++
		count--
	}
	return reply
}

// AddLent adds tokens that another instance transferred. asked is when they were
// requested; their remaining lifetime counts from then.
func (b *Requester) AddLent(asked time.Time, team fescuebank.TeamID, lent []fescuebank.LentTokens) {
	if !asked.After(b.leapt) {
		return // How long ago that was can't be told.
	}
	for _, t := range lent {
		if t.Owner != b.owner || t.Count <= 0 {
			continue
		}
		// The lender's clock may have been slower than the owner expects.
		remaining := time.Duration(float64(t.Remaining) * (1 - b.timing.ClockError) / (1 + b.timing.ClockError))
		b.add(team, batch{grant: t.Grant, count: t.Count, bought: asked, dies: asked.Add(remaining)})
	}
}
