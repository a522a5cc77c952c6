package server

import (
	"context"
	"math/rand/v2"
	"time"

	"fescuebank"
	"fescuebank/internal/fleet/replicator"
)

const (
	// catchUpDelay is the mean delay before missing state is read from the store or from a
	// peer of the zone, and the delay before each further attempt to fetch it.
	catchUpDelay = 150 * time.Millisecond
	// catchUpTimeout bounds a call to a peer.
	catchUpTimeout = 500 * time.Millisecond
	// ownersFetchTime is the time over which the instances that accept requests spread their
	// fetches of a new list of owners.
	ownersFetchTime = 80 * time.Millisecond
)

// missingState is state of which a peer announced a newer version than this instance has.
type missingState struct {
	prefix  string
	replica *replicator.Replicator
	// isMissing reports whether this instance still lacks the state.
	isMissing func() bool
	// has reports whether the sender of a gossip message has the state.
	has func(*fescuebank.Gossip) bool
}

// missing returns the state that a peer's gossip message announces and this instance lacks.
func (s *Server) missing(g *fescuebank.Gossip) []missingState {
	var list []missingState
	add := func(prefix string, replica *replicator.Replicator, isMissing func() bool, has func(*fescuebank.Gossip) bool) {
		if isMissing() {
			list = append(list, missingState{prefix: prefix, replica: replica, isMissing: isMissing, has: has})
		}
	}
	config, endpoints, members, epoch := g.ConfigVersion, g.EndpointsVersion, g.MembersVersion, g.Epoch
	add(s.platform.ConfigPrefix, s.config, func() bool { return s.config.IsBehind(config) },
		func(g *fescuebank.Gossip) bool { return g.ConfigVersion >= config })
	add(s.platform.EndpointPrefix, s.endpoints, func() bool { return s.endpoints.IsBehind(endpoints) },
		func(g *fescuebank.Gossip) bool { return g.EndpointsVersion >= endpoints })
	// Instances that watch the members themselves need no hint: nothing depends on how
	// soon they learn of a change.
	add(fescuebank.MemberPrefix, s.members, func() bool { return s.members.IsFollowing() && s.members.IsBehind(members) },
		func(g *fescuebank.Gossip) bool { return g.MembersVersion >= members })
	owners := s.missingOwners(epoch)
	add(owners.prefix, owners.replica, owners.isMissing, owners.has)
	if zones := g.Zones; zones != nil && s.settings.Platform.Evacuations {
		evacuations := zones.Evacuations
		add(s.platform.EvacuationPrefix, s.evacuations, func() bool { return s.evacuations.IsBehind(evacuations) },
			func(g *fescuebank.Gossip) bool { return g.Zones != nil && g.Zones.Evacuations >= evacuations })
	}
	return list
}

// missingOwners returns the list of owners of an epoch as state that this instance lacks.
func (s *Server) missingOwners(epoch fescuebank.FencingNumber) missingState {
	return missingState{
		prefix: fescuebank.OwnerListPrefix, replica: s.owners, isMissing: func() bool { return epoch > s.elector.Epoch() },
		has: func(g *fescuebank.Gossip) bool { return g.Epoch >= epoch },
	}
}

// catchUpOwners fetches a list of owners that a peer's gossip message announces, if other instances
// watch the store for this one. Until it has the list, requests of teams that moved are refused, so
// it doesn't wait for other state. Owners fetch it at once, the others spread over ownersFetchTime.
func (s *Server) catchUpOwners(g *fescuebank.Gossip) {
	m := s.missingOwners(g.Epoch)
	if !m.isMissing() || !m.replica.IsFollowing() || !s.fetchingOwners.CompareAndSwap(false, true) {
		return
	}
	from := g.From
	go func() {
		defer s.fetchingOwners.Store(false)
		ctx := context.Background()
		if !s.self.Owner {
			_ = fescuebank.Sleep(ctx, s.clock, rand.N(ownersFetchTime))
		}
		if source, ok := s.findSource(m); ok {
			from = source
		}
		s.fetchReplica(ctx, from, m)
		if m.isMissing() {
			_ = fescuebank.Sleep(ctx, s.clock, catchUpDelay)
		}
	}()
}

// catchUp fetches the state that a peer's gossip message announces and this instance lacks.
func (s *Server) catchUp(g *fescuebank.Gossip) {
	list := s.missing(g)
	if len(list) == 0 || !s.catchingUp.CompareAndSwap(false, true) {
		return
	}
	from := g.From
	go func() {
		defer s.catchingUp.Store(false)
		ctx := context.Background()
		_ = fescuebank.Sleep(ctx, s.clock, catchUpDelay/2+rand.N(catchUpDelay))
		for _, m := range list {
			s.fetchFirst(ctx, m)
		}
		_ = fescuebank.Sleep(ctx, s.clock, catchUpDelay)
		for _, m := range list {
			if m.isMissing() {
				s.fetchReplica(ctx, from, m)
			}
		}
		_ = fescuebank.Sleep(ctx, s.clock, catchUpDelay)
		for _, m := range list {
			s.fetchLast(ctx, m)
		}
	}()
}

// fetchFirst makes the replica read the store again, or, if other instances watch the store
// for this one, fetches the state from an instance of the same zone that has it.
func (s *Server) fetchFirst(ctx context.Context, m missingState) {
	if !m.isMissing() {
		return
	}
	if !m.replica.IsFollowing() {
		m.replica.Relist()
		return
	}
	if source, ok := s.findSource(m); ok {
		s.fetchReplica(ctx, source, m)
	}
}

// fetchLast fetches the state once more from an instance of the same zone, if it is still
// missing, and reads the store as the last resort of an instance that doesn't watch it.
func (s *Server) fetchLast(ctx context.Context, m missingState) {
	if !m.isMissing() || !m.replica.IsFollowing() {
		return
	}
	if source, ok := s.findSource(m); ok {
		s.fetchReplica(ctx, source, m)
	}
	if m.isMissing() {
		m.replica.Poll(ctx)
	}
}

// findSource returns a random live instance of this zone that has the state.
func (s *Server) findSource(m missingState) (fescuebank.InstanceID, bool) {
	var sources []fescuebank.InstanceID
	for _, p := range s.gossiper.Peers() {
		if p.Alive && p.Zone == s.self.Zone && m.has(&p.Gossip) {
			sources = append(sources, p.ID)
		}
	}
	if len(sources) == 0 {
		return "", false
	}
	return sources[rand.N(len(sources))], true
}

// replicaRequest asks a peer for the changes of its replica of a prefix.
type replicaRequest struct {
	Prefix string `cbor:"1,keyasint"`
	// Since is the store version up to which the caller's replica is current.
	Since fescuebank.StoreVersion `cbor:"2,keyasint,omitempty"`
}

// fetchReplica fetches the changes of a peer's replica and applies them. It fetches the whole
// replica if this one lacks more than those changes.
func (s *Server) fetchReplica(ctx context.Context, from fescuebank.InstanceID, m missingState) {
	if !s.fetchChanges(ctx, from, m, m.replica.AsOf()) {
		s.fetchChanges(ctx, from, m, 0)
	}
}

// fetchChanges fetches the changes of a peer's replica since a version and applies them. It
// returns false if this replica lacks more of what the peer's holds.
func (s *Server) fetchChanges(ctx context.Context, from fescuebank.InstanceID, m missingState, since fescuebank.StoreVersion) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	p, ok := s.gossiper.Find(from)
	if !ok {
		return true
	}
	var delta fescuebank.ReplicaDelta
	if err := s.linker.Call(ctx, p.PeerAddr, fescuebank.KindReplica, &replicaRequest{Prefix: m.prefix, Since: since}, &delta); err != nil {
		s.log.Debug("Replica of a peer not received.", "peer", string(from), "err", err.Error())
		return true
	}
	s.log.Debug("Replica of a peer received.", "peer", string(from), "prefix", m.prefix, "objects", len(delta.Objects))
	return m.replica.ApplyDelta(delta)
}

// replicator returns the replicator of a prefix whose replicas are exchanged between
// instances, or nil for any other prefix.
func (s *Server) replicator(prefix string) *replicator.Replicator {
	switch prefix {
	case s.platform.ConfigPrefix:
		return s.config
	case s.platform.EndpointPrefix:
		return s.endpoints
	case fescuebank.MemberPrefix:
		return s.members
	case fescuebank.OwnerListPrefix:
		return s.owners
	case s.platform.EvacuationPrefix:
		return s.evacuations
	}
	return nil
}

func (s *Server) handleReplica(_ context.Context, decode func(into any) error) (any, error) {
	var request replicaRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	r := s.replicator(request.Prefix)
	if r == nil {
		return nil, fescuebank.ErrAbsent
	}
	delta := r.Delta(request.Since)
	return &delta, nil
}
