package relayer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/entry/allocator"
)

// errMoved means that an attempt ended because the stream continues at another endpoint.
var errMoved = errors.New("stream continues at another endpoint")

// stallState is the state of a stallWatch.
type stallState int

const (
	// stallPaused means that the endpoint is not waited for.
	stallPaused stallState = iota
	// stallWaiting means that the timer runs.
	stallWaiting
	// stallAsking means that another endpoint has been asked to continue the stream.
	stallAsking
	// stallMoved means that the other endpoint has begun to do so.
	stallMoved
	// stallEnded means that the attempt has ended where it began.
	stallEnded
)

// stallWatch moves an attempt of a resumable stream whose endpoint sends nothing for the progress
// timeout. It asks another endpoint to continue the stream and ends the attempt once that one has begun
// to respond. Until then the attempt goes on, however long its endpoint is silent: silence alone
// never ends a response.
type stallWatch struct {
	transfer *transfer
	slot     *allocator.Slot
	guarded  fescuebank.GuardedRun
	// ctx is the request's context, and cancel ends the attempt.
	ctx      context.Context
	cancel   context.CancelFunc
	endpoint fescuebank.EndpointID
	timeout  time.Duration
	// maxAsked and maxRuns bound the endpoints asked and those of them that may run the request.
	maxAsked, maxRuns int

	mu    sync.Mutex
	state stallState
	timer *time.Timer
	// waitingSince is when the state stallWaiting began.
	waitingSince time.Time
	// request is for a slot at an endpoint that was not tried.
	request   allocator.SlotRequest
	lastEvent string
	// asked are the endpoints asked so far. runs counts those that may have run the request in vain.
	asked []fescuebank.EndpointID
	runs  int
	// cancelAsk ends the request to the endpoint that is being asked.
	cancelAsk context.CancelFunc
	// moved is set in the state stallMoved.
	moved *movedAttempt
}

// movedAttempt is an attempt at another endpoint that has begun to respond.
type movedAttempt struct {
	slot     *allocator.Slot
	response *exchanger.Response
	// cancel ends the attempt.
	cancel context.CancelFunc
}

// watchStalls starts to watch the attempt in a slot that cancel ends.
func (t *transfer) watchStalls(ctx context.Context, slot *allocator.Slot, cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{
		transfer: t, slot: slot, guarded: t.guarded, ctx: ctx, cancel: cancel, endpoint: t.endpoint.ID, timeout: t.progressTimeout(),
		request: t.slotRequest(t.clock.Now()), lastEvent: t.lastEvent,
	}
	if t.request.Route.Resumable {
		w.maxAsked = maxAttempts - t.attempts
		w.maxRuns = t.request.Route.Attempts - t.runs - 1
	}
	w.wait(t.lastEvent)
	t.watches.add(w)
	return w
}

// wait starts the timeout. lastEvent is the last event that was relayed.
func (w *stallWatch) wait(lastEvent string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEvent = lastEvent
	if w.state == stallPaused {
		w.startTimer()
	}
}

// startTimer starts the timeout if another endpoint may be asked. The caller holds the lock.
func (w *stallWatch) startTimer() {
	w.state, w.waitingSince = stallWaiting, w.transfer.clock.Now()
	if w.mayAsk() {
		since := w.waitingSince
		w.timer = time.AfterFunc(w.timeout, func() { w.move(since) })
	}
}

// mayAsk reports whether another endpoint may be asked. The caller holds the lock.
func (w *stallWatch) mayAsk() bool {
	return len(w.asked) < w.maxAsked && w.runs < w.maxRuns
}

// pause stops the timeout after the endpoint has sent something. It reports false if the stream
// has moved, so that nothing more from the endpoint may be relayed.
func (w *stallWatch) pause() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.halt(stallPaused)
	return w.state != stallMoved
}

// stop ends the watch. It returns the attempt at which the stream continues, or nil, the
// endpoints that were asked, and how many others of them may have run the request.
func (w *stallWatch) stop() (moved *movedAttempt, asked []fescuebank.EndpointID, runs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.transfer.watches.remove(w)
	w.halt(stallEnded)
	return w.moved, w.asked, w.runs
}

// halt stops the timer and the request to another endpoint, unless the stream has moved. The
// caller holds the lock.
func (w *stallWatch) halt(next stallState) {
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.state == stallMoved || w.state == stallEnded {
		return
	}
	if w.state == stallAsking {
		w.cancelAsk()
		w.runs++
	}
	w.state = next
}

// bind restricts the endpoints at which the stream, which has begun, may continue to those of a
// software version.
func (w *stallWatch) bind(version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.request.Version, w.request.Resuming = version, true
}

// move asks an endpoint with a free slot to continue the stream, unless the wait that began at a time has ended.
func (w *stallWatch) move(since time.Time) {
	slot, ctx, lastEvent := w.ask(since)
	if slot == nil {
		return
	}
	response, err := w.transfer.send(ctx, slot, lastEvent)
	if errors.Is(err, exchanger.ErrBroken) && ctx.Err() == nil {
		w.guarded.RecordLost(slot.Endpoint)
	}
	if err == nil && !continuesStream(response) {
		w.transfer.observe(slot, response)
		response.Abort()
		err = errCorrupted
		if response.Info.NotRun {
			err = errNotRun
		}
	}
	if !w.conclude(slot, response, err) {
		slot.Release()
	}
}

// continuesStream reports whether a response is that of an endpoint that runs the request.
func continuesStream(r *exchanger.Response) bool {
	return !r.Info.NotRun && r.StatusCode == http.StatusOK && r.IsIntact()
}

// ask acquires the slot of the endpoint to ask. It returns nil if the wait that began at a time has ended, and if
// no slot is free; then it waits for another timeout.
func (w *stallWatch) ask(since time.Time) (*allocator.Slot, context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != stallWaiting || !w.waitingSince.Equal(since) {
		return nil, nil, ""
	}
	w.transfer.allocator.Exclude(w.endpoint, allocator.ExclusionTime)
	slot := w.transfer.allocator.TryAcquire(w.request)
	if slot == nil {
		w.startTimer()
		return nil, nil, ""
	}
	w.asked = append(w.asked, slot.Endpoint.ID)
	w.request.Tried = append(w.request.Tried[:len(w.request.Tried):len(w.request.Tried)], slot.Endpoint.ID)
	ctx, cancel := context.WithCancel(w.ctx)
	w.state, w.cancelAsk = stallAsking, cancel
	return slot, ctx, w.lastEvent
}

// conclude applies the response of the endpoint asked. It reports whether the stream has moved
// there.
func (w *stallWatch) conclude(slot *allocator.Slot, response *exchanger.Response, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != stallAsking {
		if err == nil {
			response.Abort()
		}
		return false
	}
	if err == nil {
		w.state, w.moved = stallMoved, &movedAttempt{slot: slot, response: response, cancel: w.cancelAsk}
		w.cancel()
		return true
	}
	if !errors.Is(err, errNotRun) && !errors.Is(err, exchanger.ErrUnreachable) {
		w.runs++
	}
	w.cancelAsk()
	w.startTimer()
	return false
}
