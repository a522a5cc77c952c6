// Package drainer counts in-flight requests and records that an instance is leaving
// (connection draining).
package drainer

import (
	"sync/atomic"
)

// Drainer counts in-flight requests and records whether the instance is leaving.
type Drainer struct {
	leaving  atomic.Bool
	inFlight atomic.Int64
}

// Enter counts a request; the returned function ends it.
func (d *Drainer) Enter() func() {
	d.inFlight.Add(1)
	return func() { d.inFlight.Add(-1) }
}

// Leave marks the instance as leaving.
func (d *Drainer) Leave() {
	d.leaving.Store(true)
}

// Leaving reports whether the instance is leaving.
func (d *Drainer) Leaving() bool {
	return d.leaving.Load()
}

// InFlight returns the number of requests being served.
func (d *Drainer) InFlight() int64 {
	return d.inFlight.Load()
}
