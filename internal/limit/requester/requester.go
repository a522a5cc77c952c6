// Package requester requests tokens of one shard for one instance, holds those
// granted ahead of use, and accounts for the instance's floor: the minimum part of each
// team's quota that it may use without the owner, while no owner grants it tokens.
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
	// ownerFencing is the fencing number of the newest owner that replied; only its tokens
	// are kept. ownerTimestamp is its newest timestamp.
	ownerFencing   fescuebank.FencingNumber
	ownerTimestamp fescuebank.Timestamp
	// sequence is the number of the newest request, sent at sentAt; pending is set until its
	// reply is received.
	sequence uint64
	pending  bool
	sentAt   time.Time
	// slot is the home slot that this instance holds and that no former holder can use
	// any more, or NoSlot.
	slot int
	// floorOpensAt is when the floor may be used, if there is a slot.
	floorOpensAt time.Time
	// clockJumpedAt is when a jump of the clock was last detected.
	clockJumpedAt time.Time
	teams         map[fescuebank.TeamID]*teamState
}

// teamState is the state of one team on this instance.
type teamState struct {
	// tokens are unspent, in order of expiry.
	tokens []heldTokens
	// spent are tokens whose use is not yet reported to the owner.
	spent []fescuebank.GrantCount
	// floorLevel is the level of the floor's bucket at floorRefilledAt.
	floorLevel      float64
	floorRefilledAt time.Time
	// waiting is the number of requests that wait for a token.
	waiting int
	// demand is the smoothed number of requests per second at demandAt; newRequests
	// counts the requests since.
	demand      float64
	demandAt    time.Time
	newRequests int
}

// heldTokens is a number of tokens of one grant.
type heldTokens struct {
	grant fescuebank.GrantID
	count int
	// requestedAt is when the tokens were requested.
	requestedAt time.Time
	expires     time.Time
}

// New returns a requester that holds no tokens and no home slot.
func New(timing fescuebank.TokenTiming, shard fescuebank.ShardID, slots int) *Requester {
	return &Requester{timing: timing, shard: shard, slots: slots, slot: NoSlot, teams: make(map[fescuebank.TeamID]*teamState)}
}

// NoSlot stands for an instance that holds no home slot.
const NoSlot = -1

// SetSlot sets the home slot that this instance holds and whose former holders can't
// use its floor any more, or NoSlot. The floor of a new slot may be used after
// TokenTiming.FloorWait.
func (r *Requester) SetSlot(now time.Time, slot int) {
	if slot != r.slot && slot != NoSlot {
		r.floorOpensAt = now.Add(r.timing.FloorWait())
	}
	r.slot = slot
}

// OnClockJump drops everything that depends on elapsed time, after the clock was stopped
// for an unknown time.
func (r *Requester) OnClockJump(now time.Time) {
	r.ownerTimestamp = 0
	r.pending = false
	r.clockJumpedAt = now
	r.floorOpensAt = now.Add(r.timing.FloorWait())
	for _, s := range r.teams {
		s.tokens, s.spent = nil, nil
	}
}

// MayUseFloor reports whether this instance may use its floor.
func (r *Requester) MayUseFloor(now time.Time) bool {
	return r.slot != NoSlot && !now.Before(r.floorOpensAt)
}

func (r *Requester) state(id fescuebank.TeamID) *teamState {
	s, ok := r.teams[id]
	if !ok {
		s = &teamState{}
		r.teams[id] = s
	}
	return s
}

// TakeToken spends a token, or else one of the floor if the floor may be used, for one request
// of the team, and reports whether there was one. It counts the request as demand in
// either case.
func (r *Requester) TakeToken(now time.Time, team fescuebank.TeamID, q fescuebank.Quota) bool {
	s := r.state(team)
	s.newRequests++
	if r.takeGrantedToken(now, s, team) {
		return true
	}
	return r.MayUseFloor(now) && r.takeFloor(now, team, s, q)
}

// UncountDemand undoes the demand that one call of TakeToken counted, so that a retry
// doesn't count the same request twice.
func (r *Requester) UncountDemand(team fescuebank.TeamID) {
	r.state(team).newRequests--
}

func (r *Requester) takeGrantedToken(now time.Time, s *teamState, team fescuebank.TeamID) bool {
	s.dropExpired(now)
	if len(s.tokens) == 0 {
		return false
	}
	first := &s.tokens[0]
	first.count--
	s.recordSpent(first.grant, team)
	if first.count == 0 {
		s.tokens = s.tokens[1:]
	}
	return true
}

// dropExpired drops expired tokens.
func (s *teamState) dropExpired(now time.Time) {
	for len(s.tokens) > 0 && !now.Before(s.tokens[0].expires) {
		s.tokens = s.tokens[1:]
	}
}

func (s *teamState) recordSpent(grant fescuebank.GrantID, team fescuebank.TeamID) {
	for i := range s.spent {
		if s.spent[i].Grant == grant {
			s.spent[i].Count++
			return
		}
	}
	s.spent = append(s.spent, fescuebank.GrantCount{Grant: grant, Team: team, Count: 1})
}

// takeFloor takes one request from the floor's bucket, which is empty at floorOpensAt.
func (r *Requester) takeFloor(now time.Time, team fescuebank.TeamID, s *teamState, q fescuebank.Quota) bool {
	if s.floorRefilledAt.Before(r.floorOpensAt) {
		s.floorLevel, s.floorRefilledAt = 0, r.floorOpensAt
	}
	part := fescuebank.FloorSlotShare(team, q, r.slot, r.slots)
	s.floorLevel += float64(r.timing.SafeRate(q.Rate).Over(now.Sub(s.floorRefilledAt))) * part
	s.floorLevel = min(s.floorLevel, float64(q.Burst)*part)
	s.floorRefilledAt = now
	if s.floorLevel < 1 {
		return false
	}
	s.floorLevel--
	return true
}

// AddWaiter counts a request that waits for a token; the returned function ends
// the wait.
func (r *Requester) AddWaiter(team fescuebank.TeamID) func() {
	s := r.state(team)
	s.waiting++
	return func() { s.waiting-- }
}

// Active reports whether this instance has to send requests to the owner: a home
// renews its floor waiver, and any instance requests tokens while it has requests of
// a team.
func (r *Requester) Active() bool {
	return r.slot != NoSlot || len(r.teams) > 0
}

// NextRequest returns the message to send to the owner. It abandons an older request
// without a reply: a late reply will be ignored.
func (r *Requester) NextRequest(now time.Time) fescuebank.ShardTokenRequest {
	r.sequence++
	r.pending = true
	r.sentAt = now
	request := fescuebank.ShardTokenRequest{Shard: r.shard, Sequence: r.sequence, OwnerFencing: r.ownerFencing}
	// Echoing the owner's timestamp waives the floor.
	if !r.MayUseFloor(now) {
		request.Echo = r.ownerTimestamp
	}
	for team, s := range r.teams {
		s.dropExpired(now)
		s.updateDemand(now)
		request.Spent = append(request.Spent, s.spent...)
		s.spent = nil
		request.Returned = append(request.Returned, s.returnUnspent(now, team, r.timing.Lifetime/2)...)
		if demand, ok := r.tokenDemand(team, s); ok {
			request.Demands = append(request.Demands, demand)
		}
		if s.isIdle(r.floorOpensAt) {
			delete(r.teams, team)
		}
	}
	return request
}

// demandWindow is the time over which the measured demand is smoothed.
const demandWindow = time.Second

// updateDemand updates the smoothed demand by the requests since the last update, at
// most every quarter of demandWindow.
func (s *teamState) updateDemand(now time.Time) {
	elapsed := now.Sub(s.demandAt)
	if s.demandAt.IsZero() {
		s.demandAt = now
		return
	}
	if elapsed < demandWindow/4 {
		return
	}
	rate := float64(s.newRequests) / elapsed.Seconds()
	weight := min(1, elapsed.Seconds()/demandWindow.Seconds())
	s.demand += (rate - s.demand) * weight
	s.newRequests = 0
	s.demandAt = now
}

// idleDemand is the demand in requests per second below which a team counts as idle.
const idleDemand = 0.05

// isIdle reports whether the state can be dropped without loss. The level of a floor that
// has been used since it opened must be kept.
func (s *teamState) isIdle(floorOpensAt time.Time) bool {
	unused := s.waiting == 0 && len(s.tokens) == 0 && len(s.spent) == 0 && s.newRequests == 0 && s.demand < idleDemand
	return unused && s.floorRefilledAt.Before(floorOpensAt)
}

// returnUnspent removes the tokens that have been unspent for at least minAge, and
// returns their counts for the owner.
func (s *teamState) returnUnspent(now time.Time, team fescuebank.TeamID, minAge time.Duration) []fescuebank.GrantCount {
	var returned []fescuebank.GrantCount
	s.tokens = slices.DeleteFunc(s.tokens, func(t heldTokens) bool {
		stale := now.Sub(t.requestedAt) >= minAge
		if stale {
			returned = append(returned, fescuebank.GrantCount{Grant: t.grant, Team: team, Count: t.count})
		}
		return stale
	})
	return returned
}

// tokenDemand returns how many tokens to request for a team, from its waiting requests
// and its recent demand.
func (r *Requester) tokenDemand(team fescuebank.TeamID, s *teamState) (fescuebank.TokenDemand, bool) {
	held := 0
	for _, t := range s.tokens {
		held += t.count
	}
	expected := int(math.Ceil(s.demand * r.timing.Lifetime.Seconds() / 2))
	demand := fescuebank.TokenDemand{Team: team, Need: max(0, s.waiting-held), Expected: max(0, expected-max(0, held-s.waiting))}
	return demand, demand.Need > 0 || demand.Expected > 0
}

// ApplyReply applies the owner's reply. It returns the grants that fell short of the
// need. It returns false for a reply that is not for the newest request, and for one of
// an instance that is not the owner or doesn't grant tokens yet.
func (r *Requester) ApplyReply(now time.Time, reply fescuebank.ShardTokenReply) ([]fescuebank.TokenGrant, bool) {
	if !r.pending || reply.Sequence != r.sequence || reply.NotOwner || reply.OwnerFencing < r.ownerFencing {
		return nil, false
	}
	r.pending = false
	if reply.OwnerFencing > r.ownerFencing {
		r.changeOwner(reply.OwnerFencing)
	}
	if reply.Timestamp == 0 {
		return nil, false
	}
	r.ownerTimestamp = reply.Timestamp
	// The owner that replied relies on this home not to use its floor.
	r.floorOpensAt = now.Add(r.timing.FloorWait())
	var short []fescuebank.TokenGrant
	for _, grant := range reply.Grants {
		if grant.Wait > 0 {
			short = append(short, grant)
		}
		if grant.Count > 0 {
			r.addTokens(grant.Team, heldTokens{grant: grant.Grant, count: grant.Count, requestedAt: r.sentAt, expires: r.sentAt.Add(r.timing.Lifetime)})
		}
	}
	return short, true
}

// changeOwner drops everything that only the former owner accounts for.
func (r *Requester) changeOwner(fencing fescuebank.FencingNumber) {
	r.ownerFencing = fencing
	r.ownerTimestamp = 0
	for _, s := range r.teams {
		s.tokens, s.spent = nil, nil
	}
}

func (r *Requester) addTokens(team fescuebank.TeamID, t heldTokens) {
	s := r.state(team)
	s.tokens = append(s.tokens, t)
	slices.SortFunc(s.tokens, func(x, y heldTokens) int { return x.expires.Compare(y.expires) })
}

// Lend transfers up to count unspent tokens to another instance. If it holds fewer, it
// admits the remaining requests from the floor as far as the floor allows.
func (r *Requester) Lend(now time.Time, team fescuebank.TeamID, count int, q fescuebank.Quota) fescuebank.LendReply {
	var reply fescuebank.LendReply
	s := r.state(team)
	s.dropExpired(now)
	for count > 0 && len(s.tokens) > 0 {
		first := &s.tokens[0]
		n := min(count, first.count)
		reply.Lent = append(reply.Lent, fescuebank.LentTokens{OwnerFencing: r.ownerFencing, Grant: first.grant, Count: n, Remaining: first.expires.Sub(now)})
		count -= n
		first.count -= n
		if first.count == 0 {
			s.tokens = s.tokens[1:]
		}
	}
	for count > 0 && r.MayUseFloor(now) && r.takeFloor(now, team, s, q) {
		reply.Floor++
		count--
	}
	return reply
}

// AddLent adds tokens that another instance transferred. Their remaining lifetime
// counts from requestedAt, when they were requested.
func (r *Requester) AddLent(requestedAt time.Time, team fescuebank.TeamID, tokens []fescuebank.LentTokens) {
	if !requestedAt.After(r.clockJumpedAt) {
		return // The time elapsed since the request is unknown.
	}
	for _, t := range tokens {
		if t.OwnerFencing != r.ownerFencing || t.Count <= 0 {
			continue
		}
		// The lender's clock may have been slower than the owner assumes.
		remaining := time.Duration(float64(t.Remaining) * (1 - r.timing.ClockError) / (1 + r.timing.ClockError))
		r.addTokens(team, heldTokens{grant: t.Grant, count: t.Count, requestedAt: requestedAt, expires: requestedAt.Add(remaining)})
	}
}
