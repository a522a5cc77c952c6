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
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/limit/issuer"
	"fescuebank/internal/wire/breaker"
)

const (
	// acquireTimeout bounds one call to an owner.
	acquireTimeout = 300 * time.Millisecond
	// ownerRetryWait is how long a request waits before it calls the owner again after a
	// failed call, for example while a new owner can't grant tokens yet.
	ownerRetryWait = 150 * time.Millisecond
	// maxTokenWait is how long a request waits at most for the next token to accrue.
	maxTokenWait = 60 * time.Millisecond
	// maxWarmUpWait is how long a request waits in total for tokens of a bucket that is
	// warming up.
	maxWarmUpWait = 180 * time.Millisecond
	// minOwnerCallGap is the minimum time between two calls to the owner for one request.
	minOwnerCallGap = 2 * time.Millisecond
	// expectedWindow is the time ahead for whose expected demand tokens are requested in
	// advance.
	expectedWindow = 100 * time.Millisecond
	// newestGapWeight is the weight of the newest gap between two requests of a team in
	// the moving average.
	newestGapWeight = 0.2
	// limitUnknownRetryAfter is the time after which a caller should retry while no owner
	// can grant tokens.
	limitUnknownRetryAfter = 700 * time.Millisecond
	// maxUnseenFloor is how long the floor slot may not have been looked at for this instance to
	// know that it held it meanwhile. It is less than the time in which another may get the slot.
	maxUnseenFloor = 20 * time.Second
	// shardCount is the number of locks that the teams are spread over.
	shardCount = 16
)

// Owners reports which incarnations own teams.
type Owners interface {
	// Owner returns the owner of a team, or false if none is known.
	Owner(team fescuebank.TeamID) (fescuebank.Holder, bool)
	// MayAct reports whether this incarnation may act as the owner of a team that it
	// did not own before, and in which epoch.
	MayAct(team fescuebank.TeamID) (fescuebank.FencingNumber, bool)
	// IsOwner reports whether this incarnation still owns a team that it acted for
	// before.
	IsOwner(team fescuebank.TeamID) bool
	// VacantSince returns the time since which no other incarnation can have granted tokens of a
	// team that this incarnation owns, or false if that isn't known.
	VacantSince(team fescuebank.TeamID) (time.Time, bool)
	// FloorSlot returns this instance's floor slot and the number of slots, or false
	// if it may not use a floor.
	FloorSlot() (slot, slots int, ok bool)
}

// Config holds the dependencies of an Acquirer.
type Config struct {
	Self   fescuebank.Holder
	Owners Owners
	Caller fescuebank.MemberCaller
	Issuer *issuer.Issuer
	// Registered reports whether owners can know that this incarnation may hold
	// tokens.
	Registered func() bool
	// Table returns the configuration in force, or nil.
	Table func() *fescuebank.RouteTable
	Clock fescuebank.Clock
	Log   hclog.Logger
}

// Acquirer holds this instance's unspent tokens and its floors, by team.
type Acquirer struct {
	Config
	shards     [shardCount]shard
	idleOwners idleOwners

	floorMu sync.Mutex
	// floor is the floor slot that this instance has held since floorSince, as last seen at
	// floorSeen.
	floor      floorSlot
	floorSince time.Time
	floorSeen  time.Time
}

// floorSlot is a floor slot and the number of slots, with ok set if an instance may use it.
type floorSlot struct {
	slot, slots int
	ok          bool
}

type shard struct {
	mu    sync.Mutex
	teams map[fescuebank.TeamID]*teamState
}

// teamState is the state of one team on this instance.
type teamState struct {
	// tokens are granted and unspent; they are valid until expires.
	tokens  int
	expires time.Time
	// floorLevel is the level of this instance's floor at floorRefilledAt.
	floorLevel      float64
	floorRefilledAt time.Time
	// requestGap is the moving average of the time between two requests.
	requestGap  time.Duration
	lastRequest time.Time
}

// New returns an Acquirer without tokens.
func New(c Config) *Acquirer {
	a := &Acquirer{Config: c}
	for i := range a.shards {
		a.shards[i].teams = make(map[fescuebank.TeamID]*teamState)
	}
	return a
}

func (a *Acquirer) shard(id fescuebank.TeamID) *shard {
	return &a.shards[uint32(fescuebank.ShardOf(string(id)))%shardCount]
}

func (a *Acquirer) quota(id fescuebank.TeamID) (fescuebank.Quota, bool) {
	table := a.Table()
	if table == nil {
		return fescuebank.Quota{}, false
	}
	settings, ok := table.Teams[id]
	return settings.Quota, ok
}

// Admit admits one request of the team or returns a refusal.
func (a *Acquirer) Admit(ctx context.Context, id fescuebank.TeamID) error {
	q, ok := a.quota(id)
	if !ok {
		return fescuebank.Refuse(http.StatusUnauthorized, fescuebank.CodeUnauthorized, "the team does not exist any more")
	}
	if q.Rate <= 0 {
		return nil
	}
	expected := a.recordRequest(id)
	if a.take(id, q) {
		return nil
	}
	return a.acquire(ctx, id, q, expected)
}

// recordRequest counts a request and returns for how many further requests to
// acquire tokens ahead of use.
func (a *Acquirer) recordRequest(id fescuebank.TeamID) int {
	_, since := a.floorSlot()
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := a.Clock.Now()
	t := s.teams[id]
	if t == nil {
		t = &teamState{floorRefilledAt: since, requestGap: time.Hour}
		s.teams[id] = t
	}
	if !t.lastRequest.IsZero() {
		gap := min(now.Sub(t.lastRequest), time.Hour)
		if t.requestGap == time.Hour {
			t.requestGap = gap
		}
		t.requestGap += time.Duration(newestGapWeight * float64(gap-t.requestGap))
	}
	t.lastRequest = now
	return int(expectedWindow / max(t.requestGap, time.Millisecond))
}

// take spends a token that this instance holds, or else one of its floor, and reports
// whether there was one.
func (a *Acquirer) take(id fescuebank.TeamID, q fescuebank.Quota) bool {
	floor, _ := a.floorSlot()
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[id]
	now := a.Clock.Now()
	if t.tokens > 0 && a.isBefore(now, t.expires) {
		t.tokens--
		return true
	}
	t.tokens = 0
	if !floor.ok {
		t.floorLevel, t.floorRefilledAt = 0, now
		return false
	}
	part := fescuebank.FloorSlotQuota(id, q, floor.slot, floor.slots)
	t.floorLevel = min(t.floorLevel+float64(part.Rate.Over(now.Sub(t.floorRefilledAt))), float64(part.Burst))
	t.floorRefilledAt = now
	if t.floorLevel < 1 {
		return false
	}
	t.floorLevel--
	return true
}

// floorSlot returns this instance's floor slot, and since when the floors of teams that it has not
// served yet accrue: since it holds the slot.
func (a *Acquirer) floorSlot() (floorSlot, time.Time) {
	slot, slots, ok := a.Owners.FloorSlot()
	held := floorSlot{slot: slot, slots: slots, ok: ok}
	now := a.Clock.Now()
	a.floorMu.Lock()
	defer a.floorMu.Unlock()
	if held != a.floor || !ok || fescuebank.Elapsed(a.floorSeen, now) > maxUnseenFloor {
		a.floor, a.floorSince = held, now
	}
	a.floorSeen = now
	return held, a.floorSince
}

// isBefore reports whether now is before t on both the monotonic and the wall clock.
func (a *Acquirer) isBefore(now, t time.Time) bool {
	return fescuebank.Elapsed(t, now) < 0
}

// acquire requests a token from the owner. It tries again after a short wait if the next
// token accrues soon, the bucket is warming up or the first call failed. It refuses the
// request at once if the owner's circuit is open, or if it granted nothing to requests before.
func (a *Acquirer) acquire(ctx context.Context, id fescuebank.TeamID, q fescuebank.Quota, expected int) error {
	started := a.Clock.Now()
	for attempt := 0; ; attempt++ {
		var reply fescuebank.AcquireReply
		requestedAt := a.Clock.Now()
		owner, _ := a.Owners.Owner(id)
		err := a.requestTokens(ctx, id, expected, attempt > 0, &reply)
		if err == nil {
			a.idleOwners.remove(owner)
		}
		if err == nil && reply.Count > 0 {
			a.addTokens(id, reply.Count-1, requestedAt.Add(issuer.TokenLifetime))
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wait := max(time.Duration(reply.WaitNanos), minOwnerCallGap)
		switch {
		case errors.Is(err, breaker.ErrOpen) || err != nil && (attempt > 0 || a.idleOwners.has(owner, a.Clock.Now())):
			if isIdle(err) {
				a.idleOwners.add(owner, a.Clock.Now())
			}
			return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeLimitUnknown,
				"nobody can tell now whether the team is within its rate").WithRetryAfter(limitUnknownRetryAfter).WithDetails(a.refusalDetails(id, q, err.Error())...)
		case err != nil:
			wait = ownerRetryWait
		case !mayWait(reply, attempt, a.Clock.Now().Sub(started)+wait):
			return fescuebank.Refuse(http.StatusTooManyRequests, fescuebank.CodeRateLimited,
				"the team is over its rate and burst").WithRetryAfter(max(wait, time.Duration(reply.RetryAfterNanos))).WithDetails(a.refusalDetails(id, q, "owner refused")...)
		}
		_ = fescuebank.Sleep(ctx, a.Clock, wait)
		if a.take(id, q) {
			return nil
		}
	}
}

// mayWait reports whether a request may wait for the next token. waited is the total time
// that it will have waited when that token accrues.
func mayWait(reply fescuebank.AcquireReply, attempt int, waited time.Duration) bool {
	if reply.WarmingUp {
		return waited <= maxWarmUpWait
	}
	return attempt == 0 && time.Duration(reply.WaitNanos) <= maxTokenWait
}

// refusalDetails returns the log fields that explain a refusal.
func (a *Acquirer) refusalDetails(id fescuebank.TeamID, q fescuebank.Quota, reason string) []any {
	owner, _ := a.Owners.Owner(id)
	slot, slots, _ := a.Owners.FloorSlot()
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[id]
	return []any{
		"team", string(id), "owner", string(owner.ID), "reason", reason, "ratePerSecond", float64(q.Rate), "burst", float64(q.Burst),
		"floorSlot", slot, "floorSlots", slots, "floorLevel", t.floorLevel, "gapMs", t.requestGap.Milliseconds(),
	}
}

// addTokens adds granted tokens to those held. All of them then expire with the newest.
func (a *Acquirer) addTokens(id fescuebank.TeamID, tokens int, expires time.Time) {
	if tokens <= 0 {
		return
	}
	s := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[id]
	if !a.isBefore(a.Clock.Now(), t.expires) {
		t.tokens = 0
	}
	t.tokens += tokens
	t.expires = expires
}

// requestTokens requests tokens from the team's owner, which may be this instance, for one
// waiting request and for expected further ones.
func (a *Acquirer) requestTokens(ctx context.Context, id fescuebank.TeamID, expected int, retry bool, reply *fescuebank.AcquireReply) error {
	owner, ok := a.Owners.Owner(id)
	if !ok || !a.Registered() {
		return fescuebank.ErrNotOwner
	}
	request := &fescuebank.AcquireRequest{Team: id, Need: 1, Expected: expected, Retry: retry}
	if owner == a.Self {
		own, err := a.grant(request)
		if err == nil {
			*reply = *own
		}
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	return a.Caller.Call(ctx, owner.ID, fescuebank.KindAcquire, request, reply)
}

// Handle answers an AcquireRequest of another instance.
func (a *Acquirer) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.AcquireRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	return a.grant(&request)
}

// grant grants tokens as the owner of the team.
func (a *Acquirer) grant(r *fescuebank.AcquireRequest) (*fescuebank.AcquireReply, error) {
	q, ok := a.quota(r.Team)
	if !ok || !a.Owners.IsOwner(r.Team) {
		return nil, fescuebank.ErrNotOwner
	}
	quota := fescuebank.GrantedQuota(q)
	if a.Issuer.BucketEpoch(r.Team) == 0 {
		epoch, mayAct := a.Owners.MayAct(r.Team)
		if !mayAct {
			return nil, errFormerOwnerMayGrant
		}
		a.createBucket(r.Team, epoch, quota)
	}
	count, wait := a.Issuer.Grant(r.Team, quota, r.Need, r.Expected)
	reply := &fescuebank.AcquireReply{Count: count, WaitNanos: int64(wait), WarmingUp: a.Issuer.WarmingUp(r.Team)}
	if count < r.Need && !reply.WarmingUp && (r.Retry || wait > maxTokenWait) {
		reply.RetryAfterNanos = int64(a.Issuer.RetryAfter(r.Team, q.Rate, wait))
	}
	return reply, nil
}

// createBucket creates the bucket of a team: full under the first list of owners, and otherwise
// with what accrued while nobody granted tokens.
func (a *Acquirer) createBucket(id fescuebank.TeamID, epoch fescuebank.FencingNumber, q fescuebank.Quota) {
	since, isVacant := a.Owners.VacantSince(id)
	if isVacant && epoch > 1 {
		a.Issuer.CreateVacantBucket(id, epoch, since)
	} else {
		since = a.Clock.Now()
		a.Issuer.CreateBucket(id, epoch, q, epoch == 1)
	}
	a.Log.Info("Bucket begins.", "team", string(id), "epoch", uint64(epoch), "vacantMs", a.Clock.Now().Sub(since).Milliseconds())
}

// errFormerOwnerMayGrant means that a former owner may still grant tokens of the team.
var errFormerOwnerMayGrant = eris.Wrap(fescuebank.ErrNotOwner, "former owner may still grant tokens")

// UpdateOwnership drops the buckets of teams that this incarnation no longer owns. It is
// called before a new list of owners is acknowledged: from then on the new owner may
// grant tokens. Floors accrue from the first call after this instance holds its floor slot.
func (a *Acquirer) UpdateOwnership() {
	table := a.Table()
	if table == nil {
		return
	}
	a.floorSlot()
	for id := range table.Teams {
		if owner, ok := a.Owners.Owner(id); ok && owner != a.Self {
			a.Issuer.DropBucket(id)
		}
	}
}
