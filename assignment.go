package fescuebank

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards of a region's assignment.
const ShardCount = 256

// ShardOf returns the shard of a team, job or endpoint id.
func ShardOf(id string) ShardID {
	return ShardID(xxhash.Sum64String(id) % ShardCount)
}

// Holder identifies one incarnation of an instance, which may hold a lease, shards and floors.
type Holder struct {
	ID          InstanceID  `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
}

// Member is an instance that may own shards and be a home of teams.
type Member struct {
	Instance
	Incarnation Incarnation `json:"incarnation"`
}

// Holder returns the member's instance and incarnation.
func (m Member) Holder() Holder {
	return Holder{ID: m.ID, Incarnation: m.Incarnation}
}

// Home is one of the home slots of a shard. Each slot has a floor: the minimum
// part of each team's quota that the slot's holder may use without asking the
// owner. The holder may use it as soon as none of Former can use it any longer.
type Home struct {
	// Holder is empty while there are fewer members than slots.
	Holder Holder `json:"holder,omitzero"`
	// Since is the version of the assignment that named Holder.
	Since FencingNumber `json:"since"`
	// Former lists earlier holders that had not acknowledged Since.
	Former []Holder `json:"former,omitempty"`
}

// Ownership is the state of one shard.
type Ownership struct {
	// Owner may act as soon as no incarnation in Former can act any longer.
	Owner Holder `json:"owner"`
	// Since is the version of the assignment that named Owner; it is the
	// owner's fencing number.
	Since FencingNumber `json:"since"`
	// Former lists earlier owners that had neither acknowledged Since nor lost
	// their lease when the assignment was written.
	Former []Holder `json:"waiting,omitempty"`
	// Homes are the home slots. Their number is constant.
	Homes []Home `json:"homes"`
}

// MayAct reports whether me may act as the owner, provided that its lease is
// valid. stopped reports whether a former owner certainly can't act any longer.
func (o Ownership) MayAct(me Holder, stopped func(Holder) bool) bool {
	if o.Owner != me {
		return false
	}
	for _, h := range o.Former {
		if !stopped(h) {
			return false
		}
	}
	return true
}

// Assignment maps shards to owners and homes for one region. It is replaced only
// by conditional writes, each of which increments Version by one.
type Assignment struct {
	// Version is the highest fencing number issued.
	Version FencingNumber `json:"version"`
	// Members are the instances that may be homes and owners, sorted by id.
	Members []Member `json:"members"`
	// Shards has ShardCount entries, or none before the first assignment.
	Shards []Ownership `json:"shards"`
}

// Member returns the member named id.
func (a *Assignment) Member(id InstanceID) (Member, bool) {
	i, found := slices.BinarySearchFunc(a.Members, id, func(m Member, id InstanceID) int {
		return compareIDs(m.ID, id)
	})
	if !found {
		return Member{}, false
	}
	return a.Members[i], true
}

func compareIDs(a, b InstanceID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Shard returns the state of a shard, or false before the first assignment.
func (a *Assignment) Shard(s ShardID) (Ownership, bool) {
	if int(s) >= len(a.Shards) {
		return Ownership{}, false
	}
	return a.Shards[s], true
}

// ControlPrefix is the store prefix of the objects that every instance watches.
const ControlPrefix = "control/"

// AssignmentKey returns the store key of a region's assignment.
func AssignmentKey(r Region) string {
	return ControlPrefix + "assignments/" + string(r)
}

// Directory looks up owners and homes of shards in this instance's view of the assignment.
type Directory interface {
	// MayAct returns the fencing number under which this instance owns s, and
	// whether it may act as the owner now.
	MayAct(s ShardID) (FencingNumber, bool)
	// Owner returns the instance that the assignment names as owner of s.
	Owner(s ShardID) (Instance, bool)
	// Homes returns the home instances of s, leaving and suspected ones last.
	Homes(s ShardID) []Instance
	// Instances returns the members that are neither leaving nor suspected.
	Instances() []Instance
	// Self returns this instance.
	Self() Instance
}
