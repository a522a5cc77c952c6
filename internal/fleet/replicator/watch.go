package replicator

import (
	"context"
	"errors"
	"time"

	"fescuebank"
)

// maintain lists the prefix and then watches it until a call fails or a new list is needed.
// While other instances watch it, maintain only waits.
func (r *Replicator) maintain(ctx context.Context) error {
	listed := r.clock.Now()
	objects, version, err := r.list(ctx)
	if err != nil {
		r.recordFailure(ctx, err, listed)
		return err
	}
	r.recordContact()
	isFirst := !r.Listed()
	r.replace(objects, version)
	if isFirst {
		r.pauseWatch(ctx, r.firstPause)
	}
	pause := minPause
	for ctx.Err() == nil {
		if r.IsFollowing() {
			return r.waitWhileFollowing(ctx)
		}
		began := r.clock.Now()
		events, next, err := r.watch(ctx, version)
		if err != nil {
			// While a watch waits, it says nothing about whether the store answers.
			r.recordFailure(ctx, err, r.clock.Now())
			return err
		}
		r.recordContact()
		r.apply(events, next)
		version = next
		if r.clock.Now().Sub(began) > burstGap {
			pause = minPause
		}
		if len(events) > 0 {
			// Changes come in bursts. After the pause, one watch returns the rest of the
			// burst.
			r.pauseWatch(ctx, pause)
			pause = min(2*pause, r.maxPause())
		}
	}
	return ctx.Err()
}

// list lists the prefix. Before the first watch, a list may be out of date, unless the replica
// must be current from the start: the watch then reports what it lacks.
func (r *Replicator) list(ctx context.Context) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	if lister, ok := r.store.(fescuebank.StaleLister); ok && r.staleStart && !r.Listed() {
		return lister.ListStale(ctx, r.prefix)
	}
	objects, version, err := r.store.List(ctx, r.prefix)
	if err == nil {
		r.mu.Lock()
		r.confirmed = true
		r.mu.Unlock()
	}
	return objects, version, err
}

// waitWhileFollowing waits until the prefix has to be listed again: other instances no longer watch it,
// the grace period of missing objects has ended, or the first list has to be confirmed.
func (r *Replicator) waitWhileFollowing(ctx context.Context) error {
	for r.IsFollowing() && !r.mustConfirm() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.modeChanged:
		case <-r.graceEnd():
			return errRelist
		}
	}
	return errRelist
}

// mustConfirm reports whether the prefix has to be listed once more because the only list so far may be out
// of date.
func (r *Replicator) mustConfirm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmStart && !r.confirmed
}

// graceEnd returns a channel that receives at the end of the grace period of missing objects, or nil if none
// are kept.
func (r *Replicator) graceEnd() <-chan time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missingUntil) == 0 {
		return nil
	}
	return r.clock.After(r.recoveredAt.Add(missingGrace).Sub(r.clock.Now()))
}

// pauseWatch waits before the next watch, which will return the changes made meanwhile.
func (r *Replicator) pauseWatch(ctx context.Context, pause time.Duration) {
	r.setPausing(true)
	_ = fescuebank.Sleep(ctx, r.clock, pause)
	r.setPausing(false)
}

func (r *Replicator) setPausing(pausing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausing = pausing
}

// watch waits for events. It returns errRelist on a call of Relist, at the end of the grace
// period of missing objects, and if the store has lost the watch.
func (r *Replicator) watch(ctx context.Context, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := r.interrupt(ctx, cancel)
	started := r.clock.Now()
	events, next, err := r.store.Watch(ctx, r.prefix, from)
	stop() // A call of Relist up to now counts, even if the watch has already ended.
	if errors.Is(context.Cause(ctx), errFollow) {
		return nil, from, nil
	}
	if errors.Is(context.Cause(ctx), errRelist) || errors.Is(err, fescuebank.ErrWatchLost) {
		return nil, 0, errRelist
	}
	if err != nil {
		return nil, 0, err
	}
	if len(events) == 0 && r.clock.Now().Sub(started) < minWatchTime {
		_ = fescuebank.Sleep(ctx, r.clock, minWatchTime)
	}
	return events, next, nil
}

// interrupt cancels a watch on a call of Relist and at the end of the grace period of
// missing objects. It no longer does after stop has returned.
func (r *Replicator) interrupt(ctx context.Context, cancel context.CancelCauseFunc) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	due := r.graceEnd()
	go func() {
		defer close(ended)
		select {
		case <-r.relist:
			cancel(errRelist)
		case <-r.modeChanged:
			cancel(errFollow)
		case <-due:
			cancel(errRelist)
		case <-done:
		case <-ctx.Done():
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// recordContact records that the store has answered, which ends an outage.
func (r *Replicator) recordContact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.down {
		r.down = false
		r.recoveredAt = now
		r.recovering = true
		r.log.Info("Store is back.", "prefix", r.prefix, "awayMs", now.Sub(r.failingSince).Milliseconds())
	}
	r.lastContact, r.failingSince = now, time.Time{}
}

// recordFailure records a call that has failed, and since when the store hadn't answered it. An outage
// begins when calls have failed for outageThreshold.
func (r *Replicator) recordFailure(ctx context.Context, err error, since time.Time) {
	if errors.Is(err, errRelist) || ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingSince.IsZero() {
		r.failingSince = since
	}
	if r.down || r.clock.Now().Sub(r.failingSince) < outageThreshold {
		return
	}
	r.down = true
	r.log.Warn("Store is lost.", "prefix", r.prefix, "err", err.Error())
}
