package server

import (
	"context"
	"time"

	"fescuebank"
	"fescuebank/internal/fleet/replicator"
)

const (
	// watchPausePerInstance is what each instance adds to the maximum pause between
	// two watches while changes keep arriving, and watchPauseLimit caps the sum.
	watchPausePerInstance = 16 * time.Millisecond
	watchPauseLimit       = 1200 * time.Millisecond
	// membersFirstPause is the pause between the first list of the members and the first
	// watch of them, and othersFirstPause the same for all other objects.
	membersFirstPause = 300 * time.Millisecond
	othersFirstPause  = 700 * time.Millisecond
	// configReadTimeout bounds one read of the configuration in the background.
	configReadTimeout = 2 * time.Second
)

// applyTargets applies a new selection of the instances that this one exchanges gossip with.
func (s *Server) applyTargets() {
	s.setFollowing(!s.gossiper.Watching())
	s.throttler.SetIsolated(s.isolated())
}

// replicators returns the replicators whose prefixes a few instances of each zone watch for the others.
func (s *Server) replicators() []*replicator.Replicator {
	list := []*replicator.Replicator{s.config, s.endpoints, s.members, s.owners}
	if s.settings.Platform.Evacuations {
		list = append(list, s.evacuations)
	}
	return list
}

// setFollowing sets whether other instances watch the store for this one.
func (s *Server) setFollowing(following bool) {
	if s.owners.IsFollowing() != following {
		s.log.Info("Watching of the store changed.", "following", following)
	}
	for _, r := range s.replicators() {
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

// refreshConfig reads the configuration from the store in the background.
func (s *Server) refreshConfig() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), configReadTimeout)
		defer cancel()
		s.config.Poll(ctx)
	}()
}

// relistAll makes all replicators list their prefixes again.
func (s *Server) relistAll() {
	for _, r := range s.replicators() {
		r.Relist()
	}
}

// recoverAll handles that the store answers again after an outage: all prefixes are listed at once.
func (s *Server) recoverAll() {
	for _, r := range s.replicators() {
		r.Recover()
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
