// Package admitter enforces the fleet-wide rate and burst of each team.
package admitter

import (
	"context"
	"net/http"
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
