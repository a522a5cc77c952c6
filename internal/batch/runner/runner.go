// Package runner runs the items of batch jobs at endpoints with room to spare,
// and gives the room back when callers need it.
package runner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/endpoint/scanner"
	"fescuebank/internal/entry/allocator"
)

const (
	// startHeadroom is the share of a service's places that stays free when an
	// item starts; keepHeadroom the share below which items yield.
	startReserve = 0.10
	keepReserve  = 0.04
	// tick is how often the runner looks without being told.
	checkInterval = 250 * time.Millisecond
	// leastGap is the least time between two looks.
	minCheckInterval = 5 * time.Millisecond
	// silence is how long an endpoint may send nothing before an attempt ends.
	idleTimeout = 1500 * time.Millisecond
	// readBytes is the size of a read from an endpoint.
	readBufferBytes = 4 << 10
)

// Config is what a runner works with.
type Config struct {
	Manager   *manager.Manager
	Allocator *allocator.Allocator
	Exchanger *exchanger.Exchanger
	Protocol  fescuebank.EndpointProtocol
	// PeerBatchItems returns how many batch items the other instances run.
	PeerBatchItems func() int
	Clock          fescuebank.Clock
	Log            hclog.Logger
}

// Runner runs items.
type Runner struct {
	Config
	wake chan struct{}

	mu sync.Mutex
	// running are the items that run here.
	running []*attempt
	// stopped is set once no item may start any more.
	stopped bool
}

// attempt is one item at one endpoint.
type attempt struct {
	task *manager.Task
	slot *allocator.Slot
	// cancel ends the attempt; yields is set once it was asked to.
	cancel    context.CancelFunc
	preempted bool
}

// New returns a runner.
func New(c Config) *Runner {
	return &Runner{Config: c, wake: make(chan struct{}, 1)}
}

// Wake makes the runner look for room and for pressure.
func (n *Runner) Wake() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run starts and ends items until ctx ends.
func (n *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		n.preempt()
		n.startItems()
		n.Manager.Expire()
		_ = fescuebank.Sleep(ctx, n.Clock, minCheckInterval)
		select {
		case <-ctx.Done():
		case <-n.wake:
		case <-n.Clock.After(checkInterval):
		}
	}
}

// Stop ends all items and starts no more.
func (n *Runner) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	for _, t := range n.running {
		t.cancel()
	}
}

// Running returns the number of items that run here.
func (n *Runner) Running() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.running)
}

// yield ends this instance's part of the items that must make room, those due
// last first.
func (n *Runner) preempt() {
	peerItems := n.PeerBatchItems()
	n.mu.Lock()
	defer n.mu.Unlock()
	own := make(map[fescuebank.ServiceName][]*attempt)
	for _, t := range n.running {
		own[t.task.Request.Service] = append(own[t.task.Request.Service], t)
	}
	for service, list := range own {
		excess := n.Allocator.BatchExcess(service, keepReserve)
		if excess == 0 {
			continue
		}
		preempted := 0
		for _, t := range list {
			if t.preempted {
				preempted++
			}
		}
		part := (excess*len(list) + len(list) + peerItems - 1) / (len(list) + peerItems)
		slices.SortFunc(list, func(a, b *attempt) int { return b.task.Due.Compare(a.task.Due) })
		for _, t := range list {
			if preempted >= part {
				break
			}
			if t.preempted {
				continue
			}
			t.preempted = true
			t.cancel()
			preempted++
		}
	}
}

// fill starts items while there is room to spare.
func (n *Runner) startItems() {
	for {
		n.mu.Lock()
		stopped := n.stopped
		n.mu.Unlock()
		if stopped || !n.startOne() {
			return
		}
	}
}

func (n *Runner) startOne() bool {
	ctx, cancel := context.WithCancel(context.Background())
	task := n.Manager.Take(cancel)
	if task == nil {
		cancel()
		return false
	}
	slot := n.Allocator.AcquireBatch(task.Request.Service, startReserve)
	if slot == nil {
		n.Manager.Requeue(task, manager.CausePreempted, task.Progress)
		cancel()
		return false
	}
	t := &attempt{task: task, slot: slot, cancel: cancel}
	n.mu.Lock()
	n.running = append(n.running, t)
	n.mu.Unlock()
	go n.run(ctx, t)
	return true
}

func (n *Runner) run(ctx context.Context, t *attempt) {
	started := n.Clock.Now()
	progress := t.task.Progress
	progress.Output = slices.Clip(progress.Output)
	cause, err := n.attempt(ctx, t, &progress)
	t.cancel()
	t.slot.Release()
	n.mu.Lock()
	n.running = slices.DeleteFunc(n.running, func(x *attempt) bool { return x == t })
	n.mu.Unlock()
	n.report(t, cause, err, progress, started)
	n.Wake()
}

// errRejected means that the endpoint says that the item can never be done.
var errRejected = errors.New("item can't be done")

// settle reports the end of an attempt.
func (n *Runner) report(t *attempt, cause manager.Cause, err error, progress fescuebank.Progress, started time.Time) {
	outcome := "completed"
	switch {
	case err == nil:
		n.Manager.Finish(t.task, false, progress.Output)
	case errors.Is(err, errRejected):
		outcome = err.Error()
		n.Manager.Finish(t.task, true, nil)
	default:
		outcome = err.Error()
		if t.preempted {
			cause, outcome = manager.CausePreempted, "yielded"
		}
		n.Manager.Requeue(t.task, cause, progress)
	}
	n.Log.Info("Item attempted.", "request", string(t.task.Request.ID), "team", string(t.task.Request.Team),
		"endpoint", string(t.slot.Endpoint.ID), "started", t.slot.Endpoint.Started, "load", t.slot.Load,
		"events", progress.Events, "ms", n.Clock.Now().Sub(started).Milliseconds(),
		"slackMs", t.task.Due.Sub(n.Clock.Now()).Milliseconds(), "outcome", outcome)
}

// attempt runs an item once and adds what is generated to progress.
func (n *Runner) attempt(ctx context.Context, t *attempt, progress *fescuebank.Progress) (manager.Cause, error) {
	r, e := t.task.Request, t.slot.Endpoint
	h := make(http.Header, len(r.Header)+4)
	n.Protocol.Encode(h, r, e, max(time.Second, r.Deadline.Sub(n.Clock.Now())))
	if progress.Last != "" {
		n.Protocol.Resume(h, progress.Last)
	}
	exchange, cancel := context.WithCancel(ctx)
	defer cancel()
	headTimer := time.AfterFunc(idleTimeout, cancel)
	response, err := n.Exchanger.Send(exchange, e.Addr, r, h)
	headTimer.Stop()
	if err != nil {
		return n.excludeEndpoint(ctx, e, err), err
	}
	defer response.Finish()
	if response.Info.Load != nil {
		t.slot.Observe(*response.Info.Load)
	}
	if response.Info.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(response, readBufferBytes))
		if response.Info.Misdirected {
			n.Allocator.Exclude(e.ID, allocator.ExclusionTime)
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
	if err := n.readEvents(response, progress); err != nil {
		response.Abort()
		return n.excludeEndpoint(ctx, e, err), err
	}
	return 0, nil
}

// Errors of an attempt.
var (
	errNotRun     = errors.New("endpoint refused")
	errItemFailed = errors.New("endpoint answered that the item failed")
	errCorrupted  = errors.New("answer spoiled")
	errEventOrder = errors.New("events not in order")
)

// failed leaves the endpoint out for a while, unless the attempt was ended here.
func (n *Runner) excludeEndpoint(ctx context.Context, e fescuebank.ServedEndpoint, err error) manager.Cause {
	if ctx.Err() != nil {
		return manager.CauseInterrupted
	}
	n.Allocator.Exclude(e.ID, allocator.ExclusionTime)
	n.Exchanger.CloseIdle(e.Addr)
	if errors.Is(err, exchanger.ErrUnreachable) {
		return manager.CauseNotRun
	}
	return manager.CauseInterrupted
}

// collect reads events to their proper end.
func (n *Runner) readEvents(a *exchanger.Response, progress *fescuebank.Progress) error {
	var events scanner.Scanner
	buffer := make([]byte, readBufferBytes)
	for {
		a.SetReadDeadline(n.Clock.Now().Add(idleTimeout))
		count, err := a.Read(buffer)
		for _, e := range scanner.Events(events.Feed(buffer[:count])) {
			if err := appendEvent(progress, e); err != nil {
				return err
			}
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

// add appends an event that follows the last one.
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
