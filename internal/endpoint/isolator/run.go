package isolator

import (
	"context"

	"fescuebank"
)

// run is the fescuebank.GuardedRun of a request.
type run struct {
	isolator *Isolator
	request  *fescuebank.Request
	// keys are the request's, nil if they weren't needed when the run began.
	keys []fescuebank.SuspectKey
	// trials are the request's keys that were suspect when the run began. lostIn is the crash of
	// an endpoint under it, or 0.
	trials []fescuebank.SuspectKey
	lostIn fescuebank.CrashID
}

// suspectKeys returns the keys of the request.
func (r *run) suspectKeys() []fescuebank.SuspectKey {
	if r.keys == nil {
		return r.request.SuspectKeys()
	}
	return r.keys
}

// RecordLost records a crash of the endpoint under the request, if the endpoint is down.
func (r *run) RecordLost(e fescuebank.ServedEndpoint) {
	i := r.isolator
	at := i.Clock.Now()
	if !i.IsDown(e.Addr) {
		return
	}
	lost := fescuebank.LostRequest{Keys: r.suspectKeys(), Trials: r.trials}
	i.mu.Lock()
	defer i.mu.Unlock()
	r.lostIn = e.CrashID()
	i.evidence.add(e.CrashID(), at, true, lost)
	i.Log.Warn("Endpoint crashed under a request.", "request", string(r.request.ID), "team", string(r.request.Team),
		"endpoint", string(e.ID), "started", e.StartedUnixMilli, "suspects", names(lost.Keys), "trials", names(r.trials))
	i.Announce()
}

// RecordCompleted clears all suspects of the request.
func (r *run) RecordCompleted() {
	i := r.isolator
	if !i.knowsSuspects() {
		return
	}
	keys := r.suspectKeys()
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, key := range keys {
		for _, id := range i.complete(key, now, true) {
			i.remove(id)
		}
	}
	i.Announce()
}

// Leave lets the next run of the suspects begin, after a crash not before it was evaluated.
func (r *run) Leave() {
	if len(r.trials) == 0 {
		return
	}
	i := r.isolator
	lostIn := r.crash()
	if lostIn == 0 {
		i.endTrials(r.trials)
		return
	}
	go func() {
		_ = fescuebank.Sleep(context.Background(), i.Clock, settleMargin+i.Lag())
		i.evaluate(lostIn, r.suspectKeys())
		i.endTrials(r.trials)
	}()
}

// crash returns the crash of an endpoint under the run, or 0.
func (r *run) crash() fescuebank.CrashID {
	r.isolator.mu.Lock()
	defer r.isolator.mu.Unlock()
	return r.lostIn
}

// names returns the texts of keys in the log.
func names(keys []fescuebank.SuspectKey) []string {
	list := make([]string, 0, len(keys))
	for _, key := range keys {
		list = append(list, name(key))
	}
	return list
}
