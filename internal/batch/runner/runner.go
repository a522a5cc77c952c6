// Package runner runs the items of routed batch jobs in free endpoint slots, and
// preempts items when online requests need the slots.
package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/batch/pacer"
	"fescuebank/internal/batch/planner"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/endpoint/profiler"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/load/forecaster"
)

const (
	// checkInterval is how often the runner checks for free and needed slots without
	// being woken.
	checkInterval = 250 * time.Millisecond
	// minCheckInterval is the minimum time between two checks.
	minCheckInterval = 5 * time.Millisecond
	// idleTimeout is how long an endpoint may send nothing before the attempt ends.
	idleTimeout = 1500 * time.Millisecond
	// maxOutputBytes bounds the output of an item, so that it fits on one page of results.
	maxOutputBytes = 1 << 20
	// eventSlack is how many more events an item may bring than it allows: callers estimate its tokens.
	eventSlack = 4096
	// minItemTime is the time that an endpoint gets for an item at least.
	minItemTime = time.Second
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
	// Profiler times the items; nil if they are not timed.
	Profiler *profiler.Profiler
	Protocol fescuebank.EndpointProtocol
	Guard    fescuebank.CrashGuard
	// PeerBatchItems returns the number of batch items that the other instances run.
	PeerBatchItems func() int
	// Owners returns the number of instances that run batch items.
	Owners func() int
	// Lag returns the maximum age of the counts of the other instances.
	Lag func() time.Duration
	// Forecaster predicts the online load, and Planner the pauses of batch work. Without them nothing is
	// predicted.
	Forecaster fescuebank.LoadForecaster
	Planner    *planner.Planner
	Clock      fescuebank.Clock
	Log        hclog.Logger
}

// Runner takes items from the manager and runs them at endpoints.
type Runner struct {
	Config
	wake chan struct{}

	mu sync.Mutex
	// running are the attempts in progress.
	running []*attempt
	pacer   *pacer.Pacer
	// preempted counts the items that were cancelled for online requests.
	preempted uint64
	// stopped is set when no further item may start.
	stopped bool
}

// New returns a runner.
func New(c Config) *Runner {
	if c.Forecaster == nil {
		c.Forecaster = forecaster.New(c.Clock)
	}
	if c.Planner == nil {
		c.Planner = planner.New(c.Forecaster, c.Allocator.BatchSlots, c.Clock)
	}
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
		r.check()
		_ = fescuebank.Sleep(ctx, r.Clock, minCheckInterval)
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-r.Clock.After(checkInterval):
		}
	}
}

// check starts, preempts and expires items once. A panic ends this check only.
func (r *Runner) check() {
	defer func() {
		if panicked := recover(); panicked != nil {
			r.logPanic(panicked)
		}
	}()
	r.preempt()
	r.startItems()
	r.Manager.Expire()
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

// Preempted returns how many runs of items were cancelled for online requests so far.
func (r *Runner) Preempted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.preempted
}

// preempt cancels items of services that run more batch items than their reserve allows, or
// whose slots of one software version are all taken while requests wait, in planner.Order.
// Each instance cancels its share of the excess, in proportion to the items that it runs. Items at
// endpoints with a request limit go on: requests couldn't be sent there in their place.
func (r *Runner) preempt() {
	peerItems := r.PeerBatchItems()
	r.mu.Lock()
	defer r.mu.Unlock()
	own := make(map[fescuebank.ServiceName][]*attempt)
	for _, a := range r.running {
		if !a.slot.Limited() {
			own[a.task.Request.Service] = append(own[a.task.Request.Service], a)
		}
	}
	for service, list := range own {
		excess, list := r.excess(service, list)
		running := slices.DeleteFunc(slices.Clone(list), func(a *attempt) bool { return a.preempted })
		count := r.pacer.Cancel(service, r.Clock.Now(), pacer.Load{
			Excess: excess, Running: len(running),
			Cancelled: len(list) - len(running), Others: peerItems, Lag: r.Lag() + releaseTime,
		})
		for _, a := range r.firstToYield(service, running, count) {
			a.preempted = true
			r.preempted++
			a.cancel()
		}
	}
}

// firstToYield returns those count items of a service that yield first.
func (r *Runner) firstToYield(service fescuebank.ServiceName, running []*attempt, count int) []*attempt {
	if count == 0 {
		return nil
	}
	candidates := make([]planner.Candidate, len(running))
	for i, a := range running {
		candidates[i] = planner.Candidate{Index: i, Due: a.task.Due, Remaining: r.Manager.Remaining(a.task, int(a.events.Load()))}
	}
	planner.Order(candidates, r.Clock.Now(), r.Planner.Pause(service))
	list := make([]*attempt, count)
	for i := range list {
		list[i] = running[candidates[i].Index]
	}
	return list
}

// reserve returns what batch items of a service leave free now.
func (r *Runner) reserve(service fescuebank.ServiceName) pacer.Reserve {
	rise, known := pacer.ForecastRise(r.Forecaster, service, r.Clock.Now(), r.Lag()+releaseTime)
	return pacer.NewReserve(r.Allocator.BatchSlots(service), rise, known)
}

// excess returns how many slots of a service batch items must release, and which of this
// instance's items hold such slots.
func (r *Runner) excess(service fescuebank.ServiceName, list []*attempt) (int, []*attempt) {
	if excess := r.Allocator.BatchExcess(service, r.reserve(service).Keep); excess > 0 {
		return excess, list
	}
	full, waiting := r.Allocator.FullVersions(service)
	if len(full) == 0 || waiting == 0 {
		return 0, list
	}
	return waiting, slices.DeleteFunc(list, func(a *attempt) bool { return !slices.Contains(full, a.slot.Endpoint.Version) })
}

// rooms holds which services have room for one more item, as far as that was asked.
type rooms map[fescuebank.ServiceName]bool

// startItems starts items while items wait and the reserve of their service's slots stays free. A service without room holds up no
// other.
func (r *Runner) startItems() {
	known := make(rooms)
	for !r.isStopped() {
		if !r.startOne(known) {
			return
		}
	}
}

func (r *Runner) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// startOne starts the most urgent item whose service has room, unless another request takes the slot first. It returns false if there is
// none.
func (r *Runner) startOne(known rooms) bool {
	ctx, cancel := context.WithCancel(context.Background())
	task := r.Manager.NextTask(cancel, func(service fescuebank.ServiceName) bool { return r.hasRoom(service, known) })
	if task == nil {
		cancel()
		return false
	}
	slot := r.acquire(task.Request.Service, task.Progress.Version)
	if slot == nil {
		r.Manager.Requeue(task, manager.CausePreempted, task.Progress)
		cancel()
		known[task.Request.Service] = false
		return true
	}
	delete(known, task.Request.Service)
	a := &attempt{task: task, slot: slot, cancel: cancel}
	r.mu.Lock()
	r.running = append(r.running, a)
	r.mu.Unlock()
	go r.run(ctx, a)
	return true
}

// hasRoom reports whether a service has room for one more item of this instance, and adds it to what is known.
func (r *Runner) hasRoom(service fescuebank.ServiceName, known rooms) bool {
	has, isKnown := known[service]
	if !isKnown {
		r.mu.Lock()
		has = r.mayStart(service, r.reserve(service), r.Clock.Now())
		r.mu.Unlock()
		known[service] = has
	}
	return has
}

// mayStart reports whether this instance may start one more item of a service now. The caller holds mu.
func (r *Runner) mayStart(service fescuebank.ServiceName, reserve pacer.Reserve, now time.Time) bool {
	return r.pacer.MayStart(service, now, pacer.Room{
		Free: r.Allocator.BatchRoom(service, reserve.Start), Instances: r.Owners(), Lag: r.Lag(),
	})
}

// acquire returns a slot for an item whose progress is of a software version, preferably at an
// endpoint of that version. It returns nil if this instance may not take one now.
func (r *Runner) acquire(service fescuebank.ServiceName, version string) *allocator.Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	reserve := r.reserve(service)
	if !r.mayStart(service, reserve, now) {
		return nil
	}
	slot := r.Allocator.AcquireBatch(service, version, reserve.Start)
	if slot != nil {
		r.pacer.RecordStart(service, now)
	}
	return slot
}
