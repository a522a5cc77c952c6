// Package relayer takes a caller's request from its place in the queue to the
// last byte of the answer.
package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/operate/meter"
)

const (
	// startShare is the part of the objective that a request may wait for a place.
	startShare = 0.75
	// reconsiderShare is the part of the objective after which a wait is given up
	// if no place is in sight: a caller told so early can return in time.
	reconsiderShare = 0.2
	// defaultObjective stands where a route has none.
	defaultObjective = time.Second
	// maxOffers bounds the endpoints tried, those that did not run the request too.
	maxOffers = 4
	// minGap is the least silence after which a resumable stream moves.
	minGap = time.Second
	// gapFactor is the silence after which a resumable stream moves, as a multiple
	// of the route's objective for gaps.
	gapFactor = 2
	// readBytes is the size of a read from an endpoint.
	readBytes = 4 << 10
	// holdBytes bounds the whole answers that are read before they are passed on,
	// so that a broken one can be asked for again.
	holdBytes = 64 << 10
)

// ServiceLevelRecorder counts what the burn report is made of.
type ServiceLevelRecorder interface {
	// FirstTokenWithin counts the time from arrival to the first byte of an answer.
	FirstTokenWithin(team fescuebank.TeamID, d, objective time.Duration)
}

// Health takes in how endpoints serve requests.
type Health interface {
	Record(id fescuebank.EndpointID, good bool)
}

// Relayer relays requests.
type Relayer struct {
	allotter  *allocator.Allocator
	exchanger *exchanger.Exchanger
	protocol  fescuebank.EndpointProtocol
	clock     fescuebank.Clock
	meter     *meter.Meter
	versions  func() Versions
	levels    ServiceLevelRecorder
	health    Health
	log       hclog.Logger
}

// Versions are those of what decisions rest on.
type Versions struct {
	Config    fescuebank.Generation    `json:"config"`
	Epoch     fescuebank.FencingNumber `json:"epoch"`
	Endpoints fescuebank.StoreVersion  `json:"endpoints"`
}

// Config is what a relayer works with.
type Config struct {
	Allocator *allocator.Allocator
	Exchanger *exchanger.Exchanger
	Protocol  fescuebank.EndpointProtocol
	Clock     fescuebank.Clock
	Meter     *meter.Meter
	// Versions returns the versions in force, for the log.
	Versions      func() Versions
	ServiceLevels ServiceLevelRecorder
	Health        Health
	Log           hclog.Logger
}

// New returns a relayer.
func New(c Config) *Relayer {
	return &Relayer{
		allotter: c.Allocator, exchanger: c.Exchanger, protocol: c.Protocol, clock: c.Clock, meter: c.Meter,
		versions: c.Versions, levels: c.ServiceLevels, health: c.Health, log: c.Log,
	}
}

// ErrTruncated means that the answer began and can't be ended properly.
var ErrTruncated = errors.New("answer broken off")

// flight is one request on its way.
type flight struct {
	*Relayer
	request *fescuebank.Request
	writer  fescuebank.ResponseWriter
	// tried are the endpoints that were offered the request; offers counts the
	// offers, runs those after which it may have run.
	tried  []fescuebank.EndpointID
	offers int
	runs   int
	// verdict is the present attempt's.
	verdict *verdict
	// last is the number of the last event passed on, and started whether the
	// answer's head was.
	last    string
	started bool
	// trace of the decision that counted.
	endpoint fescuebank.ServedEndpoint
	load     int
	reported fescuebank.EndpointLoad
	waited   time.Duration
	first    time.Duration
	status   int
}

// Relay answers the request on w. It returns a *fescuebank.Refusal if nothing
// was written, ErrTruncated if the answer broke off, or the context's error.
func (y *Relayer) Relay(ctx context.Context, r *fescuebank.Request, w fescuebank.ResponseWriter) error {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	f := &flight{Relayer: y, request: r, writer: w}
	err := f.run(ctx)
	f.report(err)
	return err
}

func (f *flight) run(ctx context.Context) error {
	for {
		place, err := f.acquire(ctx)
		if err != nil {
			return f.giveUp(ctx, err)
		}
		done, err := f.attempt(ctx, place)
		place.Release()
		if done {
			return err
		}
		if ctx.Err() != nil || f.offers >= maxOffers || (f.runs > 0 && !f.mayRepeat()) {
			return f.giveUp(ctx, err)
		}
	}
}

// mayRepeat reports whether the request may run once more.
func (f *flight) mayRepeat() bool {
	return f.request.Route.Repeatable() && f.runs < f.request.Route.Attempts
}

// objective is the time to the first byte that the caller expects.
func (f *flight) objective() time.Duration {
	if f.request.Route.Objective <= 0 {
		return defaultObjective
	}
	return f.request.Route.Objective
}

func (f *flight) acquire(ctx context.Context) (*allocator.Slot, error) {
	r := f.request
	objective := f.objective()
	now := f.clock.Now()
	until := r.Arrived.Add(time.Duration(startShare * float64(objective)))
	if f.offers > 0 {
		until = now.Add(time.Duration(startShare * float64(objective)))
	}
	if until.After(r.Deadline) {
		until = r.Deadline
	}
	place, err := f.allotter.Acquire(ctx, allocator.SlotRequest{
		Service: r.Service, Prefix: r.PrefixKey(), Tried: f.tried, Deadline: until, Priority: r.Priority,
		ReconsiderAt: r.Arrived.Add(time.Duration(reconsiderShare * float64(objective))),
	})
	if err != nil {
		return nil, err
	}
	f.waited = f.clock.Now().Sub(now)
	f.endpoint, f.load = place.Endpoint, place.Load
	return place, nil
}

// attempt offers the request to one endpoint. It reports whether the request is
// done, with its outcome.
func (f *flight) attempt(ctx context.Context, place *allocator.Slot) (done bool, err error) {
	whole := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := place.Endpoint
	f.verdict = &verdict{health: f.health, id: e.ID}
	f.tried = append(f.tried, e.ID)
	f.offers++
	h := make(http.Header, len(f.request.Header)+4)
	f.protocol.Encode(h, f.request, e, f.request.Deadline.Sub(f.clock.Now()))
	if f.last != "" {
		f.protocol.Resume(h, f.last)
	}
	stop, forget := f.boundHead(cancel), f.watchHead(f.verdict)
	answer, err := f.exchanger.Send(ctx, e.Addr, f.request, h)
	stop()
	forget()
	if err != nil {
		f.fail(whole, e, err)
		return false, err
	}
	defer answer.Finish()
	if answer.Info.Load != nil {
		f.reported = *answer.Info.Load
		place.Observe(f.reported)
	}
	if answer.Info.NotRun {
		return false, f.notRun(e, answer)
	}
	f.runs++
	return f.pass(ctx, answer)
}

// boundHead cancels an attempt of a resumable stream whose answer does not begin.
func (f *flight) boundHead(cancel context.CancelFunc) (stop func()) {
	if !f.request.Route.Resumable {
		return func() {}
	}
	timer := time.AfterFunc(f.silence(), cancel)
	return func() { timer.Stop() }
}

// silence is how long a resumable stream may be silent before it moves.
func (f *flight) silence() time.Duration {
	return max(minGap, gapFactor*f.request.Route.GapObjective)
}

// fail counts an attempt without an answer. One that the caller left, or whose time
// was up, says nothing of the endpoint.
func (f *flight) fail(ctx context.Context, e fescuebank.ServedEndpoint, err error) {
	if !errors.Is(err, exchanger.ErrUnreachable) {
		f.runs++
	}
	if ctx.Err() != nil {
		return
	}
	f.verdict.note(false)
	f.allotter.Exclude(e.ID, allocator.ExclusionTime)
	f.exchanger.CloseIdle(e.Addr)
	f.log.Info("Attempt failed.", "request", string(f.request.ID), "endpoint", string(e.ID), "started", e.Started, "err", err.Error())
}

// errNotRun is the cause of an attempt that the endpoint refused.
var errNotRun = errors.New("endpoint refused")

func (f *flight) notRun(e fescuebank.ServedEndpoint, a *exchanger.Response) error {
	_, _ = io.Copy(io.Discard, io.LimitReader(a, holdBytes))
	if a.Info.Misdirected {
		f.allotter.Exclude(e.ID, allocator.ExclusionTime)
	}
	f.log.Debug("Endpoint refused.", "request", string(f.request.ID), "endpoint", string(e.ID), "status", a.StatusCode)
	return errNotRun
}

// giveUp turns the cause of the last failure into what the caller is told.
func (f *flight) giveUp(ctx context.Context, cause error) error {
	if f.started {
		return ErrTruncated
	}
	if f.runs > 0 {
		return f.refuseRun(ctx)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	return f.refuseNotRun(cause).WithDetails(f.allotter.LogFields(f.request.Service)...)
}

func (f *flight) refuseNotRun(cause error) *fescuebank.Refusal {
	switch {
	case errors.Is(cause, allocator.ErrFull), errors.Is(cause, errNotRun):
		return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeOverloaded,
			"all endpoints are busy").WithRetryAfter(f.allotter.RetryAfter())
	case errors.Is(cause, context.DeadlineExceeded):
		return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeDeadline, "the deadline passed before a place was free")
	}
	return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeEndpointLost,
		"no endpoint was reached").WithRetryAfter(f.allotter.RetryAfter())
}

func (f *flight) refuseRun(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	if ctx.Err() != nil {
		return fescuebank.Refuse(http.StatusGatewayTimeout, fescuebank.CodeDeadline,
			"the answer did not come in time").WithState(fescuebank.MayHaveRun)
	}
	return fescuebank.Refuse(http.StatusBadGateway, fescuebank.CodeEndpointLost,
		"the endpoint was lost").WithState(fescuebank.MayHaveRun)
}

// The outcomes of a request in the log.
const (
	outcomeAnswered = "answered"
	outcomeLeft     = "caller left"
)

// IsOrdinary reports whether a line of the log tells of a request that was
// answered as usual.
func IsOrdinary(line []byte) bool {
	return bytes.Contains(line, []byte(`"outcome":"answered"`))
}

// report writes the line of the request's end and counts it.
func (f *flight) report(err error) {
	outcome := outcomeAnswered
	var refusal *fescuebank.Refusal
	switch {
	case errors.As(err, &refusal):
		outcome = string(refusal.Code)
	case errors.Is(err, context.Canceled):
		outcome = outcomeLeft
	case err != nil:
		outcome = err.Error()
	}
	r := f.request
	f.meter.Count("requests", r.Route.Name, string(r.Team), outcome)
	f.meter.Time("placeWait", f.waited)
	if f.started {
		f.meter.Time("firstByte", f.first)
		f.levels.FirstTokenWithin(r.Team, f.first, f.objective())
	}
	f.meter.Time("total", f.clock.Now().Sub(r.Arrived))
	f.meter.Count("offers", strconv.Itoa(f.offers))
	v := f.versions()
	f.log.Info("Request ended.", "request", string(r.ID), "team", string(r.Team), "route", r.Route.Name, "priority", r.Priority,
		"configVersion", uint64(v.Config), "ownerEpoch", uint64(v.Epoch), "endpointsRevision", uint64(v.Endpoints),
		"endpoint", string(f.endpoint.ID), "started", f.endpoint.Started, "load", f.load,
		"reportedRunning", f.reported.Running, "reportedWaiting", f.reported.Waiting, "offers", f.offers, "runs", f.runs,
		"lastEvent", f.last, "waitMs", f.waited.Milliseconds(), "firstMs", f.first.Milliseconds(),
		"totalMs", f.clock.Now().Sub(r.Arrived).Milliseconds(), "leftMs", r.Deadline.Sub(f.clock.Now()).Milliseconds(),
		"status", f.status, "outcome", outcome)
}
