// Package admitter enforces the fleet-wide rate and burst of each team.
package admitter

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/limit/granter"
	"fescuebank/internal/limit/requester"
)

const (
	// tokenLifetime is how long a token that was granted ahead of use is valid.
	tokenLifetime = time.Second
	// floorWaiver is for how long a home promises not to use its floor after the owner's
	// reply.
	floorWaiver = 1500 * time.Millisecond
	// exchangeInterval is the time between two exchanges with the owner of a shard in use.
	exchangeInterval = 400 * time.Millisecond
	// exchangeTimeout bounds one call to an owner or to another home.
	exchangeTimeout = 400 * time.Millisecond
	// maxWait bounds how long a request waits while no instance can tell whether the
	// team is within its rate. A home may use its floor by then.
	maxWait = 4 * time.Second
	// maxTokenWait is how long a request waits at most for the next token to accrue.
	maxTokenWait = 100 * time.Millisecond
	// firstAssignment is the version of a region's first assignment.
	firstAssignment = fescuebank.FencingNumber(1)
	// pollInterval is the longest time between two attempts of a waiting request.
	pollInterval = 50 * time.Millisecond
)

// AssignmentView is what the admitter needs to know of the assignment.
type AssignmentView interface {
	fescuebank.Directory
	// Current returns the assignment applied on this instance.
	Current() *fescuebank.Assignment
	// Find returns an instance that is, or recently was, a member.
	Find(id fescuebank.InstanceID) (fescuebank.Instance, bool)
	// FloorOpen reports whether the former holders of a home slot can't use its floor
	// any more.
	FloorOpen(h fescuebank.Home) bool
}

// Admitter admits requests against tokens and floors. A floor is the minimum part of a
// team's quota that a home instance may use without the owner. The state is divided into
// shards, each under its own lock.
type Admitter struct {
	directory AssignmentView
	holder    func() fescuebank.Holder
	peer      fescuebank.Peer
	config    fescuebank.ConfigSource
	clock     fescuebank.Clock
	log       hclog.Logger
	timing    fescuebank.TokenTiming
	homes     int
	// start and startWallNanos are when the admitter was created, on the monotonic and on
	// the wall clock; wallLeadNanos is how far the wall clock has got ahead since.
	start          time.Time
	startWallNanos int64
	wallLeadNanos  atomic.Int64
	// clockJumps counts the clock jumps that were detected.
	clockJumps atomic.Int64
	shards     [fescuebank.ShardCount]shard
}

// shard is the state of one shard on this instance.
type shard struct {
	id fescuebank.ShardID

	mu sync.Mutex
	// clockJumps is the number of clock jumps that the shard has handled.
	clockJumps int64
	requester  *requester.Requester
	// granter belongs to this instance's latest ownership of the shard; it grants
	// tokens only while this instance may act as the owner.
	granter *granter.Granter
	// handover is the state of this instance's granter when it stopped at stoppedAt.
	// It is sent only once, to the owner with the fencing number successor.
	handover  *fescuebank.BucketHandoverReply
	stoppedAt time.Time
	successor fescuebank.FencingNumber
	// exchangeDone is closed when the running exchange with the owner ends; nil if none
	// is running.
	exchangeDone chan struct{}
	// shortages are the teams that the owner's last reply granted too few tokens.
	shortages map[fescuebank.TeamID]shortage
	// repliedAt is when the owner last replied.
	repliedAt time.Time
}

// shortage is the owner's report that it could not grant a team all it needed.
type shortage struct {
	// nextTokenAt is when the next token accrues.
	nextTokenAt time.Time
	// outstandingElsewhere is set while other instances may hold unspent tokens.
	outstandingElsewhere bool
	// recovering is set while the owner can't tell whether the team is within its rate.
	recovering bool
}

// isFinal reports whether the team is certainly over its rate: the owner can tell,
// and no other instance holds unspent tokens.
func (s shortage) isFinal() bool {
	return !s.outstandingElsewhere && !s.recovering
}

// Config holds the dependencies and settings of an Admitter.
type Config struct {
	Directory AssignmentView
	// Holder returns the instance with its incarnation.
	Holder func() fescuebank.Holder
	Peer   fescuebank.Peer
	Source fescuebank.ConfigSource
	Clock  fescuebank.Clock
	Log    hclog.Logger
	// Homes is the number of home slots of each shard.
	Homes int
	// ClockError bounds the error of clock rates as a share.
	ClockError float64
}

// New returns an admitter that holds no tokens.
func New(c Config) *Admitter {
	a := &Admitter{
		directory: c.Directory, holder: c.Holder, peer: c.Peer, config: c.Source, clock: c.Clock, log: c.Log, homes: c.Homes,
		timing: fescuebank.TokenTiming{Lifetime: tokenLifetime, FloorWaiver: floorWaiver, ClockError: c.ClockError},
	}
	a.start = c.Clock.Now()
	a.startWallNanos = a.start.UnixNano()
	for i := range a.shards {
		a.shards[i].id = fescuebank.ShardID(i)
		a.shards[i].requester = requester.New(a.timing, fescuebank.ShardID(i), c.Homes)
	}
	return a
}

// suspensionThreshold is how far the wall clock may get ahead of the monotonic one
// before the machine is considered to have been suspended.
const suspensionThreshold = 50 * time.Millisecond

// now returns the time and detects clock jumps. The monotonic clock stops while the
// machine is suspended, so the wall clock is ahead of it afterwards; whatever depends on
// elapsed time is then dropped.
func (a *Admitter) now() time.Time {
	now := a.clock.Now()
	lead := now.UnixNano() - a.startWallNanos - int64(now.Sub(a.start))
	former := a.wallLeadNanos.Load()
	if lead == former || !a.wallLeadNanos.CompareAndSwap(former, lead) {
		return now
	}
	if time.Duration(lead-former) > suspensionThreshold {
		a.log.Warn("Wall clock jumped ahead of the monotonic clock.", "by", time.Duration(lead-former))
		a.clockJumps.Add(1)
	}
	return now
}

// lock locks a shard and returns the time. If the clock has jumped, it first drops
// what depends on elapsed time.
func (a *Admitter) lock(s *shard) time.Time {
	s.mu.Lock()
	now := a.now()
	clockJumps := a.clockJumps.Load()
	if s.clockJumps == clockJumps {
		return now
	}
	s.clockJumps = clockJumps
	s.handover = nil
	s.requester.OnClockJump(now)
	if s.granter != nil {
		s.granter.OnClockJump(now, a.quota)
	}
	return now
}

func (a *Admitter) quota(team fescuebank.TeamID) (fescuebank.Quota, bool) {
	t, ok := a.config.Current().Teams[team]
	if !ok {
		return fescuebank.Quota{}, false
	}
	return fescuebank.Quota{Rate: t.Rate, Burst: t.Burst}, true
}

// Admit admits one request of the team or returns a refusal.
func (a *Admitter) Admit(ctx context.Context, team fescuebank.TeamID) error {
	q, ok := a.quota(team)
	if !ok {
		return fescuebank.Refuse(http.StatusUnauthorized, fescuebank.CodeUnauthorized, "the team does not exist any more")
	}
	s := &a.shards[fescuebank.ShardOf(string(team))]
	now := a.lock(s)
	if s.requester.TakeToken(now, team, q) {
		s.mu.Unlock()
		return nil
	}
	if last, ok := s.shortages[team]; ok && last.isFinal() && now.Add(maxTokenWait).Before(last.nextTokenAt) {
		s.requester.UncountDemand(team)
		s.mu.Unlock()
		return refuse(last.nextTokenAt.Sub(now))
	}
	endWait := s.requester.AddWaiter(team)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		endWait()
		s.mu.Unlock()
	}()
	return a.waitForToken(ctx, s, team, q)
}

// waitForToken requests a token from the owner, then from the other homes, until the
// request gets one or is refused.
func (a *Admitter) waitForToken(ctx context.Context, s *shard, team fescuebank.TeamID, q fescuebank.Quota) error {
	started := a.now()
	for {
		replied := a.exchange(ctx, s)
		if a.retake(s, team, q) {
			return nil
		}
		last, isShort := s.shortage(team)
		// Other homes can't help if the owner reported a final shortage.
		if !replied || !isShort || !last.isFinal() {
			if a.acquireFromHomes(ctx, s, team, q) || a.retake(s, team, q) {
				return nil
			}
		}
		if ctx.Err() != nil {
			return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeDeadline, "the request ended while it waited for its turn")
		}
		now := a.now()
		switch {
		case replied && isShort && !last.recovering && last.nextTokenAt.Sub(started) > maxTokenWait:
			return refuse(last.nextTokenAt.Sub(now))
		case now.Sub(started) >= maxWait:
			return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeLimitUnknown,
				"nobody can tell now whether the team is within its rate").WithRetryAfter(time.Second)
		}
		_ = fescuebank.Sleep(ctx, a.clock, min(max(last.nextTokenAt.Sub(now), time.Millisecond), pollInterval))
	}
}

func refuse(wait time.Duration) error {
	return fescuebank.Refuse(http.StatusTooManyRequests, fescuebank.CodeRateLimited,
		"the team is over its rate and burst").WithRetryAfter(wait)
}

// retake tries to take a token again without counting the demand twice.
func (a *Admitter) retake(s *shard, team fescuebank.TeamID, q fescuebank.Quota) bool {
	now := a.lock(s)
	defer s.mu.Unlock()
	defer s.requester.UncountDemand(team)
	return s.requester.TakeToken(now, team, q)
}

func (s *shard) shortage(team fescuebank.TeamID) (shortage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.shortages[team]
	return last, ok
}

// exchange requests tokens of a shard from its owner. Callers that arrive meanwhile
// wait for the running exchange and then share one more. It reports whether the owner
// replied recently.
func (a *Admitter) exchange(ctx context.Context, s *shard) bool {
	s.mu.Lock()
	if current := s.exchangeDone; current != nil {
		s.mu.Unlock()
		select {
		case <-current:
		case <-ctx.Done():
			return false
		}
		s.mu.Lock()
	}
	if s.exchangeDone != nil {
		current := s.exchangeDone
		s.mu.Unlock()
		select {
		case <-current:
		case <-ctx.Done():
		}
		return a.repliedRecently(s)
	}
	done := make(chan struct{})
	s.exchangeDone = done
	request := s.requester.NextRequest(a.now())
	s.mu.Unlock()
	a.exchangeWithOwner(s, request)
	s.mu.Lock()
	s.exchangeDone = nil
	s.mu.Unlock()
	close(done)
	return a.repliedRecently(s)
}

func (a *Admitter) repliedRecently(s *shard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.now().Sub(s.repliedAt) < exchangeInterval
}

// exchangeWithOwner sends one shard's request to its owner and applies the reply.
func (a *Admitter) exchangeWithOwner(s *shard, request fescuebank.ShardTokenRequest) {
	owner, ok := a.directory.Owner(s.id)
	if !ok {
		return
	}
	a.send(owner, []fescuebank.ShardTokenRequest{request})
}

// send sends the requests of some shards to the instance that owns them, and applies
// its reply.
func (a *Admitter) send(owner fescuebank.Instance, requests []fescuebank.ShardTokenRequest) {
	request := fescuebank.TokenRequest{From: a.holder(), Shards: requests}
	var reply fescuebank.TokenReply
	if owner.ID == a.directory.Self().ID {
		reply = a.respond(&request)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		if err := a.peer.Call(ctx, owner.PeerAddr, fescuebank.KindTokens, &request, &reply); err != nil {
			a.log.Debug("Owner not reached.", "owner", string(owner.ID), "err", err)
			return
		}
	}
	for _, r := range reply.Shards {
		if int(r.Shard) < len(a.shards) {
			a.applyGrants(&a.shards[r.Shard], r)
		}
	}
}

// applyGrants applies the owner's reply for one shard.
func (a *Admitter) applyGrants(s *shard, r fescuebank.ShardTokenReply) {
	now := a.lock(s)
	defer s.mu.Unlock()
	shortGrants, ok := s.requester.ApplyReply(now, r)
	if !ok {
		return
	}
	s.repliedAt = now
	s.shortages = make(map[fescuebank.TeamID]shortage, len(shortGrants))
	for _, g := range shortGrants {
		s.shortages[g.Team] = shortage{
			nextTokenAt: now.Add(g.Wait), outstandingElsewhere: g.OutstandingElsewhere > 0, recovering: g.Recovering,
		}
	}
}

// Handle answers a TokenRequest of another instance.
func (a *Admitter) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.TokenRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	reply := a.respond(&request)
	return &reply, nil
}

func (a *Admitter) respond(request *fescuebank.TokenRequest) fescuebank.TokenReply {
	var reply fescuebank.TokenReply
	for _, r := range request.Shards {
		if int(r.Shard) < len(a.shards) {
			reply.Shards = append(reply.Shards, a.grant(&a.shards[r.Shard], request.From, r))
		}
	}
	return reply
}

// grant answers the request for one shard if this instance may act as its owner.
func (a *Admitter) grant(s *shard, from fescuebank.Holder, r fescuebank.ShardTokenRequest) fescuebank.ShardTokenReply {
	now := a.lock(s)
	defer s.mu.Unlock()
	if !a.syncGranter(s, now) {
		return fescuebank.ShardTokenReply{Shard: r.Shard, Sequence: r.Sequence, NotOwner: true}
	}
	return s.granter.HandleRequest(now, from, r, a.quota)
}

// syncGranter makes the granter match the assignment and reports whether this
// instance may act as the owner. The caller holds the shard's lock.
func (a *Admitter) syncGranter(s *shard, now time.Time) bool {
	fencing, mayAct := a.directory.MayAct(s.id)
	if !mayAct {
		return false
	}
	slots := a.homeSlots(s.id)
	if s.granter == nil || s.granter.Fencing() != fencing {
		s.granter = granter.New(a.timing, fencing, now, slots)
		if fencing == firstAssignment {
			s.granter.StartFull(now)
		} else {
			go a.fetchHandover(s, fencing)
		}
		return true
	}
	s.granter.SetSlots(now, slots, a.quota)
	return true
}

func (a *Admitter) homeSlots(id fescuebank.ShardID) []granter.Slot {
	state, _ := a.directory.Current().Shard(id)
	slots := make([]granter.Slot, 0, len(state.Homes))
	for _, h := range state.Homes {
		slots = append(slots, granter.Slot{Holder: h.Holder, FormerStopped: a.directory.FloorOpen(h)})
	}
	return slots
}

// UpdateOwnership applies a new assignment before it is acknowledged: it ends the granters of
// shards that have a newer owner and updates the home slots of this instance.
func (a *Admitter) UpdateOwnership() {
	for i := range a.shards {
		a.retireGranter(&a.shards[i])
		a.syncSlot(&a.shards[i])
	}
}

// retireGranter ends the granter of a shard that has a newer owner, and keeps its
// state for that owner.
func (a *Admitter) retireGranter(s *shard) {
	state, _ := a.directory.Current().Shard(s.id)
	now := a.lock(s)
	defer s.mu.Unlock()
	if s.granter == nil || s.granter.Fencing() == state.Since {
		return
	}
	handover := s.granter.Retire(now, a.quota)
	s.granter = nil
	s.handover, s.stoppedAt, s.successor = &handover, now, state.Since
}

// handoverAttempts is how often each former owner is asked for its handover state.
const handoverAttempts = 2

// fetchHandover asks the former owners of a shard for their bucket levels, until one
// replies.
func (a *Admitter) fetchHandover(s *shard, fencing fescuebank.FencingNumber) {
	state, _ := a.directory.Current().Shard(s.id)
	for _, former := range state.Former {
		member, ok := a.directory.Find(former.ID)
		if !ok {
			continue
		}
		for range handoverAttempts {
			requestedAt := a.now()
			ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
			var reply fescuebank.BucketHandoverReply
			err := a.peer.Call(ctx, member.PeerAddr, fescuebank.KindBucketHandover, &fescuebank.BucketHandoverRequest{Shard: s.id, OwnerFencing: fencing}, &reply)
			cancel()
			if err != nil {
				continue
			}
			s.mu.Lock()
			if s.granter != nil && s.granter.Fencing() == fencing {
				s.granter.ApplyHandover(requestedAt, reply)
			}
			s.mu.Unlock()
			return
		}
	}
}

// HandleBucketHandover answers a BucketHandoverRequest of the next owner of a shard.
// The bucket levels are sent only once.
func (a *Admitter) HandleBucketHandover(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.BucketHandoverRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if int(request.Shard) >= len(a.shards) {
		return nil, fescuebank.ErrNotOwner
	}
	s := &a.shards[request.Shard]
	now := a.lock(s)
	defer s.mu.Unlock()
	if s.handover == nil || s.successor != request.OwnerFencing {
		return nil, fescuebank.ErrNotOwner
	}
	reply := *s.handover
	reply.SinceStop += now.Sub(s.stoppedAt)
	s.handover = nil
	return &reply, nil
}

// syncSlot sets the requester's home slot to the one that this instance holds, if any. A
// slot counts only after its former holders can no longer use its floor.
func (a *Admitter) syncSlot(s *shard) {
	me := a.holder()
	state, _ := a.directory.Current().Shard(s.id)
	slot := slices.IndexFunc(state.Homes, func(h fescuebank.Home) bool { return h.Holder == me && a.directory.FloorOpen(h) })
	if slot < 0 {
		slot = requester.NoSlot
	}
	now := a.lock(s)
	defer s.mu.Unlock()
	s.requester.SetSlot(now, slot)
}

// Run requests tokens from the owners every exchangeInterval until ctx ends.
func (a *Admitter) Run(ctx context.Context) {
	for fescuebank.Sleep(ctx, a.clock, exchangeInterval) == nil {
		a.exchangeAll()
	}
}

// exchangeAll sends each owner one request for all its shards that are in use on this
// instance.
func (a *Admitter) exchangeAll() {
	used := a.usedShards()
	byOwner := make(map[fescuebank.Instance][]fescuebank.ShardTokenRequest)
	for i := range a.shards {
		s := &a.shards[i]
		a.syncSlot(s)
		owner, ok := a.directory.Owner(s.id)
		if !ok || !used[i] {
			continue
		}
		now := a.lock(s)
		if s.exchangeDone == nil && s.requester.Active() {
			byOwner[owner] = append(byOwner[owner], s.requester.NextRequest(now))
		}
		s.mu.Unlock()
	}
	var group sync.WaitGroup
	for owner, requests := range byOwner {
		group.Go(func() { a.send(owner, requests) })
	}
	group.Wait()
}

// usedShards reports for each shard whether it has any team.
func (a *Admitter) usedShards() [fescuebank.ShardCount]bool {
	var used [fescuebank.ShardCount]bool
	for id := range a.config.Current().Teams {
		used[fescuebank.ShardOf(string(id))] = true
	}
	return used
}

// acquireFromHomes asks the other homes of the shard for an unspent token, or to admit
// the request from their floor. It reports whether the request is admitted.
func (a *Admitter) acquireFromHomes(ctx context.Context, s *shard, team fescuebank.TeamID, q fescuebank.Quota) bool {
	for _, home := range a.directory.Homes(s.id) {
		if home.ID == a.directory.Self().ID {
			continue
		}
		call, cancel := context.WithTimeout(ctx, exchangeTimeout)
		requestedAt := a.now()
		var reply fescuebank.LendReply
		request := fescuebank.LendRequest{From: a.holder(), Team: team, Count: 1}
		err := a.peer.Call(call, home.PeerAddr, fescuebank.KindLend, &request, &reply)
		cancel()
		if err != nil {
			continue
		}
		if reply.Floor > 0 {
			return true
		}
		s.mu.Lock()
		s.requester.AddLent(requestedAt, team, reply.Lent)
		s.mu.Unlock()
		if a.retake(s, team, q) {
			return true
		}
	}
	return false
}

// HandleLend answers a LendRequest of another instance.
func (a *Admitter) HandleLend(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.LendRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	q, ok := a.quota(request.Team)
	if !ok {
		return &fescuebank.LendReply{}, nil
	}
	s := &a.shards[fescuebank.ShardOf(string(request.Team))]
	now := a.lock(s)
	defer s.mu.Unlock()
	reply := s.requester.Lend(now, request.Team, max(0, request.Count), q)
	return &reply, nil
}
