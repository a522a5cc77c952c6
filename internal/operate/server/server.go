// Package server runs an instance on a platform that lists the configuration
// and the endpoints itself.
package server

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/batch/client"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/batch/persister"
	"fescuebank/internal/batch/runner"
	"fescuebank/internal/endpoint/ejector"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/entry/relayer"
	"fescuebank/internal/fleet/elector"
	"fescuebank/internal/fleet/gossiper"
	"fescuebank/internal/fleet/replicator"
	"fescuebank/internal/limit/acquirer"
	"fescuebank/internal/limit/issuer"
	"fescuebank/internal/operate/aggregator"
	"fescuebank/internal/operate/collector"
	"fescuebank/internal/operate/meter"
	"fescuebank/internal/wire/breaker"
	"fescuebank/internal/wire/linker"
	"fescuebank/internal/wire/rerouter"
)

// Platform is what the platform's adapter brings.
type Platform struct {
	// Store is the object API. Reconnect gives up all its connections, OnBack sets
	// what is called when it answers after an outage, and State reports whether
	// it answers and for how long it has or hasn't.
	Store      fescuebank.ObjectStore
	Reconnect  func()
	OnRecovery func(func())
	StoreState func() (answers bool, since time.Duration)
	// ConfigKey is the configuration's key; the prefixes are those of the
	// configuration and of the endpoints.
	ConfigKey      string
	ConfigPrefix   string
	EndpointPrefix string
	DecodeConfig   func(value []byte) (table *fescuebank.RouteTable, skipped []error, err error)
	DecodeEndpoint func(o fescuebank.Object) (fescuebank.ServedEndpoint, error)
	Protocol       fescuebank.EndpointProtocol
	// RetirementPrefix is that of requests to empty an instance, each named like the
	// instance. SetRetired tells how far one is.
	RetirementPrefix string
	SetRetired       func(ctx context.Context, key string, emptied bool) error
	// Handlers returns the callers' side.
	Handlers func(Entry) Handlers
}

// Handlers are the callers' side of an instance.
type Handlers struct {
	Callers   http.Handler
	Ready     http.Handler
	Addresses http.Handler
}

// Entry is what the callers' side works with.
type Entry struct {
	// Table returns the configuration in force, or nil while none is known.
	Table         func() *fescuebank.RouteTable
	Relayer       *relayer.Relayer
	Admitter      *acquirer.Acquirer
	Batch         *client.Client
	Addresses     func(zone fescuebank.Zone) []string
	Ready         func() bool
	Leaving       func() bool
	Clock         fescuebank.Clock
	Meter         *meter.Meter
	ServiceLevels *collector.Collector
	Log           hclog.Logger
}

// Server is one instance.
type Server struct {
	settings *fescuebank.Settings
	platform Platform
	clock    fescuebank.Clock
	counts   *meter.Meter
	log      hclog.Logger
	self     fescuebank.MemberEntry

	table   atomic.Pointer[fescuebank.RouteTable]
	leaving atomic.Bool
	// retiring is set once the instance was asked to hand over what it owns, and
	// handing once it owns nothing any more.
	retiring atomic.Bool
	handing  atomic.Bool
	flights  atomic.Int64

	linker    *linker.Linker
	roster    *gossiper.Gossiper
	config    *replicator.Replicator
	endpoints *replicator.Replicator
	members   *replicator.Replicator
	owners    *replicator.Replicator
	elector   *elector.Elector
	allotter  *allocator.Allocator
	ejector   *ejector.Ejector
	exchanger *exchanger.Exchanger
	buyer     *acquirer.Acquirer
	steward   *manager.Manager
	runner    *runner.Runner
	levels    *collector.Collector
	gatherer  *aggregator.Aggregator
	entry     Entry
	// catching is set while newer state is fetched from a peer.
	catching atomic.Bool
}

// New makes an instance and opens its address for peers.
func New(s *fescuebank.Settings, p Platform, clock fescuebank.Clock, counts *meter.Meter, log hclog.Logger) (*Server, error) {
	h := &Server{settings: s, platform: p, clock: clock, counts: counts, log: log.With("instance", string(s.Instance.ID))}
	h.self = fescuebank.MemberEntry{
		ID: s.Instance.ID, Incarnation: fescuebank.Incarnation(fescuebank.NewRandomID("")), Zone: s.Instance.Zone,
		PeerAddr: s.Listen.Peers, Owner: s.Roles.Owner, Weight: s.Instance.Weight,
	}
	if s.Roles.Entry {
		h.self.CallerAddr = s.Listen.Callers
	}
	var err error
	if h.linker, err = linker.New(s.Listen.Peers, clock, h.part("link")); err != nil {
		return nil, eris.Wrap(err, "server.New")
	}
	if err := h.build(); err != nil {
		return nil, eris.Wrap(err, "server.New")
	}
	return h, nil
}

func (h *Server) part(name string) hclog.Logger {
	return h.log.Named(name)
}

func (h *Server) build() error {
	h.buildFleet()
	me := fescuebank.Holder{ID: h.self.ID, Incarnation: h.self.Incarnation}
	h.levels = collector.New(h.clock, fescuebank.DefaultObjectives)
	h.gatherer = aggregator.New(h.roster, h.linker, h.levels)
	h.linker.Handle(fescuebank.KindServiceLevels, h.gatherer.Handle)
	h.exchanger = exchanger.New(h.platform.Protocol, h.clock)
	h.allotter = allocator.New(h.clock, h.roster.Wake)
	h.ejector = ejector.New(ejector.Config{
		Zone: h.self.Zone, Endpoints: h.allotter.Endpoints, Eject: h.allotter.Deprioritize, Clock: h.clock, Log: h.part("endpoint"),
	})
	calls := rerouter.New(h.linker, h.roster)
	h.linker.Handle(fescuebank.KindRelay, calls.Handle)
	h.linker.Handle(fescuebank.KindReplica, h.handleMirror)
	h.linker.Handle(fescuebank.KindOwners, h.handleOwners)
	h.platform.OnRecovery(h.restartFollowers)
	h.buyer = acquirer.New(acquirer.Config{
		Self: me, Owners: h.elector, Caller: breaker.New(calls, h.clock), Issuer: issuer.New(h.clock), Table: h.table.Load,
		Registered: h.roster.Registered, Clock: h.clock, Log: h.part("limit"),
	})
	h.linker.Handle(fescuebank.KindAcquire, h.buyer.Handle)
	deposits, err := persister.New(h.platform.Store, h.clock)
	if err != nil {
		return err
	}
	h.steward = manager.New(manager.Config{
		Owns: h.owns, TookOver: h.elector.Gained,
		Persister: deposits, Table: h.table.Load, Clock: h.clock, Log: h.part("batch"),
		OnItemEnd: h.levels.BatchItem, OnItemsAvailable: func() { h.runner.Wake() }, SendHandover: func(p manager.ProgressHandover) { h.pass(calls, p) },
	})
	h.linker.Handle(fescuebank.KindProgressHandover, h.steward.HandleProgressHandover)
	h.runner = runner.New(runner.Config{
		Manager: h.steward, Allocator: h.allotter, Exchanger: h.exchanger, Protocol: h.platform.Protocol,
		PeerBatchItems: h.othersBatch, Clock: h.clock, Log: h.part("run"),
	})
	batch := client.New(client.Config{
		Self: me, Owners: h.elector, Caller: calls, Manager: h.steward, Persister: deposits, Clock: h.clock, Log: h.part("batch"),
	})
	h.linker.Handle(fescuebank.KindSubmitJob, batch.HandleSubmit)
	h.linker.Handle(fescuebank.KindReadResults, batch.HandleRead)
	h.linker.Handle(fescuebank.KindReadItem, batch.HandleItem)
	h.linker.Handle(fescuebank.KindEndJob, batch.HandleEnd)
	h.entry = Entry{
		Table: h.table.Load,
		Relayer: relayer.New(relayer.Config{
			Allocator: h.allotter, Exchanger: h.exchanger, Protocol: h.platform.Protocol, Clock: h.clock,
			Meter: h.counts, Versions: h.versions, ServiceLevels: h.levels, Health: h.ejector, Log: h.part("entry"),
		}),
		Admitter: h.buyer, Batch: batch, Addresses: h.addresses, Ready: h.ready, Leaving: h.leaving.Load,
		Clock: h.clock, Meter: h.counts, ServiceLevels: h.levels, Log: h.part("entry"),
	}
	h.gauge()
	return nil
}

func (h *Server) buildFleet() {
	store := h.platform.Store
	h.roster = gossiper.New(gossiper.Config{
		Self: h.self, Store: store, Linker: h.linker, Clock: h.clock, Log: h.part("fleet"),
		Fill: h.fillNews, OnGossip: h.heard, OnConnectionsStalled: h.reconnect,
		OnAcknowledged: func(run fescuebank.Holder, epoch fescuebank.FencingNumber) { h.elector.Acknowledge(run, epoch) },
	})
	h.elector = elector.New(elector.Config{
		Self: h.self, Store: store, Members: h.roster, Clock: h.clock, Log: h.part("owner"), OnChange: h.reassign,
		ReadThroughPeer: h.readOwnersVia, ReadMembers: h.readMembers,
		MembersKnown: func() bool { return h.members.Listed() }, StoreState: h.platform.StoreState,
	})
	h.config = replicator.New(store, h.platform.ConfigPrefix, h.clock, h.part("config"), h.applyConfig)
	h.endpoints = replicator.New(store, h.platform.EndpointPrefix, h.clock, h.part("endpoint"), h.applyEndpoints)
	h.members = replicator.New(store, fescuebank.MemberPrefix, h.clock, h.part("fleet"), h.roster.Apply)
	h.endpoints.SetMaxPause(h.flockPause)
	h.members.SetMaxPause(h.flockPause)
	h.owners = replicator.New(store, fescuebank.OwnerListPrefix, h.clock, h.part("owner"), h.applyOwners)
}

// Run serves until ctx ends, then leaves without cutting a request.
func (h *Server) Run(ctx context.Context) error {
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	for _, run := range []func(context.Context){
		h.linker.Run, h.config.Run, h.endpoints.Run, h.members.Run, h.owners.Run, h.roster.Run, h.elector.Run, h.poll,
	} {
		group.Go(func() { run(parts) })
	}
	if h.settings.Roles.Owner {
		group.Go(func() { h.runner.Run(parts) })
		retirements := replicator.New(h.platform.Store, h.platform.RetirementPrefix, h.clock, h.part("retire"), h.heedRetirements)
		group.Go(func() { retirements.Run(parts) })
	}
	if h.settings.Listen.Metrics != "" {
		if err := h.serveMetrics(); err != nil {
			return err
		}
	}
	var servers []*http.Server
	if h.settings.Roles.Entry {
		started, err := h.serve()
		if err != nil {
			return err
		}
		servers = started
	}
	h.log.Info("Instance serves.", "incarnation", string(h.self.Incarnation),
		"callers", h.self.CallerAddr, "peers", h.self.PeerAddr, "owner", h.self.Owner)
	<-ctx.Done()
	h.leave(servers)
	stop()
	group.Wait()
	h.log.Info("Instance left.")
	return nil
}

// readHeaderTimeout and idleTimeout bound connections of callers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 30 * time.Second
)

// serve opens the callers' addresses. The last server returned is that of requests.
func (h *Server) serve() ([]*http.Server, error) {
	handlers := h.platform.Handlers(h.entry)
	var servers []*http.Server
	for _, part := range []struct {
		addr    string
		handler http.Handler
	}{
		{h.settings.Listen.Ready, handlers.Ready},
		{h.settings.Listen.Addresses, handlers.Addresses},
		{h.settings.Listen.Callers, h.count(handlers.Callers)},
	} {
		l, err := net.Listen("tcp", part.addr)
		if err != nil {
			return nil, eris.Wrap(err, "Server.serve")
		}
		server := &http.Server{
			Handler: part.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: int(h.settings.Limits.HeaderBytes),
			ErrorLog:       h.part("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		}
		servers = append(servers, server)
		go func() { _ = server.Serve(l) }()
	}
	return servers, nil
}

// serveMetrics opens the address of counts and latencies.
func (h *Server) serveMetrics() error {
	l, err := net.Listen("tcp", h.settings.Listen.Metrics)
	if err != nil {
		return eris.Wrap(err, "Server.serveMetrics")
	}
	expvar.Publish("fescuebank", expvar.Func(func() any { return h.counts.Snapshot() }))
	mux := http.NewServeMux()
	mux.Handle("/metrics", h.counts)
	mux.Handle("/burn", h.gatherer)
	mux.Handle("/debug/vars", expvar.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(l) }()
	return nil
}

// count keeps the number of requests in flight.
func (h *Server) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.flights.Add(1)
		defer h.flights.Add(-1)
		next.ServeHTTP(w, r)
	})
}
