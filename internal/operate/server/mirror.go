package server

import (
	"context"
	"math/rand/v2"
	"time"

	"fescuebank"
	"fescuebank/internal/fleet/replicator"
)

const (
	// pollInterval is the least mean time between two reads beside the watches here,
	// and fleetPollInterval the one of the whole fleet.
	pollInterval      = 3 * time.Second
	fleetPollInterval = 150 * time.Millisecond
	// flockPausePerInstance is what each instance adds to the pause between two watches
	// while changes keep coming, and longestFlockPause the most that it may be.
	flockPausePerInstance = 16 * time.Millisecond
	longestFlockPause     = 1200 * time.Millisecond
	// catchUpAfter is how long newer state may be missing before a peer is asked.
	catchUpAfter = 150 * time.Millisecond
	// catchUpTimeout bounds the call to the peer.
	catchUpTimeout = 500 * time.Millisecond
)

// catchUp reads what a peer knows and this instance doesn't: from the store, or
// else from the peer.
func (h *Server) catchUp(n *fescuebank.Gossip) {
	if !h.catching.CompareAndSwap(false, true) {
		return
	}
	from, config, endpoints, epoch := n.From, n.Config, n.Endpoints, n.Epoch
	go func() {
		defer h.catching.Store(false)
		ctx := context.Background()
		_ = fescuebank.Sleep(ctx, h.clock, catchUpAfter)
		h.config.Hint(config)
		h.endpoints.Hint(endpoints)
		if epoch > h.elector.Epoch() {
			h.owners.Relist()
		}
		_ = fescuebank.Sleep(ctx, h.clock, catchUpAfter)
		if h.config.IsBehind(config) {
			h.adopt(ctx, from, h.platform.ConfigPrefix)
		}
		if h.endpoints.IsBehind(endpoints) {
			h.adopt(ctx, from, h.platform.EndpointPrefix)
		}
		if epoch > h.elector.Epoch() {
			h.adopt(ctx, from, fescuebank.OwnerListPrefix)
		}
	}()
}

// poll reads the configuration and the endpoints in turn. Watches of all
// instances may miss a change together; one instance that reads it tells the rest.
func (h *Server) poll(ctx context.Context) {
	_ = fescuebank.Sleep(ctx, h.clock, rand.N(h.pollPause()))
	for i := 0; ctx.Err() == nil; i++ {
		if f := []*replicator.Replicator{h.config, h.endpoints}[i%2]; f.Listed() {
			f.Poll(ctx)
		}
		pause := h.pollPause()
		_ = fescuebank.Sleep(ctx, h.clock, pause/2+rand.N(pause))
	}
}

// flockPause bounds the pause between two watches while changes keep coming. It grows
// with the fleet, as each change wakes the watches of all.
func (h *Server) flockPause() time.Duration {
	pause := time.Duration(h.roster.LiveCount()) * flockPausePerInstance
	return min(max(replicator.DefaultMaxPause, pause), longestFlockPause)
}

// pollPause is the mean time between two reads. It grows with the fleet, since what
// one instance reads all hear of.
func (h *Server) pollPause() time.Duration {
	return max(pollInterval, time.Duration(h.roster.LiveCount())*fleetPollInterval)
}

// mirrorRequest asks a peer for its mirror of a prefix.
type mirrorRequest struct {
	Prefix string `cbor:"1,keyasint"`
}

// mirrorReply holds the objects of a mirror.
type mirrorReply struct {
	Objects []fescuebank.Object `cbor:"1,keyasint"`
	// At is the store version as of which the mirror is current.
	At fescuebank.StoreVersion `cbor:"2,keyasint,omitempty"`
}

// adopt takes in a peer's mirror.
func (h *Server) adopt(ctx context.Context, from fescuebank.InstanceID, prefix string) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	p, ok := h.roster.Find(from)
	if !ok {
		return
	}
	var reply mirrorReply
	if err := h.linker.Call(ctx, p.PeerAddr, fescuebank.KindReplica, &mirrorRequest{Prefix: prefix}, &reply); err != nil {
		h.log.Debug("Mirror of a peer not read.", "peer", string(from), "err", err.Error())
		return
	}
	h.log.Info("Mirror of a peer taken in.", "peer", string(from), "prefix", prefix, "objects", len(reply.Objects))
	if f := h.follower(prefix); f != nil {
		f.ApplyReplica(reply.Objects, reply.At)
	}
}

// follower returns the mirror of a prefix that instances share, or nil.
func (h *Server) follower(prefix string) *replicator.Replicator {
	switch prefix {
	case h.platform.ConfigPrefix:
		return h.config
	case h.platform.EndpointPrefix:
		return h.endpoints
	case fescuebank.OwnerListPrefix:
		return h.owners
	}
	return nil
}

func (h *Server) handleMirror(_ context.Context, decode func(into any) error) (any, error) {
	var request mirrorRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	f := h.follower(request.Prefix)
	if f == nil {
		return nil, fescuebank.ErrAbsent
	}
	objects, at := f.Replica()
	return &mirrorReply{Objects: objects, At: at}, nil
}

// ownersRequest asks a peer to read the list of owners from the store.
type ownersRequest struct{}

// readOwnersVia has a live peer read the list of owners from the store.
func (h *Server) readOwnersVia(ctx context.Context) (fescuebank.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for _, p := range h.roster.Peers() {
		if !p.Alive || p.Gossip.StoreUnreachable {
			continue
		}
		var o fescuebank.Object
		err := h.linker.Call(ctx, p.PeerAddr, fescuebank.KindOwners, &ownersRequest{}, &o)
		return o, err
	}
	return fescuebank.Object{}, fescuebank.ErrPeerUnreached
}

func (h *Server) handleOwners(ctx context.Context, _ func(into any) error) (any, error) {
	o, err := h.platform.Store.Get(ctx, fescuebank.OwnerListKey)
	if err != nil {
		return nil, err
	}
	return &o, nil
}

// readMembers reads the members from the store and reports whether it could.
func (h *Server) readMembers(ctx context.Context) bool {
	return h.members.Poll(ctx)
}

// restartFollowers lists everything again.
func (h *Server) restartFollowers() {
	for _, f := range []*replicator.Replicator{h.config, h.endpoints, h.members, h.owners} {
		f.Relist()
	}
}

// reconnect gives up connections that may have fallen silent like those to peers.
func (h *Server) reconnect() {
	h.log.Warn("Connections fell silent; all are made anew.")
	h.platform.Reconnect()
	h.exchanger.CloseAllIdle()
	h.restartFollowers()
}
