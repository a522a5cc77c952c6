package registrar

import (
	"slices"

	"fescuebank"
)

// MayAct returns the fencing number under which this instance owns s, and whether it may act
// as the owner now.
func (r *Registrar) MayAct(s fescuebank.ShardID) (fescuebank.FencingNumber, bool) {
	shard, ok := r.Current().Shard(s)
	if !ok || !r.leaser.Valid() {
		return 0, false
	}
	stopped := func(h fescuebank.Holder) bool {
		return r.allStopped([]fescuebank.Holder{h}, shard.Since, false)
	}
	return shard.Since, shard.MayAct(r.leaser.Holder(), stopped)
}

// FloorOpen reports whether the floor of a home slot may be used: all former holders of the
// slot are confirmed to have released it. The floor is the minimum part of a quota that a
// home instance may use without the owner.
func (r *Registrar) FloorOpen(h fescuebank.Home) bool {
	return len(h.Former) == 0 || r.allStopped(h.Former, h.Since, true)
}

// Owner returns the instance that owns s by the current assignment.
func (r *Registrar) Owner(s fescuebank.ShardID) (fescuebank.Instance, bool) {
	a := r.Current()
	shard, ok := a.Shard(s)
	if !ok {
		return fescuebank.Instance{}, false
	}
	m, ok := a.Member(shard.Owner.ID)
	return m.Instance, ok
}

// Find returns the instance with an id if it is a member or on the platform's list.
func (r *Registrar) Find(id fescuebank.InstanceID) (fescuebank.Instance, bool) {
	if m, ok := r.Current().Member(id); ok {
		return m.Instance, true
	}
	for _, i := range r.listed() {
		if i.ID == id {
			return i.Instance, true
		}
	}
	return fescuebank.Instance{}, false
}

// Homes returns the home instances of s, with leaving and suspected ones last.
func (r *Registrar) Homes(s fescuebank.ShardID) []fescuebank.Instance {
	a := r.Current()
	shard, _ := a.Shard(s)
	var homes []fescuebank.Instance
	for _, h := range shard.Homes {
		if m, ok := a.Member(h.Holder.ID); ok {
			homes = append(homes, m.Instance)
		}
	}
	slices.SortStableFunc(homes, func(x, y fescuebank.Instance) int {
		return int(r.detector.Health(x.ID)) - int(r.detector.Health(y.ID))
	})
	return homes
}

// Instances returns the members that are neither leaving nor suspected.
func (r *Registrar) Instances() []fescuebank.Instance {
	var live []fescuebank.Instance
	for _, m := range r.Current().Members {
		if r.detector.Health(m.ID) == fescuebank.Alive {
			live = append(live, m.Instance)
		}
	}
	return live
}
