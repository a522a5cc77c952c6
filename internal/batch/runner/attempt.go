package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/endpoint/scanner"
	"fescuebank/internal/entry/allocator"
)

// attempt is one item at one endpoint.
type attempt struct {
	task *manager.Task
	slot *allocator.Slot
	// cancel ends the attempt; preempted is set when it was called for a preemption.
	cancel    context.CancelFunc
	preempted bool
	// events is the number of events that the item has generated.
	events atomic.Int64
	// sendDelay is the time from the choice of the endpoint until the item was sent there.
	sendDelay time.Duration
	// framing is that of the endpoint's response, and through the instance by which the endpoint was reached.
	framing exchanger.Framing
	through fescuebank.InstanceID
}

// attempt runs an item once and appends the generated output to progress.
func (r *Runner) attempt(ctx context.Context, a *attempt, progress *fescuebank.Progress) (manager.Cause, error) {
	request, endpoint := a.task.Request, a.slot.Endpoint
	run := r.observe(request)
	defer run.Leave()
	exchange, cancel := context.WithCancel(ctx)
	defer cancel()
	headTimer := time.AfterFunc(idleTimeout, cancel)
	response, err := r.Exchanger.Send(exchange, exchanger.Target{Endpoint: endpoint, Accepts: a.slot.Accepts}, request, exchanger.Attempt{
		TimeLeft: max(minItemTime, request.Deadline.Sub(r.Clock.Now())), LastEvent: progress.Last,
	})
	timedOut := !headTimer.Stop()
	if errors.Is(err, exchanger.ErrMalformed) {
		return 0, errRejected
	}
	if err != nil {
		cause := r.excludeEndpoint(ctx, endpoint, err)
		if errors.Is(err, exchanger.ErrBroken) && exchange.Err() == nil {
			run.RecordLost(endpoint)
		}
		if timedOut && ctx.Err() == nil {
			// The item waited in the endpoint's queue, which says nothing about the item.
			cause = manager.CauseNotRun
		}
		return cause, err
	}
	defer response.Finish()
	a.sendDelay = a.slot.HeldAt(response.SentAt)
	a.framing, a.through = response.Framing(), response.Through()
	if a.slot.ObserveResponse(response.Info) {
		r.Log.Info("Endpoint states that it leaves.", "request", string(request.ID), "endpoint", string(endpoint.ID), "started", endpoint.StartedUnixMilli)
	}
	if response.Info.NotRun {
		response.SetReadDeadline(r.Clock.Now().Add(idleTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(response, readBufferBytes))
		if response.Info.Misdirected {
			r.Allocator.Exclude(endpoint.ID, allocator.ExclusionTime)
		}
		return manager.CauseNotRun, errNotRun
	}
	switch {
	case !response.IsIntact():
		return manager.CauseInterrupted, errCorrupted
	case response.StatusCode == http.StatusUnprocessableEntity:
		return 0, errRejected
	case response.StatusCode == http.StatusInternalServerError:
		return manager.CauseItemFailed, errItemFailed
	case response.StatusCode/100 != 2:
		return manager.CauseInterrupted, errCorrupted
	}
	before := *progress
	if err := r.readEvents(response, a, progress); err != nil {
		response.Abort()
		if errors.Is(err, errTooLong) {
			*progress = before // What an endpoint sends without end is no output.
		}
		cause := r.excludeEndpoint(ctx, endpoint, err)
		if progress.Events == before.Events && exchange.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			run.RecordLost(endpoint)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
			cause = manager.CauseSilent
		}
		return cause, err
	}
	run.RecordCompleted()
	return 0, nil
}

// errPanicked means that the code of an attempt panicked.
var errPanicked = errors.New("attempt panicked")

// attemptRecovering is attempt, but returns errPanicked after a panic.
func (r *Runner) attemptRecovering(ctx context.Context, a *attempt, progress *fescuebank.Progress) (cause manager.Cause, err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			r.logPanic(panicked, "request", string(a.task.Request.ID), "endpoint", string(a.slot.Endpoint.ID))
			cause, err = manager.CauseInterrupted, errPanicked
		}
	}()
	return r.attempt(ctx, a, progress)
}

// logPanic logs the cause of a panic and the stack.
func (r *Runner) logPanic(cause any, fields ...any) {
	r.Log.Error("Batch work panicked.", append(fields, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))...)
}

func (r *Runner) run(ctx context.Context, a *attempt) {
	started := r.Clock.Now()
	a.task.Progress = a.task.Progress.ContinuedAt(a.slot.Endpoint.Service, a.slot.Endpoint.Version)
	progress := a.task.Progress
	progress.Output = slices.Clip(progress.Output)
	a.events.Store(int64(progress.Events))
	cause, err := r.attemptRecovering(ctx, a, &progress)
	a.cancel()
	a.slot.Release()
	r.mu.Lock()
	r.running = slices.DeleteFunc(r.running, func(x *attempt) bool { return x == a })
	r.mu.Unlock()
	r.report(a, cause, err, progress, started)
	r.Wake()
}

// errRejected means that the endpoint rejected the item as invalid, or that it can't be written as a request, so that
// no other attempt can succeed.
var errRejected = errors.New("item rejected permanently")

// report passes the end of an attempt to the manager and logs it.
func (r *Runner) report(a *attempt, cause manager.Cause, err error, progress fescuebank.Progress, started time.Time) {
	took := r.Clock.Now().Sub(started)
	r.Manager.ObserveAttempt(a.task, progress, took, err == nil)
	outcome := "completed"
	switch {
	case err == nil:
		r.Manager.Finish(a.task, false, progress.Output)
	case errors.Is(err, errRejected):
		outcome = err.Error()
		r.Manager.Finish(a.task, true, nil)
	default:
		outcome = err.Error()
		if a.preempted {
			cause, outcome = manager.CausePreempted, "yielded"
		}
		r.Manager.Requeue(a.task, cause, progress)
	}
	r.Log.Info("Item attempted.", "request", string(a.task.Request.ID), "team", string(a.task.Request.Team),
		"endpoint", string(a.slot.Endpoint.ID), "started", a.slot.Endpoint.StartedUnixMilli, "endpointVersion", a.slot.Endpoint.Version,
		"entryRevision", uint64(a.slot.Endpoint.EntryVersion), "sendMs", a.sendDelay.Milliseconds(), "load", a.slot.Load,
		"body", fescuebank.BodyDigest(a.task.Request.Body),
		"framing", string(a.framing), "through", string(a.through), "events", progress.Events, "ms", took.Milliseconds(),
		"slackMs", a.task.Due.Sub(r.Clock.Now()).Milliseconds(), "outcome", outcome)
}

// observe returns the guarded run of an item.
func (r *Runner) observe(request *fescuebank.Request) fescuebank.GuardedRun {
	observed := *request
	observed.Prompt = r.Protocol.Prompt(request.Header)
	return r.Guard.Observe(&observed)
}

// excludeEndpoint excludes a failed endpoint for allocator.ExclusionTime and closes its
// idle connections, unless this instance cancelled the attempt or its time was up. It returns
// the cause of the attempt's end.
func (r *Runner) excludeEndpoint(ctx context.Context, endpoint fescuebank.ServedEndpoint, err error) manager.Cause {
	if ctx.Err() != nil || errors.Is(err, exchanger.ErrStopped) {
		return manager.CauseInterrupted
	}
	r.Allocator.Exclude(endpoint.ID, allocator.ExclusionTime)
	r.Exchanger.CloseIdle(endpoint.Addr)
	if errors.Is(err, exchanger.ErrUnreachable) {
		return manager.CauseNotRun
	}
	return manager.CauseInterrupted
}

// readEvents reads events until the response ends, which it must do after a complete
// event.
func (r *Runner) readEvents(response *exchanger.Response, a *attempt, progress *fescuebank.Progress) error {
	events := scanner.New(progress.Last)
	work := r.Profiler.Begin(a.slot.Endpoint, a.task.Request)
	buffer := make([]byte, readBufferBytes)
	response.SetReadDeadline(r.Clock.Now().Add(idleTimeout))
	for {
		count, err := response.Read(buffer)
		complete, arrived := events.Feed(buffer[:count])
		work.Arrived(arrived)
		if arrived > 0 {
			appendEvents(progress, scanner.Events(complete))
			if isTooLong(progress, a.task.MaxEvents) {
				return errTooLong
			}
			// Only events are progress: a stalled endpoint may send bytes now and then.
			response.SetReadDeadline(r.Clock.Now().Add(idleTimeout))
		}
		a.events.Store(int64(progress.Events))
		if err := events.Err(); err != nil {
			return err
		}
		if err == io.EOF {
			return events.End(response.IsCloseDelimited())
		}
		if err != nil {
			return err
		}
	}
}

// appendEvents appends the data of events to the output.
func appendEvents(progress *fescuebank.Progress, events []scanner.Event) {
	for _, e := range events {
		if progress.Events > 0 {
			progress.Output = append(progress.Output, '\n')
		}
		progress.Output = append(progress.Output, e.Data...)
		progress.Events++
		progress.Last = e.ID
	}
}

// isTooLong reports whether an output is longer than any of an item that allows a number of events; 0 means that it states
// none.
func isTooLong(progress *fescuebank.Progress, maxEvents int) bool {
	return len(progress.Output) > maxOutputBytes || (maxEvents > 0 && progress.Events > maxEvents+eventSlack)
}

// Errors of an attempt.
var (
	errNotRun     = errors.New("endpoint did not execute the item")
	errItemFailed = errors.New("endpoint reported that the item failed")
	errTooLong    = errors.New("output longer than the item allows")
	errCorrupted  = errors.New("response corrupted")
)
