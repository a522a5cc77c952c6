package server

import (
	"context"
	"errors"
	"strings"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
)

// retirements is the set of the instances that are asked to retire.
type retirements map[fescuebank.InstanceID]bool

// applyRetirements starts to retire this instance if a request for it is among the
// objects.
func (s *Server) applyRetirements(objects []fescuebank.Object) {
	requested := make(retirements)
	for _, o := range objects {
		requested[fescuebank.InstanceID(strings.TrimPrefix(o.Key, s.platform.RetirementPrefix))] = true
	}
	s.retirements.Store(&requested)
	if requested[s.self.ID] && s.retiring.CompareAndSwap(false, true) {
		go s.retire(context.Background(), s.platform.RetirementPrefix+string(s.self.ID))
	}
}

// retire releases what this instance owns, waits until it is handed over, and records
// the retirement as completed. It goes on owning until another instance can take over.
func (s *Server) retire(ctx context.Context, key string) {
	log := s.logFor("retire")
	if !s.hasSuccessor() {
		log.Warn("Retirement requested; no other owner can take over yet.")
		s.recordRetirement(ctx, key, false)
	}
	for !s.hasSuccessor() {
		_ = fescuebank.Sleep(ctx, s.clock, idlePollInterval)
	}
	log.Info("Retirement requested; releasing ownership.")
	s.releaseOwnership(ctx)
	for !s.hasHandedOver() {
		_ = fescuebank.Sleep(ctx, s.clock, idlePollInterval)
	}
	s.recordRetirement(ctx, key, true)
	log.Info("Retirement completed; this instance owns nothing.")
}

// recordRetirement writes the state of the retirement, with retries.
func (s *Server) recordRetirement(ctx context.Context, key string, completed bool) {
	for {
		err := s.platform.SetRetired(ctx, key, completed)
		if err == nil || errors.Is(err, fescuebank.ErrAbsent) {
			return
		}
		s.logFor("retire").Warn("Retirement not recorded; retrying.", "err", err.Error())
		_ = fescuebank.Sleep(ctx, s.clock, idlePollInterval)
	}
}

// hasSuccessor reports whether another owner stays when this instance retires.
func (s *Server) hasSuccessor() bool {
	requested := s.retirements.Load()
	for _, p := range s.gossiper.Peers() {
		if staysOwner(&p, s.self.ID, *requested) {
			return true
		}
	}
	return false
}

// staysOwner reports whether a peer is an owner that stays when the instance self retires. Of
// several instances that are asked to retire, those with greater ids stay longer.
func staysOwner(p *gossiper.Peer, self fescuebank.InstanceID, requested retirements) bool {
	isLater := !requested[p.ID] || p.ID > self
	return p.Owner && p.Reachable && !p.Gossip.Leaving && isLater
}
