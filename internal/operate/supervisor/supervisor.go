// Package supervisor builds the components of a stand-alone daemon and runs them.
package supervisor

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/batch/coordinator"
	"fescuebank/internal/batch/dispatcher"
	"fescuebank/internal/batch/submitter"
	"fescuebank/internal/config/applier"
	"fescuebank/internal/config/publisher"
	"fescuebank/internal/config/withdrawer"
	"fescuebank/internal/endpoint/arbiter"
	"fescuebank/internal/endpoint/balancer"
	"fescuebank/internal/endpoint/connector"
	"fescuebank/internal/endpoint/notifier"
	"fescuebank/internal/endpoint/quarantiner"
	"fescuebank/internal/endpoint/reconciler"
	"fescuebank/internal/entry/drainer"
	"fescuebank/internal/entry/gateway"
	"fescuebank/internal/entry/scheduler"
	"fescuebank/internal/fleet/detector"
	"fescuebank/internal/fleet/leaser"
	"fescuebank/internal/fleet/prober"
	"fescuebank/internal/fleet/registrar"
	"fescuebank/internal/fleet/watcher"
	"fescuebank/internal/limit/admitter"
	"fescuebank/internal/operate/collector"
	"fescuebank/internal/wire/messenger"
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
	// watcher watches the control objects, jobWatcher the markers of unfinished jobs.
	watcher     *watcher.Watcher
	jobWatcher  *watcher.Watcher
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
	arbiter     *arbiter.Arbiter
	quarantiner *quarantiner.Quarantiner
	reconciler  *reconciler.Reconciler
	scheduler   *scheduler.Scheduler
	admitter    *admitter.Admitter
	coordinator *coordinator.Coordinator
	dispatcher  *dispatcher.Dispatcher
	submitter   *submitter.Submitter
	collector   *collector.Collector
	drainer     *drainer.Drainer
	gateway     *gateway.Gateway

	callerListener   net.Listener
	operatorListener net.Listener
	// operatorHandler serves the operators' address.
	operatorHandler http.Handler
}

// New builds a daemon and opens its addresses. Each build function uses components of the
// ones before it. Functions that components call only once they run may use later ones.
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
