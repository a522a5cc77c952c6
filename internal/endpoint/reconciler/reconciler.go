// Package reconciler makes endpoints load what the desired state places on them.
package reconciler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

const (
	// interval is how often placement is compared with what is loaded.
	interval = time.Second
	// firstRetry and longestRetry bound the wait after a failed order, which the
	// weight store's rate may have caused.
	firstRetry   = time.Second
	longestRetry = 30 * time.Second
)

// Reconciler gives orders to the endpoints that this instance owns, one at a time
// for each, under its fencing number.
type Reconciler struct {
	directory fescuebank.Directory
	config    fescuebank.ConfigSource
	clock     fescuebank.Clock
	log       hclog.Logger
	flight    time.Duration
	report    func(fescuebank.EndpointID) (fescuebank.LoadReport, bool)
	order     func(context.Context, fescuebank.EndpointID, fescuebank.Order) error

	mu    sync.Mutex
	lanes map[fescuebank.EndpointID]*lane
}

// lane is what is known of the orders to one endpoint.
type lane struct {
	// fencing is the number under which since was noted.
	fencing fescuebank.FencingNumber
	since   time.Time
	running bool
	// retry is when the next order may be given after a failure.
	retry time.Time
	wait  time.Duration
}

// Config is what a reconciler works with.
type Config struct {
	Directory fescuebank.Directory
	Source    fescuebank.ConfigSource
	Clock     fescuebank.Clock
	Log       hclog.Logger
	// StaleCommandWait bounds how long a former owner's order may still be under way to an
	// endpoint that ignores fencing numbers.
	StaleCommandWait time.Duration
	// Report returns the load report of a living endpoint.
	Report func(fescuebank.EndpointID) (fescuebank.LoadReport, bool)
	// SendCommand gives an order to an endpoint.
	SendCommand func(context.Context, fescuebank.EndpointID, fescuebank.Order) error
}

// New returns a reconciler.
func New(c Config) *Reconciler {
	return &Reconciler{
		directory: c.Directory, config: c.Source, clock: c.Clock, log: c.Log, flight: c.StaleCommandWait,
		report: c.Report, order: c.SendCommand, lanes: make(map[fescuebank.EndpointID]*lane),
	}
}

// Run gives orders until ctx ends.
func (o *Reconciler) Run(ctx context.Context) {
	for fescuebank.Sleep(ctx, o.clock, interval/2+rand.N(interval)) == nil {
		o.Reconcile(ctx)
	}
}

// Reconcile looks once at each owned endpoint and starts the orders that are due.
func (o *Reconciler) Reconcile(ctx context.Context) {
	state := o.config.Current().State
	v := view{state: state, report: o.report}
	for i := range state.Endpoints {
		e := &state.Endpoints[i]
		fencing, acts := o.directory.MayAct(fescuebank.ShardOf(string(e.ID)))
		if !acts || !o.mayOrder(e, fencing) {
			continue
		}
		order, needed := v.plan(e)
		if !needed {
			continue
		}
		order.Fencing = fencing
		o.setRunning(e.ID, true)
		go o.give(ctx, e.ID, order)
	}
}

// mayOrder reports whether an endpoint may get an order now. A new owner of an
// endpoint that ignores fencing waits until orders of the former one are in.
func (o *Reconciler) mayOrder(e *fescuebank.EndpointSpec, fencing fescuebank.FencingNumber) bool {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	l, ok := o.lanes[e.ID]
	if !ok {
		l = &lane{}
		o.lanes[e.ID] = l
	}
	if l.fencing != fencing {
		l.fencing, l.since = fencing, now
	}
	if l.running || now.Before(l.retry) {
		return false
	}
	return e.Fencing == fescuebank.FencingChecked || now.Sub(l.since) >= o.flight
}

func (o *Reconciler) setRunning(id fescuebank.EndpointID, running bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lanes[id].running = running
}

// give sends one order and notes how it went.
func (o *Reconciler) give(ctx context.Context, id fescuebank.EndpointID, order fescuebank.Order) {
	err := o.order(ctx, id, order)
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lanes[id]
	l.running = false
	if err == nil {
		l.wait = 0
		o.log.Info("Order carried out.", "endpoint", string(id), "kind", string(order.Kind), "model", string(order.Model), "version", order.Version)
		return
	}
	l.wait = min(max(2*l.wait, firstRetry), longestRetry)
	l.retry = now.Add(l.wait/2 + rand.N(l.wait))
	o.log.Warn("Order failed.", "endpoint", string(id), "kind", string(order.Kind), "model", string(order.Model), "err", err)
}
