// Package acquirer admits requests against tokens that it acquires from the
// owners of the teams, and grants tokens where this instance is the owner.
package acquirer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/limit/issuer"
	"fescuebank/internal/wire/breaker"
)

const (
	// buyTimeout bounds one call to an owner.
	buyTimeout = 300 * time.Millisecond
	// settleWait is how long a request waits while the owner can't sell yet.
	settleWait = 150 * time.Millisecond
	// shortWait is how long a request waits for a token that is about to accrue.
	shortWait = 60 * time.Millisecond
	// youngWait is how long a request waits in all for tokens of a bucket that began
	// empty a short time ago.
	youngWait = 180 * time.Millisecond
	// leastWait is the least time between two calls for one request.
	leastWait = 2 * time.Millisecond
	// aheadTime is the time for whose expected demand tokens are bought ahead.
	aheadTime = 100 * time.Millisecond
	// demandWeight is the weight of the newest gap between two requests of a team.
	demandWeight = 0.2
	// unknownRetry is when a caller should return while nobody can sell.
	unknownRetry = 700 * time.Millisecond
	// shardCount is the number of locks that the teams are spread over.
	shardCount = 16
)

// Owners tells who owns a team and when this run may act.
type Owners interface {
	Owner(team fescuebank.TeamID) (fescuebank.Holder, bool)
	MayAct(team fescuebank.TeamID) (fescuebank.FencingNumber, bool)
	IsOwner(team fescuebank.TeamID) bool
	FloorSlot() (slot, slots int, ok bool)
}

// Config holds the dependencies of an Acquirer.
type Config struct {
	Self   fescuebank.Holder
	Owners Owners
	Caller fescuebank.MemberCaller
	Issuer *issuer.Issuer
	// Registered reports whether owners can know that this run may hold tokens.
	Registered func() bool
	// Table returns the configuration in force, or nil.
	Table func() *fescuebank.RouteTable
	Clock fescuebank.Clock
	Log   hclog.Logger
}

// Acquirer holds this instance's unspent tokens and its floors, by team.
type Acquirer struct {
	Config
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	teams map[fescuebank.TeamID]*team
}

// team is the state of one team here.
type team struct {
	// tokens are unspent and good until expires.
	tokens  int
	expires time.Time
	// floor is the level of this instance's floor, as of filled.
	floor  float64
	filled time.Time
	// gap is the moving average of the time between two requests.
	gap  time.Duration
	last time.Time
}

// New returns an Acquirer without tokens.
func New(c Config) *Acquirer {
	b := &Acquirer{Config: c}
	for i := range b.shards {
		b.shards[i].teams = make(map[fescuebank.TeamID]*team)
	}
	return b
}

func (b *Acquirer) shard(id fescuebank.TeamID) *shard {
	return &b.shards[uint32(fescuebank.ShardOf(string(id)))%shardCount]
}

func (b *Acquirer) quota(id fescuebank.TeamID) (fescuebank.Quota, bool) {
	t := b.Table()
	if t == nil {
		return fescuebank.Quota{}, false
	}
	grant, ok := t.Teams[id]
	return grant.Quota, ok
}

// Admit lets one request of the team through or returns a refusal.
func (b *Acquirer) Admit(ctx context.Context, id fescuebank.TeamID) error {
	q, ok := b.quota(id)
	if !ok {
		return fescuebank.Refuse(http.StatusUnauthorized, fescuebank.CodeUnauthorized, "the team does not exist any more")
	}
	if q.Rate <= 0 {
		return nil
	}
	ahead := b.note(id)
	if b.take(id, q) {
		return nil
	}
	return b.buy(ctx, id, q, ahead)
}

// note counts a request and returns how many tokens to buy ahead.
func (b *Acquirer) note(id fescuebank.TeamID) int {
	s := b.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := b.Clock.Now()
	t := s.teams[id]
	if t == nil {
		t = &team{filled: now, gap: time.Hour}
		s.teams[id] = t
	}
	if !t.last.IsZero() {
		gap := min(now.Sub(t.last), time.Hour)
		if t.gap == time.Hour {
			t.gap = gap
		}
		t.gap += time.Duration(demandWeight * float64(gap-t.gap))
	}
	t.last = now
	return int(aheadTime / max(t.gap, time.Millisecond))
}

// take spends a token or lets the request through on the floor.
func (b *Acquirer) take(id fescuebank.TeamID, q fescuebank.Quota) bool {
	slot, slots, seated := b.Owners.FloorSlot()
	s := b.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[id]
	now := b.Clock.Now()
	if t.tokens > 0 && b.elapsedBefore(now, t.expires) {
		t.tokens--
		return true
	}
	t.tokens = 0
	if !seated {
		t.floor, t.filled = 0, now
		return false
	}
	part := fescuebank.SlotQuota(id, q, slot, slots)
	t.floor = min(t.floor+float64(part.Rate.Over(now.Sub(t.filled))), float64(part.Burst))
	t.filled = now
	if t.floor < 1 {
		return false
	}
	t.floor--
	return true
}

// elapsedBefore reports whether t is ahead on the monotonic and the wall clock.
func (b *Acquirer) elapsedBefore(now, t time.Time) bool {
	return now.Before(t) && now.Round(0).Before(t.Round(0))
}

// buy asks the owner for a token, and again after a short wait if one is due.
func (b *Acquirer) buy(ctx context.Context, id fescuebank.TeamID, q fescuebank.Quota, ahead int) error {
	began := b.Clock.Now()
	for try := 0; ; try++ {
		var reply fescuebank.AcquireReply
		asked := b.Clock.Now()
		err := b.ask(ctx, id, ahead, try > 0, &reply)
		if err == nil && reply.Count > 0 {
			b.receive(id, reply.Count-1, asked.Add(issuer.TokenLifetime))
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wait := max(time.Duration(reply.Wait), leastWait)
		switch {
		case errors.Is(err, breaker.ErrOpen) || err != nil && try > 0:
			return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeLimitUnknown,
				"nobody can tell now whether the team is within its rate").WithRetryAfter(unknownRetry).WithDetails(b.details(id, q, err.Error())...)
		case err != nil:
			wait = settleWait
		case !mayWait(reply, try, b.Clock.Now().Sub(began)+wait):
			return fescuebank.Refuse(http.StatusTooManyRequests, fescuebank.CodeRateLimited,
				"the team is over its rate and burst").WithRetryAfter(max(wait, time.Duration(reply.RetryAfter))).WithDetails(b.details(id, q, "owner refused")...)
		}
		_ = fescuebank.Sleep(ctx, b.Clock, wait)
		if b.take(id, q) {
			return nil
		}
	}
}

// mayWait reports whether a request waits for the next token. until is how long it
// will have waited by then.
func mayWait(reply fescuebank.AcquireReply, try int, until time.Duration) bool {
	if reply.WarmingUp {
		return until <= youngWait
	}
	return try == 0 && time.Duration(reply.Wait) <= shortWait
}

// details are what decided a refusal.
func (b *Acquirer) details(id fescuebank.TeamID, q fescuebank.Quota, reason string) []any {
	owner, _ := b.Owners.Owner(id)
	slot, slots, _ := b.Owners.FloorSlot()
	s := b.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[id]
	return []any{
		"team", string(id), "owner", string(owner.ID), "reason", reason, "ratePerSecond", float64(q.Rate), "burst", float64(q.Burst),
		"floorSlot", slot, "floorSlots", slots, "floorLevel", t.floor, "gapMs", t.gap.Milliseconds(),
	}
}

func (b *Acquirer) receive(id fescuebank.TeamID, tokens int, expires time.Time) {
	if tokens <= 0 {
		return
	}
	s := b.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[id]
	if !b.elapsedBefore(b.Clock.Now(), t.expires) {
		t.tokens = 0
	}
	t.tokens += tokens
	t.expires = expires
}

func (b *Acquirer) ask(ctx context.Context, id fescuebank.TeamID, ahead int, again bool, reply *fescuebank.AcquireReply) error {
	owner, ok := b.Owners.Owner(id)
	if !ok || !b.Registered() {
		return fescuebank.ErrNotOwner
	}
	request := &fescuebank.AcquireRequest{Team: id, Need: 1, Expected: ahead, Retry: again}
	if owner == b.Self {
		sold, err := b.sell(request)
		if err == nil {
			*reply = *sold
		}
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, buyTimeout)
	defer cancel()
	return b.Caller.Call(ctx, owner.ID, fescuebank.KindAcquire, request, reply)
}

// Handle answers an AcquireRequest of another instance.
func (b *Acquirer) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.AcquireRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	return b.sell(&request)
}

// sell answers as the owner of the team.
func (b *Acquirer) sell(r *fescuebank.AcquireRequest) (*fescuebank.AcquireReply, error) {
	q, ok := b.quota(r.Team)
	if !ok || !b.Owners.IsOwner(r.Team) {
		return nil, fescuebank.ErrNotOwner
	}
	sold := fescuebank.GrantedQuota(q)
	if b.Issuer.BucketEpoch(r.Team) == 0 {
		epoch, acts := b.Owners.MayAct(r.Team)
		if !acts {
			return nil, errNotYet
		}
		b.Issuer.CreateBucket(r.Team, epoch, sold, epoch == 1)
		b.Log.Info("Bucket begins.", "team", string(r.Team), "epoch", uint64(epoch))
	}
	count, wait := b.Issuer.Grant(r.Team, sold, r.Need, r.Expected)
	reply := &fescuebank.AcquireReply{Count: count, Wait: int64(wait), WarmingUp: b.Issuer.WarmingUp(r.Team)}
	if count < r.Need && !reply.WarmingUp && (r.Retry || wait > shortWait) {
		reply.RetryAfter = int64(b.Issuer.RetryAfter(r.Team, q.Rate, wait))
	}
	return reply, nil
}

// errNotYet means that a former owner may still sell.
var errNotYet = errors.New("former owner may still sell")

// Reassign drops the buckets of teams that this run doesn't own any more. It is
// called before a new list is acknowledged.
func (b *Acquirer) Reassign() {
	t := b.Table()
	if t == nil {
		return
	}
	for id := range t.Teams {
		if owner, ok := b.Owners.Owner(id); ok && owner != b.Self {
			b.Issuer.DropBucket(id)
		}
	}
}
