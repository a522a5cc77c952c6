// Package seller keeps the buckets of the teams that an instance owns.
package seller

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

// Seller sells tokens out of buckets. A bucket that is first asked for begins
// empty unless the seller is the first in the life of the fleet.
type Seller struct {
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

// TokenLife is how long a sold token is good, from before it was asked for.
const TokenLife = time.Second

// New returns a seller without buckets.
func New(clock fescuebank.Clock) *Seller {
	s := &Seller{clock: clock}
	for i := range s.shards {
		s.shards[i].buckets = make(map[fescuebank.TeamID]*bucket)
	}
	return s
}

func (s *Seller) shard(team fescuebank.TeamID) *shard {
	return &s.shards[uint32(fescuebank.ShardOf(string(team)))%shardCount]
}

// Begin starts the bucket of a team anew, full or empty.
func (s *Seller) Begin(team fescuebank.TeamID, epoch fescuebank.FencingNumber, q fescuebank.Quota, full bool) {
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

// Began returns the epoch under which the bucket of a team began, or 0.
func (s *Seller) Began(team fescuebank.TeamID) fescuebank.FencingNumber {
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

// Young reports whether the bucket of a team began empty a short time ago.
func (s *Seller) Young(team fescuebank.TeamID) bool {
	h := s.shard(team)
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.buckets[team]
	return b != nil && !b.began.IsZero() && s.clock.Now().Sub(b.began) < youngTime
}

// End drops the bucket of a team.
func (s *Seller) End(team fescuebank.TeamID) {
	h := s.shard(team)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.buckets, team)
}

// Sell takes whole tokens out of a team's bucket: the need first, then what is
// wanted ahead as far as half of the rest allows.
func (s *Seller) Sell(team fescuebank.TeamID, q fescuebank.Quota, need, ahead int) (count int, wait time.Duration) {
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
		b.ahead = append(b.ahead, sale{count: extra, dead: b.filled.Add(TokenLife)})
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

// Return tells when a refused caller should come back, if the next token accrues in
// next. Callers that are refused in a row are spread over the tokens to come, at the
// team's whole rate: all would find the bucket empty if each came for the next one.
func (s *Seller) Return(team fescuebank.TeamID, rate fescuebank.RequestRate, next time.Duration) time.Duration {
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
