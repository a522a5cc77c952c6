package fescuebank

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// GrantID identifies one grant of tokens ahead of their use. It is unique under one
// owner.
type GrantID uint64

// Timestamp is a moment on an owner's clock, in nanoseconds since it began to
// grant tokens. 0 means none.
type Timestamp int64

// Quota is a team's rate limit for the whole fleet.
type Quota struct {
	Rate  RequestRate
	Burst Requests
}

// GrantCount is a number of tokens of one grant.
type GrantCount struct {
	Grant GrantID `cbor:"1,keyasint"`
	Team  TeamID  `cbor:"2,keyasint"`
	Count int     `cbor:"3,keyasint"`
}

// TokenDemand requests tokens of one team.
type TokenDemand struct {
	Team TeamID `cbor:"1,keyasint"`
	// Need is the number of requests that wait.
	Need int `cbor:"2,keyasint"`
	// Expected is the number of further requests expected within the tokens' lifetime.
	Expected int `cbor:"3,keyasint"`
}

// ShardTokenRequest is the part of a request for the owner of one shard.
type ShardTokenRequest struct {
	Shard ShardID `cbor:"1,keyasint"`
	// Sequence grows with each request from the same instance for the shard. The
	// owner refuses a request that arrives out of order or twice.
	Sequence uint64 `cbor:"2,keyasint"`
	// Echo is the newest timestamp received from the owner with the fencing number
	// OwnerFencing. With it, a home confirms that it has not used its floor since.
	OwnerFencing FencingNumber `cbor:"3,keyasint"`
	Echo         Timestamp     `cbor:"4,keyasint"`
	Demands      []TokenDemand `cbor:"5,keyasint,omitempty"`
	// Spent and Returned are reported at most once.
	Spent    []GrantCount `cbor:"6,keyasint,omitempty"`
	Returned []GrantCount `cbor:"7,keyasint,omitempty"`
}

// TokenRequest requests tokens from an owner of shards.
type TokenRequest struct {
	From   Holder              `cbor:"1,keyasint"`
	Shards []ShardTokenRequest `cbor:"2,keyasint"`
}

// TokenGrant is one grant of tokens of one team.
type TokenGrant struct {
	Team  TeamID  `cbor:"1,keyasint"`
	Grant GrantID `cbor:"2,keyasint"`
	Count int     `cbor:"3,keyasint"`
	// Wait is the time until another token accrues, if Count is below the need.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
	// OutstandingElsewhere is the number of outstanding tokens that other instances may hold.
	OutstandingElsewhere int `cbor:"5,keyasint,omitempty"`
	// Recovering is set while the owner does not know whether the team is within its
	// rate: it became the owner recently, or homes have not confirmed that they don't
	// use their floor.
	Recovering bool `cbor:"6,keyasint,omitempty"`
}

// ShardTokenReply is the owner's reply for one shard.
type ShardTokenReply struct {
	Shard        ShardID       `cbor:"1,keyasint"`
	Sequence     uint64        `cbor:"2,keyasint"`
	OwnerFencing FencingNumber `cbor:"3,keyasint"`
	// Timestamp is 0 while the owner does not grant tokens yet.
	Timestamp Timestamp    `cbor:"4,keyasint"`
	Grants    []TokenGrant `cbor:"5,keyasint,omitempty"`
	// NotOwner is set when the called instance doesn't own the shard.
	NotOwner bool `cbor:"6,keyasint,omitempty"`
}

// TokenReply answers a TokenRequest.
type TokenReply struct {
	Shards []ShardTokenReply `cbor:"1,keyasint"`
}

// LendRequest asks a home to hand over outstanding tokens of a team.
type LendRequest struct {
	From  Holder `cbor:"1,keyasint"`
	Team  TeamID `cbor:"2,keyasint"`
	Count int    `cbor:"3,keyasint"`
}

// LentTokens are tokens that one instance hands over to another.
type LentTokens struct {
	OwnerFencing FencingNumber `cbor:"1,keyasint"`
	Grant        GrantID       `cbor:"2,keyasint"`
	Count        int           `cbor:"3,keyasint"`
	// Remaining is how much longer the tokens were valid at the lender.
	Remaining time.Duration `cbor:"4,keyasint"`
}

// LendReply answers a LendRequest.
type LendReply struct {
	Lent []LentTokens `cbor:"1,keyasint"`
	// Floor is the number of requests that the home admits from its floor.
	Floor int `cbor:"2,keyasint"`
}

// BucketHandoverRequest asks the former owner of a shard for its bucket levels.
type BucketHandoverRequest struct {
	Shard ShardID `cbor:"1,keyasint"`
	// OwnerFencing is the new owner's fencing number.
	OwnerFencing FencingNumber `cbor:"2,keyasint"`
}

// BucketLevel is the number of tokens in a team's bucket.
type BucketLevel struct {
	Team  TeamID   `cbor:"1,keyasint"`
	Level Requests `cbor:"2,keyasint"`
}

// BucketHandoverReply answers a BucketHandoverRequest. The former owner sends it only
// once.
type BucketHandoverReply struct {
	Levels []BucketLevel `cbor:"1,keyasint"`
	// OthersAccruedFor is for how long the buckets of all teams not in Levels had
	// accrued tokens.
	OthersAccruedFor time.Duration `cbor:"2,keyasint"`
	// SinceStop is how long ago the former owner stopped granting, on its clock.
	SinceStop time.Duration `cbor:"3,keyasint"`
}

// TokenTiming holds the durations that owners and the instances that request tokens
// have in common.
type TokenTiming struct {
	// Lifetime is how long a token is valid, on the requesting instance's clock and
	// from the time when it sent the request.
	Lifetime time.Duration
	// FloorWaiver is for how long a home promises not to use its floor after the
	// owner's reply, on the owner's clock.
	FloorWaiver time.Duration
	// ClockError bounds the error of clock rates, as a share of the true rate.
	ClockError float64
}

// WithDriftMargin extends d such that the result has passed on any clock only after
// d has passed on every other clock.
func (t TokenTiming) WithDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.ClockError) / (1 - t.ClockError))
}

// FloorWait returns how long a home waits after the owner's reply, or after its
// slot became free, before it uses its floor. By then the owner no longer relies on
// the home's floor waiver, and tokens granted before have expired.
func (t TokenTiming) FloorWait() time.Duration {
	return t.WithDriftMargin(t.FloorWaiver) + t.WithDriftMargin(t.WithDriftMargin(t.Lifetime))
}

// GrantDelay returns how long a new owner waits before it grants tokens. By then the
// tokens granted by former owners have expired.
func (t TokenTiming) GrantDelay() time.Duration {
	return t.WithDriftMargin(t.WithDriftMargin(t.Lifetime))
}

// SafeRate returns the rate at which a bucket may accrue on any clock without
// exceeding r in true time.
func (t TokenTiming) SafeRate(r RequestRate) RequestRate {
	return RequestRate(float64(r) * (1 - t.ClockError))
}

// FloorSlotShare returns the share of a team's quota that is the floor of one slot.
// Whole requests of the burst are distributed over the slots, starting at one that
// depends on the team, so that a floor that is not empty admits at least one
// request. The shares of all slots add up to 1.
func FloorSlotShare(team TeamID, q Quota, slot, slots int) float64 {
	requests := int(q.Burst)
	if requests < 1 || slots < 1 {
		return 0
	}
	position := (slot + int(xxhash.Sum64String(string(team))%uint64(slots))) % slots
	share := (position+1)*requests/slots - position*requests/slots
	return float64(share) / float64(requests)
}
