package fescuebank

// Lease is the value of an instance's lease object. Only the holder renews it;
// anybody may end it by a conditional write.
type Lease struct {
	// Holder is the instance whose lease it is.
	Holder Instance `json:"holder"`
	// Incarnation tells runs of the holder apart.
	Incarnation Incarnation `json:"incarnation"`
	// Renewals grows by one with each renewal of an incarnation.
	Renewals uint64 `json:"renewals"`
	// Acknowledged is the newest assignment version that the holder acts by. It
	// never acts by an older one again.
	Acknowledged FencingNumber `json:"acknowledged"`
	// Released means that the holder will never act again, not even on a floor.
	Released bool `json:"released,omitempty"`
	// Leaving means that the holder is draining and takes no new ownership.
	Leaving bool `json:"leaving"`
	// Ended means that the holder may not act. A new incarnation starts over.
	Ended bool `json:"ended"`
}

// LeasePrefix is the store prefix of leases.
const LeasePrefix = "leases/"

// LeaseKey returns the store key of an instance's lease.
func LeaseKey(id InstanceID) string {
	return LeasePrefix + string(id)
}

// HasStopped reports whether h can't act as an owner named before since.
func (l *Lease) HasStopped(h Holder, since FencingNumber) bool {
	return l.HasReleasedFloor(h, since) || l.Ended
}

// HasReleasedFloor reports whether h can't use a floor that it held before since.
// The end of a lease doesn't close a floor.
func (l *Lease) HasReleasedFloor(h Holder, since FencingNumber) bool {
	return l.Incarnation != h.Incarnation || l.Acknowledged >= since || l.Released
}
