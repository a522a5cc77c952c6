// Package renewer decides when the list of owners is written anew after owners have restarted.
// It answers the load that follows a loss of power: all callers return at once, and no request
// of a team with a quota is served before the list names the new incarnations.
package renewer

import (
	"slices"
	"time"

	"fescuebank"
)

const (
	// maxWait is how long after its start an owner waits for the others at most.
	maxWait = time.Second
	// readInterval is the minimum time between two reads of the members.
	readInterval = 150 * time.Millisecond
)

// Owner is an owner of the list in force, as another instance sees it.
type Owner struct {
	// Listed is the incarnation that the list names.
	Listed fescuebank.Holder
	// Registered is the incarnation that the owner's member entry names, as far as it is
	// known here. It is empty if there is no entry.
	Registered fescuebank.Incarnation
	// Heard is the incarnation from which gossip last arrived, empty if none has since the
	// start of this instance.
	Heard fescuebank.Incarnation
	// Reachable is set while gossip from the registered incarnation arrives at any instance, or if it
	// has just replaced its entry.
	Reachable bool
}

// Renewer judges the owners of the list in force for an owner that may write the next one.
type Renewer struct {
	Self fescuebank.Holder
	// Owners are the owners of the list in force.
	Owners []Owner
	// Uptime is the time since the start of this instance.
	Uptime time.Duration
	// SinceRead is the time since this instance last read the members for this purpose.
	SinceRead time.Duration
}

// MustReadMembers reports whether the members have to be read from the store: gossip arrives
// from incarnations whose entries aren't known here yet. Without their entries the next list
// can't name them, and other instances pass entries on only after a while.
func (r Renewer) MustReadMembers() bool {
	return r.SinceRead >= readInterval && slices.ContainsFunc(r.others(), Owner.isUnknown)
}

// MustWait reports whether the next list has to wait for owners of which this instance, which
// isn't listed itself, doesn't know yet whether they run. Each list without them would move their teams away
// and back again, and a team's quota starts empty with each move.
func (r Renewer) MustWait() bool {
	if r.Uptime >= maxWait || r.isListed() {
		return false
	}
	return slices.ContainsFunc(r.others(), func(o Owner) bool { return !o.Reachable || o.isUnknown() })
}

// IsRenewing reports whether the list names incarnations that were followed by others, which
// the next list has to name.
func (r Renewer) IsRenewing() bool {
	return r.MustWait() || slices.ContainsFunc(r.others(), Owner.isSucceeded)
}

// isListed reports whether the list names this incarnation.
func (r Renewer) isListed() bool {
	return slices.ContainsFunc(r.Owners, func(o Owner) bool { return o.Listed == r.Self })
}

// others returns the owners other than this instance.
func (r Renewer) others() []Owner {
	return slices.DeleteFunc(slices.Clone(r.Owners), func(o Owner) bool { return o.Listed.ID == r.Self.ID })
}

// isSucceeded reports whether a later incarnation of the owner than the listed one is known.
func (o Owner) isSucceeded() bool {
	listed := o.Listed.Incarnation
	return o.Heard != "" && o.Heard != listed || o.Registered != "" && o.Registered != listed
}

// isUnknown reports whether the owner runs an incarnation whose entry isn't known here.
func (o Owner) isUnknown() bool {
	return o.Heard != "" && o.Heard != o.Registered
}
