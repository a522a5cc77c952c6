// Package assigner assigns the shards to owners and home instances.
package assigner

import (
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

// Assigner computes assignments. It keeps no state and does no I/O: the same input gives the
// same output.
type Assigner struct {
	// homes is the number of home slots of a shard.
	homes int
}

// New returns an assigner of shards with homes home slots each.
func New(homes int) *Assigner {
	return &Assigner{homes: homes}
}

// FleetState is what is known of the instances.
type FleetState struct {
	// Leases holds the lease of each instance.
	Leases map[fescuebank.InstanceID]fescuebank.Lease
	// Removed holds the instances that the platform has removed.
	Removed map[fescuebank.InstanceID]bool
}

// HasStopped reports whether h can no longer act as an owner by an assignment older than
// since.
func (s FleetState) HasStopped(h fescuebank.Holder, since fescuebank.FencingNumber) bool {
	l, ok := s.Leases[h.ID]
	return !ok || l.HasStopped(h, since)
}

// HasReleasedFloor reports whether h can no longer use a floor that it held by an assignment
// older than since.
func (s FleetState) HasReleasedFloor(h fescuebank.Holder, since fescuebank.FencingNumber) bool {
	if s.Removed[h.ID] {
		return true
	}
	l, ok := s.Leases[h.ID]
	return ok && l.HasReleasedFloor(h, since)
}

// Rewrite returns the assignment that has to replace current, and false if current already
// matches the live members or if no member is live.
func (a *Assigner) Rewrite(current *fescuebank.Assignment, state FleetState) (*fescuebank.Assignment, bool) {
	members := liveMembers(state)
	if len(members) == 0 {
		return nil, false
	}
	if len(current.Shards) == fescuebank.ShardCount && slices.Equal(members, current.Members) {
		return nil, false
	}
	next := &fescuebank.Assignment{
		Version: current.Version + 1,
		Members: members,
		Shards:  make([]fescuebank.Ownership, fescuebank.ShardCount),
	}
	for i := range next.Shards {
		old, _ := current.Shard(fescuebank.ShardID(i))
		ranked := rank(fescuebank.ShardID(i), members, a.homes)
		next.Shards[i] = a.assignShard(old, ranked, next.Version, state)
	}
	return next, true
}

// liveMembers returns the instances whose lease has not ended and that are not leaving,
// sorted by id.
func liveMembers(state FleetState) []fescuebank.Member {
	var members []fescuebank.Member
	for _, l := range state.Leases {
		if !l.Ended && !l.Leaving {
			members = append(members, fescuebank.Member{Instance: l.Holder, Incarnation: l.Incarnation})
		}
	}
	slices.SortFunc(members, func(x, y fescuebank.Member) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return members
}

// assignShard computes the ownership of one shard. ranked are the members that should be its
// homes, by rank; the first one becomes the owner.
func (a *Assigner) assignShard(old fescuebank.Ownership, ranked []fescuebank.Member, version fescuebank.FencingNumber, state FleetState) fescuebank.Ownership {
	next := fescuebank.Ownership{Homes: a.assignHomes(old.Homes, ranked, version, state)}
	owner := ranked[0].Holder()
	next.Owner = owner
	waiting := notStopped(old.Former, old.Since, state)
	if old.Owner == owner {
		next.Since, next.Former = old.Since, waiting
		return next
	}
	next.Since = version
	if old.Owner.ID != "" && !state.HasStopped(old.Owner, version) {
		waiting = append(waiting, old.Owner)
	}
	next.Former = slices.DeleteFunc(waiting, func(h fescuebank.Holder) bool { return h == owner })
	return next
}

// notStopped returns the holders that may still act by an assignment older than since.
func notStopped(list []fescuebank.Holder, since fescuebank.FencingNumber, state FleetState) []fescuebank.Holder {
	var acting []fescuebank.Holder
	for _, h := range list {
		if !state.HasStopped(h, since) {
			acting = append(acting, h)
		}
	}
	return acting
}

// assignHomes leaves the homes that are still ranked in their slots and fills the other slots
// with the remaining ranked members.
func (a *Assigner) assignHomes(old []fescuebank.Home, ranked []fescuebank.Member, version fescuebank.FencingNumber, state FleetState) []fescuebank.Home {
	next := make([]fescuebank.Home, a.homes)
	wanted := make([]fescuebank.Holder, 0, len(ranked))
	for _, m := range ranked {
		wanted = append(wanted, m.Holder())
	}
	for i := range next {
		if i < len(old) {
			next[i] = pruneFormer(old[i], state)
		}
		if n := slices.Index(wanted, next[i].Holder); n >= 0 {
			wanted = slices.Delete(wanted, n, n+1)
			continue
		}
		next[i] = vacate(next[i], version, state)
	}
	for i := range next {
		if next[i].Holder == (fescuebank.Holder{}) && len(wanted) > 0 {
			next[i].Holder, next[i].Since = wanted[0], version
			wanted = wanted[1:]
		}
	}
	return next
}

// pruneFormer removes the former holders of a slot that have released its floor.
func pruneFormer(h fescuebank.Home, state FleetState) fescuebank.Home {
	var former []fescuebank.Holder
	for _, f := range h.Former {
		if !state.HasReleasedFloor(f, h.Since) {
			former = append(former, f)
		}
	}
	h.Former = former
	return h
}

// vacate empties a slot. The holder is added to Former if it may still use the floor.
func vacate(h fescuebank.Home, version fescuebank.FencingNumber, state FleetState) fescuebank.Home {
	if h.Holder != (fescuebank.Holder{}) && !state.HasReleasedFloor(h.Holder, version) {
		h.Former = append(h.Former, h.Holder)
	}
	h.Holder = fescuebank.Holder{}
	h.Since = version
	return h
}

// rank returns up to count members for a shard by weighted rendezvous hashing. It takes one
// member from each availability zone before it takes a second one from any of them.
func rank(s fescuebank.ShardID, members []fescuebank.Member, count int) []fescuebank.Member {
	scored := make([]scoredMember, 0, len(members))
	for _, m := range members {
		scored = append(scored, scoredMember{member: m, score: score(s, m)})
	}
	slices.SortFunc(scored, func(x, y scoredMember) int {
		if x.score > y.score {
			return -1
		}
		return 1
	})
	var ranked []fescuebank.Member
	for len(ranked) < count && len(scored) > 0 {
		zones := map[fescuebank.Zone]bool{}
		scored = slices.DeleteFunc(scored, func(c scoredMember) bool {
			if zones[c.member.Zone] || len(ranked) == count {
				return false
			}
			zones[c.member.Zone] = true
			ranked = append(ranked, c.member)
			return true
		})
	}
	return ranked
}

type scoredMember struct {
	member fescuebank.Member
	score  float64
}

// score returns the weighted rendezvous score of a member: its weight divided by an
// exponential variate that is derived from a hash.
func score(s fescuebank.ShardID, m fescuebank.Member) float64 {
	h := xxhash.Sum64String(strconv.Itoa(int(s)) + "/" + string(m.ID))
	const mantissaBits = 53
	uniform := (float64(h>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return m.Weight / -math.Log(uniform)
}
