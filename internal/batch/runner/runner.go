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
	startHeadroom = 0.10
	keepHeadroom  = 0.04
	// tick is how often the runner looks without being told.
	tick = 250 * time.Millisecond
	// leastGap is the least time between two looks.
	leastGap = 5 * time.Millisecond
	// silence is how long an endpoint may send nothing before an attempt ends.
	silence = 1500 * time.Millisecond
	// readBytes is the size of a read from an endpoint.
	readBytes = 4 << 10
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
	kick chan struct{}

	mu sync.Mutex
	// running are the items that run here.
	running []*attempt
	// stopped is set once no item may start any more.
	stopped bool
}

// attempt is one item at one endpoint.
type attempt struct {
	task  *manager.Task
	place *allocator.Slot
	// cancel ends the attempt; yields is set once it was asked to.
	cancel context.CancelFunc
	yields bool
}

// New returns a runner.
func New(c Config) *Runner {
	return &Runner{Config: c, kick: make(chan struct{}, 1)}
}

// Wake makes the runner look for room and for pressure.
func (n *Runner) Wake() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// Run starts and ends items until ctx ends.
func (n *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		n.yield()
		n.fill()
		n.Manager.Expire()
		_ = fescuebank.Sleep(ctx, n.Clock, leastGap)
		select {
		case <-ctx.Done():
		case <-n.kick:
		case <-n.Clock.After(tick):
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
func (n *Runner) yield() {
	others := n.PeerBatchItems()
	n.mu.Lock()
	defer n.mu.Unlock()
	own := make(map[fescuebank.ServiceName][]*attempt)
	for _, t := range n.running {
		own[t.task.Request.Service] = append(own[t.task.Request.Service], t)
	}
	for service, list := range own {
		excess := n.Allocator.BatchExcess(service, keepHeadroom)
		if excess == 0 {
			continue
		}
		yielding := 0
		for _, t := range list {
			if t.yields {
				yielding++
			}
		}
		part := (excess*len(list) + len(list) + others - 1) / (len(list) + others)
		slices.SortFunc(list, func(a, b *attempt) int { return b.task.Due.Compare(a.task.Due) })
		for _, t := range list {
			if yielding >= part {
				break
			}
			if t.yields {
				continue
			}
			t.yields = true
			t.cancel()
			yielding++
		}
	}
}

// fill starts items while there is room to spare.
func (n *Runner) fill() {
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
	place := n.Allocator.AcquireBatch(task.Request.Service, startHeadroom)
	if place == nil {
		n.Manager.Requeue(task, manager.CausePreempted, task.Progress)
		cancel()
		return false
	}
	t := &attempt{task: task, place: place, cancel: cancel}
	n.mu.Lock()
	n.running = append(n.running, t)
	n.mu.Unlock()
	go n.run(ctx, t)
	return true
}

func (n *Runner) run(ctx context.Context, t *attempt) {
	began := n.Clock.Now()
	progress := t.task.Progress
	progress.Output = slices.Clip(progress.Output)
	cause, err := n.attempt(ctx, t, &progress)
	t.cancel()
	t.place.Release()
	n.mu.Lock()
	n.running = slices.DeleteFunc(n.running, func(x *attempt) bool { return x == t })
	n.mu.Unlock()
	n.settle(t, cause, err, progress, began)
	n.Wake()
}

// errRejected means that the endpoint says that the item can never be done.
var errRejected = errors.New("item can't be done")

// settle reports the end of an attempt.
func (n *Runner) settle(t *attempt, cause manager.Cause, err error, progress fescuebank.Progress, began time.Time) {
	outcome := "completed"
	switch {
	case err == nil:
		n.Manager.Finish(t.task, false, progress.Output)
	case errors.Is(err, errRejected):
		outcome = err.Error()
		n.Manager.Finish(t.task, true, nil)
	default:
		outcome = err.Error()
		if t.yields {
			cause, outcome = manager.CausePreempted, "yielded"
		}
		n.Manager.Requeue(t.task, cause, progress)
	}
	n.Log.Info("Item attempted.", "request", string(t.task.Request.ID), "team", string(t.task.Request.Team),
		"endpoint", string(t.place.Endpoint.ID), "started", t.place.Endpoint.Started, "load", t.place.Load,
		"events", progress.Events, "ms", n.Clock.Now().Sub(began).Milliseconds(),
		"slackMs", t.task.Due.Sub(n.Clock.Now()).Milliseconds(), "outcome", outcome)
}

// attempt runs an item once and adds what is generated to progress.
func (n *Runner) attempt(ctx context.Context, t *attempt, progress *fescuebank.Progress) (manager.Cause, error) {
	r, e := t.task.Request, t.place.Endpoint
	h := make(http.Header, len(r.Header)+4)
	n.Protocol.Encode(h, r, e, max(time.Second, r.Deadline.Sub(n.Clock.Now())))
	if progress.Last != "" {
		n.Protocol.Resume(h, progress.Last)
	}
	exchange, cancel := context.WithCancel(ctx)
	defer cancel()
	head := time.AfterFunc(silence, cancel)
	answer, err := n.Exchanger.Send(exchange, e.Addr, r, h)
	head.Stop()
	if err != nil {
		return n.failed(ctx, e, err), err
	}
	defer answer.Finish()
	if answer.Info.Load != nil {
		t.place.Observe(*answer.Info.Load)
	}
	if answer.Info.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, readBytes))
		if answer.Info.Misdirected {
			n.Allocator.Exclude(e.ID, allocator.ExclusionTime)
		}
		return manager.CauseNotRun, errNotRun
	}
	switch {
	case answer.StatusCode == http.StatusUnprocessableEntity:
		return 0, errRejected
	case answer.StatusCode == http.StatusInternalServerError:
		return manager.CauseItemFailed, errFailed
	case answer.StatusCode/100 != 2 || !answer.Info.Signed:
		return manager.CauseInterrupted, errSpoiled
	}
	if err := n.collect(answer, progress); err != nil {
		answer.Abort()
		return n.failed(ctx, e, err), err
	}
	return 0, nil
}

// Errors of an attempt.
var (
	errNotRun  = errors.New("endpoint refused")
	errFailed  = errors.New("endpoint answered that the item failed")
	errSpoiled = errors.New("answer spoiled")
	errGap     = errors.New("events not in order")
)

// failed leaves the endpoint out for a while, unless the attempt was ended here.
func (n *Runner) failed(ctx context.Context, e fescuebank.ServedEndpoint, err error) manager.Cause {
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
func (n *Runner) collect(a *exchanger.Response, progress *fescuebank.Progress) error {
	var events scanner.Scanner
	buffer := make([]byte, readBytes)
	for {
		a.SetReadDeadline(n.Clock.Now().Add(silence))
		count, err := a.Read(buffer)
		for _, e := range scanner.Events(events.Feed(buffer[:count])) {
			if err := add(progress, e); err != nil {
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
func add(progress *fescuebank.Progress, e scanner.Event) error {
	if e.ID == "" || !follows(progress.Last, e.ID) {
		return errGap
	}
	if progress.Events > 0 {
		progress.Output = append(progress.Output, '\n')
	}
	progress.Output = append(progress.Output, e.Data...)
	progress.Events++
	progress.Last = e.ID
	return nil
}
