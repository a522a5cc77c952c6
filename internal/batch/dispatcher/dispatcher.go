// Package dispatcher runs batch items on the endpoints that this instance owns.
package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
)

const (
	// lookInterval is how often windows are compared with what runs.
	checkInterval = 20 * time.Millisecond
	// emptyWait is how long an owner without items is left alone.
	emptyOwnerPause = 250 * time.Millisecond
	// brokenWait is how long an endpoint that failed gets no batch work.
	endpointPause = time.Second
	// maxPull bounds the items of one pull.
	maxPull = 16
	// pullTimeout bounds one pull.
	pullTimeout = 2 * time.Second
)

// Dispatcher pulls items while the window of an owned endpoint is open and
// cancels them, the newest first, when it closes.
type Dispatcher struct {
	directory      fescuebank.Directory
	peer           fescuebank.Peer
	localOwner     Owner
	clock          fescuebank.Clock
	log            hclog.Logger
	endpoints      func() []fescuebank.EndpointSpec
	models         func(fescuebank.EndpointID) []fescuebank.ModelName
	endpoint       func(fescuebank.EndpointID) (fescuebank.Endpoint, bool)
	batchLimit     func(fescuebank.EndpointID, int) int
	runningChanged func(fescuebank.EndpointID, int)
	owners         func() []fescuebank.Instance
	guard          fescuebank.Guard
	reporter       *reporter
	wake           chan struct{}

	mu   sync.Mutex
	work map[fescuebank.EndpointID]*endpointWork
	// served is the work taken from each owner over its weight.
	served map[fescuebank.InstanceID]*ownerShare
}

// Owner is the job owner on this instance.
type Owner interface {
	Pull(r *fescuebank.PullRequest) fescuebank.PullReply
	Report(r *fescuebank.ReportRequest) fescuebank.ReportReply
}

// ownerShare is how much was pulled from one owner.
type ownerShare struct {
	pass   float64
	weight float64
	// emptyUntil is until when the owner is taken to have nothing.
	emptyUntil time.Time
}

// lane is the batch work on one endpoint.
type endpointWork struct {
	id      fescuebank.EndpointID
	running []*runningItem
	pulling bool
	// restUntil is until when a failed endpoint gets no batch work.
	pausedUntil time.Time
}

// run is one item on an endpoint.
type runningItem struct {
	item    fescuebank.PulledItem
	owner   fescuebank.Instance
	cancel  context.CancelCauseFunc
	started time.Time
}

// Causes by which items are cancelled.
var (
	errPreempted = errors.New("online work needs the slot")
	errStopped   = errors.New("the job's owner stopped the item")
)

// Config is what a dispatcher works with.
type Config struct {
	Directory  fescuebank.Directory
	Peer       fescuebank.Peer
	LocalOwner Owner
	Clock      fescuebank.Clock
	Log        hclog.Logger
	// Endpoints returns those that may take batch work.
	Endpoints func() []fescuebank.EndpointSpec
	// Models returns the models that an endpoint can serve now.
	Models   func(fescuebank.EndpointID) []fescuebank.ModelName
	Endpoint func(fescuebank.EndpointID) (fescuebank.Endpoint, bool)
	// BatchLimit returns how many batch requests an endpoint with so many slots may run.
	BatchLimit func(id fescuebank.EndpointID, slots int) int
	// RunningChanged is told of changes in the number of batch requests at an endpoint.
	RunningChanged func(id fescuebank.EndpointID, change int)
	// Owners returns the instances that own unfinished jobs.
	Owners func() []fescuebank.Instance
	Guard  fescuebank.Guard
	// ReportInterval is how often a running item is reported.
	ReportInterval time.Duration
}

// New returns a dispatcher that runs nothing.
func New(c Config) *Dispatcher {
	d := &Dispatcher{
		directory: c.Directory, peer: c.Peer, localOwner: c.LocalOwner, clock: c.Clock, log: c.Log,
		endpoints: c.Endpoints, models: c.Models, endpoint: c.Endpoint, batchLimit: c.BatchLimit, runningChanged: c.RunningChanged,
		owners: c.Owners, guard: c.Guard,
		wake:   make(chan struct{}, 1),
		work:   make(map[fescuebank.EndpointID]*endpointWork),
		served: make(map[fescuebank.InstanceID]*ownerShare),
	}
	d.reporter = newReporter(d, c.ReportInterval)
	return d
}

// Run works until ctx ends; running items are then given back.
func (d *Dispatcher) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { d.reporter.run(ctx) })
	for ctx.Err() == nil {
		d.check(ctx)
		select {
		case <-d.wake:
		case <-d.clock.After(checkInterval):
		case <-ctx.Done():
		}
	}
	d.CancelAll()
	group.Wait()
}

// Wake compares windows with what runs at once.
func (d *Dispatcher) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// look compares each owned endpoint's window with what runs there.
func (d *Dispatcher) check(ctx context.Context) {
	present := make(map[fescuebank.EndpointID]bool)
	for _, spec := range d.endpoints() {
		present[spec.ID] = true
		_, mayAct := d.directory.MayAct(fescuebank.ShardOf(string(spec.ID)))
		limit := 0
		if mayAct && !spec.Leaving {
			limit = d.batchLimit(spec.ID, spec.Slots)
		}
		d.adjust(ctx, spec, limit)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, l := range d.work {
		if !present[id] {
			l.shrink(0)
		}
	}
}

// adjust cancels items beyond the window or pulls more into it.
func (d *Dispatcher) adjust(ctx context.Context, spec fescuebank.EndpointSpec, limit int) {
	now := d.clock.Now()
	d.mu.Lock()
	l, ok := d.work[spec.ID]
	if !ok {
		l = &endpointWork{id: spec.ID}
		d.work[spec.ID] = l
	}
	l.shrink(limit)
	free := min(limit-len(l.running), maxPull)
	if free <= 0 || l.pulling || now.Before(l.pausedUntil) {
		d.mu.Unlock()
		return
	}
	owner, ok := d.chooseOwner(now)
	l.pulling = ok
	d.mu.Unlock()
	if ok {
		go d.pull(ctx, l, owner, free)
	}
}

// shrink cancels the newest items beyond the window.
func (l *endpointWork) shrink(limit int) {
	for n := len(l.running) - 1; n >= limit && n >= 0; n-- {
		l.running[n].cancel(errPreempted)
	}
}

// CancelAll cancels every running item.
func (d *Dispatcher) CancelAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.work {
		l.shrink(0)
	}
}

// Running returns the number of items running on this instance's endpoints.
func (d *Dispatcher) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, l := range d.work {
		total += len(l.running)
	}
	return total
}

// chooseOwner takes the owner furthest behind the weight of its waiting teams.
// The caller holds mu.
func (d *Dispatcher) chooseOwner(now time.Time) (fescuebank.Instance, bool) {
	var best fescuebank.Instance
	var share *ownerShare
	owners := d.owners()
	// Ties between pullers are broken differently each time.
	rand.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	for _, o := range owners {
		s, ok := d.served[o.ID]
		if !ok {
			s = &ownerShare{weight: 1, pass: d.minPass()}
			d.served[o.ID] = s
		}
		if !now.Before(s.emptyUntil) && (share == nil || s.pass < share.pass) {
			best, share = o, s
		}
	}
	return best, share != nil
}

// leastPass is where a new owner starts. The caller holds mu.
func (d *Dispatcher) minPass() float64 {
	least, found := 0.0, false
	for _, s := range d.served {
		if !found || s.pass < least {
			least, found = s.pass, true
		}
	}
	return least
}

// pull asks an owner for items and starts them.
func (d *Dispatcher) pull(ctx context.Context, l *endpointWork, owner fescuebank.Instance, limit int) {
	request := fescuebank.PullRequest{From: d.directory.Self().ID, Models: d.models(l.id), Limit: limit}
	reply, err := d.requestItems(ctx, owner, &request)
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	l.pulling = false
	s := d.served[owner.ID]
	if err != nil || len(reply.Items) == 0 {
		s.emptyUntil = now.Add(emptyOwnerPause/2 + rand.N(emptyOwnerPause))
		return
	}
	s.weight = max(reply.Weight, 1e-3)
	s.pass = max(s.pass, d.minPass()) + float64(len(reply.Items))/s.weight
	for _, item := range reply.Items {
		d.start(ctx, l, owner, item)
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

// start runs an item. The caller holds mu.
func (d *Dispatcher) start(ctx context.Context, l *endpointWork, owner fescuebank.Instance, item fescuebank.PulledItem) {
	// The item outlives ctx: at shutdown it is cancelled and then given back.
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	r := &runningItem{item: item, owner: owner, cancel: cancel, started: d.clock.Now()}
	l.running = append(l.running, r)
	d.runningChanged(l.id, 1)
	d.reporter.itemStarted(r)
	go func() {
		report := d.execute(runCtx, l, r)
		cancel(nil)
		d.mu.Lock()
		l.running = slices.DeleteFunc(l.running, func(other *runningItem) bool { return other == r })
		d.mu.Unlock()
		d.runningChanged(l.id, -1)
		d.Wake()
		d.reporter.itemEnded(r, report)
	}()
}

// execute runs an item to its end and says how it went.
func (d *Dispatcher) execute(ctx context.Context, l *endpointWork, r *runningItem) fescuebank.ItemReport {
	report := fescuebank.ItemReport{Ref: r.item.Ref, Attempt: r.item.Attempt, Resume: r.item.Resume}
	c, line, err := completionOf(r.item)
	if err != nil {
		return failedReport(report, line.CustomID, http.StatusBadRequest, fescuebank.CodeBadRequest, err.Error())
	}
	endpoint, ok := d.endpoint(l.id)
	if !ok {
		report.Kind = fescuebank.ItemReturned
		return report
	}
	leave, err := d.guard.Enter(ctx, c, l.id)
	if err != nil {
		return d.notAdmitted(report, line.CustomID, err)
	}
	finish := ""
	err = endpoint.Complete(ctx, c, func(delta fescuebank.Delta) error {
		report.Resume.Text += delta.Text
		report.Resume.Tokens = delta.Index + 1
		finish = delta.Finish
		return nil
	})
	report.Used = report.Resume.Tokens - r.item.Resume.Tokens
	leave(fescuebank.ClassifyAttempt(ctx, err))
	if err == nil {
		return completedReport(report, c, line.CustomID, finish)
	}
	return d.classify(ctx, l, report, line.CustomID, err)
}

// refused ends an item that the guard did not let through.
func (d *Dispatcher) notAdmitted(report fescuebank.ItemReport, customID string, err error) fescuebank.ItemReport {
	var r *fescuebank.Refusal
	if errors.As(err, &r) && r.Code == fescuebank.CodeQuarantined {
		return failedReport(report, customID, r.Status, r.Code, r.Message)
	}
	report.Kind = fescuebank.ItemReturned
	return report
}

// classify says what a failed attempt means for the item.
func (d *Dispatcher) classify(ctx context.Context, l *endpointWork, report fescuebank.ItemReport, customID string, err error) fescuebank.ItemReport {
	if ctx.Err() != nil {
		report.Kind = fescuebank.ItemReturned
		return report
	}
	e, ok := fescuebank.AsEndpointError(err)
	if ok && e.Kind == fescuebank.EndpointRejected {
		return failedReport(report, customID, e.Status, fescuebank.CodeEndpointError, e.Cause.Error())
	}
	d.log.Debug("Item failed.", "endpoint", string(l.id), "err", err)
	d.mu.Lock()
	l.pausedUntil = d.clock.Now().Add(endpointPause)
	d.mu.Unlock()
	report.Kind = fescuebank.ItemLost
	if ok && !e.MayHaveRun() {
		report.Kind = fescuebank.ItemReturned
	}
	return report
}

// answer is the body of a completed item.
type completionBody struct {
	ID      fescuebank.RequestID `json:"id"`
	Object  string               `json:"object"`
	Model   fescuebank.ModelName `json:"model"`
	Choices []completionChoice   `json:"choices"`
	Usage   usage                `json:"usage"`
}

type completionChoice struct {
	Index        int                 `json:"index"`
	Text         string              `json:"text,omitempty"`
	Message      *fescuebank.Message `json:"message,omitempty"`
	FinishReason string              `json:"finish_reason"`
}

type usage struct {
	PromptTokens     fescuebank.Tokens `json:"prompt_tokens"`
	CompletionTokens fescuebank.Tokens `json:"completion_tokens"`
	TotalTokens      fescuebank.Tokens `json:"total_tokens"`
}

func completedReport(report fescuebank.ItemReport, c *fescuebank.Completion, customID, finish string) fescuebank.ItemReport {
	choice := completionChoice{FinishReason: finish}
	object := "text_completion"
	if c.Chat {
		object = "chat.completion"
		choice.Message = &fescuebank.Message{Role: "assistant", Content: report.Resume.Text}
	} else {
		choice.Text = report.Resume.Text
	}
	body, _ := json.Marshal(completionBody{
		ID: c.Request, Object: object, Model: c.Model, Choices: []completionChoice{choice},
		Usage: usage{PromptTokens: c.PromptTokens, CompletionTokens: report.Resume.Tokens, TotalTokens: c.PromptTokens + report.Resume.Tokens},
	})
	report.Kind = fescuebank.ItemDone
	report.Resume = fescuebank.Partial{}
	report.Outcome = fescuebank.ItemOutcome{CustomID: customID, Status: http.StatusOK, Body: body}
	return report
}

// errorBody is the body of an item that failed.
type errorBody struct {
	Code    fescuebank.RefusalCode `json:"code"`
	Message string                 `json:"message"`
}

func failedReport(report fescuebank.ItemReport, customID string, status int, code fescuebank.RefusalCode, message string) fescuebank.ItemReport {
	body, _ := json.Marshal(errorBody{Code: code, Message: message})
	report.Kind = fescuebank.ItemDone
	report.Resume = fescuebank.Partial{}
	report.Outcome = fescuebank.ItemOutcome{CustomID: customID, Status: status, Body: body, Failed: true}
	return report
}
