package server

import (
	"slices"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/relayer"
	"fescuebank/internal/fleet/gossiper"
)

// storeUnreachableAfter is how long the store must be unreachable from this instance
// before its gossip reports it.
const storeUnreachableAfter = time.Second

// fillGossip completes a gossip message of this instance. A full one states also what hasn't
// changed lately.
func (s *Server) fillGossip(g *fescuebank.Gossip, full bool) {
	counts, waiting := s.allocator.Counts()
	if s.settings.Roles.Entry {
		g.Online, g.Waiting, g.Started = counts, waiting, s.allocator.Started()
		g.WaitingAt, g.Demand = s.allocator.WaitingAt(), s.allocator.Demand()
	} else {
		g.Batch = counts
	}
	g.Ready = s.ready()
	g.Leaving = s.leaving.Load() || s.released.Load()
	g.ConfigVersion, g.EndpointsVersion = s.config.ChangedAt(), s.endpoints.ChangedAt()
	g.MembersVersion = s.members.ChangedAt()
	g.Epoch = s.elector.Epoch()
	g.Zone = s.self.Zone
	s.ejector.FillGossip(g)
	s.isolator.FillGossip(g)
	s.limiter.FillGossip(g, full)
	s.allocator.FillGossip(g, full)
	s.profiler.FillGossip(g)
	g.OwnerListAgeMs = s.elector.ListAge().Milliseconds()
	g.StoreUnreachable = s.storeUnreachable()
	var zones fescuebank.ZoneGossip
	if s.settings.Platform.Evacuations {
		zones.Evacuations = s.evacuationsVersion()
	}
	s.throttler.FillGossip(&zones)
	if s.settings.Platform.Evacuations || len(zones.Cold) > 0 {
		g.Zones = &zones
	}
	g.EndpointsLost, g.Tunnels = s.dialer.Lost(), s.tunneler.Active()
}

// storeUnreachable reports whether this instance can't reach the store.
func (s *Server) storeUnreachable() bool {
	reachable, since := s.platform.StoreState()
	return !reachable && since >= storeUnreachableAfter
}

// handleGossip applies gossip messages of peers.
func (s *Server) handleGossip(messages []fescuebank.Gossip) {
	for i := range messages {
		g := &messages[i]
		s.elector.Acknowledge(fescuebank.Holder{ID: g.From, Incarnation: g.Incarnation}, g.Epoch)
		s.elector.RecordPeerRead(g.Epoch, time.Duration(g.OwnerListAgeMs)*time.Millisecond)
		s.ejector.ApplyGossip(g)
		s.isolator.ApplyGossip(g)
		s.limiter.ApplyGossip(g)
		s.allocator.ApplyGossip(g)
		s.profiler.ApplyGossip(g)
		s.throttler.ApplyGossip(g.Zones)
		s.catchUpOwners(g)
		s.catchUp(g)
	}
	s.allocator.SetPeerStarts(s.gossiper.PeerStarts(), s.gossiper.Lag())
	s.allocator.SetPeerDemand(s.gossiper.PeerDemand(), s.gossiper.LiveCount())
	s.allocator.SetPeersWaitingAt(s.gossiper.PeerWaitingAt())
	s.allocator.SetPeerCounts(s.gossiper.PeerTotals())
	s.observeLoad()
	s.runner.Wake()
}

// loadInterval is the least time between two observations of the load, each of which passes over all
// endpoints. The forecaster keeps means of longer times.
const loadInterval = 50 * time.Millisecond

// observeLoad passes the online load of each service to the forecaster.
func (s *Server) observeLoad() {
	now := s.clock.Now().UnixNano()
	last := s.loadObservedAt.Load()
	elapsed := time.Duration(now - last)
	isRecent := elapsed >= 0 && elapsed < loadInterval // The clock may have been set back.
	if isRecent || !s.loadObservedAt.CompareAndSwap(last, now) {
		return
	}
	s.allocator.SetPeerOnline(s.gossiper.PeerOnline())
	for service, slots := range s.allocator.OnlineDemands() {
		s.forecaster.Observe(service, slots)
	}
}

// inTouch reports whether this instance is likely to know all endpoints: gossip arrives from at least
// half of the other instances, and this instance or one of those reaches the store.
func (s *Server) inTouch() bool {
	peers := s.gossiper.Peers()
	reachesStore := func(p gossiper.Peer) bool { return p.Alive && !p.Gossip.StoreUnreachable }
	return hearsHalf(peers) && (!s.storeUnreachable() || slices.ContainsFunc(peers, reachesStore))
}

// hearsHalf reports whether gossip arrives from at least half of the other instances.
func hearsHalf(peers []gossiper.Peer) bool {
	alive := 0
	for _, p := range peers {
		if p.Alive {
			alive++
		}
	}
	return 2*alive >= len(peers)
}

// isolated reports whether this instance learns nothing new: the store can't be reached from here, and
// gossip arrives from less than half of the other instances.
func (s *Server) isolated() bool {
	return s.storeUnreachable() && !hearsHalf(s.gossiper.Peers())
}

// versions returns the versions of the state that decisions are based on.
func (s *Server) versions() relayer.Versions {
	v := relayer.Versions{Epoch: s.elector.Epoch(), Endpoints: s.endpoints.ChangedAt()}
	if t := s.table.Load(); t != nil {
		v.Config = t.Version
	}
	return v
}

// registerGauges registers the gauges of this instance's state.
func (s *Server) registerGauges() {
	s.meter.Gauge("versions", func() any { return s.versions() })
	s.meter.Gauge("inFlight", func() any { return s.inFlight.Load() })
	s.meter.Gauge("endpointConnectionsDialed", func() any { return s.exchanger.Dialed() })
	s.meter.Gauge("waitingForPlaces", func() any {
		_, waiting := s.allocator.Counts()
		return waiting
	})
	s.meter.Gauge("slotDemand", func() any { return s.allocator.Demand() })
	s.meter.Gauge("endpointsReplica", func() any { return s.endpoints.State() })
	s.meter.Gauge("endpointsHere", func() any { return s.allocator.Loads() })
	s.meter.Gauge("endpointPaces", func() any { return s.profiler.States() })
	s.meter.Gauge("endpointsLost", func() any { return s.dialer.Lost() })
	s.meter.Gauge("relayedConnections", func() any { return s.dialer.Relayed() })
	s.meter.Gauge("tunnels", func() any { return s.tunneler.Active() })
	s.meter.Gauge("heldMemory", func() any { return s.memory.Status() })
	s.meter.Gauge("limitedEndpoints", func() any { return s.limiter.Limited() })
	s.meter.Gauge("coldEndpoints", func() any { return s.throttler.CountCold() })
	s.meter.Gauge("evacuatedZones", func() any { return s.evacuator.Zones() })
	s.meter.Gauge("storeAnswers", func() any {
		reachable, since := s.platform.StoreState()
		return map[string]any{"answers": reachable, "sinceMs": since.Milliseconds()}
	})
	s.meter.Gauge("batchRunning", func() any { return s.runner.Running() })
	s.meter.Gauge("batchPreempted", func() any { return s.runner.Preempted() })
	s.meter.Gauge("loadPeriodsMs", func() any { return s.forecaster.Periods() })
	s.meter.Gauge("batch", func() any { return s.manager.Status() })
}

// peerBatchItems returns the number of batch items that other instances run.
func (s *Server) peerBatchItems() int {
	_, _, batch := s.gossiper.PeerTotals()
	return batch
}

// ownerCount returns the number of instances that own teams and run batch items.
func (s *Server) ownerCount() int {
	l := s.elector.List()
	if l == nil {
		return 1
	}
	return len(l.Owners)
}
