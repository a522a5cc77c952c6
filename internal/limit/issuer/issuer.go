// Package issuer grants tokens from the buckets of the teams that an instance owns.
package issuer

import (
	"math"
	"slices"
	"sync"
	"time"

	"fescuebank"
)

// shardCount is the number of locks that the buckets are spread over.
const shardCount = 16

// noAccrualWait is the wait that is reported if no token will ever accrue.
const noAccrualWait = time.Hour

// Issuer grants tokens from the buckets of teams. A new owner creates a team's
// bucket empty, except under the fleet's first list of owners.
type Issuer struct {
	clock  fescuebank.Clock
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	buckets map[fescuebank.TeamID]*bucket
}

// bucket is the token bucket of one team.
type bucket struct {
	// createdEmptyAt is when the bucket was created empty; zero if it was created full.
	createdEmptyAt time.Time
	// epoch is the epoch of the list of owners under which the bucket was created.
	epoch fescuebank.FencingNumber
	level float64
	// refilledAt is when level was last updated.
	refilledAt time.Time
	// outstanding are the tokens granted beyond the need that may still be unspent.
	// They count against the burst: otherwise they and a full bucket together would
	// exceed it.
	outstanding []outstandingGrant
	// nextRetryAt is the earliest time at which the next refused caller should retry.
	nextRetryAt time.Time
}

// outstandingGrant is a number of tokens and when they expire.
type outstandingGrant struct {
	count   int
	expires time.Time
}

// maxRetryAfter bounds the time over which the retries of refused callers are spread.
const maxRetryAfter = 5 * time.Second

// TokenLifetime is how long a granted token is valid, counted from when the request for
// it was sent.
const TokenLifetime = time.Second

// New returns an issuer without buckets.
func New(clock fescuebank.Clock) *Issuer {
	issuer := &Issuer{clock: clock}
	for i := range issuer.shards {
		issuer.shards[i].buckets = make(map[fescuebank.TeamID]*bucket)
	}
	return issuer
}

func (i *Issuer) shard(team fescuebank.TeamID) *shard {
	return &i.shards[uint32(fescuebank.ShardOf(string(team)))%shardCount]
}

// CreateBucket replaces the bucket of a team by a new one, full or empty.
func (i *Issuer) CreateBucket(team fescuebank.TeamID, epoch fescuebank.FencingNumber, q fescuebank.Quota, full bool) {
	now := i.clock.Now()
	b := &bucket{epoch: epoch, refilledAt: now}
	if full {
		b.level = float64(q.Burst)
	} else {
		b.createdEmptyAt = now
	}
	i.setBucket(team, b)
}

// CreateVacantBucket replaces the bucket of a team by one that was empty at a time since which
// nobody granted tokens of the team.
func (i *Issuer) CreateVacantBucket(team fescuebank.TeamID, epoch fescuebank.FencingNumber, since time.Time) {
	i.setBucket(team, &bucket{epoch: epoch, refilledAt: since, createdEmptyAt: i.clock.Now()})
}

func (i *Issuer) setBucket(team fescuebank.TeamID, b *bucket) {
	s := i.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buckets[team] = b
}

// BucketEpoch returns the epoch in which the bucket of a team was created, or 0
// if the team has none.
func (i *Issuer) BucketEpoch(team fescuebank.TeamID) fescuebank.FencingNumber {
	s := i.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.buckets[team]; b != nil {
		return b.epoch
	}
	return 0
}

// warmUpTime is how long a bucket that was created empty counts as warming up.
const warmUpTime = 2 * time.Second

// WarmingUp reports whether the bucket of a team was created empty less than
// warmUpTime ago.
func (i *Issuer) WarmingUp(team fescuebank.TeamID) bool {
	s := i.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[team]
	return b != nil && !b.createdEmptyAt.IsZero() && i.clock.Now().Sub(b.createdEmptyAt) < warmUpTime
}

// DropBucket drops the bucket of a team.
func (i *Issuer) DropBucket(team fescuebank.TeamID) {
	s := i.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.buckets, team)
}

// Grant takes whole tokens from a team's bucket: first those that waiting requests
// need, then those for expected requests, at most half of the rest. wait is the time
// until the next token accrues if count is below need.
func (i *Issuer) Grant(team fescuebank.TeamID, q fescuebank.Quota, need, expected int) (count int, wait time.Duration) {
	s := i.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[team]
	if b == nil {
		return 0, noAccrualWait
	}
	b.refill(i.clock.Now(), q)
	count = min(max(0, need), int(b.level))
	if spare := int((b.level - float64(count)) / 2); count == need && expected > 0 && spare > 0 {
		extra := min(expected, spare)
		count += extra
		b.outstanding = append(b.outstanding, outstandingGrant{count: extra, expires: b.refilledAt.Add(TokenLifetime)})
	}
	b.level -= float64(count)
	if count >= need {
		return count, 0
	}
	missing := fescuebank.Requests(1 - (b.level - math.Floor(b.level)))
	wait, ok := q.Rate.TimeFor(missing)
	if !ok {
		return count, noAccrualWait
	}
	return count, wait
}

// RetryAfter returns the time after which a refused caller should retry, given the
// time until the next token accrues. Callers that are refused in a row are spread over
// the tokens to come, at the team's whole rate: if all retried when the next token
// accrues, all but one would find the bucket empty.
func (i *Issuer) RetryAfter(team fescuebank.TeamID, rate fescuebank.RequestRate, nextToken time.Duration) time.Duration {
	s := i.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[team]
	gap, ok := rate.TimeFor(1)
	if b == nil || !ok {
		return nextToken
	}
	now := i.clock.Now()
	if soonest := now.Add(nextToken); b.nextRetryAt.Before(soonest) {
		b.nextRetryAt = soonest
	}
	retryAfter := b.nextRetryAt.Sub(now)
	if retryAfter < maxRetryAfter {
		b.nextRetryAt = b.nextRetryAt.Add(gap)
	}
	return retryAfter
}

// refill adds the tokens accrued since the last refill. A lower burst takes effect at once.
func (b *bucket) refill(now time.Time, q fescuebank.Quota) {
	b.level += float64(q.Rate.Over(now.Sub(b.refilledAt)))
	b.outstanding = slices.DeleteFunc(b.outstanding, func(g outstandingGrant) bool { return g.expires.Before(now) })
	total := 0
	for _, g := range b.outstanding {
		total += g.count
	}
	b.level = min(b.level, max(0, float64(q.Burst)-float64(total)))
	b.refilledAt = now
}
