package relayer

import (
	"context"
	"errors"
	"io"
	"time"

	"fescuebank"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/entry/allocator"
)

// attemptGuarded makes one attempt if the request may run. It reports whether the request has
// ended, and its error.
func (t *transfer) attemptGuarded(ctx context.Context) (ended bool, err error) {
	now := t.clock.Now()
	t.guarded, err = t.guard.Enter(ctx, t.request, t.slotRequest(now).Deadline.Sub(now))
	if err != nil {
		return true, t.finalError(ctx, err)
	}
	defer t.guarded.Leave()
	slot, err := t.acquire(ctx)
	if err != nil {
		return true, t.finalError(ctx, err)
	}
	if t.runs == 0 && !t.headerSent && t.late() {
		slot.Release()
		return true, refusalAtShutdown()
	}
	done, err := t.attempt(ctx, slot)
	for moved := t.endAttempt(slot); moved != nil; moved = t.endAttempt(moved.slot) {
		done, err = t.continueAt(ctx, moved)
	}
	if done {
		return true, err
	}
	if ctx.Err() != nil || t.attempts >= maxAttempts || (t.runs > 0 && !t.mayRunAgain()) {
		return true, t.finalError(ctx, err)
	}
	return false, nil
}

// endAttempt releases the slot of an attempt that has ended, and returns the attempt at which
// the stream continues, or nil.
func (t *transfer) endAttempt(slot *allocator.Slot) *movedAttempt {
	moved, asked, runs := t.stalls.stop()
	t.tried = append(t.tried, asked...)
	t.attempts += len(asked)
	t.runs += runs
	slot.Release()
	return moved
}

// slotRequest describes the slot for the next attempt.
func (t *transfer) slotRequest(now time.Time) allocator.SlotRequest {
	r := t.request
	objective := t.objective()
	request := allocator.SlotRequest{
		Service: r.Service, Prefix: r.PrefixKey(), Tried: t.tried, Priority: r.Priority,
		Team: r.Team, Cost: r.Cost(), Spent: r.Spent(),
		ReconsiderAt: r.Arrived.Add(time.Duration(reconsiderShare * float64(objective))),
	}
	switch {
	case t.begun:
		request.Version, request.Resuming, request.ReconsiderAt = t.version, true, time.Time{}
		request.Deadline = now.Add(maxResumeWait)
	case t.attempts > 0:
		request.Deadline = now.Add(time.Duration(maxWaitShare * float64(objective)))
	default:
		request.Deadline = r.Arrived.Add(time.Duration(maxWaitShare * float64(objective)))
	}
	if request.Deadline.After(r.Deadline) {
		request.Deadline = r.Deadline
	}
	return request
}

// acquire returns the slot for the next attempt.
func (t *transfer) acquire(ctx context.Context) (*allocator.Slot, error) {
	now := t.clock.Now()
	slot, err := t.allocator.Acquire(ctx, t.slotRequest(now))
	if err != nil {
		return nil, err
	}
	t.slotWait = t.clock.Now().Sub(now)
	t.enter(slot)
	return slot, nil
}

// enter makes the slot's endpoint that of the current attempt.
func (t *transfer) enter(slot *allocator.Slot) {
	t.slot, t.endpoint, t.slotLoad, t.attemptBegun = slot, slot.Endpoint, slot.Load, false
	t.attemptHealth = &attemptHealth{health: t.health, id: slot.Endpoint.ID}
}

// attempt sends the request to one endpoint. It reports whether the request is finished,
// and its error.
func (t *transfer) attempt(ctx context.Context, slot *allocator.Slot) (done bool, err error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.tried = append(t.tried, slot.Endpoint.ID)
	t.attempts++
	t.stalls = t.watchStalls(ctx, slot, cancel)
	stopHeaderWatch := t.watchHeaderWait(t.attemptHealth)
	resp, err := t.send(attemptCtx, slot, t.lastEvent)
	stopHeaderWatch()
	if err != nil {
		t.recordFailure(ctx, slot.Endpoint, err)
		return false, err
	}
	return t.receive(ctx, slot, resp)
}

// continueAt relays the rest of a stream from the endpoint that it has moved to.
func (t *transfer) continueAt(ctx context.Context, moved *movedAttempt) (done bool, err error) {
	defer moved.cancel()
	t.enter(moved.slot)
	t.log.Info("Stream moved from a silent endpoint.", "request", string(t.request.ID), "endpoint", string(t.endpoint.ID), "lastEvent", t.lastEvent)
	t.stalls = t.watchStalls(ctx, moved.slot, moved.cancel)
	return t.receive(ctx, moved.slot, moved.response)
}

// send sends the request to the slot's endpoint, for the events after lastEvent. It changes
// nothing in t.
func (t *transfer) send(ctx context.Context, slot *allocator.Slot, lastEvent string) (*exchanger.Response, error) {
	target := exchanger.Target{Endpoint: slot.Endpoint, Accepts: slot.Accepts}
	return t.exchanger.Send(ctx, target, t.request, exchanger.Attempt{TimeLeft: t.request.Deadline.Sub(t.clock.Now()), LastEvent: lastEvent})
}

// receive relays the response of the current attempt.
func (t *transfer) receive(ctx context.Context, slot *allocator.Slot, resp *exchanger.Response) (done bool, err error) {
	defer resp.Finish()
	t.sendDelay = slot.HeldAt(resp.SentAt)
	t.framing, t.through = resp.Framing(), resp.Through()
	if !t.stalls.pause() {
		resp.Abort()
		t.runs++
		return false, errMoved
	}
	if resp.Info.Load != nil {
		t.reportedLoad = *resp.Info.Load
	}
	t.observe(slot, resp)
	if resp.Info.NotRun {
		return false, t.handleRefusal(slot.Endpoint, resp)
	}
	t.runs++
	return t.forward(ctx, resp)
}

// observe applies what an endpoint states of itself in its response. It changes nothing in t.
func (t *transfer) observe(slot *allocator.Slot, resp *exchanger.Response) {
	if slot.ObserveResponse(resp.Info) {
		t.log.Info("Endpoint states that it leaves.", "request", string(t.request.ID), "endpoint", string(slot.Endpoint.ID), "started", slot.Endpoint.StartedUnixMilli)
	}
}

// recordFailure records an attempt without a valid response. One that ended because the
// caller disconnected or the request's deadline passed says nothing about the endpoint's
// health.
func (t *transfer) recordFailure(ctx context.Context, e fescuebank.ServedEndpoint, err error) {
	if !errors.Is(err, exchanger.ErrUnreachable) {
		t.runs++
	}
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, exchanger.ErrLeft) {
		t.meter.Count("leftWhileConnecting", string(t.request.Service))
		return
	}
	t.attemptHealth.record(false)
	t.allocator.Exclude(e.ID, allocator.ExclusionTime)
	t.exchanger.CloseIdle(e.Addr)
	t.log.Info("Attempt failed.", append(t.lossDetails(), "endpoint", string(e.ID), "started", e.StartedUnixMilli, "err", err.Error())...)
	if errors.Is(err, exchanger.ErrBroken) {
		t.guarded.RecordLost(e)
	}
}

// errNotRun is the cause of an attempt that the endpoint refused without running the
// request.
var errNotRun = errors.New("endpoint refused the request")

func (t *transfer) handleRefusal(e fescuebank.ServedEndpoint, resp *exchanger.Response) error {
	resp.SetReadDeadline(t.clock.Now().Add(refusalBodyTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxBufferedBytes))
	if resp.Info.Misdirected {
		t.allocator.Exclude(e.ID, allocator.ExclusionTime)
	}
	t.log.Debug("Endpoint refused the request.", "request", string(t.request.ID), "endpoint", string(e.ID), "status", resp.StatusCode)
	return errNotRun
}
