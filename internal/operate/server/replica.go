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
	pollIntervalPerInstance = 150 * time.Millisecond
	// watchPausePerInstance is what each instance adds to the maximum pause between
	// two watches while changes keep arriving, and watchPauseLimit caps the sum.
	watchPausePerInstance = 16 * time.Millisecond
	watchPauseLimit       = 1200 * time.Millisecond
	// catchUpDelay is the delay before missing state is read from the store, and again
	// before it is fetched from the peer.
	catchUpDelay = 150 * time.Millisecond
	// catchUpTimeout bounds a call to a peer.
	catchUpTimeout = 500 * time.Millisecond
)

// catchUp fetches newer state that a peer's gossip message indicates: first from the
// store, and from the peer if this instance is still behind afterwards.
func (s *Server) catchUp(g *fescuebank.Gossip) {
	if !s.catchingUp.CompareAndSwap(false, true) {
		return
	}
	from, config, endpoints, epoch := g.From, g.ConfigVersion, g.EndpointsVersion, g.Epoch
	go func() {
		defer s.catchingUp.Store(false)
		ctx := context.Background()
		_ = fescuebank.Sleep(ctx, s.clock, catchUpDelay)
		s.config.Hint(config)
		s.endpoints.Hint(endpoints)
		if epoch > s.elector.Epoch() {
			s.owners.Relist()
		}
		_ = fescuebank.Sleep(ctx, s.clock, catchUpDelay)
		if s.config.IsBehind(config) {
			s.fetchReplica(ctx, from, s.platform.ConfigPrefix)
		}
		if s.endpoints.IsBehind(endpoints) {
			s.fetchReplica(ctx, from, s.platform.EndpointPrefix)
		}
		if epoch > s.elector.Epoch() {
			s.fetchReplica(ctx, from, fescuebank.OwnerListPrefix)
		}
	}()
}

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

// replicaRequest asks a peer for its replica of a prefix.
type replicaRequest struct {
	Prefix string `cbor:"1,keyasint"`
}

// replicaReply holds the objects of a replica.
type replicaReply struct {
	Objects []fescuebank.Object `cbor:"1,keyasint"`
	// At is the store version up to which the replica is current.
	At fescuebank.StoreVersion `cbor:"2,keyasint,omitempty"`
}

// fetchReplica fetches a peer's replica of a prefix and applies it.
func (s *Server) fetchReplica(ctx context.Context, from fescuebank.InstanceID, prefix string) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	p, ok := s.gossiper.Find(from)
	if !ok {
		return
	}
	var reply replicaReply
	if err := s.linker.Call(ctx, p.PeerAddr, fescuebank.KindReplica, &replicaRequest{Prefix: prefix}, &reply); err != nil {
		s.log.Debug("Replica of a peer not received.", "peer", string(from), "err", err.Error())
		return
	}
	s.log.Info("Replica of a peer received.", "peer", string(from), "prefix", prefix, "objects", len(reply.Objects))
	if r := s.replicator(prefix); r != nil {
		r.ApplyReplica(reply.Objects, reply.At)
	}
}

// replicator returns the replicator of a prefix whose replicas are exchanged between
// instances, or nil for any other prefix.
func (s *Server) replicator(prefix string) *replicator.Replicator {
	switch prefix {
	case s.platform.ConfigPrefix:
		return s.config
	case s.platform.EndpointPrefix:
		return s.endpoints
	case fescuebank.OwnerListPrefix:
		return s.owners
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
	objects, at := r.Replica()
	return &replicaReply{Objects: objects, At: at}, nil
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
