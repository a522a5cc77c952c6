package fescuebank

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwnerListKey is the store key of the list of owners.
const OwnerListKey = OwnerListPrefix + "list"

// OwnerListPrefix is the store prefix of the list of owners.
const OwnerListPrefix = "owners/"

// OwnerList names the incarnations that own teams: each team's limits and batch jobs
// have one owner. It is replaced only by conditional writes.
type OwnerList struct {
	// Epoch is the version number of the list, one higher than that of the list it
	// replaces.
	Epoch FencingNumber `json:"epoch"`
	// Owners are the incarnations that may own teams, sorted by id.
	Owners []Holder `json:"owners"`
	// Previous are the owners of the list that this one replaced. All of them except
	// those in Former had applied that list when this one was written.
	Previous []Holder `json:"previous,omitempty"`
	// Former are incarnations that are no longer owners and may still act by an older
	// list.
	Former []Holder `json:"former,omitempty"`
	// Floors are the instances that hold the floor slots. A floor is the minimum part
	// of a team's quota that the slot's instance may use without asking the owner.
	// The number of slots never shrinks.
	Floors []InstanceID `json:"floors"`
	// FloorsSince is the epoch at which the number of slots last grew.
	FloorsSince FencingNumber `json:"floorsSince"`
}

// Owner returns the incarnation that owns a team, by rendezvous hashing over the ids.
func (l *OwnerList) Owner(team TeamID) (Holder, bool) {
	return chooseOwner(l.Owners, team)
}

// Predecessors returns the incarnations that may have owned a team by an older list.
func (l *OwnerList) Predecessors(team TeamID) []Holder {
	list := slices.Clone(l.Former)
	if before, ok := l.PreviousOwner(team); ok {
		list = append(list, before)
	}
	return list
}

// PreviousOwner returns the incarnation that owned a team by the list before this one.
func (l *OwnerList) PreviousOwner(team TeamID) (Holder, bool) {
	return chooseOwner(l.Previous, team)
}

func chooseOwner(owners []Holder, team TeamID) (Holder, bool) {
	var best Holder
	var bestScore uint64
	for _, h := range owners {
		score := xxhash.Sum64String(string(team) + "/" + string(h.ID))
		if best.ID == "" || score > bestScore {
			best, bestScore = h, score
		}
	}
	return best, best.ID != ""
}

// Has reports whether the incarnation is an owner.
func (l *OwnerList) Has(h Holder) bool {
	return slices.Contains(l.Owners, h)
}

// FloorSlot returns the floor slot of an instance, or -1 if it has none.
func (l *OwnerList) FloorSlot(id InstanceID) int {
	return slices.Index(l.Floors, id)
}

// The share of a team's quota that is distributed over the floor slots, to be used
// there without asking the owner. It is smaller for a team with a small burst,
// which would otherwise lose too much of it to slots of instances that don't
// receive its requests.
const (
	floorShare      = 0.5
	floorShareSmall = 0.2
	largeBurst      = Requests(24)
)

// FloorQuota returns the part of a team's quota that is distributed over all floor
// slots. Its burst is a whole number of requests; a team whose burst is too small
// has no floor.
func FloorQuota(q Quota) Quota {
	share := floorShare
	if q.Burst < largeBurst {
		share = floorShareSmall
	}
	burst := Requests(int(float64(q.Burst) * share))
	if burst < 1 {
		return Quota{}
	}
	return Quota{Rate: RequestRate(float64(q.Rate) * share), Burst: burst}
}

// GrantedQuota returns the part of a team's quota from which its owner grants tokens.
func GrantedQuota(q Quota) Quota {
	floor := FloorQuota(q)
	return Quota{Rate: q.Rate - floor.Rate, Burst: q.Burst - floor.Burst}
}

// FloorSlotQuota returns the part of a team's quota that is the floor of one slot.
func FloorSlotQuota(team TeamID, q Quota, slot, slots int) Quota {
	floor := FloorQuota(q)
	part := FloorSlotShare(team, floor, slot, slots)
	return Quota{Rate: RequestRate(float64(floor.Rate) * part), Burst: Requests(float64(floor.Burst) * part)}
}

// AcquireRequest asks the owner of a team for tokens.
type AcquireRequest struct {
	Team TeamID `cbor:"1,keyasint"`
	// Need is the number of requests that wait, Expected that of further requests
	// expected soon.
	Need     int `cbor:"2,keyasint"`
	Expected int `cbor:"3,keyasint,omitempty"`
	// Retry is set if tokens were requested for the same caller's request before.
	Retry bool `cbor:"4,keyasint,omitempty"`
}

// AcquireReply answers an AcquireRequest.
type AcquireReply struct {
	Count int `cbor:"1,keyasint"`
	// WaitNanos is the time until the next token accrues in nanoseconds, if Count is below
	// the need.
	WaitNanos int64 `cbor:"2,keyasint,omitempty"`
	// WarmingUp is set while the owner's bucket may not have refilled since it began
	// empty, so that a team within its rate may find it empty.
	WarmingUp bool `cbor:"3,keyasint,omitempty"`
	// RetryAfterNanos is the time in nanoseconds after which a refused caller should retry;
	// 0 if the request may wait for the next token instead.
	RetryAfterNanos int64 `cbor:"4,keyasint,omitempty"`
}
