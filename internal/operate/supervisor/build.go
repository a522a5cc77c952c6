package supervisor

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"

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
	"fescuebank/internal/entry/forwarder"
	"fescuebank/internal/entry/gateway"
	"fescuebank/internal/entry/locator"
	"fescuebank/internal/entry/router"
	"fescuebank/internal/entry/scheduler"
	"fescuebank/internal/fleet/detector"
	"fescuebank/internal/fleet/prober"
	"fescuebank/internal/fleet/registrar"
	"fescuebank/internal/fleet/watcher"
	"fescuebank/internal/limit/admitter"
	"fescuebank/internal/limit/reserver"
	"fescuebank/internal/operate/administrator"
	"fescuebank/internal/operate/collector"
	"fescuebank/internal/platform/lister"
	"fescuebank/internal/platform/storer"
	"fescuebank/internal/wire/messenger"
)

// reportsPerExpiry is the number of reports on running batch items within
// ItemExpiry, the time without reports after which an instance's items are given
// to others.
const reportsPerExpiry = 3

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

// buildConfig builds what reads, writes and applies the configuration.
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

// buildEndpoints builds what selects, calls and watches over endpoints.
func (v *Supervisor) buildEndpoints(policy fescuebank.Policy) {
	s := v.settings
	v.balancer = balancer.New(s.Instance.Zone, policy, v.clock)
	v.connector = connector.New(v.balancer, v.clock, s.Timing.Silence)
	teamWeight := func(team fescuebank.TeamID) float64 { return v.applier.Current().TeamWeight(team) }
	v.arbiter = arbiter.New(teamWeight, s.Limits.BatchHeadroom)
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

// buildLimits builds the enforcement of the teams' limits.
func (v *Supervisor) buildLimits() {
	v.admitter = admitter.New(admitter.Config{
		Directory: v.registrar, Holder: v.leaser.Holder, Peer: v.messenger, Source: v.applier, Clock: v.clock,
		Log: v.logFor("limit"), Homes: v.settings.Limits.Homes, ClockError: v.settings.Limits.ClockError,
	})
}

// buildBatch builds batch jobs, from submission to export, and a gateway with the parts
// that they need of it. buildEntry completes the gateway.
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

// addBatchCount adds change to the number of batch items that this instance runs at an
// endpoint.
func (v *Supervisor) addBatchCount(id fescuebank.EndpointID, change int) {
	if t, ok := v.balancer.Target(id); ok {
		t.AddBatch(change)
	}
}

// buildEntry builds the path of callers' requests.
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
	c.Forwarder = forwarder.New(deduplicator.New(v.store, v.clock), reserver.New(fescuebank.HeldMemory(s.Limits.MemoryMiB)), v.clock)
	c.Drainer = v.drainer
	c.Observer = v.collector
	c.Limits = s.Limits
	c.Timing = s.Timing
	c.Clock = v.clock
	c.Log = v.logFor("entry")
}

// buildOperators builds the handler of the operators' address.
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
