package replicator

import "fescuebank"

// State is the state of a replica, for metrics.
type State struct {
	// Revision is the store version of the newest change applied, and AsOf the one up to which the
	// replica is current.
	Revision fescuebank.StoreVersion `json:"revision"`
	AsOf     fescuebank.StoreVersion `json:"asOf"`
	Objects  int                     `json:"objects"`
	// Kept is the number of objects that were missing after an outage and are kept for a while.
	Kept int `json:"kept"`
	// Returned counts the objects of peers that were ignored because they had been removed here.
	Returned uint64 `json:"returned"`
	// ContactMs is how long ago the store last answered a read of the prefix, a watch included.
	ContactMs int64 `json:"contactMs"`
	Following bool  `json:"following"`
}

// State returns the state of the replica.
func (r *Replicator) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Revision: r.changedAt, AsOf: r.asOf, Objects: len(r.objects), Kept: len(r.missingUntil), Returned: r.returned,
		ContactMs: r.clock.Now().Sub(r.lastContact).Milliseconds(), Following: r.following,
	}
}
