package server

import (
	"context"
	"math/rand/v2"
	"time"

	"fescuebank"
	"fescuebank/internal/fleet/replicator"
)

const (
	// pollIntervalPerInstance is what each instance adds to the mean time between two
	// polls of this instance, so that a large fleet as a whole polls once per
	// pollIntervalPerInstance. minPollInterval is the minimum of that mean time.
	minPollInterval         = 3 * time.Second
	pollIntervalPerInstance = 250 * time.Millisecond
	// watchPausePerInstance is what each instance adds to the maximum pause between
	// two watches while changes keep arriving, and watchPauseLimit caps the sum.
	watchPausePerInstance = 16 * time.Millisecond
	watchPauseLimit       = 1200 * time.Millisecond
	// membersFirstPause is the pause between the first list of the members and the first
	// watch of them, and othersFirstPause the same for all other objects.
	membersFirstPause = 300 * time.Millisecond
	othersFirstPause  = 700 * time.Millisecond
)

// poll reads the configuration and the endpoints alternately, in addition to the
// watches. The watches of all instances may miss the same change; when one instance
// polls it, the others learn of it by gossip.
func (s *Server) poll(ctx context.Context) {
	_ = fescuebank.Sleep(ctx, s.clock, rand.N(s.meanPollInterval()))
	for i := 0; ctx.Err() == nil; i++ {
		if r := []*replicator.Replicator{s.config, s.endpoints}[i%2]; r.Listed() {
			r.Poll(ctx)
		}
		mean := s.meanPollInterval()
		_ = fescuebank.Sleep(ctx, s.clock, mean/2+rand.N(mean))
	}
}

// setFollowing sets whether other instances watch the store for this one.
func (s *Server) setFollowing(following bool) {
	if s.owners.IsFollowing() != following {
		s.log.Info("Watching of the store changed.", "following", following)
	}
	for _, r := range []*replicator.Replicator{s.config, s.endpoints, s.members, s.owners} {
		r.SetFollowing(following)
	}
}

// maxWatchPause returns the maximum pause between two watches while changes keep
// arriving. It grows with the fleet, because each change ends the watches of all
// instances.
func (s *Server) maxWatchPause() time.Duration {
	pause := time.Duration(s.gossiper.LiveCount()) * watchPausePerInstance
	return min(max(replicator.DefaultMaxPause, pause), watchPauseLimit)
}

// meanPollInterval returns the mean time between two polls. It grows with the fleet,
// because a change that one instance reads reaches all others by gossip.
func (s *Server) meanPollInterval() time.Duration {
	return max(minPollInterval, time.Duration(s.gossiper.LiveCount())*pollIntervalPerInstance)
}

// ownersRequest asks a peer to read the list of owners from the store.
type ownersRequest struct{}

// readOwnersThroughPeer has a live peer that reaches the store read the list of owners
// from it.
func (s *Server) readOwnersThroughPeer(ctx context.Context) (fescuebank.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for _, p := range s.gossiper.Peers() {
		if !p.Alive || p.Gossip.StoreUnreachable {
			continue
		}
		var o fescuebank.Object
		err := s.linker.Call(ctx, p.PeerAddr, fescuebank.KindOwners, &ownersRequest{}, &o)
		return o, err
	}
	return fescuebank.Object{}, fescuebank.ErrPeerUnreachable
}

func (s *Server) handleOwners(ctx context.Context, _ func(into any) error) (any, error) {
	o, err := s.platform.Store.Get(ctx, fescuebank.OwnerListKey)
	if err != nil {
		return nil, err
	}
	return &o, nil
}

// readMembers reads the member entries from the store and reports whether that
// succeeded.
func (s *Server) readMembers(ctx context.Context) bool {
	return s.members.Poll(ctx)
}

// relistAll makes all replicators list their prefixes again.
func (s *Server) relistAll() {
	for _, r := range []*replicator.Replicator{s.config, s.endpoints, s.members, s.owners} {
		r.Relist()
	}
}

// reconnect handles a stall of the connections to peers. It drops the connections to the
// store and the idle ones to endpoints, which may be stalled too, and lists all prefixes
// again.
func (s *Server) reconnect() {
	s.log.Warn("Connections fell silent; all are made anew.")
	s.platform.Reconnect()
	s.exchanger.CloseAllIdle()
	s.relistAll()
}
