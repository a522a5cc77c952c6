// Package supervisor puts the parts of a daemon together and runs them.
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
	// wakeInterval is how often waiting requests look for endpoints that came
	// back by time alone.
	wakeInterval = 50 * time.Millisecond
	// announceInterval is how often the instance announces itself.
	announceInterval = 30 * time.Second
	// releaseTimeout bounds giving up the lease at shutdown.
	releaseTimeout = 5 * time.Second
	// reportsPerExpiry is how often a running batch item is reported within the
	// time that its puller may be silent.
	reportsPerExpiry = 3
)

// Options are what a daemon gets beside its settings.
type Options struct {
	// TLS is the mutual TLS between instances.
	TLS *tls.Config
	// Policy picks endpoints; empty means PolicyLeastExpected.
	Policy fescuebank.Policy
	Clock  fescuebank.Clock
	Log    hclog.Logger
}

// Supervisor is one daemon.
type Supervisor struct {
	settings    *fescuebank.Settings
	clock       fescuebank.Clock
	log         hclog.Logger
	self        fescuebank.Instance
	started     time.Time
	list        fescuebank.InstanceList
	store       fescuebank.ObjectStore
	messenger   *messenger.Messenger
	watcher     *watcher.Watcher
	jobs        *watcher.Watcher
	applier     *applier.Applier
	publisher   *publisher.Publisher
	withdrawer  *withdrawer.Withdrawer
	detector    *detector.Detector
	prober      *prober.Prober
	registrar   *registrar.Registrar
	leaser      *leaser.Leaser
	balancer    *balancer.Balancer
	connector   *connector.Connector
	notifier    *notifier.Notifier
	coordinator *arbiter.Arbiter
	quarantiner *quarantiner.Quarantiner
	orderer     *reconciler.Reconciler
	scheduler   *scheduler.Scheduler
	admitter    *admitter.Admitter
	keeper      *coordinator.Coordinator
	dispatcher  *dispatcher.Dispatcher
	submitter   *submitter.Submitter
	collector   *collector.Collector
	drainer     *drainer.Drainer
	gateway     *gateway.Gateway

	callers   net.Listener
	operators net.Listener
	// operate serves the operators' address.
	operate http.Handler
}

// New builds a daemon and opens its addresses.
func New(s *fescuebank.Settings, o Options) (*Supervisor, error) {
	if o.Policy == "" {
		o.Policy = fescuebank.PolicyLeastExpected
	}
	v := &Supervisor{settings: s, clock: o.Clock, log: o.Log, started: o.Clock.Now(), drainer: &drainer.Drainer{}}
	if err := v.open(o.TLS); err != nil {
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
	v.buildOperate()
	v.connect()
	return v, nil
}

// part returns the log of one part.
func (v *Supervisor) part(name string) hclog.Logger {
	return v.log.Named(name)
}

func (v *Supervisor) open(secure *tls.Config) error {
	s := v.settings
	var err error
	if v.messenger, err = messenger.New(s.Listen.Peers, secure, v.clock, v.part("peers")); err != nil {
		return err
	}
	if v.callers, err = net.Listen("tcp", s.Listen.Callers); err != nil {
		return err
	}
	plain, err := net.Listen("tcp", s.Listen.Operators)
	if err != nil {
		return err
	}
	operators := secure.Clone()
	operators.ClientAuth = tls.NoClientCert
	v.operators = tls.NewListener(plain, operators)
	url := s.Listen.CallersURL
	if url == "" {
		url = "http://" + v.callers.Addr().String()
	}
	v.self = fescuebank.Instance{
		ID: s.Instance.ID, Zone: s.Instance.Zone, CallerURL: url,
		PeerAddr: v.messenger.Addr(), Weight: s.Instance.Weight,
	}
	return nil
}

// buildFleet makes membership and ownership. They have store calls of their
// own, so that bulk data can't delay a lease.
func (v *Supervisor) buildFleet() {
	s := v.settings
	const controlShare = 2
	control := storer.New(s.Platform.URL, s.Platform.Token, s.Limits.StoreCallsPerSecond/controlShare, v.clock)
	v.store = storer.New(s.Platform.URL, s.Platform.Token, s.Limits.StoreCallsPerSecond, v.clock)
	v.list = lister.New(s.Platform.URL, s.Platform.Token)
	v.watcher = watcher.New(control, fescuebank.ControlPrefix, v.clock, v.part("watch"))
	v.jobs = watcher.New(control, fescuebank.ActivePrefix, v.clock, v.part("jobs"))
	v.detector = detector.New(v.self.ID, s.Timing.Suspect)
	v.prober = prober.New(prober.Config{
		Self: v.self.ID, List: v.list, Peer: v.messenger, Clock: v.clock, Log: v.part("probe"),
		Interval: s.Timing.Probe, Detector: v.detector, Versions: v.versions, OnMismatch: v.behind,
	})
	v.registrar, v.leaser = registrar.New(registrar.Config{
		Self: v.self, Region: s.Instance.Region, Store: control, Clock: v.clock, Log: v.part("fleet"),
		Timing: s.Timing, Homes: s.Limits.Homes, Detector: v.detector, Listed: v.prober.Listed,
	})
	v.withdrawer = withdrawer.New(control, v.messenger, v.clock, v.part("keys"))
}

func (v *Supervisor) buildConfig() error {
	segments, err := segmenter.New()
	if err != nil {
		return err
	}
	v.applier = applier.New(v.store, segments, v.clock, v.part("config"))
	v.publisher = publisher.New(v.store, segments, v.watcher.Deliver, v.part("config"))
	v.collector = collector.New(v.clock, func() fescuebank.Objectives { return v.applier.Current().State.Objectives })
	return nil
}

func (v *Supervisor) buildEndpoints(policy fescuebank.Policy) {
	s := v.settings
	v.balancer = balancer.New(s.Instance.Zone, policy, v.clock)
	v.connector = connector.New(v.balancer, v.clock, s.Timing.Silence)
	v.coordinator = arbiter.New(v.weight, s.Limits.BatchHeadroom)
	v.scheduler = scheduler.New(v.balancer, s.Limits.QueueLength, v.clock, func() { v.notifier.Notify() })
	v.notifier = notifier.New(notifier.Config{
		Directory: v.registrar, Peer: v.messenger, Balancer: v.balancer, Arbiter: v.coordinator,
		Clock: v.clock, Log: v.part("credit"), Demands: v.scheduler.Demands, LimitsChanged: v.scheduler.Wake,
		UseChanged: func() { v.dispatcher.Wake() },
	})
	v.orderer = reconciler.New(reconciler.Config{
		Directory: v.registrar, Source: v.applier, Clock: v.clock, Log: v.part("order"), StaleCommandWait: s.Timing.OrderFlight,
		Report: v.connector.Report,
		SendCommand: func(ctx context.Context, id fescuebank.EndpointID, o fescuebank.Order) error {
			c, ok := v.connector.Invoker(id)
			if !ok {
				return fescuebank.ErrAbsent
			}
			return c.SendCommand(ctx, o)
		},
	})
	permits := permitter.New(v.registrar, v.messenger, v.clock)
	v.messenger.Handle(fescuebank.KindPermit, permits.Handle)
	v.quarantiner = quarantiner.New(v.store, v.messenger, v.registrar, permits, v.clock, v.part("quarantine"))
}

func (v *Supervisor) weight(team fescuebank.TeamID) float64 {
	if t, ok := v.applier.Current().Teams[team]; ok {
		return t.Weight
	}
	return 1
}

func (v *Supervisor) buildLimits() {
	v.admitter = admitter.New(admitter.Config{
		Directory: v.registrar, Holder: v.leaser.Holder, Peer: v.messenger, Source: v.applier, Clock: v.clock,
		Log: v.part("limit"), Slots: v.settings.Limits.Homes, ClockError: v.settings.Limits.ClockError,
	})
}

func (v *Supervisor) buildBatch() error {
	s := v.settings
	archive, err := serializer.New()
	if err != nil {
		return err
	}
	v.submitter = submitter.New(v.store, archive, v.clock, v.part("batch"))
	v.keeper = coordinator.New(coordinator.Config{
		Store: v.store, Serializer: archive, Directory: v.registrar, Source: v.applier, Clock: v.clock, Log: v.part("batch"),
		CommitAge: s.Timing.Commit, Expiry: s.Timing.ItemExpiry, Observer: v.collector,
	})
	v.dispatcher = dispatcher.New(dispatcher.Config{
		Directory: v.registrar, Peer: v.messenger, LocalOwner: v.keeper, Clock: v.clock, Log: v.part("dispatch"),
		Endpoints: func() []fescuebank.EndpointSpec { return v.applier.Current().State.Endpoints },
		Models:    v.servedModels, Endpoint: v.connector.Endpoint,
		BatchLimit: func(id fescuebank.EndpointID, slots int) int {
			return v.coordinator.BatchLimit(v.clock.Now(), id, slots)
		},
		RunningChanged: v.countBatch, Owners: v.keeper.ActiveOwners, Guard: v.quarantiner,
		ReportInterval: s.Timing.ItemExpiry / reportsPerExpiry,
	})
	files := exporter.New(v.store, archive)
	v.gateway = gateway.New(gateway.Config{Submitter: v.submitter, Exporter: files})
	return nil
}

// servedModels returns the models that an endpoint serves, as far as known.
func (v *Supervisor) servedModels(id fescuebank.EndpointID) []fescuebank.ModelName {
	if report, ok := v.connector.Report(id); ok {
		return report.Models
	}
	if spec, ok := v.applier.Current().Endpoints[id]; ok {
		return spec.Models
	}
	return nil
}

func (v *Supervisor) countBatch(id fescuebank.EndpointID, change int) {
	if t, ok := v.balancer.Target(id); ok {
		t.AddBatch(change)
	}
}

func (v *Supervisor) buildEntry() {
	s := v.settings
	routes := router.New(router.Config{
		Scheduler: v.scheduler, Balancer: v.balancer, Clock: v.clock, Log: v.part("route"), Attempts: s.Limits.Attempts,
		Endpoint: v.connector.Endpoint, Guard: v.quarantiner, Observer: v.collector,
		FirstToken: func() time.Duration { return v.applier.Current().State.Objectives.FirstToken.Duration() },
	})
	c := &v.gateway.Config
	c.Source = v.applier
	c.Authenticator = authenticator.New(v.applier, v.withdrawer.Has, v.contact, s.Timing.ConfigStale, v.clock)
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
	c.Log = v.part("entry")
}

func (v *Supervisor) buildOperate() {
	v.operate = administrator.New(administrator.Config{
		Publisher: v.publisher, Withdrawer: v.withdrawer, Directory: v.registrar, Source: v.applier, Fleet: v,
		Operators: v.settings.Operators, Submitter: v.submitter, Log: v.part("operate"),
	}).Handler()
}

// contact returns when the store or a peer was last reached. An instance that
// is alone in its fleet can't miss what others were told.
func (v *Supervisor) contact() time.Time {
	if v.MemberCount() == 1 {
		return v.clock.Now()
	}
	store, peers := v.watcher.LastContact(), v.prober.LastContact()
	if store.After(peers) {
		return store
	}
	return peers
}

// connect subscribes the parts to what they follow.
func (v *Supervisor) connect() {
	v.watcher.Subscribe(fescuebank.AssignmentKey(v.settings.Instance.Region), v.registrar.Apply)
	v.watcher.Subscribe(fescuebank.ManifestKey, v.applier.ApplyObject)
	v.watcher.Subscribe(fescuebank.WithdrawalPrefix, v.withdrawer.ApplyObject)
	v.watcher.Subscribe(fescuebank.CrashRecordPrefix, v.quarantiner.ApplyObject)
	v.jobs.Subscribe(fescuebank.ActivePrefix, v.keeper.ApplyObject)
	v.registrar.OnChange(v.admitter.Reassign)
	v.applier.OnChange(func(s *fescuebank.Snapshot) {
		v.connector.SetEndpoints(s.State.Endpoints)
		v.coordinator.Retain(func(id fescuebank.EndpointID) bool { return s.Endpoints[id] != nil })
		v.withdrawer.CancelInvalidKeys(v.gateway.Authenticator.IsValid)
		v.scheduler.Wake()
	})
	m := v.messenger
	m.Handle(fescuebank.KindProbe, v.prober.Handle)
	m.Handle(fescuebank.KindTokens, v.admitter.Handle)
	m.Handle(fescuebank.KindLend, v.admitter.HandleLend)
	m.Handle(fescuebank.KindBucketHandover, v.admitter.HandleBucketHandover)
	m.Handle(fescuebank.KindPull, v.keeper.HandlePull)
	m.Handle(fescuebank.KindReport, v.keeper.HandleReport)
	m.Handle(fescuebank.KindWithdraw, v.withdrawer.Handle)
	m.Handle(fescuebank.KindLoad, v.notifier.Handle)
	m.Handle(fescuebank.KindCrashRecord, v.quarantiner.Handle)
	m.Handle(fescuebank.KindStatus, v.handleStatus)
}

func (v *Supervisor) versions() fescuebank.Versions {
	return fescuebank.Versions{
		Applied:    v.applier.Current().State.Generation,
		Assignment: v.registrar.Current().Version,
		Withdrawn:  v.withdrawer.Digest(),
	}
}

// behind catches up with a peer that knows more.
func (v *Supervisor) behind(from string, theirs fescuebank.Versions) {
	mine := v.versions()
	if theirs.Applied > mine.Applied || theirs.Assignment > mine.Assignment {
		v.watcher.Hint()
	}
	if theirs.Withdrawn != mine.Withdrawn {
		go func() { _ = v.withdrawer.Exchange(context.Background(), from) }()
	}
}

// Run serves until ctx ends, then leaves without cutting a request.
func (v *Supervisor) Run(ctx context.Context) error {
	// The parts go on while requests are still being served.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	start := func(run func(context.Context)) { group.Go(func() { run(parts) }) }
	start(func(ctx context.Context) {
		if err := v.messenger.Run(ctx); err != nil {
			v.log.Error("Peers not served.", "err", err)
		}
	})
	start(v.announce)
	start(v.prober.Run)
	start(v.watcher.Run)
	start(v.jobs.Run)
	start(v.applier.Run)
	start(v.withdrawer.Run)
	start(v.connector.Run)
	start(v.wake)
	start(v.notifier.Run)
	start(v.admitter.Run)
	work, stopWork := context.WithCancel(parts)
	if v.settings.Roles.Owner {
		start(v.leaser.Run)
		start(v.registrar.Run)
		start(v.keeper.Run)
		start(v.orderer.Run)
		group.Go(func() { v.dispatcher.Run(work) })
	}
	callers := &http.Server{Handler: v.gateway.Handler(), MaxHeaderBytes: int(v.settings.Limits.HeaderBytes), ReadHeaderTimeout: 10 * time.Second}
	operators := &http.Server{Handler: v.operate, MaxHeaderBytes: int(v.settings.Limits.HeaderBytes), ReadHeaderTimeout: 10 * time.Second}
	v.serve(&group, callers, v.callers, v.settings.Roles.Entry)
	v.serve(&group, operators, v.operators, v.settings.Roles.Console)
	v.log.Info("Instance serves.", "callers", v.self.CallerURL, "operators", v.operators.Addr().String(), "peers", v.self.PeerAddr)
	<-ctx.Done()
	v.leave(callers, stopWork)
	_ = operators.Close()
	stop()
	group.Wait()
	return nil
}

func (v *Supervisor) serve(group *sync.WaitGroup, server *http.Server, l net.Listener, on bool) {
	if !on {
		_ = l.Close()
		return
	}
	group.Go(func() { _ = server.Serve(l) })
}

// leave drains: out of the address answer first, then ownership, then the
// requests in flight, then the lease.
func (v *Supervisor) leave(callers *http.Server, stopWork func()) {
	v.log.Info("Instance leaves.", "inFlight", v.drainer.InFlight())
	v.drainer.Leave()
	v.detector.SetLeaving()
	v.leaser.SetLeaving()
	ctx := context.Background()
	v.announceOnce(ctx, true)
	callers.SetKeepAlivesEnabled(false)
	stopWork()
	// Callers may still hold an address answer.
	_ = fescuebank.Sleep(ctx, v.clock, v.settings.Timing.AddressTTL)
	_ = callers.Shutdown(ctx)
	release, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := v.leaser.Release(release); err != nil {
		v.log.Warn("Lease not released.", "err", err)
	}
	v.log.Info("Instance left.")
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
	err := v.list.Announce(ctx, fescuebank.ListedInstance{Instance: v.self, Leaving: leaving})
	if err != nil {
		v.log.Debug("Instance not announced.", "err", err)
	}
	return err == nil
}

func (v *Supervisor) wake(ctx context.Context) {
	for fescuebank.Sleep(ctx, v.clock, wakeInterval) == nil {
		v.scheduler.Wake()
	}
}

// Ready closes once the first state of the store has been read.
func (v *Supervisor) Ready() <-chan struct{} {
	return v.watcher.Ready()
}

// Self returns the instance.
func (v *Supervisor) Self() fescuebank.Instance {
	return v.self
}

// OperatorsURL returns the operators' address.
func (v *Supervisor) OperatorsURL() string {
	return "https://" + v.operators.Addr().String()
}
