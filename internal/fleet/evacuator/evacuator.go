// Package evacuator decides to which availability zones an instance sends nothing, at the request
// of operators. It bears that an instance can't learn the newest state: what was known last stays in
// force, and before anything is known nothing may be sent at all.
package evacuator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

// Evacuator holds the evacuated zones.
type Evacuator struct {
	clock fescuebank.Clock
	log   hclog.Logger

	mu    sync.Mutex
	known bool
	zones map[fescuebank.Zone]applied
}

// applied is an evacuation that is in force here.
type applied struct {
	version fescuebank.StoreVersion
	// since is when this instance applied it.
	since time.Time
}

// Change is the difference between two states.
type Change struct {
	// First is set if no state was known before.
	First bool
	// Evacuated and Ended are the zones whose evacuation began or ended.
	Evacuated []fescuebank.Zone
	Ended     []fescuebank.Zone
}

// New returns an evacuator that knows no state yet.
func New(clock fescuebank.Clock, log hclog.Logger) *Evacuator {
	return &Evacuator{clock: clock, log: log, zones: make(map[fescuebank.Zone]applied)}
}

// Apply replaces the state by all evacuations in force.
func (e *Evacuator) Apply(list []fescuebank.Evacuation) Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	change := Change{First: !e.known}
	e.known = true
	now, next := e.clock.Now(), make(map[fescuebank.Zone]applied, len(list))
	for _, v := range list {
		state, was := e.zones[v.Zone]
		if !was {
			state.since = now
			change.Evacuated = append(change.Evacuated, v.Zone)
			e.log.Info("Zone is evacuated.", "zone", string(v.Zone), "version", uint64(v.Version))
		}
		state.version = v.Version
		next[v.Zone] = state
	}
	for zone, state := range e.zones {
		if _, stays := next[zone]; !stays {
			change.Ended = append(change.Ended, zone)
			e.log.Info("Evacuation of a zone ended.", "zone", string(zone), "lastedMs", now.Sub(state.since).Milliseconds())
		}
	}
	slices.Sort(change.Ended)
	e.zones = next
	return change
}

// Known reports whether it is known which zones are evacuated. Nothing may be sent to endpoints
// before.
func (e *Evacuator) Known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// IsEvacuated reports whether nothing may be sent to the endpoints of a zone.
func (e *Evacuator) IsEvacuated(zone fescuebank.Zone) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, evacuated := e.zones[zone]
	return evacuated || !e.known
}

// Zones returns the evacuated zones, sorted by name.
func (e *Evacuator) Zones() []fescuebank.EvacuationZoneState {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]fescuebank.EvacuationZoneState, 0, len(e.zones))
	for zone, state := range e.zones {
		list = append(list, fescuebank.EvacuationZoneState{
			Evacuation:   fescuebank.Evacuation{Zone: zone, Version: state.version},
			AppliedMsAgo: e.clock.Now().Sub(state.since).Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b fescuebank.EvacuationZoneState) int { return cmp.Compare(a.Zone, b.Zone) })
	return list
}
