// Package relayer sends callers' requests to endpoints, with retries, and relays the
// responses.
package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/endpoint/profiler"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/operate/meter"
)

const (
	// maxWaitShare is the part of the objective that a request may wait for a slot, counted
	// from its arrival for the first attempt and from its start for each later one.
	maxWaitShare = 0.75
	// reconsiderShare is the part of the objective after which a wait ends early if no
	// slot is expected in time: a caller that is refused this early can still retry
	// within the objective.
	reconsiderShare = 0.2
	// maxResumeWait is how long a stream that has begun may wait for a slot.
	maxResumeWait = time.Second
	// defaultObjective applies to routes without an objective.
	defaultObjective = time.Second
	// maxAttempts bounds the number of endpoints tried, including those that did not run
	// the request. Route.Attempts bounds only those that may have run it.
	maxAttempts = 4
	// minProgressTimeout is the minimum progress timeout of a resumable stream.
	minProgressTimeout = time.Second
	// progressTimeoutFactor is the progress timeout as a multiple of the route's
	// objective for gaps between events.
	progressTimeoutFactor = 2
	// refusalBodyTimeout bounds reading the body of an endpoint's refusal, which is not used.
	refusalBodyTimeout = 50 * time.Millisecond
	// readBufferBytes is the size of the buffer for reads from an endpoint.
	readBufferBytes = 4 << 10
	// maxWriteTime is how long events may take to be written to the caller for the next ones to be
	// timed.
	maxWriteTime = 10 * time.Millisecond
	// maxBufferedBytes bounds how much of a response is buffered before it is relayed, so
	// that a truncated one can be retried.
	maxBufferedBytes = 64 << 10
)

// ServiceLevelRecorder records the counts from which SLO burn rates are computed.
type ServiceLevelRecorder interface {
	// FirstTokenWithin counts the time from arrival to the first byte of the response
	// against the objective.
	FirstTokenWithin(team fescuebank.TeamID, d, objective time.Duration)
}

// Health records whether endpoints serve attempts successfully.
type Health interface {
	Record(id fescuebank.EndpointID, good bool)
}

// BegunStreams knows at which software version of the endpoints streams began, also those
// that other instances relayed.
type BegunStreams interface {
	// Record records the version of a stream by the id of the request that began it.
	Record(id fescuebank.RequestID, version string)
	// Find returns the version of a stream, or false if it can't be found out.
	Find(ctx context.Context, id fescuebank.RequestID) (version string, ok bool)
	// FindSole is Find for an id under which several streams may be recorded. It returns false
	// if they began at different versions.
	FindSole(ctx context.Context, id fescuebank.RequestID) (version string, ok bool)
}

// VersionHistory knows which software versions served before this instance started.
type VersionHistory interface {
	// WasSole reports whether a version was the only one of a service for so long that every
	// stream that may still continue began at it, if this instance has seen no other one.
	WasSole(ctx context.Context, service fescuebank.ServiceName, version string) bool
}

// Relayer relays requests to endpoints.
type Relayer struct {
	allocator     *allocator.Allocator
	exchanger     *exchanger.Exchanger
	profiler      *profiler.Profiler
	clock         fescuebank.Clock
	meter         *meter.Meter
	versions      func() Versions
	serviceLevels ServiceLevelRecorder
	health        Health
	guard         fescuebank.CrashGuard
	begunStreams  BegunStreams
	memory        fescuebank.MemoryBudget
	history       VersionHistory
	inTouch       func() bool
	late          func() bool
	log           hclog.Logger
	watches       stallWatches
}

// Versions are the versions of the state that decisions are based on.
type Versions struct {
	Config    fescuebank.Generation    `json:"config"`
	Epoch     fescuebank.FencingNumber `json:"epoch"`
	Endpoints fescuebank.StoreVersion  `json:"endpoints"`
}

// Config holds the dependencies of a Relayer.
type Config struct {
	Allocator *allocator.Allocator
	Exchanger *exchanger.Exchanger
	// Profiler times the streams; nil if they are not timed.
	Profiler *profiler.Profiler
	Clock    fescuebank.Clock
	Meter    *meter.Meter
	// Versions returns the versions in force; they are logged.
	Versions      func() Versions
	ServiceLevels ServiceLevelRecorder
	Health        Health
	Guard         fescuebank.CrashGuard
	BegunStreams  BegunStreams
	// Memory holds what is read ahead of slow callers.
	Memory  fescuebank.MemoryBudget
	History VersionHistory
	// InTouch reports whether the list of endpoints is likely to be current.
	InTouch func() bool
	// Late reports whether the instance is about to shut down and has little time left for a request that
	// was not passed on yet.
	Late func() bool
	Log  hclog.Logger
}

// New returns a relayer.
func New(c Config) *Relayer {
	return &Relayer{
		allocator: c.Allocator, exchanger: c.Exchanger, profiler: c.Profiler, clock: c.Clock, meter: c.Meter,
		versions: c.Versions, serviceLevels: c.ServiceLevels, health: c.Health, guard: c.Guard,
		begunStreams: c.BegunStreams, memory: c.Memory, history: c.History, inTouch: c.InTouch, late: c.Late, log: c.Log,
	}
}

// ErrTruncated means that part of the response was sent and the rest can't follow.
var ErrTruncated = errors.New("answer broken off")

// transfer is the state of one relayed request.
type transfer struct {
	*Relayer
	request *fescuebank.Request
	writer  fescuebank.ResponseWriter
	// tried are the endpoints of the attempts so far; attempts counts these, and runs
	// those in which the request may have run.
	tried    []fescuebank.EndpointID
	attempts int
	runs     int
	// attemptHealth reports the outcome of the current attempt, and stalls watches its progress.
	attemptHealth *attemptHealth
	stalls        *stallWatch
	// slot is the slot of the current attempt.
	slot *allocator.Slot
	// guarded is the current run.
	guarded fescuebank.GuardedRun
	// lastEvent is the id of the last event sent to the caller, and headerSent whether
	// the response header was sent.
	lastEvent  string
	headerSent bool
	// attemptBegun is set once the current attempt has brought part of its body: for a stream, a
	// complete event.
	attemptBegun bool
	// begun is set once the stream has begun, here or in an earlier attempt of the caller. It
	// continues only at endpoints of version.
	begun   bool
	version string
	// The fields below describe the last attempt, for the log.
	endpoint     fescuebank.ServedEndpoint
	slotLoad     int
	reportedLoad fescuebank.EndpointLoad
	slotWait     time.Duration
	// sendDelay is the time from the choice of the endpoint until the request was sent there.
	sendDelay time.Duration
	firstByte time.Duration
	status    int
	// framing is that of the endpoint's response, and through the instance by which the endpoint was reached.
	framing exchanger.Framing
	through fescuebank.InstanceID
}

// Relay sends the request to an endpoint and the response to w. It returns a
// *fescuebank.Refusal if nothing was written, ErrTruncated if the response was cut off,
// or the context's error.
func (y *Relayer) Relay(ctx context.Context, r *fescuebank.Request, w fescuebank.ResponseWriter) error {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	t := &transfer{Relayer: y, request: r, writer: w}
	err := t.run(ctx)
	t.logEnd(err)
	return err
}

func (t *transfer) run(ctx context.Context) error {
	t.keepService()
	if err := t.findVersion(ctx); err != nil {
		return err
	}
	for {
		if ended, err := t.attemptGuarded(ctx); ended {
			return err
		}
	}
}

// mayRunAgain reports whether the request may be run once more.
func (t *transfer) mayRunAgain() bool {
	return t.request.Route.Repeatable() && t.runs < t.request.Route.Attempts
}

// objective returns the target time to the first byte.
func (t *transfer) objective() time.Duration {
	if t.request.Route.Objective <= 0 {
		return defaultObjective
	}
	return t.request.Route.Objective
}

// progressTimeout returns how long a resumable stream may receive no data before it moves
// to another endpoint if it can.
func (t *transfer) progressTimeout() time.Duration {
	return max(minProgressTimeout, progressTimeoutFactor*t.request.Route.GapObjective)
}
