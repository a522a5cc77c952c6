// Package supervisor builds the components of a stand-alone daemon and runs them.
package supervisor

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/batch/coordinator"
	"fescuebank/internal/batch/dispatcher"
	"fescuebank/internal/batch/exporter"
	"fescuebank/internal/batch/serializer"
	"fescuebank/internal/batch/submitter"
	"fescuebank/internal/config/applier"
	"fescuebank/internal/config/publisher"
	"fescuebank/internal/config/segmenter"
	"fescuebank/internal/config/withdrawer"
	"fescuebank/internal/endpoint/arbiter"
	"fescuebank/internal/endpoint/balancer"
	"fescuebank/internal/endpoint/connector"
	"fescuebank/internal/endpoint/notifier"
	"fescuebank/internal/endpoint/permitter"
	"fescuebank/internal/endpoint/quarantiner"
	"fescuebank/internal/endpoint/reconciler"
	"fescuebank/internal/entry/authenticator"
	"fescuebank/internal/entry/deduplicator"
	"fescuebank/internal/entry/drainer"
	"fescuebank/internal/entry/forwarder"
	"fescuebank/internal/entry/gateway"
	"fescuebank/internal/entry/locator"
	"fescuebank/internal/entry/router"
	"fescuebank/internal/entry/scheduler"
	"fescuebank/internal/fleet/detector"
	"fescuebank/internal/fleet/leaser"
	"fescuebank/internal/fleet/prober"
	"fescuebank/internal/fleet/registrar"
	"fescuebank/internal/fleet/watcher"
	"fescuebank/internal/limit/admitter"
	"fescuebank/internal/operate/administrator"
	"fescuebank/internal/operate/collector"
	"fescuebank/internal/platform/lister"
	"fescuebank/internal/platform/storer"
	"fescuebank/internal/wire/messenger"
)

const (
	// schedulerWakeInterval is how often the scheduler is woken for endpoints that
	// become available by the passage of time, without an event.
	schedulerWakeInterval = 50 * time.Millisecond
	// announceInterval is how often the instance announces itself to the instance
	// list.
	announceInterval = 30 * time.Second
	// releaseTimeout bounds the release of the lease at shutdown.
	releaseTimeout = 5 * time.Second
	// reportsPerExpiry is the number of reports on running batch items within
	// ItemExpiry, the time without reports after which an instance's items are given
	// to others.
	reportsPerExpiry = 3
)

// Options are the parameters of a daemon that are not in its settings.
type Options struct {
	// TLS is the configuration of mutual TLS between instances.
	TLS *tls.Config
	// Policy selects endpoints; empty means PolicyLeastExpected.
	Policy fescuebank.Policy
	Clock  fescuebank.Clock
	Log    hclog.Logger
}

// Supervisor runs one daemon.
type Supervisor struct {
	settings     *fescuebank.Settings
	clock        fescuebank.Clock
	log          hclog.Logger
	self         fescuebank.Instance
	started      time.Time
	instanceList fescuebank.InstanceList
	store        fescuebank.ObjectStore
	messenger    *messenger.Messenger
	watcher      *watcher.Watcher
	jobWatcher   *watcher.Watcher
	applier      *applier.Applier
	publisher    *publisher.Publisher
	withdrawer   *withdrawer.Withdrawer
	detector     *detector.Detector
	prober       *prober.Prober
	registrar    *registrar.Registrar
	leaser       *leaser.Leaser
	balancer     *balancer.Balancer
	connector    *connector.Connector
	notifier     *notifier.Notifier
	arbiter      *arbiter.Arbiter
	quarantiner  *quarantiner.Quarantiner
	reconciler   *reconciler.Reconciler
	scheduler    *scheduler.Scheduler
	admitter     *admitter.Admitter
	coordinator  *coordinator.Coordinator
	dispatcher   *dispatcher.Dispatcher
	submitter    *submitter.Submitter
	collector    *collector.Collector
	drainer      *drainer.Drainer
	gateway      *gateway.Gateway

	callerListener   net.Listener
	operatorListener net.Listener
	// operatorHandler serves the operators' address.
	operatorHandler http.Handler
}

// New builds a daemon and opens its addresses.
func New(s *fescuebank.Settings, o Options) (*Supervisor, error) {
	if o.Policy == "" {
		o.Policy = fescuebank.PolicyLeastExpected
	}
	v := &Supervisor{settings: s, clock: o.Clock, log: o.Log, started: o.Clock.Now(), drainer: &drainer.Drainer{}}
	if err := v.listen(o.TLS); err != nil {
		return nil, eris.Wrap(err, "supervisor.New")
	}
	v.buildFleet()
	if err := v.buildConfig(); err != nil {
		return nil, eris.Wrap(err, "supervisor.New")
	}
	v.buildEndpoints(o.Policy)
	v.buildLimits()
	if err := v.buildBatch(); err != nil {
		return nil, eris.Wrap(err, "supervisor.New")
	}
	v.buildEntry()
	v.buildOperators()
	v.subscribe()
	return v, nil
}

// logFor returns the logger of one component.
func (v *Supervisor) logFor(name string) hclog.Logger {
	return v.log.Named(name)
}

// listen opens the addresses for peers, callers and operators.
func (v *Supervisor) listen(tlsConfig *tls.Config) error {
	s := v.settings
	var err error
	if v.messenger, err = messenger.New(s.Listen.Peers, tlsConfig, v.clock, v.logFor("peers")); err != nil {
		return err
	}
	if v.callerListener, err = net.Listen("tcp", s.Listen.Callers); err != nil {
		return err
	}
	operatorTCP, err := net.Listen("tcp", s.Listen.Operators)
	if err != nil {
		return err
	}
	operatorTLS := tlsConfig.Clone()
	operatorTLS.ClientAuth = tls.NoClientCert
	v.operatorListener = tls.NewListener(operatorTCP, operatorTLS)
	url := s.Listen.CallersURL
	if url == "" {
		url = "http://" + v.callerListener.Addr().String()
	}
	v.self = fescuebank.Instance{
		ID: s.Instance.ID, Zone: s.Instance.Zone, CallerURL: url,
		PeerAddr: v.messenger.Addr(), Weight: s.Instance.Weight,
	}
	return nil
}

// buildFleet builds membership and ownership. They have a store client with a rate
// limit of its own, so that bulk data can't delay the renewal of a lease.
func (v *Supervisor) buildFleet() {
	s := v.settings
	// The calls of the control client come on top of StoreCallsPerSecond.
	const controlDivisor = 2
	control := storer.New(s.Platform.URL, s.Platform.Token, s.Limits.StoreCallsPerSecond/controlDivisor, v.clock)
	v.store = storer.New(s.Platform.URL, s.Platform.Token, s.Limits.StoreCallsPerSecond, v.clock)
	v.instanceList = lister.New(s.Platform.URL, s.Platform.Token)
	v.watcher = watcher.New(control, fescuebank.ControlPrefix, v.clock, v.logFor("watch"))
	v.jobWatcher = watcher.New(control, fescuebank.ActivePrefix, v.clock, v.logFor("jobs"))
	v.detector = detector.New(v.self.ID, s.Timing.Suspect)
	v.prober = prober.New(prober.Config{
		Self: v.self.ID, List: v.instanceList, Peer: v.messenger, Clock: v.clock, Log: v.logFor("probe"),
		Interval: s.Timing.Probe, Detector: v.detector, Versions: v.versions, OnMismatch: v.handleMismatch,
	})
	v.registrar, v.leaser = registrar.New(registrar.Config{
		Self: v.self, Region: s.Instance.Region, Store: control, Clock: v.clock, Log: v.logFor("fleet"),
		Timing: s.Timing, Homes: s.Limits.Homes, Detector: v.detector, Listed: v.prober.Listed,
	})
	v.withdrawer = withdrawer.New(control, v.messenger, v.clock, v.logFor("keys"))
}

func (v *Supervisor) buildConfig() error {
	segments, err := segmenter.New()
	if err != nil {
		return err
	}
	v.applier = applier.New(v.store, segments, v.clock, v.logFor("config"))
	v.publisher = publisher.New(v.store, segments, v.watcher.Deliver, v.logFor("config"))
	v.collector = collector.New(v.clock, func() fescuebank.Objectives { return v.applier.Current().State.Objectives })
	return nil
}

func (v *Supervisor) buildEndpoints(policy fescuebank.Policy) {
	s := v.settings
	v.balancer = balancer.New(s.Instance.Zone, policy, v.clock)
	v.connector = connector.New(v.balancer, v.clock, s.Timing.Silence)
	v.arbiter = arbiter.New(v.teamWeight, s.Limits.BatchHeadroom)
	v.scheduler = scheduler.New(v.balancer, s.Limits.QueueLength, v.clock, func() { v.notifier.Notify() })
	v.notifier = notifier.New(notifier.Config{
		Directory: v.registrar, Peer: v.messenger, Balancer: v.balancer, Arbiter: v.arbiter,
		Clock: v.clock, Log: v.logFor("credit"), Demands: v.scheduler.Demands, OnLimitsChange: v.scheduler.Wake,
		OnUseChange: func() { v.dispatcher.Wake() },
	})
	v.reconciler = reconciler.New(reconciler.Config{
		Directory: v.registrar, Source: v.applier, Clock: v.clock, Log: v.logFor("order"), StaleCommandWait: s.Timing.OrderFlight,
		Report: v.connector.Report,
		SendCommand: func(ctx context.Context, id fescuebank.EndpointID, o fescuebank.Command) error {
			c, ok := v.connector.Invoker(id)
			if !ok {
				return fescuebank.ErrAbsent
			}
			return c.SendCommand(ctx, o)
		},
	})
	permits := permitter.New(v.registrar, v.messenger, v.clock)
	v.messenger.Handle(fescuebank.KindPermit, permits.Handle)
	v.quarantiner = quarantiner.New(v.store, v.messenger, v.registrar, permits, v.clock, v.logFor("quarantine"))
}

func (v *Supervisor) teamWeight(team fescuebank.TeamID) float64 {
	if t, ok := v.applier.Current().Teams[team]; ok {
		return t.Weight
	}
	return 1
}

func (v *Supervisor) buildLimits() {
	v.admitter = admitter.New(admitter.Config{
		Directory: v.registrar, Holder: v.leaser.Holder, Peer: v.messenger, Source: v.applier, Clock: v.clock,
		Log: v.logFor("limit"), Homes: v.settings.Limits.Homes, ClockError: v.settings.Limits.ClockError,
	})
}

func (v *Supervisor) buildBatch() error {
	s := v.settings
	codec, err := serializer.New()
	if err != nil {
		return err
	}
	v.submitter = submitter.New(v.store, codec, v.clock, v.logFor("batch"))
	v.coordinator = coordinator.New(coordinator.Config{
		Store: v.store, Serializer: codec, Directory: v.registrar, Source: v.applier, Clock: v.clock, Log: v.logFor("batch"),
		CommitAge: s.Timing.Commit, PullExpiry: s.Timing.ItemExpiry, Observer: v.collector,
	})
	v.dispatcher = dispatcher.New(dispatcher.Config{
		Directory: v.registrar, Peer: v.messenger, LocalOwner: v.coordinator, Clock: v.clock, Log: v.logFor("dispatch"),
		Endpoints: func() []fescuebank.EndpointSpec { return v.applier.Current().State.Endpoints },
		Models:    v.servedModels, Endpoint: v.connector.Endpoint,
		BatchLimit: func(id fescuebank.EndpointID, slots int) int {
			return v.arbiter.BatchLimit(v.clock.Now(), id, slots)
		},
		OnRunningChange: v.addBatchCount, Owners: v.coordinator.ActiveOwners, Guard: v.quarantiner,
		ReportInterval: s.Timing.ItemExpiry / reportsPerExpiry,
	})
	files := exporter.New(v.store, codec)
	v.gateway = gateway.New(gateway.Config{Submitter: v.submitter, Exporter: files})
	return nil
}

// servedModels returns the models that an endpoint reports to serve, or those of the
// configuration before its first report.
func (v *Supervisor) servedModels(id fescuebank.EndpointID) []fescuebank.ModelName {
	if report, ok := v.connector.Report(id); ok {
		return report.Models
	}
	if spec, ok := v.applier.Current().Endpoints[id]; ok {
		return spec.Models
	}
	return nil
}

func (v *Supervisor) addBatchCount(id fescuebank.EndpointID, change int) {
	if t, ok := v.balancer.Target(id); ok {
		t.AddBatch(change)
	}
}

func (v *Supervisor) buildEntry() {
	s := v.settings
	routes := router.New(router.Config{
		Scheduler: v.scheduler, Balancer: v.balancer, Clock: v.clock, Log: v.logFor("route"), Attempts: s.Limits.Attempts,
		Endpoint: v.connector.Endpoint, Guard: v.quarantiner, Observer: v.collector,
		FirstToken: func() time.Duration { return v.applier.Current().State.Objectives.FirstToken.Duration() },
	})
	c := &v.gateway.Config
	c.Source = v.applier
	c.Authenticator = authenticator.New(v.applier, v.withdrawer.IsWithdrawn, v.lastContact, s.Timing.ConfigStale, v.clock)
	c.Withdrawer = v.withdrawer
	c.Admitter = v.admitter
	c.Router = routes
	c.Locator = locator.New(v.registrar, s.Timing.AddressTTL, v.drainer.Leaving)
	c.Forwarder = forwarder.New(deduplicator.New(v.store, v.clock), v.clock)
	c.Drainer = v.drainer
	c.Observer = v.collector
	c.Limits = s.Limits
	c.Timing = s.Timing
	c.Clock = v.clock
	c.Log = v.logFor("entry")
}

func (v *Supervisor) buildOperators() {
	v.operatorHandler = administrator.New(administrator.Config{
		Publisher: v.publisher, Withdrawer: v.withdrawer, Directory: v.registrar, Source: v.applier, Fleet: v,
		Operators: v.settings.Operators, Submitter: v.submitter, Log: v.logFor("operate"),
	}).Handler()
}

// lastContact returns when the store or a peer was last reached. The only instance of a
// fleet always counts as in contact, because there are no peers whose changes it could
// miss.
func (v *Supervisor) lastContact() time.Time {
	if v.MemberCount() == 1 {
		return v.clock.Now()
	}
	store, peers := v.watcher.LastContact(), v.prober.LastContact()
	if store.After(peers) {
		return store
	}
	return peers
}

// subscribe subscribes the components to store objects, changes and messages from
// peers.
func (v *Supervisor) subscribe() {
	v.watcher.Subscribe(fescuebank.AssignmentKey(v.settings.Instance.Region), v.registrar.ApplyObject)
	v.watcher.Subscribe(fescuebank.ManifestKey, v.applier.ApplyObject)
	v.watcher.Subscribe(fescuebank.WithdrawalPrefix, v.withdrawer.ApplyObject)
	v.watcher.Subscribe(fescuebank.CrashRecordPrefix, v.quarantiner.ApplyObject)
	v.jobWatcher.Subscribe(fescuebank.ActivePrefix, v.coordinator.ApplyObject)
	v.registrar.OnChange(v.admitter.UpdateOwnership)
	v.applier.OnChange(func(s *fescuebank.Snapshot) {
		v.connector.SetEndpoints(s.State.Endpoints)
		v.arbiter.RetainEndpoints(func(id fescuebank.EndpointID) bool { return s.Endpoints[id] != nil })
		v.withdrawer.CancelUnauthorized(v.gateway.Authenticator.IsValid)
		v.scheduler.Wake()
	})
	m := v.messenger
	m.Handle(fescuebank.KindProbe, v.prober.Handle)
	m.Handle(fescuebank.KindTokens, v.admitter.Handle)
	m.Handle(fescuebank.KindLend, v.admitter.HandleLend)
	m.Handle(fescuebank.KindBucketHandover, v.admitter.HandleBucketHandover)
	m.Handle(fescuebank.KindPull, v.coordinator.HandlePull)
	m.Handle(fescuebank.KindReport, v.coordinator.HandleReport)
	m.Handle(fescuebank.KindWithdraw, v.withdrawer.Handle)
	m.Handle(fescuebank.KindLoad, v.notifier.Handle)
	m.Handle(fescuebank.KindCrashRecord, v.quarantiner.Handle)
	m.Handle(fescuebank.KindStatus, v.handleStatus)
}

func (v *Supervisor) versions() fescuebank.Versions {
	return fescuebank.Versions{
		Generation:      v.applier.Current().State.Generation,
		Assignment:      v.registrar.Current().Version,
		WithdrawnDigest: v.withdrawer.Digest(),
	}
}

// handleMismatch catches up with a peer whose versions differ from those of this instance.
func (v *Supervisor) handleMismatch(from string, theirs fescuebank.Versions) {
	mine := v.versions()
	if theirs.Generation > mine.Generation || theirs.Assignment > mine.Assignment {
		v.watcher.Hint()
	}
	if theirs.WithdrawnDigest != mine.WithdrawnDigest {
		go func() { _ = v.withdrawer.Exchange(context.Background(), from) }()
	}
}

// Run serves until ctx ends. It then shuts down after the requests in flight have
// ended.
func (v *Supervisor) Run(ctx context.Context) error {
	// The components keep running until the requests in flight have ended.
	componentCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	start := func(run func(context.Context)) { group.Go(func() { run(componentCtx) }) }
	start(func(ctx context.Context) {
		if err := v.messenger.Run(ctx); err != nil {
			v.log.Error("Messenger failed; peers are no longer served.", "err", err)
		}
	})
	start(v.announce)
	start(v.prober.Run)
	start(v.watcher.Run)
	start(v.jobWatcher.Run)
	start(v.applier.Run)
	start(v.withdrawer.Run)
	start(v.connector.Run)
	start(v.wakeScheduler)
	start(v.notifier.Run)
	start(v.admitter.Run)
	dispatchCtx, stopDispatch := context.WithCancel(componentCtx)
	if v.settings.Roles.Owner {
		start(v.leaser.Run)
		start(v.registrar.Run)
		start(v.coordinator.Run)
		start(v.reconciler.Run)
		group.Go(func() { v.dispatcher.Run(dispatchCtx) })
	}
	callers := &http.Server{Handler: v.gateway.Handler(), MaxHeaderBytes: int(v.settings.Limits.HeaderBytes), ReadHeaderTimeout: 10 * time.Second}
	operators := &http.Server{Handler: v.operatorHandler, MaxHeaderBytes: int(v.settings.Limits.HeaderBytes), ReadHeaderTimeout: 10 * time.Second}
	v.serve(&group, callers, v.callerListener, v.settings.Roles.Entry)
	v.serve(&group, operators, v.operatorListener, v.settings.Roles.Console)
	v.log.Info("Instance started.", "callers", v.self.CallerURL, "operators", v.operatorListener.Addr().String(), "peers", v.self.PeerAddr)
	<-ctx.Done()
	v.leave(callers, stopDispatch)
	_ = operators.Close()
	stop()
	group.Wait()
	return nil
}

func (v *Supervisor) serve(group *sync.WaitGroup, server *http.Server, l net.Listener, enabled bool) {
	if !enabled {
		_ = l.Close()
		return
	}
	group.Go(func() { _ = server.Serve(l) })
}

// leave shuts the instance down: it removes itself from address responses, releases
// ownership, waits for the requests in flight, and releases the lease.
func (v *Supervisor) leave(callers *http.Server, stopDispatch func()) {
	v.log.Info("Instance leaves.", "inFlight", v.drainer.InFlight())
	v.drainer.Leave()
	v.detector.SetLeaving()
	v.leaser.SetLeaving()
	ctx := context.Background()
	v.announceOnce(ctx, true)
	callers.SetKeepAlivesEnabled(false)
	stopDispatch()
	// Callers may still use an earlier address response.
	_ = fescuebank.Sleep(ctx, v.clock, v.settings.Timing.AddressTTL)
	_ = callers.Shutdown(ctx)
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := v.leaser.Release(releaseCtx); err != nil {
		v.log.Warn("Lease not released.", "err", err)
	}
	v.log.Info("Instance stopped.")
}

func (v *Supervisor) announce(ctx context.Context) {
	for ctx.Err() == nil {
		wait := announceInterval
		if !v.announceOnce(ctx, v.drainer.Leaving()) {
			wait = time.Second
		}
		_ = fescuebank.Sleep(ctx, v.clock, wait)
	}
}

func (v *Supervisor) announceOnce(ctx context.Context, leaving bool) bool {
	err := v.instanceList.Announce(ctx, fescuebank.ListedInstance{Instance: v.self, Leaving: leaving})
	if err != nil {
		v.log.Debug("Instance not announced.", "err", err)
	}
	return err == nil
}

func (v *Supervisor) wakeScheduler(ctx context.Context) {
	for fescuebank.Sleep(ctx, v.clock, schedulerWakeInterval) == nil {
		v.scheduler.Wake()
	}
}

// Ready returns a channel that is closed after the state of the store has been read
// for the first time.
func (v *Supervisor) Ready() <-chan struct{} {
	return v.watcher.Ready()
}

// Self returns this instance.
func (v *Supervisor) Self() fescuebank.Instance {
	return v.self
}

// OperatorsURL returns the URL of the operators' address.
func (v *Supervisor) OperatorsURL() string {
	return "https://" + v.operatorListener.Addr().String()
}
