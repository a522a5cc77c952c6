// Package runner runs the items of routed batch jobs in free endpoint slots, and
// preempts items when online requests need the slots.
package runner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/batch/pacer"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/endpoint/scanner"
	"fescuebank/internal/entry/allocator"
)

const (
	// checkInterval is how often the runner checks for free and needed slots without
	// being woken.
	checkInterval = 250 * time.Millisecond
	// minCheckInterval is the minimum time between two checks.
	minCheckInterval = 5 * time.Millisecond
	// idleTimeout is how long an endpoint may send nothing before the attempt ends.
	idleTimeout = 1500 * time.Millisecond
	// readBufferBytes is the size of the buffer for reads from an endpoint.
	readBufferBytes = 4 << 10
	// releaseTime is how long after its cancellation an item releases its slot, at most.
	releaseTime = 60 * time.Millisecond
)

// Config holds a runner's dependencies.
type Config struct {
	Manager   *manager.Manager
	Allocator *allocator.Allocator
	Exchanger *exchanger.Exchanger
	Protocol  fescuebank.EndpointProtocol
	Guard     fescuebank.CrashGuard
	// PeerBatchItems returns the number of batch items that the other instances run.
	PeerBatchItems func() int
	// Owners returns the number of instances that run batch items.
	Owners func() int
	// Lag returns the maximum age of the counts of the other instances.
	Lag   func() time.Duration
	Clock fescuebank.Clock
	Log   hclog.Logger
}

// Runner takes items from the manager and runs them at endpoints.
type Runner struct {
	Config
	wake chan struct{}

	mu sync.Mutex
	// running are the attempts in progress.
	running []*attempt
	pacer   *pacer.Pacer
	// stopped is set when no further item may start.
	stopped bool
}

// attempt is one item at one endpoint.
type attempt struct {
	task *manager.Task
	slot *allocator.Slot
	// cancel ends the attempt; preempted is set when it was called for a preemption.
	cancel    context.CancelFunc
	preempted bool
}

// New returns a runner.
func New(c Config) *Runner {
	return &Runner{Config: c, wake: make(chan struct{}, 1), pacer: pacer.New()}
}

// Wake makes Run check at once whether slots are free or needed.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run starts, preempts and expires items until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.preempt()
		r.startItems()
		r.Manager.Expire()
		_ = fescuebank.Sleep(ctx, r.Clock, minCheckInterval)
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-r.Clock.After(checkInterval):
		}
	}
}

// Stop cancels all running items and starts no more.
func (r *Runner) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for _, a := range r.running {
		a.cancel()
	}
}

// Running returns the number of items that this instance runs.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// preempt cancels items of services that run more batch items than their reserve allows, or
// whose slots of one software version are all taken while requests wait, those due last first.
// Each instance cancels its share of the excess, in proportion to the items that it runs.
func (r *Runner) preempt() {
	peerItems := r.PeerBatchItems()
	r.mu.Lock()
	defer r.mu.Unlock()
	own := make(map[fescuebank.ServiceName][]*attempt)
	for _, a := range r.running {
		own[a.task.Request.Service] = append(own[a.task.Request.Service], a)
	}
	for service, list := range own {
		excess, list := r.excess(service, list)
		running := slices.DeleteFunc(slices.Clone(list), func(a *attempt) bool { return a.preempted })
		count := r.pacer.Cancel(service, r.Clock.Now(), pacer.Load{
			Excess: excess, Running: len(running),
			Cancelled: len(list) - len(running), Others: peerItems, Lag: r.Lag() + releaseTime,
		})
		slices.SortFunc(running, func(a, b *attempt) int { return b.task.Due.Compare(a.task.Due) })
		for _, a := range running[:count] {
			a.preempted = true
			a.cancel()
		}
	}
}

// excess returns how many slots of a service batch items must release, and which of this
// instance's items hold such slots.
func (r *Runner) excess(service fescuebank.ServiceName, list []*attempt) (int, []*attempt) {
	if excess := r.Allocator.BatchExcess(service, pacer.MinReservedShare); excess > 0 {
		return excess, list
	}
	full, waiting := r.Allocator.FullVersions(service)
	if len(full) == 0 || waiting == 0 {
		return 0, list
	}
	return waiting, slices.DeleteFunc(list, func(a *attempt) bool { return !slices.Contains(full, a.slot.Endpoint.Version) })
}

// startItems starts items while items wait and pacer.StartReservedShare of their service's slots
// stays free.
func (r *Runner) startItems() {
	for {
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if stopped || !r.startOne() {
			return
		}
	}
}

func (r *Runner) startOne() bool {
	ctx, cancel := context.WithCancel(context.Background())
	task := r.Manager.NextTask(cancel)
	if task == nil {
		cancel()
		return false
	}
	slot := r.acquire(task.Request.Service, task.Progress.Version)
	if slot == nil {
		r.Manager.Requeue(task, manager.CausePreempted, task.Progress)
		cancel()
		return false
	}
	a := &attempt{task: task, slot: slot, cancel: cancel}
	r.mu.Lock()
	r.running = append(r.running, a)
	r.mu.Unlock()
	go r.run(ctx, a)
	return true
}

// acquire returns a slot for an item whose progress is of a software version, preferably at an
// endpoint of that version. It returns nil if this instance may not take one now.
func (r *Runner) acquire(service fescuebank.ServiceName, version string) *allocator.Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	room := pacer.Room{
		Free: r.Allocator.BatchRoom(service, pacer.StartReservedShare), Instances: r.Owners(), Lag: r.Lag(),
	}
	if !r.pacer.MayStart(service, now, room) {
		return nil
	}
	slot := r.Allocator.AcquireBatch(service, version, pacer.StartReservedShare)
	if slot != nil {
		r.pacer.RecordStart(service, now)
	}
	return slot
}

func (r *Runner) run(ctx context.Context, a *attempt) {
	started := r.Clock.Now()
	a.task.Progress = a.task.Progress.ContinuedAt(a.slot.Endpoint.Version)
	progress := a.task.Progress
	progress.Output = slices.Clip(progress.Output)
	cause, err := r.attempt(ctx, a, &progress)
	a.cancel()
	a.slot.Release()
	r.mu.Lock()
	r.running = slices.DeleteFunc(r.running, func(x *attempt) bool { return x == a })
	r.mu.Unlock()
	r.report(a, cause, err, progress, started)
	r.Wake()
}

// errRejected means that the endpoint rejected the item as invalid, so that no other
// attempt can succeed.
var errRejected = errors.New("endpoint rejected the item permanently")

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
		"endpoint", string(a.slot.Endpoint.ID), "started", a.slot.Endpoint.StartedUnixMilli, "endpointVersion", a.slot.Endpoint.Version, "load", a.slot.Load,
		"events", progress.Events, "ms", took.Milliseconds(),
		"slackMs", a.task.Due.Sub(r.Clock.Now()).Milliseconds(), "outcome", outcome)
}

// attempt runs an item once and appends the generated output to progress.
func (r *Runner) attempt(ctx context.Context, a *attempt, progress *fescuebank.Progress) (manager.Cause, error) {
	request, endpoint := a.task.Request, a.slot.Endpoint
	run := r.observe(request)
	defer run.Leave()
	header := make(http.Header, len(request.Header)+4)
	r.Protocol.Encode(header, request, endpoint, max(time.Second, request.Deadline.Sub(r.Clock.Now())))
	if progress.Last != "" {
		r.Protocol.Resume(header, progress.Last)
	}
	exchange, cancel := context.WithCancel(ctx)
	defer cancel()
	headTimer := time.AfterFunc(idleTimeout, cancel)
	response, err := r.Exchanger.Send(exchange, endpoint.Addr, request, header)
	timedOut := !headTimer.Stop()
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
	if response.Info.Load != nil {
		a.slot.Observe(*response.Info.Load)
	}
	if response.Info.StatesLeaving(endpoint.ID) && a.slot.MarkLeaving() {
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
	case response.StatusCode == http.StatusUnprocessableEntity:
		return 0, errRejected
	case response.StatusCode == http.StatusInternalServerError:
		return manager.CauseItemFailed, errItemFailed
	case response.StatusCode/100 != 2 || !response.Info.Signed:
		return manager.CauseInterrupted, errCorrupted
	}
	eventsBefore := progress.Events
	if err := r.readEvents(response, progress); err != nil {
		response.Abort()
		cause := r.excludeEndpoint(ctx, endpoint, err)
		if progress.Events == eventsBefore && exchange.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
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

// observe returns the guarded run of an item.
func (r *Runner) observe(request *fescuebank.Request) fescuebank.GuardedRun {
	observed := *request
	observed.Prompt = r.Protocol.Prompt(request.Header)
	return r.Guard.Observe(&observed)
}

// Errors of an attempt.
var (
	errNotRun     = errors.New("endpoint did not execute the item")
	errItemFailed = errors.New("endpoint reported that the item failed")
	errCorrupted  = errors.New("response corrupted")
	errEventOrder = errors.New("event out of order")
)

// excludeEndpoint excludes a failed endpoint for allocator.ExclusionTime and closes its
// idle connections, unless this instance cancelled the attempt. It returns the cause of
// the attempt's end.
func (r *Runner) excludeEndpoint(ctx context.Context, endpoint fescuebank.ServedEndpoint, err error) manager.Cause {
	if ctx.Err() != nil {
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
func (r *Runner) readEvents(response *exchanger.Response, progress *fescuebank.Progress) error {
	var events scanner.Scanner
	buffer := make([]byte, readBufferBytes)
	for {
		response.SetReadDeadline(r.Clock.Now().Add(idleTimeout))
		count, err := response.Read(buffer)
		for _, e := range scanner.Events(events.Feed(buffer[:count])) {
			if err := appendEvent(progress, e); err != nil {
				return err
			}
		}
		if err := events.Err(); err != nil {
			return err
		}
		if err == io.EOF {
			if events.Partial() || progress.Events == 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// appendEvent appends an event's data to the output. The event must directly follow the
// last one.
func appendEvent(progress *fescuebank.Progress, e scanner.Event) error {
	if e.ID == "" || !follows(progress.Last, e.ID) {
		return errEventOrder
	}
	if progress.Events > 0 {
		progress.Output = append(progress.Output, '\n')
	}
	progress.Output = append(progress.Output, e.Data...)
	progress.Events++
	progress.Last = e.ID
	return nil
}
