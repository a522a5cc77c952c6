package fescuebank

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// GrantID names one sale of prepaid tokens. It is unique under one owner.
type GrantID uint64

// Timestamp is a moment on an owner's clock, in nanoseconds since it began to
// sell. 0 means none.
type Timestamp int64

// Quota is what a team may have fleet-wide.
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

// TokenDemand asks for tokens of one team.
type TokenDemand struct {
	Team TeamID `cbor:"1,keyasint"`
	// Need is the number of requests that wait.
	Need int `cbor:"2,keyasint"`
	// Expected is the number expected within the tokens' life beyond Need.
	Expected int `cbor:"3,keyasint"`
}

// ShardTokenRequest is what a buyer tells the owner of one shard.
type ShardTokenRequest struct {
	Shard ShardID `cbor:"1,keyasint"`
	// Sequence grows with each request of a buyer for the shard. A request that
	// comes late or twice is refused.
	Sequence uint64 `cbor:"2,keyasint"`
	// Echo is the newest stamp received from the owner numbered Owner. By it a
	// home confirms that it has left its floor since.
	Owner   FencingNumber `cbor:"3,keyasint"`
	Echo    Timestamp     `cbor:"4,keyasint"`
	Demands []TokenDemand `cbor:"5,keyasint,omitempty"`
	// Spent and Returned are told at most once.
	Spent    []GrantCount `cbor:"6,keyasint,omitempty"`
	Returned []GrantCount `cbor:"7,keyasint,omitempty"`
}

// TokenRequest goes from a buyer of tokens to an owner of shards.
type TokenRequest struct {
	From   Holder              `cbor:"1,keyasint"`
	Shards []ShardTokenRequest `cbor:"2,keyasint"`
}

// TokenGrant is one sale.
type TokenGrant struct {
	Team  TeamID  `cbor:"1,keyasint"`
	Grant GrantID `cbor:"2,keyasint"`
	Count int     `cbor:"3,keyasint"`
	// Wait is when another token accrues, if Count fell short of the need.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
	// OutstandingElsewhere is the number of unspent tokens that other buyers may hold.
	OutstandingElsewhere int `cbor:"5,keyasint,omitempty"`
	// Recovering is set while the owner can't tell whether the team is within its
	// rate: it began lately, or homes have not confirmed that they are off their floor.
	Recovering bool `cbor:"6,keyasint,omitempty"`
}

// ShardTokenReply is the owner's answer for one shard.
type ShardTokenReply struct {
	Shard    ShardID       `cbor:"1,keyasint"`
	Sequence uint64        `cbor:"2,keyasint"`
	Owner    FencingNumber `cbor:"3,keyasint"`
	// Timestamp is 0 while the owner doesn't sell yet.
	Timestamp Timestamp    `cbor:"4,keyasint"`
	Grants    []TokenGrant `cbor:"5,keyasint,omitempty"`
	// NotOwner is set when the asked instance doesn't own the shard.
	NotOwner bool `cbor:"6,keyasint,omitempty"`
}

// TokenReply answers a TokenRequest.
type TokenReply struct {
	Shards []ShardTokenReply `cbor:"1,keyasint"`
}

// LendRequest asks a home to give up unspent tokens of a team.
type LendRequest struct {
	From  Holder `cbor:"1,keyasint"`
	Team  TeamID `cbor:"2,keyasint"`
	Count int    `cbor:"3,keyasint"`
}

// LentTokens are tokens that changed hands.
type LentTokens struct {
	Owner FencingNumber `cbor:"1,keyasint"`
	Grant GrantID       `cbor:"2,keyasint"`
	Count int           `cbor:"3,keyasint"`
	// Remaining is how long the tokens were still good at the lender.
	Remaining time.Duration `cbor:"4,keyasint"`
}

// LendReply answers a LendRequest.
type LendReply struct {
	Lent []LentTokens `cbor:"1,keyasint"`
	// Floor is the number of requests that the home lets through on its floor.
	Floor int `cbor:"2,keyasint"`
}

// BucketHandoverRequest asks the former owner of a shard for what its buckets held.
type BucketHandoverRequest struct {
	Shard ShardID `cbor:"1,keyasint"`
	// Owner is the new owner's fencing number.
	Owner FencingNumber `cbor:"2,keyasint"`
}

// BucketLevel is what a team's bucket held.
type BucketLevel struct {
	Team  TeamID   `cbor:"1,keyasint"`
	Level Requests `cbor:"2,keyasint"`
}

// BucketHandoverReply answers a BucketHandoverRequest. It is given once.
type BucketHandoverReply struct {
	Levels []BucketLevel `cbor:"1,keyasint"`
	// OthersAccruedFor is for how long the buckets of all other teams had accrued.
	OthersAccruedFor time.Duration `cbor:"2,keyasint"`
	// SinceStop is how long ago the former owner stopped, on its clock.
	SinceStop time.Duration `cbor:"3,keyasint"`
}

// TokenTiming are the durations on which owner and buyers agree.
type TokenTiming struct {
	// Lifetime is how long a token is good, on the buyer's clock from before it asked.
	Lifetime time.Duration
	// FloorWaiver is how long a home stays off its floor after the owner's answer,
	// as the owner counts it.
	FloorWaiver time.Duration
	// ClockError bounds the difference of clock rates from true time, as a share.
	ClockError float64
}

// WithDriftMargin returns a duration that is over on any clock only after d is over on
// every other clock.
func (t TokenTiming) WithDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.ClockError) / (1 - t.ClockError))
}

// FloorWait is how long a home waits after the owner's answer, or after its
// slot became free, before it opens its floor. By then the owner has stopped
// to count on the home, and tokens sold before are dead.
func (t TokenTiming) FloorWait() time.Duration {
	return t.WithDriftMargin(t.FloorWaiver) + t.WithDriftMargin(t.WithDriftMargin(t.Lifetime))
}

// GrantDelay is how long a new owner waits before it sells: tokens of former
// owners are dead by then.
func (t TokenTiming) GrantDelay() time.Duration {
	return t.WithDriftMargin(t.WithDriftMargin(t.Lifetime))
}

// SafeRate is the rate at which a bucket may accrue on any clock.
func (t TokenTiming) SafeRate(r RequestRate) RequestRate {
	return RequestRate(float64(r) * (1 - t.ClockError))
}

// SlotPart returns the part of a team's quota that is the floor of one home
// slot. Whole requests of the burst are dealt out over the slots, starting at
// one that depends on the team, so that a floor that is not empty lets at least
// one request through. The parts of all slots add up to 1.
func SlotPart(team TeamID, q Quota, slot, slots int) float64 {
	whole := int(q.Burst)
	if whole < 1 || slots < 1 {
		return 0
	}
	place := (slot + int(xxhash.Sum64String(string(team))%uint64(slots))) % slots
	share := (place+1)*whole/slots - place*whole/slots
	return float64(share) / float64(whole)
}
