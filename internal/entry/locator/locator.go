// Package locator selects the instances that a caller should use.
package locator

import (
	"slices"
	"time"

	"fescuebank"
)

// maxInstances bounds the instances in a response.
const maxInstances = 8

// Locator lists the home instances of a team, then others as a fallback.
type Locator struct {
	directory fescuebank.Directory
	ttl       time.Duration
	// leaving reports whether this instance is draining.
	leaving func() bool
}

// New returns a locator whose responses are valid for ttl.
func New(d fescuebank.Directory, ttl time.Duration, leaving func() bool) *Locator {
	return &Locator{directory: d, ttl: ttl, leaving: leaving}
}

// Response is the list of instances for a caller.
type Response struct {
	// TTLSeconds is how long the response may be cached.
	TTLSeconds float64 `json:"ttlSeconds"`
	// Instances are in order of preference.
	Instances []Address `json:"instances"`
}

// Address is one instance.
type Address struct {
	URL  string          `json:"url"`
	Zone fescuebank.Zone `json:"zone"`
	// Home is set for the team's home instances.
	Home bool `json:"home"`
}

// Locate returns the instances for a team: home instances first, and within each group
// those in the caller's zone first. Leaving and suspected instances are omitted.
func (l *Locator) Locate(team fescuebank.TeamID, zone fescuebank.Zone) Response {
	if zone == "" {
		zone = l.directory.Self().Zone
	}
	live := l.directory.Instances()
	if l.leaving() {
		self := l.directory.Self().ID
		live = slices.DeleteFunc(live, func(i fescuebank.Instance) bool { return i.ID == self })
	}
	homes := l.directory.Homes(fescuebank.ShardOf(string(team)))
	response := Response{TTLSeconds: l.ttl.Seconds(), Instances: []Address{}}
	for _, i := range live {
		home := slices.ContainsFunc(homes, func(h fescuebank.Instance) bool { return h.ID == i.ID })
		response.Instances = append(response.Instances, Address{URL: i.CallerURL, Zone: i.Zone, Home: home})
	}
	slices.SortStableFunc(response.Instances, func(a, b Address) int { return rank(a, zone) - rank(b, zone) })
	response.Instances = response.Instances[:min(len(response.Instances), maxInstances)]
	return response
}

func rank(a Address, zone fescuebank.Zone) int {
	r := 0
	if !a.Home {
		r += 2
	}
	if a.Zone != zone {
		r++
	}
	return r
}
