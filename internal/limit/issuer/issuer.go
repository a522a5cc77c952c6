// Package issuer keeps the token buckets of the teams that an instance owns.
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

// neverWait is told where no token will ever accrue.
const neverWait = time.Hour

// Issuer grants tokens out of buckets. A team's first bucket under a new owner
// begins empty, except under the fleet's first list of owners.
type Issuer struct {
	clock  fescuebank.Clock
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	buckets map[fescuebank.TeamID]*bucket
}

// bucket is the state of one team.
type bucket struct {
	// began is when the bucket began empty; zero if it began full.
	began time.Time
	// epoch is the list under which the bucket began.
	epoch fescuebank.FencingNumber
	level float64
	// filled is when level was last brought up to date.
	filled time.Time
	// ahead are tokens sold beyond the need that may still be unspent. They count
	// against the burst, or they would come on top of a full bucket.
	ahead []sale
	// returns is when the last of the callers that were refused was told to return.
	returns time.Time
}

// sale is a number of tokens and when they are dead.
type sale struct {
	count int
	dead  time.Time
}

// longestReturn bounds when a refused caller is told to return.
const longestReturn = 5 * time.Second

// TokenLifetime is how long a granted token is valid, counted from when it was
// requested.
const TokenLifetime = time.Second

// New returns an issuer without buckets.
func New(clock fescuebank.Clock) *Issuer {
	s := &Issuer{clock: clock}
	for i := range s.shards {
		s.shards[i].buckets = make(map[fescuebank.TeamID]*bucket)
	}
	return s
}

func (s *Issuer) shard(team fescuebank.TeamID) *shard {
	return &s.shards[uint32(fescuebank.ShardOf(string(team)))%shardCount]
}

// CreateBucket replaces the bucket of a team by a new one, full or empty.
func (s *Issuer) CreateBucket(team fescuebank.TeamID, epoch fescuebank.FencingNumber, q fescuebank.Quota, full bool) {
	h := s.shard(team)
	h.mu.Lock()
	defer h.mu.Unlock()
	b := &bucket{epoch: epoch, filled: s.clock.Now()}
	if full {
		b.level = float64(q.Burst)
	} else {
		b.began = b.filled
	}
	h.buckets[team] = b
}

// BucketEpoch returns the epoch in which the bucket of a team was created, or 0
// if the team has none.
func (s *Issuer) BucketEpoch(team fescuebank.TeamID) fescuebank.FencingNumber {
	h := s.shard(team)
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.buckets[team]; b != nil {
		return b.epoch
	}
	return 0
}

// youngTime is how long a bucket that began empty counts as young.
const youngTime = 2 * time.Second

// WarmingUp reports whether the bucket of a team began empty less than warmUpTime
// ago.
func (s *Issuer) WarmingUp(team fescuebank.TeamID) bool {
	h := s.shard(team)
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.buckets[team]
	return b != nil && !b.began.IsZero() && s.clock.Now().Sub(b.began) < youngTime
}

// DropBucket drops the bucket of a team.
func (s *Issuer) DropBucket(team fescuebank.TeamID) {
	h := s.shard(team)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.buckets, team)
}

// Grant takes whole tokens out of a team's bucket: first what waiting requests
// need, then up to ahead more for expected requests, at most half of the rest. wait
// is when the next token accrues if count is below need.
func (s *Issuer) Grant(team fescuebank.TeamID, q fescuebank.Quota, need, ahead int) (count int, wait time.Duration) {
	h := s.shard(team)
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.buckets[team]
	if b == nil {
		return 0, neverWait
	}
	b.fill(s.clock.Now(), q)
	count = min(max(0, need), int(b.level))
	if spare := int((b.level - float64(count)) / 2); count == need && ahead > 0 && spare > 0 {
		extra := min(ahead, spare)
		count += extra
		b.ahead = append(b.ahead, sale{count: extra, dead: b.filled.Add(TokenLifetime)})
	}
	b.level -= float64(count)
	if count >= need {
		return count, 0
	}
	missing := fescuebank.Requests(1 - (b.level - math.Floor(b.level)))
	wait, ok := q.Rate.TimeFor(missing)
	if !ok {
		return count, neverWait
	}
	return count, wait
}

// RetryAfter returns when a refused caller should retry if the next token accrues in
// next. Callers that are refused in a row are spread over the coming tokens at the
// team's whole rate: if each came back for the next token, all but one would find the
// bucket empty.
func (s *Issuer) RetryAfter(team fescuebank.TeamID, rate fescuebank.RequestRate, next time.Duration) time.Duration {
	h := s.shard(team)
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.buckets[team]
	gap, ok := rate.TimeFor(1)
	if b == nil || !ok {
		return next
	}
	now := s.clock.Now()
	if soonest := now.Add(next); b.returns.Before(soonest) {
		b.returns = soonest
	}
	told := b.returns.Sub(now)
	if told < longestReturn {
		b.returns = b.returns.Add(gap)
	}
	return told
}

// fill brings the level up to date. A lower burst binds at once.
func (b *bucket) fill(now time.Time, q fescuebank.Quota) {
	b.level += float64(q.Rate.Over(now.Sub(b.filled)))
	b.ahead = slices.DeleteFunc(b.ahead, func(s sale) bool { return s.dead.Before(now) })
	unspent := 0
	for _, s := range b.ahead {
		unspent += s.count
	}
	b.level = min(b.level, max(0, float64(q.Burst)-float64(unspent)))
	b.filled = now
}
