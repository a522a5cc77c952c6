// Package authenticator authenticates callers by their keys and finds their teams.
package authenticator

import (
	"net/http"
	"strings"
	"time"

	"fescuebank"
)

// maxKeyBytes bounds a presented key.
const maxKeyBytes = 512

// Authenticator checks keys against the configuration. Keys are looked up by their
// SHA-256, so that the time of a lookup reveals nothing about a key.
type Authenticator struct {
	config    fescuebank.ConfigSource
	withdrawn func(fescuebank.KeyHash) bool
	clock     fescuebank.Clock
	// lastContact returns when the store or a peer was last reached.
	lastContact   func() time.Time
	maxContactAge time.Duration
}

// New returns an authenticator that refuses requests with a key if the last contact is
// older than maxContactAge.
func New(config fescuebank.ConfigSource, withdrawn func(fescuebank.KeyHash) bool, lastContact func() time.Time, maxContactAge time.Duration, clock fescuebank.Clock) *Authenticator {
	return &Authenticator{
		config: config, withdrawn: withdrawn, clock: clock, lastContact: lastContact, maxContactAge: maxContactAge,
	}
}

// Caller is the team and the key of a request.
type Caller struct {
	Team *fescuebank.Team
	Key  fescuebank.KeyHash
}

// Authenticate returns the caller of a request, or a refusal.
func (a *Authenticator) Authenticate(r *http.Request) (Caller, error) {
	key, ok := KeyOf(r)
	if !ok {
		return Caller{}, fescuebank.Refuse(http.StatusUnauthorized, fescuebank.CodeUnauthorized, "want a key in the Authorization header")
	}
	if a.clock.Now().Sub(a.lastContact()) > a.maxContactAge {
		return Caller{}, fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeConfigStale,
			"this instance is cut off and can't tell whether the key still works").WithRetryAfter(time.Second)
	}
	h := fescuebank.HashKey(key)
	if a.withdrawn(h) {
		return Caller{}, fescuebank.Refuse(http.StatusUnauthorized, fescuebank.CodeKeyWithdrawn, "the key was withdrawn")
	}
	snapshot := a.config.Current()
	team, ok := snapshot.Teams[snapshot.Keys[h]]
	if !ok {
		return Caller{}, fescuebank.Refuse(http.StatusUnauthorized, fescuebank.CodeUnauthorized, "the key is not known")
	}
	return Caller{Team: team, Key: h}, nil
}

// IsValid reports whether a key is in force.
func (a *Authenticator) IsValid(h fescuebank.KeyHash) bool {
	_, ok := a.config.Current().Keys[h]
	return ok && !a.withdrawn(h)
}

// KeyOf returns the key that a request presents.
func KeyOf(r *http.Request) (string, bool) {
	key := r.Header.Get("X-Api-Key")
	if bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		key = strings.TrimSpace(bearer)
	}
	return key, key != "" && len(key) <= maxKeyBytes
}
