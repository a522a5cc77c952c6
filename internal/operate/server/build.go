package server

import (
	"fescuebank"
	"fescuebank/internal/batch/client"
	"fescuebank/internal/batch/estimator"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/batch/persister"
	"fescuebank/internal/batch/planner"
	"fescuebank/internal/batch/runner"
	"fescuebank/internal/endpoint/ejector"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/endpoint/historian"
	"fescuebank/internal/endpoint/isolator"
	"fescuebank/internal/endpoint/profiler"
	"fescuebank/internal/endpoint/retainer"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/entry/relayer"
	"fescuebank/internal/entry/resumer"
	"fescuebank/internal/fleet/elector"
	"fescuebank/internal/fleet/evacuator"
	"fescuebank/internal/fleet/gossiper"
	"fescuebank/internal/fleet/replicator"
	"fescuebank/internal/limit/acquirer"
	"fescuebank/internal/limit/issuer"
	"fescuebank/internal/limit/limiter"
	"fescuebank/internal/limit/reserver"
	"fescuebank/internal/limit/throttler"
	"fescuebank/internal/load/forecaster"
	"fescuebank/internal/operate/aggregator"
	"fescuebank/internal/operate/collector"
	"fescuebank/internal/wire/breaker"
	"fescuebank/internal/wire/rerouter"
)

// build creates the components, in the order in which they need one another.
func (s *Server) build() error {
	s.buildFleet()
	s.buildReports()
	s.buildEndpoints()
	caller := rerouter.New(s.linker, s.gossiper)
	s.linker.Handle(fescuebank.KindRelay, caller.Handle)
	s.linker.Handle(fescuebank.KindReplica, s.handleReplica)
	s.linker.Handle(fescuebank.KindOwners, s.handleOwners)
	s.platform.OnRecovery(s.recoverAll)
	s.buildLimits(caller)
	batch, err := s.buildBatch(caller)
	if err != nil {
		return err
	}
	s.buildEntry(batch)
	s.registerGauges()
	return nil
}

// buildFleet creates what knows the other instances, and the replicas of the store's objects.
func (s *Server) buildFleet() {
	store := s.platform.Store
	s.gossiper = gossiper.New(gossiper.Config{
		Self: s.self, Store: store, Linker: s.linker, Clock: s.clock, Log: s.logFor("fleet"),
		Fill: s.fillGossip, OnGossip: s.handleGossip, OnConnectionsStalled: s.reconnect,
		StoreUnreachable: s.storeUnreachable, OnTargets: s.applyTargets,
		OnAcknowledged: func(holder fescuebank.Holder, epoch fescuebank.FencingNumber) { s.elector.Acknowledge(holder, epoch) },
	})
	s.elector = elector.New(elector.Config{
		Self: s.self, Store: store, Members: s.gossiper, Clock: s.clock, Log: s.logFor("owner"), OnChange: s.applyOwnership,
		ReadThroughPeer: s.readOwnersThroughPeer, ReadMembers: s.readMembers,
		MembersKnown: func() bool { return s.members.Listed() }, StoreState: s.platform.StoreState,
	})
	s.entries = retainer.New(s.clock, s.platform.DecodeEndpoint)
	s.config = replicator.New(store, s.platform.ConfigPrefix, s.clock, s.logFor("config"), s.applyConfig)
	s.endpoints = replicator.New(store, s.platform.EndpointPrefix, s.clock, s.logFor("endpoint"), func([]fescuebank.Object) { s.applyEndpoints() })
	s.members = replicator.New(store, fescuebank.MemberPrefix, s.clock, s.logFor("fleet"), s.applyMembers)
	s.endpoints.SetMaxPause(s.maxWatchPause)
	s.members.SetMaxPause(s.maxWatchPause)
	s.owners = replicator.New(store, fescuebank.OwnerListPrefix, s.clock, s.logFor("owner"), s.applyOwners)
	s.evacuator = evacuator.New(s.clock, s.logFor("zone"))
	if !s.settings.Platform.Evacuations {
		s.evacuator.Apply(nil)
	}
	s.evacuations = replicator.New(store, s.platform.EvacuationPrefix, s.clock, s.logFor("zone"), s.applyEvacuations)
	// The members are watched first: by them this instance learns whether it has to watch
	// the rest at all.
	s.members.SetFirstPause(membersFirstPause)
	for _, r := range []*replicator.Replicator{s.config, s.endpoints, s.owners, s.evacuations} {
		r.SetFirstPause(othersFirstPause)
	}
	// The configuration must be current before the first request. Owners read their list
	// again before they act by it. What a list of the evacuations lacks comes with the first gossip.
	for _, r := range []*replicator.Replicator{s.endpoints, s.members, s.owners, s.evacuations} {
		r.AllowStaleStart()
	}
	s.endpoints.ConfirmStart()
}

// buildReports creates what counts for reports.
func (s *Server) buildReports() {
	s.serviceLevels = collector.New(s.clock, fescuebank.DefaultObjectives)
	s.aggregator = aggregator.New(s.gossiper, s.linker, s.serviceLevels)
	s.linker.Handle(fescuebank.KindServiceLevels, s.aggregator.Handle)
}

// buildEndpoints creates what selects and reaches endpoints.
func (s *Server) buildEndpoints() {
	log := s.logFor("endpoint")
	s.limiter = limiter.New(limiter.Config{Self: s.self.ID, Clock: s.clock, Announce: s.gossiper.Wake, Log: log})
	s.throttler = throttler.New(throttler.Config{
		Self: s.self.ID, Clock: s.clock, Limiter: s.limiter, Announce: s.gossiper.Wake, Log: log,
		Bounds: fescuebank.ColdBounds{Overage: s.settings.Limits.ColdOverage, Slack: fescuebank.Requests(s.settings.Limits.ColdSlack)},
	})
	s.allocator = allocator.NewLimited(s.clock, s.gossiper.Wake, s.throttler)
	s.profiler = profiler.New(profiler.Config{Clock: s.clock, OnReport: s.allocator.ObserveReport, Log: log})
	s.allocator.SetPaces(s.profiler)
	s.forecaster = forecaster.New(s.clock)
	s.allocator.SetForecaster(s.forecaster)
	s.buildReach()
	s.exchanger = exchanger.New(s.platform.Protocol, s.clock, s.dialer.Dial)
	s.exchanger.ConfirmEnds(s.dialer.IsUp)
	s.ejector = ejector.New(ejector.Config{
		Zone: s.self.Zone, Endpoints: s.allocator.Endpoints, Doubtful: s.dialer.Doubtful, Eject: s.allocator.Deprioritize, Clock: s.clock, Log: log,
	})
	s.isolator = isolator.New(isolator.Config{
		Store: s.platform.Store, IsDown: s.dialer.IsDown, Announce: s.gossiper.Wake,
		Lag: s.gossiper.Lag, Clock: s.clock, Log: s.logFor("crash"),
	})
	s.resumer = resumer.New(resumer.Config{Members: s.gossiper, Peer: s.linker, Clock: s.clock, Log: s.logFor("resume")})
	s.linker.Handle(fescuebank.KindRecordStreams, s.resumer.HandleRecord)
	s.linker.Handle(fescuebank.KindFindStream, s.resumer.HandleFind)
	s.historian = historian.New(historian.Config{
		Store: s.platform.Store, Versions: s.allocator.Versions, Started: s.allocator.ListedSince, IsWriter: s.elector.IsFirst,
		Clock: s.clock, Log: log,
	})
}

// holder returns this incarnation.
func (s *Server) holder() fescuebank.Holder {
	return fescuebank.Holder{ID: s.self.ID, Incarnation: s.self.Incarnation}
}

// buildLimits creates what limits the requests of teams and the memory that they hold.
func (s *Server) buildLimits(caller *rerouter.Rerouter) {
	s.memory = reserver.New(fescuebank.HeldMemory(s.settings.Limits.MemoryMiB))
	s.acquirer = acquirer.New(acquirer.Config{
		Self: s.holder(), Owners: s.elector, Caller: breaker.New(caller, s.clock), Issuer: issuer.New(s.clock), Table: s.table.Load,
		Registered: s.gossiper.Registered, Clock: s.clock, Log: s.logFor("limit"),
	})
	s.linker.Handle(fescuebank.KindAcquire, s.acquirer.Handle)
}

// buildBatch creates what stores and runs batch jobs, and returns the client of callers' calls.
func (s *Server) buildBatch(caller *rerouter.Rerouter) (*client.Client, error) {
	log := s.logFor("batch")
	store, err := persister.New(s.platform.Store, s.clock)
	if err != nil {
		return nil, err
	}
	s.planner = planner.New(s.forecaster, s.allocator.BatchSlots, s.clock)
	s.manager = manager.New(manager.Config{
		Self: s.self.ID, Owns: s.owns, ConfirmOwner: s.elector.ConfirmOwner, TookOver: s.elector.TookOver, FormerOwner: s.formerOwner,
		Persister: store, Table: s.table.Load, ConfigAsOf: s.config.AsOf, RefreshConfig: s.refreshConfig, Estimator: estimator.New(), TimeToEnd: s.planner.TimeToEnd, Clock: s.clock, Log: log,
		OnItemEnd: s.serviceLevels.BatchItem, OnItemsAvailable: func() { s.runner.Wake() },
		SendHandover: func(p manager.ProgressHandover) { s.sendHandover(caller, p) },
		ClosedBudget: closedJobsMemory(s.settings.Limits.MemoryMiB),
	})
	s.linker.Handle(fescuebank.KindProgressHandover, s.manager.HandleProgressHandover)
	s.runner = runner.New(runner.Config{
		Manager: s.manager, Allocator: s.allocator, Exchanger: s.exchanger, Profiler: s.profiler, Protocol: s.platform.Protocol, Guard: s.isolator,
		PeerBatchItems: s.peerBatchItems, Owners: s.ownerCount, Lag: s.gossiper.Lag, Forecaster: s.forecaster, Planner: s.planner,
		Clock: s.clock, Log: s.logFor("run"),
	})
	c := client.New(client.Config{
		Self: s.holder(), Owners: s.elector, Caller: caller, Manager: s.manager, Persister: store, Clock: s.clock, Log: log,
	})
	s.linker.Handle(fescuebank.KindSubmitJob, c.HandleSubmit)
	s.linker.Handle(fescuebank.KindReadResults, c.HandleRead)
	s.linker.Handle(fescuebank.KindReadItem, c.HandleItem)
	s.linker.Handle(fescuebank.KindEndJob, c.HandleEnd)
	return c, nil
}

// buildEntry creates what serves callers.
func (s *Server) buildEntry(batch *client.Client) {
	log := s.logFor("entry")
	s.entry = Entry{
		Table: s.table.Load,
		Relayer: relayer.New(relayer.Config{
			Allocator: s.allocator, Exchanger: s.exchanger, Profiler: s.profiler, Clock: s.clock,
			Meter: s.meter, Versions: s.versions, ServiceLevels: s.serviceLevels, Health: s.ejector, Guard: s.isolator,
			BegunStreams: s.resumer, Memory: s.memory, History: s.historian, InTouch: s.inTouch, Late: s.isLate, Log: log,
		}),
		Admitter: s.acquirer, Batch: batch, Memory: s.memory, Addresses: s.addresses, Ready: s.ready, Leaving: s.leaving.Load, Closed: s.closed.Load,
		Clock: s.clock, Meter: s.meter, ServiceLevels: s.serviceLevels, Log: log,
	}
}
