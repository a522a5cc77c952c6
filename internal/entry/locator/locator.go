// Package locator answers callers who ask which instances to use.
package locator

import (
	"slices"
	"time"

	"fescuebank"
)

// maxInstances bounds an answer.
const maxInstances = 8

// Locator gives the home instances of a team, then others as a fallback.
type Locator struct {
	directory fescuebank.Directory
	ttl       time.Duration
	// leaving reports whether this instance is draining.
	leaving func() bool
}

// New returns a locator whose answers last ttl.
func New(d fescuebank.Directory, ttl time.Duration, leaving func() bool) *Locator {
	return &Locator{directory: d, ttl: ttl, leaving: leaving}
}

// Response is what callers are told.
type Response struct {
	// TTLSeconds is how long the answer may be kept.
	TTLSeconds float64 `json:"ttlSeconds"`
	// Instances are in the order in which to use them.
	Instances []Address `json:"instances"`
}

// Address is one instance.
type Address struct {
	URL  string          `json:"url"`
	Zone fescuebank.Zone `json:"zone"`
	// Home is set for the team's own instances.
	Home bool `json:"home"`
}

// Locate returns the instances for a team: homes first, those in the caller's
// zone before others. Leaving and suspected ones are absent.
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
	answer := Response{TTLSeconds: l.ttl.Seconds(), Instances: []Address{}}
	for _, i := range live {
		home := slices.ContainsFunc(homes, func(h fescuebank.Instance) bool { return h.ID == i.ID })
		answer.Instances = append(answer.Instances, Address{URL: i.CallerURL, Zone: i.Zone, Home: home})
	}
	slices.SortStableFunc(answer.Instances, func(a, b Address) int { return place(a, zone) - place(b, zone) })
	answer.Instances = answer.Instances[:min(len(answer.Instances), maxInstances)]
	return answer
}

func place(a Address, zone fescuebank.Zone) int {
	p := 0
	if !a.Home {
		p += 2
	}
	if a.Zone != zone {
		p++
	}
	return p
}
