// Package dispatcher pulls batch items from the owners of their jobs and runs them on
// the endpoints that this instance owns.
package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

const (
	// checkInterval is how often the endpoints' batch limits are compared with the
	// running items.
	checkInterval = 20 * time.Millisecond
	// emptyOwnerPause is how long on average an owner that had no items or did not reply
	// gets no pull requests.
	emptyOwnerPause = 250 * time.Millisecond
	// endpointPause is how long an endpoint gets no batch work after a failed attempt.
	endpointPause = time.Second
	// maxPullItems bounds the items of one pull.
	maxPullItems = 16
	// pullTimeout bounds one pull request.
	pullTimeout = 2 * time.Second
)

// Dispatcher pulls items while an owned endpoint runs fewer than its batch limit, and
// cancels items, the newest first, when the limit falls below their number.
type Dispatcher struct {
	directory       fescuebank.Directory
	peer            fescuebank.Peer
	localOwner      Owner
	clock           fescuebank.Clock
	log             hclog.Logger
	endpoints       func() []fescuebank.EndpointSpec
	models          func(fescuebank.EndpointID) []fescuebank.ModelName
	endpoint        func(fescuebank.EndpointID) (fescuebank.Endpoint, bool)
	batchLimit      func(fescuebank.EndpointID, int) int
	onRunningChange func(fescuebank.EndpointID, int)
	owners          func() []fescuebank.Instance
	guard           fescuebank.Guard
	reporter        *reporter
	wake            chan struct{}

	mu   sync.Mutex
	work map[fescuebank.EndpointID]*endpointWork
	// shares holds each owner's state in the stride scheduling of pulls.
	shares map[fescuebank.InstanceID]*ownerShare
}

// Owner is the job owner on this instance.
type Owner interface {
	Pull(r *fescuebank.PullRequest) fescuebank.PullReply
	Report(r *fescuebank.ReportRequest) fescuebank.ReportReply
}

// ownerShare is one owner's share of the pulled items.
type ownerShare struct {
	// pass is the owner's pass value in stride scheduling: it grows by the number of
	// pulled items over weight, and the owner with the lowest pass comes next.
	pass float64
	// weight is the summed weight of the owner's waiting teams, from its last reply.
	weight float64
	// emptyUntil is the time until which the owner is assumed to have no items.
	emptyUntil time.Time
}

// endpointWork is the batch work on one endpoint.
type endpointWork struct {
	id      fescuebank.EndpointID
	running []*runningItem
	pulling bool
	// pausedUntil is the time until which the endpoint gets no batch work, after a failed
	// attempt.
	pausedUntil time.Time
}

// runningItem is one item on an endpoint.
type runningItem struct {
	pulled  fescuebank.PulledItem
	owner   fescuebank.Instance
	cancel  context.CancelCauseFunc
	started time.Time
}

// Causes with which items are cancelled.
var (
	errPreempted = errors.New("item preempted: online requests need the slot")
	errStopped   = errors.New("item stopped by the job's owner")
)

// Config holds a dispatcher's dependencies and settings.
type Config struct {
	Directory  fescuebank.Directory
	Peer       fescuebank.Peer
	LocalOwner Owner
	Clock      fescuebank.Clock
	Log        hclog.Logger
	// Endpoints returns the endpoints that may run batch work.
	Endpoints func() []fescuebank.EndpointSpec
	// Models returns the models that an endpoint can serve now.
	Models   func(fescuebank.EndpointID) []fescuebank.ModelName
	Endpoint func(fescuebank.EndpointID) (fescuebank.Endpoint, bool)
	// BatchLimit returns how many batch requests an endpoint with the given number of
	// slots may run now.
	BatchLimit func(id fescuebank.EndpointID, slots int) int
	// OnRunningChange is called with changes in the number of batch requests that run at
	// an endpoint.
	OnRunningChange func(id fescuebank.EndpointID, change int)
	// Owners returns the instances that own unfinished jobs.
	Owners func() []fescuebank.Instance
	Guard  fescuebank.Guard
	// ReportInterval is how often a running item is reported to its job's owner.
	ReportInterval time.Duration
}

// New returns a dispatcher without running items.
func New(c Config) *Dispatcher {
	d := &Dispatcher{
		directory: c.Directory, peer: c.Peer, localOwner: c.LocalOwner, clock: c.Clock, log: c.Log,
		endpoints: c.Endpoints, models: c.Models, endpoint: c.Endpoint,
		batchLimit: c.BatchLimit, onRunningChange: c.OnRunningChange,
		owners: c.Owners, guard: c.Guard,
		wake:   make(chan struct{}, 1),
		work:   make(map[fescuebank.EndpointID]*endpointWork),
		shares: make(map[fescuebank.InstanceID]*ownerShare),
	}
	d.reporter = newReporter(d, c.ReportInterval)
	return d
}

// Run pulls and runs items until ctx ends, then cancels the running ones and returns
// them to their owners.
func (d *Dispatcher) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { d.reporter.run(ctx) })
	for ctx.Err() == nil {
		d.adjustEndpoints(ctx)
		select {
		case <-d.wake:
		case <-d.clock.After(checkInterval):
		case <-ctx.Done():
		}
	}
	d.CancelAll()
	group.Wait()
}

// Wake makes Run compare the limits with the running items at once.
func (d *Dispatcher) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// adjustEndpoints compares each owned endpoint's batch limit with the items running there.
func (d *Dispatcher) adjustEndpoints(ctx context.Context) {
	present := make(map[fescuebank.EndpointID]bool)
	for _, spec := range d.endpoints() {
		present[spec.ID] = true
		_, mayAct := d.directory.MayAct(fescuebank.ShardOf(string(spec.ID)))
		limit := 0
		if mayAct && !spec.Leaving {
			limit = d.batchLimit(spec.ID, spec.Slots)
		}
		d.adjustEndpoint(ctx, spec, limit)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, w := range d.work {
		if !present[id] {
			w.shrink(0)
		}
	}
}

// adjustEndpoint cancels an endpoint's items beyond the limit, or pulls more items up to it.
func (d *Dispatcher) adjustEndpoint(ctx context.Context, spec fescuebank.EndpointSpec, limit int) {
	now := d.clock.Now()
	d.mu.Lock()
	w, ok := d.work[spec.ID]
	if !ok {
		w = &endpointWork{id: spec.ID}
		d.work[spec.ID] = w
	}
	w.shrink(limit)
	free := min(limit-len(w.running), maxPullItems)
	if free <= 0 || w.pulling || now.Before(w.pausedUntil) {
		d.mu.Unlock()
		return
	}
	owner, ok := d.chooseOwner(now)
	w.pulling = ok
	d.mu.Unlock()
	if ok {
		go d.pull(ctx, w, owner, free)
	}
}

// shrink cancels the newest items beyond the limit.
func (w *endpointWork) shrink(limit int) {
	for n := len(w.running) - 1; n >= limit && n >= 0; n-- {
		w.running[n].cancel(errPreempted)
	}
}

// CancelAll cancels every running item.
func (d *Dispatcher) CancelAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.work {
		w.shrink(0)
	}
}

// Running returns the number of items running on this instance's endpoints.
func (d *Dispatcher) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, w := range d.work {
		total += len(w.running)
	}
	return total
}

// chooseOwner returns the owner from which the least was pulled relative to the weight of
// its waiting teams, or false if every owner is assumed to have no items. The caller
// holds mu.
func (d *Dispatcher) chooseOwner(now time.Time) (fescuebank.Instance, bool) {
	var best fescuebank.Instance
	var share *ownerShare
	owners := d.owners()
	// Break ties at random, so that the pullers don't all choose the same owner.
	rand.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	for _, o := range owners {
		s, ok := d.shares[o.ID]
		if !ok {
			s = &ownerShare{weight: 1, pass: d.minPass()}
			d.shares[o.ID] = s
		}
		if !now.Before(s.emptyUntil) && (share == nil || s.pass < share.pass) {
			best, share = o, s
		}
	}
	return best, share != nil
}

// minPass returns the lowest pass of all owners, at which a new owner starts. The caller
// holds mu.
func (d *Dispatcher) minPass() float64 {
	lowest, found := 0.0, false
	for _, s := range d.shares {
		if !found || s.pass < lowest {
			lowest, found = s.pass, true
		}
	}
	return lowest
}

// pull requests items from an owner and starts them.
func (d *Dispatcher) pull(ctx context.Context, w *endpointWork, owner fescuebank.Instance, limit int) {
	request := fescuebank.PullRequest{From: d.directory.Self().ID, Models: d.models(w.id), Limit: limit}
	reply, err := d.requestItems(ctx, owner, &request)
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	w.pulling = false
	s := d.shares[owner.ID]
	if err != nil || len(reply.Items) == 0 {
		s.emptyUntil = now.Add(emptyOwnerPause/2 + rand.N(emptyOwnerPause))
		return
	}
	s.weight = max(reply.Weight, 1e-3)
	s.pass = max(s.pass, d.minPass()) + float64(len(reply.Items))/s.weight
	for _, item := range reply.Items {
		d.startItem(ctx, w, owner, item)
	}
}

func (d *Dispatcher) requestItems(ctx context.Context, owner fescuebank.Instance, request *fescuebank.PullRequest) (fescuebank.PullReply, error) {
	if owner.ID == d.directory.Self().ID {
		return d.localOwner.Pull(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply fescuebank.PullReply
	err := d.peer.Call(ctx, owner.PeerAddr, fescuebank.KindPull, request, &reply)
	return reply, err
}
