package supervisor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/acceptor"
)

const (
	// schedulerWakeInterval is how often the scheduler is woken for endpoints that
	// become available by the passage of time, without an event.
	schedulerWakeInterval = 50 * time.Millisecond
	// announceInterval is how often the instance announces itself to the instance
	// list.
	announceInterval = 30 * time.Second
	// readHeaderTimeout bounds the time in which a client must send the headers of a
	// request.
	readHeaderTimeout = 10 * time.Second
	// releaseTimeout bounds the release of the lease at shutdown.
	releaseTimeout = 5 * time.Second
)

// Run serves until ctx ends. It then shuts down after the requests in flight have
// ended.
func (v *Supervisor) Run(ctx context.Context) error {
	// The components keep running until the requests in flight have ended.
	componentCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	dispatchCtx, stopDispatch := context.WithCancel(componentCtx)
	var group sync.WaitGroup
	v.startComponents(componentCtx, dispatchCtx, &group)
	callers := v.newAcceptor(v.callerListener, v.gateway.Handler())
	operators := v.newAcceptor(v.operatorListener, v.operatorHandler)
	v.serve(&group, callers, v.settings.Roles.Entry)
	v.serve(&group, operators, v.settings.Roles.Console)
	v.log.Info("Instance started.", "callers", v.self.CallerURL, "operators", v.operatorListener.Addr().String(), "peers", v.self.PeerAddr)
	<-ctx.Done()
	v.leave(callers, stopDispatch)
	operators.Close()
	stop()
	group.Wait()
	return nil
}

// startComponents starts what runs until ctx ends, and in the role of an owner also the
// dispatcher, which runs until dispatchCtx ends.
func (v *Supervisor) startComponents(ctx, dispatchCtx context.Context, group *sync.WaitGroup) {
	start := func(run func(context.Context)) { group.Go(func() { run(ctx) }) }
	start(v.runMessenger)
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
	if !v.settings.Roles.Owner {
		return
	}
	start(v.leaser.Run)
	start(v.registrar.Run)
	start(v.coordinator.Run)
	start(v.reconciler.Run)
	group.Go(func() { v.dispatcher.Run(dispatchCtx) })
}

// runMessenger runs the messenger and logs its failure.
func (v *Supervisor) runMessenger(ctx context.Context) {
	if err := v.messenger.Run(ctx); err != nil {
		v.log.Error("Messenger failed; peers are no longer served.", "err", err)
	}
}

// newAcceptor returns what serves one of the instance's addresses.
func (v *Supervisor) newAcceptor(l net.Listener, h http.Handler) *acceptor.Acceptor {
	server := &http.Server{Handler: h, MaxHeaderBytes: int(v.settings.Limits.HeaderBytes), ReadHeaderTimeout: readHeaderTimeout}
	return acceptor.New(l, server, v.clock)
}

// serve serves an address, or closes it if the instance doesn't have the role that needs it.
func (v *Supervisor) serve(group *sync.WaitGroup, address *acceptor.Acceptor, enabled bool) {
	if !enabled {
		address.Close()
		return
	}
	group.Go(address.Serve)
}

// leave shuts the instance down: it removes itself from address responses, releases
// ownership, waits for the requests in flight, and releases the lease.
func (v *Supervisor) leave(callers *acceptor.Acceptor, stopDispatch func()) {
	v.log.Info("Instance leaves.", "inFlight", v.drainer.InFlight())
	v.drainer.Leave()
	v.detector.SetLeaving()
	v.leaser.SetLeaving()
	ctx := context.Background()
	v.announceOnce(ctx, true)
	callers.DisableKeepAlives()
	stopDispatch()
	// Callers may still use an earlier address response.
	_ = fescuebank.Sleep(ctx, v.clock, v.settings.Timing.AddressTTL)
	callers.StopAccepting()
	callers.AwaitRequests(ctx)
	callers.Shutdown(ctx)
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := v.leaser.Release(releaseCtx); err != nil {
		v.log.Warn("Lease not released.", "err", err)
	}
	v.log.Info("Instance stopped.")
}

// announce announces the instance every announceInterval, and sooner after a failure.
func (v *Supervisor) announce(ctx context.Context) {
	for ctx.Err() == nil {
		wait := announceInterval
		if !v.announceOnce(ctx, v.drainer.Leaving()) {
			wait = time.Second
		}
		_ = fescuebank.Sleep(ctx, v.clock, wait)
	}
}

// announceOnce announces the instance and reports whether that succeeded.
func (v *Supervisor) announceOnce(ctx context.Context, leaving bool) bool {
	err := v.instanceList.Announce(ctx, fescuebank.ListedInstance{Instance: v.self, Leaving: leaving})
	if err != nil {
		v.log.Debug("Instance not announced.", "err", err)
	}
	return err == nil
}

// wakeScheduler wakes the scheduler every schedulerWakeInterval.
func (v *Supervisor) wakeScheduler(ctx context.Context) {
	for fescuebank.Sleep(ctx, v.clock, schedulerWakeInterval) == nil {
		v.scheduler.Wake()
	}
}
