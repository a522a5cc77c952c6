// Package server runs an instance on a platform that supplies the configuration
// and the list of endpoints in its own store.
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
	"fescuebank/internal/batch/planner"
	"fescuebank/internal/batch/runner"
	"fescuebank/internal/endpoint/dialer"
	"fescuebank/internal/endpoint/ejector"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/endpoint/historian"
	"fescuebank/internal/endpoint/isolator"
	"fescuebank/internal/endpoint/profiler"
	"fescuebank/internal/endpoint/retainer"
	"fescuebank/internal/endpoint/tunneler"
	"fescuebank/internal/entry/acceptor"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/entry/relayer"
	"fescuebank/internal/entry/resumer"
	"fescuebank/internal/fleet/elector"
	"fescuebank/internal/fleet/evacuator"
	"fescuebank/internal/fleet/gossiper"
	"fescuebank/internal/fleet/replicator"
	"fescuebank/internal/limit/acquirer"
	"fescuebank/internal/limit/limiter"
	"fescuebank/internal/limit/reserver"
	"fescuebank/internal/limit/throttler"
	"fescuebank/internal/load/forecaster"
	"fescuebank/internal/operate/aggregator"
	"fescuebank/internal/operate/collector"
	"fescuebank/internal/operate/meter"
	"fescuebank/internal/wire/linker"
)

// Platform holds what the adapter of the platform supplies.
type Platform struct {
	// Store is the object API. Reconnect drops all its connections, OnRecovery sets
	// the callback for the end of an outage, and StoreState reports whether the
	// store is reachable and for how long it has been in that state.
	Store      fescuebank.ObjectStore
	Reconnect  func()
	OnRecovery func(func())
	StoreState func() (reachable bool, since time.Duration)
	// ConfigKey is the key of the configuration. ConfigPrefix and EndpointPrefix are
	// the prefixes that are watched for the configuration and the endpoints.
	ConfigKey      string
	ConfigPrefix   string
	EndpointPrefix string
	DecodeConfig   func(value []byte) (table *fescuebank.RouteTable, skipped []error, err error)
	DecodeEndpoint func(o fescuebank.Object) (fescuebank.ServedEndpoint, error)
	Protocol       fescuebank.EndpointProtocol
	// EvacuationPrefix is the prefix of the requests to evacuate a zone.
	EvacuationPrefix string
	DecodeEvacuation func(o fescuebank.Object) fescuebank.Evacuation
	// RetirementPrefix is the prefix of the requests to retire an instance; each
	// request is named after its instance. SetRetired records whether the instance
	// has handed over all it owned.
	RetirementPrefix string
	SetRetired       func(ctx context.Context, key string, completed bool) error
	// ConnectEndpoint opens a connection to the endpoint at an address, as dialer.Connect does.
	ConnectEndpoint func(ctx context.Context, addr string) (net.Conn, error)
	// Handlers returns the HTTP handlers for callers.
	Handlers func(Entry) Handlers
}

// Handlers are the HTTP handlers that an instance serves to callers.
type Handlers struct {
	Callers   http.Handler
	Ready     http.Handler
	Addresses http.Handler
}

// Entry holds the dependencies of the handlers for callers.
type Entry struct {
	// Table returns the active configuration, or nil until one has been read.
	Table     func() *fescuebank.RouteTable
	Relayer   *relayer.Relayer
	Admitter  *acquirer.Acquirer
	Batch     *client.Client
	Memory    *reserver.Reserver
	Addresses func(zone fescuebank.Zone) []string
	Ready     func() bool
	Leaving   func() bool
	// Closed reports whether this instance shuts down and has no time left for further requests.
	Closed        func() bool
	Clock         fescuebank.Clock
	Meter         *meter.Meter
	ServiceLevels *collector.Collector
	Log           hclog.Logger
}

// Server runs one instance.
type Server struct {
	settings *fescuebank.Settings
	platform Platform
	clock    fescuebank.Clock
	meter    *meter.Meter
	log      hclog.Logger
	self     fescuebank.MemberEntry

	table   atomic.Pointer[fescuebank.RouteTable]
	leaving atomic.Bool
	// closed is set once a leaving instance passes on no further requests.
	closed atomic.Bool
	// lateAt is the time from which a leaving instance passes on no request for the first time.
	lateAt atomic.Pointer[time.Time]
	// retiring is set when the instance is asked to hand over what it owns, and
	// released when it stops acting as an owner.
	retiring    atomic.Bool
	retirements atomic.Pointer[retirements]
	released    atomic.Bool
	inFlight    atomic.Int64

	listeners     *listeners
	linker        *linker.Linker
	gossiper      *gossiper.Gossiper
	config        *replicator.Replicator
	endpoints     *replicator.Replicator
	members       *replicator.Replicator
	owners        *replicator.Replicator
	evacuations   *replicator.Replicator
	evacuator     *evacuator.Evacuator
	elector       *elector.Elector
	limiter       *limiter.Limiter
	throttler     *throttler.Throttler
	allocator     *allocator.Allocator
	profiler      *profiler.Profiler
	ejector       *ejector.Ejector
	dialer        *dialer.Dialer
	tunneler      *tunneler.Tunneler
	exchanger     *exchanger.Exchanger
	isolator      *isolator.Isolator
	resumer       *resumer.Resumer
	historian     *historian.Historian
	acquirer      *acquirer.Acquirer
	manager       *manager.Manager
	forecaster    *forecaster.Forecaster
	planner       *planner.Planner
	runner        *runner.Runner
	memory        *reserver.Reserver
	serviceLevels *collector.Collector
	aggregator    *aggregator.Aggregator
	entry         Entry
	// catchingUp is set while catchUp runs, and fetchingOwners while catchUpOwners does.
	catchingUp     atomic.Bool
	fetchingOwners atomic.Bool
	// loadObservedAt is when the load was last observed, in Unix nanoseconds.
	loadObservedAt atomic.Int64
	// applyingEndpoints is held while a list of endpoints is applied.
	applyingEndpoints sync.Mutex
	// entries decodes the endpoint entries.
	entries *retainer.Retainer
}

// New returns a server and opens its addresses. It replaces port 0 in the settings by the
// ports that the system assigned.
func New(settings *fescuebank.Settings, p Platform, clock fescuebank.Clock, m *meter.Meter, log hclog.Logger) (*Server, error) {
	s := &Server{settings: settings, platform: p, clock: clock, meter: m, log: log.With("instance", string(settings.Instance.ID))}
	var err error
	if s.listeners, err = openListeners(settings); err != nil {
		return nil, eris.Wrap(err, "server.New")
	}
	if s.linker, err = linker.New(settings.Listen.Peers, clock, s.logFor("link")); err != nil {
		s.listeners.close()
		return nil, eris.Wrap(err, "server.New")
	}
	settings.Listen.Peers = s.linker.Addr()
	s.self = fescuebank.MemberEntry{
		ID: settings.Instance.ID, Incarnation: fescuebank.Incarnation(fescuebank.NewRandomID("")), Zone: settings.Instance.Zone,
		PeerAddr: settings.Listen.Peers, Owner: settings.Roles.Owner, Weight: settings.Instance.Weight, ConfirmsChanges: settings.Roles.Owner,
	}
	if settings.Roles.Entry {
		s.self.CallerAddr = settings.Listen.Callers
	}
	if err := s.build(); err != nil {
		s.listeners.close()
		s.linker.Close()
		return nil, eris.Wrap(err, "server.New")
	}
	return s, nil
}

// logFor returns the logger of one component.
func (s *Server) logFor(name string) hclog.Logger {
	return s.log.Named(name)
}

// Run serves until ctx ends. It then shuts down, giving the requests in flight until the
// end of the grace period.
func (s *Server) Run(ctx context.Context) error {
	componentCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	for _, run := range []func(context.Context){
		s.linker.Run, s.config.Run, s.endpoints.Run, s.members.Run, s.owners.Run, s.gossiper.Run, s.elector.Run, s.resumer.Run, s.isolator.Run, s.poll,
	} {
		group.Go(func() { run(componentCtx) })
	}
	if s.settings.Platform.Evacuations {
		group.Go(func() { s.evacuations.Run(componentCtx) })
	}
	if s.settings.Roles.Owner {
		group.Go(func() { s.runner.Run(componentCtx) })
		group.Go(func() { s.historian.Run(componentCtx) })
		retirements := replicator.New(s.platform.Store, s.platform.RetirementPrefix, s.clock, s.logFor("retire"), s.applyRetirements)
		group.Go(func() { retirements.Run(componentCtx) })
	}
	s.serveMetrics()
	servers := s.serve()
	s.log.Info("Instance started.", "incarnation", string(s.self.Incarnation),
		"callers", s.self.CallerAddr, "ready", s.settings.Listen.Ready, "addresses", s.settings.Listen.Addresses,
		"peers", s.self.PeerAddr, "owner", s.self.Owner)
	<-ctx.Done()
	s.leave(servers)
	stop()
	group.Wait()
	s.log.Info("Instance stopped.")
	return nil
}

// readHeaderTimeout applies to all connections to the HTTP servers, and idleTimeout to
// those other than for metrics.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 30 * time.Second
)

// serve starts the HTTP servers for callers, if this instance has that role. The last server
// returned is the one for callers' requests.
func (s *Server) serve() []*acceptor.Acceptor {
	if !s.settings.Roles.Entry {
		return nil
	}
	handlers := s.platform.Handlers(s.entry)
	var servers []*acceptor.Acceptor
	for _, served := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{s.listeners.ready, handlers.Ready},
		{s.listeners.addresses, handlers.Addresses},
		{s.listeners.callers, s.countInFlight(handlers.Callers)},
	} {
		server := acceptor.New(served.listener, &http.Server{
			Handler: served.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: int(s.settings.Limits.HeaderBytes),
			ErrorLog:       s.logFor("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		}, s.clock)
		servers = append(servers, server)
		go server.Serve()
	}
	return servers
}

// serveMetrics starts the HTTP server for metrics, if one is wanted.
func (s *Server) serveMetrics() {
	if s.listeners.metrics == nil {
		return
	}
	expvar.Publish("fescuebank", expvar.Func(func() any { return s.meter.Snapshot() }))
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.meter)
	mux.Handle("/burn", s.aggregator)
	mux.HandleFunc("/evacuations", s.serveEvacuations)
	mux.Handle("/debug/vars", expvar.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(s.listeners.metrics) }()
}

// countInFlight tracks the number of requests in flight.
func (s *Server) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}
