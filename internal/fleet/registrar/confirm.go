package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"fescuebank"
)

const (
	// confirmInterval is how often the leases of former owners and homes are read, to
	// find out whether they have stopped.
	confirmInterval = 300 * time.Millisecond
	// maxConfirmedAge is how many assignment versions an entry of confirmedStopped is
	// kept.
	maxConfirmedAge = 1000
)

// formerHolder identifies an incarnation that owned a shard or held a home slot by an
// assignment older than since.
type formerHolder struct {
	holder fescuebank.Holder
	since  fescuebank.FencingNumber
	// floor is set for the floor of a home slot. The use of a floor and ownership end at
	// different times.
	floor bool
}

// isFormer reports whether other instances wait until this one acknowledges a, because it is
// a former owner or home.
func (r *Registrar) isFormer(a *fescuebank.Assignment) bool {
	self := r.leaser.Holder()
	for i := range a.Shards {
		if slices.Contains(a.Shards[i].Former, self) {
			return true
		}
		for j := range a.Shards[i].Homes {
			if slices.Contains(a.Shards[i].Homes[j].Former, self) {
				return true
			}
		}
	}
	return false
}

// allStopped reports whether all holders in list are confirmed to have stopped.
func (r *Registrar) allStopped(list []fescuebank.Holder, since fescuebank.FencingNumber, floor bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range list {
		if !r.confirmedStopped[formerHolder{holder: h, since: since, floor: floor}] {
			return false
		}
	}
	return true
}

// confirmLoop checks periodically whether the former owners and homes that this instance
// waits for have stopped.
func (r *Registrar) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, former := range r.unconfirmed() {
			r.confirmStopped(ctx, former)
		}
		_ = fescuebank.Sleep(ctx, r.clock, fescuebank.Jitter(confirmInterval))
	}
}

// unconfirmed returns the former owners and homes that this instance has to wait for and
// that are not confirmed to have stopped.
func (r *Registrar) unconfirmed() []formerHolder {
	a := r.Current()
	self := r.leaser.Holder()
	var list []formerHolder
	add := func(holders []fescuebank.Holder, since fescuebank.FencingNumber, floor bool) {
		for _, h := range holders {
			former := formerHolder{holder: h, since: since, floor: floor}
			if !r.allStopped([]fescuebank.Holder{h}, since, floor) && !slices.Contains(list, former) {
				list = append(list, former)
			}
		}
	}
	for i := range a.Shards {
		s := &a.Shards[i]
		isHome := slices.ContainsFunc(s.Homes, func(h fescuebank.Home) bool { return h.Holder == self })
		if s.Owner == self {
			add(s.Former, s.Since, false)
		}
		if s.Owner != self && !isHome {
			continue
		}
		for _, h := range s.Homes {
			add(h.Former, h.Since, true)
		}
	}
	return list
}

// confirmStopped records a former owner or home as stopped if it has.
func (r *Registrar) confirmStopped(ctx context.Context, former formerHolder) {
	stopped, err := r.hasStopped(ctx, former)
	if err != nil || !stopped {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedStopped[former] = true
}

// hasStopped reports whether a former owner or home can no longer act, by its lease in the
// store. A missing lease ends ownership but not the use of a floor, which ends also when the
// platform has removed the instance.
func (r *Registrar) hasStopped(ctx context.Context, former formerHolder) (bool, error) {
	if former.floor && r.isRemoved(former.holder.ID) {
		return true, nil
	}
	o, err := r.store.Get(ctx, fescuebank.LeaseKey(former.holder.ID))
	if errors.Is(err, fescuebank.ErrAbsent) {
		return !former.floor, nil
	}
	if err != nil {
		return false, err
	}
	var l fescuebank.Lease
	if err := json.Unmarshal(o.Value, &l); err != nil {
		return false, err
	}
	if former.floor {
		return l.HasReleasedFloor(former.holder, former.since), nil
	}
	return l.HasStopped(former.holder, former.since), nil
}
