// Package reconciler sends commands to endpoints until the models and adapters they have
// loaded match the desired state.
package reconciler

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

const (
	// interval is the mean interval between reconciliations.
	interval = time.Second
	// minBackoff and maxBackoff bound the mean wait after a failed command. A rate
	// limit of the weight store is a possible cause of the failure.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
)

// Reconciler sends commands to the endpoints that this instance owns, one at a time to
// each endpoint, with the owner's fencing number.
type Reconciler struct {
	directory        fescuebank.Directory
	config           fescuebank.ConfigSource
	clock            fescuebank.Clock
	log              hclog.Logger
	staleCommandWait time.Duration
	report           func(fescuebank.EndpointID) (fescuebank.LoadReport, bool)
	sendCommand      func(context.Context, fescuebank.EndpointID, fescuebank.Command) error

	mu     sync.Mutex
	states map[fescuebank.EndpointID]*commandState
}

// commandState is the state of the commands to one endpoint.
type commandState struct {
	// fencing is the fencing number of this ownership, first seen at ownedSince.
	fencing    fescuebank.FencingNumber
	ownedSince time.Time
	// running is set while a command is in flight.
	running bool
	// retryAt is when the next command may be sent after a failure.
	retryAt time.Time
	backoff time.Duration
}

// Config holds a reconciler's dependencies and settings.
type Config struct {
	Directory fescuebank.Directory
	Source    fescuebank.ConfigSource
	Clock     fescuebank.Clock
	Log       hclog.Logger
	// StaleCommandWait bounds how long a command of the former owner may still be in
	// flight to an endpoint that ignores fencing numbers.
	StaleCommandWait time.Duration
	// Report returns the load report of an endpoint, or false if it has no recent one.
	Report func(fescuebank.EndpointID) (fescuebank.LoadReport, bool)
	// SendCommand sends a command to an endpoint.
	SendCommand func(context.Context, fescuebank.EndpointID, fescuebank.Command) error
}

// New returns a reconciler.
func New(c Config) *Reconciler {
	return &Reconciler{
		directory: c.Directory, config: c.Source, clock: c.Clock, log: c.Log, staleCommandWait: c.StaleCommandWait,
		report: c.Report, sendCommand: c.SendCommand, states: make(map[fescuebank.EndpointID]*commandState),
	}
}

// Run reconciles until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	for fescuebank.Sleep(ctx, r.clock, fescuebank.Jitter(interval)) == nil {
		r.Reconcile(ctx)
	}
}

// Reconcile checks each owned endpoint and starts the next command where one is needed.
func (r *Reconciler) Reconcile(ctx context.Context) {
	state := r.config.Current().State
	p := planner{state: state, report: r.report}
	for i := range state.Endpoints {
		e := &state.Endpoints[i]
		fencing, mayAct := r.directory.MayAct(fescuebank.ShardOf(string(e.ID)))
		if !mayAct || !r.maySend(e, fencing) {
			continue
		}
		command, needed := p.plan(e)
		if !needed {
			continue
		}
		command.Fencing = fencing
		r.setRunning(e.ID, true)
		go r.send(ctx, e.ID, command)
	}
}

// maySend reports whether a command may be sent to an endpoint now. A new owner of an
// endpoint that ignores fencing waits until no command of the former owner can arrive.
func (r *Reconciler) maySend(e *fescuebank.EndpointSpec, fencing fescuebank.FencingNumber) bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.states[e.ID]
	if !ok {
		s = &commandState{}
		r.states[e.ID] = s
	}
	if s.fencing != fencing {
		s.fencing, s.ownedSince = fencing, now
	}
	if s.running || now.Before(s.retryAt) {
		return false
	}
	return e.Fencing == fescuebank.FencingChecked || now.Sub(s.ownedSince) >= r.staleCommandWait
}

// setRunning records whether a command to the endpoint is in flight.
func (r *Reconciler) setRunning(id fescuebank.EndpointID, running bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[id].running = running
}

// send sends one command and records the outcome.
func (r *Reconciler) send(ctx context.Context, id fescuebank.EndpointID, command fescuebank.Command) {
	err := r.sendCommand(ctx, id, command)
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	s.running = false
	if err == nil {
		s.backoff = 0
		r.log.Info("Command completed.", "endpoint", string(id), "kind", string(command.Kind), "model", string(command.Model), "version", command.Version)
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.retryAt = now.Add(fescuebank.Jitter(s.backoff))
	r.log.Warn("Command failed.", "endpoint", string(id), "kind", string(command.Kind), "model", string(command.Model), "err", err)
}
