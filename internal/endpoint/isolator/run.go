package isolator

import (
	"context"

	"fescuebank"
)

// run is the fescuebank.GuardedRun of a request.
type run struct {
	isolator *Isolator
	request  *fescuebank.Request
	// trial is set if the request was suspect when the run began, and lost once an endpoint
	// crashed under it.
	trial, lost bool
}

// RecordLost records a crash of the endpoint under the request, if the endpoint is down.
func (r *run) RecordLost(e fescuebank.ServedEndpoint) {
	i := r.isolator
	at := i.Clock.Now()
	if !i.IsDown(e.Addr) {
		return
	}
	lost := fescuebank.LostRequest{Key: r.request.Fingerprint().Key(), Trial: r.trial}
	i.mu.Lock()
	defer i.mu.Unlock()
	r.lost = true
	i.evidence.add(e.CrashID(), at, true, lost)
	i.Log.Warn("Endpoint crashed under a request.", "request", string(r.request.ID), "team", string(r.request.Team),
		"endpoint", string(e.ID), "started", e.StartedUnixMilli, "suspect", name(lost.Key), "trial", r.trial)
	i.Announce()
}

// settle calls f once the reports of all instances about a crash that just happened have arrived.
func (i *Isolator) settle(f func()) {
	_ = fescuebank.Sleep(context.Background(), i.Clock, settleMargin+i.Lag())
	f()
}

// RecordCompleted clears a request that was suspect.
func (r *run) RecordCompleted() {
	i := r.isolator
	if !i.knowsSuspects() {
		return
	}
	key := r.request.Fingerprint().Key()
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.isQuarantined(key) && !i.evidence.names(key) {
		return
	}
	i.evidence.complete(key, now, true)
	if i.lift(key, now) {
		i.remove(key)
	}
	i.signal()
	i.Announce()
}

// Leave lets the next run of a suspect begin, after a crash not before it was evaluated.
func (r *run) Leave() {
	if !r.trial {
		return
	}
	i := r.isolator
	key := r.request.Fingerprint().Key()
	i.mu.Lock()
	lost := r.lost
	i.mu.Unlock()
	if lost {
		go i.settle(func() { i.evaluate(key); i.endTrial(key) })
		return
	}
	i.endTrial(key)
}
