// Package retainer keeps what an endpoint last said of itself for a moment, while another writer's object stands in place of its entry.
package retainer

import (
	"time"

	"fescuebank"
)

// keepTime is how long an endpoint is used by its last valid entry. It is longer than endpoints take to write their entries again, and
// shorter than instances may use an endpoint that has left.
const keepTime = 1500 * time.Millisecond

// Retainer decodes the endpoint entries of the store. It must not be used concurrently.
type Retainer struct {
	clock  fescuebank.Clock
	decode func(fescuebank.Object) (fescuebank.ServedEndpoint, error)
	// last holds the last valid entry of each key that is listed.
	last map[string]*entry
}

// entry is a valid entry.
type entry struct {
	endpoint fescuebank.ServedEndpoint
	// replacedAt is when an invalid object was first seen in its place, else zero.
	replacedAt time.Time
}

// New returns a retainer that knows no entry.
func New(clock fescuebank.Clock, decode func(fescuebank.Object) (fescuebank.ServedEndpoint, error)) *Retainer {
	return &Retainer{clock: clock, decode: decode, last: make(map[string]*entry)}
}

// Fault is an object that isn't a valid entry.
type Fault struct {
	Key string
	Err error
}

// Endpoints returns the endpoints of all entries in the store and the faults of the others. An endpoint whose entry is not listed any more is gone. If
// wait isn't 0 an endpoint has to be left out after that time, unless its entry is valid again.
func (r *Retainer) Endpoints(objects []fescuebank.Object) (list []fescuebank.ServedEndpoint, faults []Fault, wait time.Duration) {
	now := r.clock.Now()
	next := make(map[string]*entry, len(objects))
	for _, o := range objects {
		endpoint, err := r.decode(o)
		if err == nil {
			next[o.Key] = &entry{endpoint: endpoint}
			list = append(list, endpoint)
			continue
		}
		faults = append(faults, Fault{Key: o.Key, Err: err})
		e := r.last[o.Key]
		if e == nil {
			continue
		}
		if e.replacedAt.IsZero() {
			e.replacedAt = now
		}
		left := e.replacedAt.Add(keepTime).Sub(now)
		if left <= 0 {
			continue
		}
		next[o.Key] = e
		list = append(list, e.endpoint)
		if wait == 0 || left < wait {
			wait = left
		}
	}
	r.last = next
	return list, faults, wait
}
