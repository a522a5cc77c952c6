package relayer

import (
	"context"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
)

// stallWatch moves an attempt of a resumable stream whose endpoint sends nothing for the
// progress timeout, as soon as another endpoint has a free slot. Until then the attempt
// continues, however long its endpoint is silent: silence alone never ends a response.
type stallWatch struct {
	allocator *allocator.Allocator
	// request is for a slot at an endpoint other than the ones tried.
	request  allocator.SlotRequest
	endpoint fescuebank.EndpointID
	timeout  time.Duration
	// cancel ends the attempt.
	cancel context.CancelFunc

	mu sync.Mutex
	// timer is nil if the stream may not move.
	timer *time.Timer
	// stopped is set when the attempt has ended, after which no slot is acquired.
	stopped bool
	// slot is where the stream continues; nil until it was acquired.
	slot *allocator.Slot
}

// watchStalls starts to watch the attempt that cancel ends.
func (t *transfer) watchStalls(cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{
		allocator: t.allocator, request: t.slotRequest(t.clock.Now()), endpoint: t.endpoint.ID,
		timeout: t.progressTimeout(), cancel: cancel,
	}
	route := t.request.Route
	if route.Resumable && t.runs+1 < route.Attempts && t.attempts < maxAttempts {
		w.mu.Lock()
		w.timer = time.AfterFunc(w.timeout, w.move)
		w.mu.Unlock()
	}
	return w
}

// progress restarts the timeout after the endpoint has sent something.
func (w *stallWatch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && w.slot == nil {
		w.timer.Reset(w.timeout)
	}
}

// bind restricts the endpoints at which the stream may continue, which has begun, to those of a
// software version.
func (w *stallWatch) bind(version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.request.Version, w.request.Resuming = version, true
}

// move acquires a slot at another endpoint and ends the attempt, or restarts the timeout if no
// slot is free.
func (w *stallWatch) move() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.slot != nil {
		return
	}
	w.allocator.Exclude(w.endpoint, allocator.ExclusionTime)
	w.slot = w.allocator.TryAcquire(w.request)
	if w.slot == nil {
		w.timer.Reset(w.timeout)
		return
	}
	w.cancel()
}

// stop ends the watch and returns the slot at which the stream continues, or nil.
func (w *stallWatch) stop() *allocator.Slot {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.slot
}
