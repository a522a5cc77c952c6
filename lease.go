package fescuebank

// Lease is the value of an instance's lease object. Only the holder renews it; any
// instance may end it with a conditional write.
type Lease struct {
	// Holder is the instance whose lease it is.
	Holder Instance `json:"holder"`
	// Incarnation is the incarnation of the holder.
	Incarnation Incarnation `json:"incarnation"`
	// Renewals is incremented with each renewal by an incarnation.
	Renewals uint64 `json:"renewals"`
	// Acknowledged is the newest assignment version that the holder has applied. The
	// holder never acts by an older version again.
	Acknowledged FencingNumber `json:"acknowledged"`
	// Released means that the holder will never act as an owner or use a floor again.
	Released bool `json:"released,omitempty"`
	// Leaving means that the holder is draining and accepts no new shards.
	Leaving bool `json:"leaving"`
	// Ended means that the holder must not act as an owner. Only a new incarnation
	// may take a new lease.
	Ended bool `json:"ended"`
}

// LeasePrefix is the store prefix of leases.
const LeasePrefix = "leases/"

// LeaseKey returns the store key of an instance's lease.
func LeaseKey(id InstanceID) string {
	return LeasePrefix + string(id)
}

// HasStopped reports whether h can no longer act as an owner named by an assignment
// older than since.
func (l *Lease) HasStopped(h Holder, since FencingNumber) bool {
	return l.HasReleasedFloor(h, since) || l.Ended
}

// HasReleasedFloor reports whether h can no longer use a floor that it held by an
// assignment older than since. The end of a lease doesn't close a floor, which is
// used without the owner and without a lease.
func (l *Lease) HasReleasedFloor(h Holder, since FencingNumber) bool {
	return l.Incarnation != h.Incarnation || l.Acknowledged >= since || l.Released
}
