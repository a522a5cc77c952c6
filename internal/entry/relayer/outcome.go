package relayer

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
)

// maxLoggedParts is the number of parts of a prompt that a log line names.
const maxLoggedParts = 8

// shutdownRetryAfter is the Retry-After of a request that waited until the instance shut down: others can
// serve it at once.
const shutdownRetryAfter = 10 * time.Millisecond

// finalError converts the cause of the last failure into the error returned to the
// caller.
func (t *transfer) finalError(ctx context.Context, cause error) error {
	if t.headerSent {
		return ErrTruncated
	}
	if t.runs > 0 {
		return t.errorMayHaveRun(ctx)
	}
	if fescuebank.IsShutdown(ctx) {
		return refusalAtShutdown()
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	var refusal *fescuebank.Refusal
	if errors.As(cause, &refusal) {
		return refusal
	}
	return t.refusalNotRun(cause).WithDetails(t.allocator.LogFields(t.request.Service, t.request.Team)...)
}

// refusalAtShutdown returns the refusal of a request that is not passed on because the instance shuts down.
func refusalAtShutdown() *fescuebank.Refusal {
	return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeLeaving,
		"the instance shut down before a place was free").WithRetryAfter(shutdownRetryAfter)
}

func (t *transfer) refusalNotRun(cause error) *fescuebank.Refusal {
	switch {
	case t.begun && len(t.tried) == 0 && errors.Is(cause, allocator.ErrNoEndpoint):
		return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeCannotResume,
			"no endpoint of the software version that began the stream is left").WithRetryAfter(t.retryAfter())
	case errors.Is(cause, allocator.ErrFull), errors.Is(cause, errNotRun):
		return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeOverloaded,
			"all endpoints are busy").WithRetryAfter(t.retryAfter())
	case errors.Is(cause, context.DeadlineExceeded):
		return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeDeadline, "the deadline passed before a place was free")
	}
	return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeEndpointLost,
		"no endpoint was reached").WithRetryAfter(t.retryAfter())
}

// honouredShare is the part of the time that a caller has left up to which it honours a Retry-After.
const honouredShare = 1.0 / 3

// retryAfter returns the delay after which the caller should return.
func (t *transfer) retryAfter() time.Duration {
	now := t.clock.Now()
	left := max(0, t.request.Deadline.Sub(now))
	return t.allocator.RetryAfter(t.slotRequest(now), time.Duration(honouredShare*float64(left)))
}

func (t *transfer) errorMayHaveRun(ctx context.Context) error {
	if fescuebank.IsShutdown(ctx) {
		return fescuebank.Refuse(http.StatusGatewayTimeout, fescuebank.CodeLeaving,
			"the instance shut down before the answer came").WithState(fescuebank.MayHaveRun)
	}
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

// lossDetails returns the key-value pairs by which the log relates attempts that were lost: whether
// the response had begun, the request's fingerprint and the parts of its prompt.
func (t *transfer) lossDetails() []any {
	r := t.request
	parts := make([]string, 0, maxLoggedParts)
	for _, part := range r.Prompt[:min(len(r.Prompt), maxLoggedParts)] {
		parts = append(parts, part.ID)
	}
	return []any{"request", string(r.ID), "team", string(r.Team), "begun", t.attemptBegun,
		"fingerprint", r.Fingerprint().String(), "promptParts", strings.Join(parts, ",")}
}

// Outcomes of a request in the log.
const (
	outcomeAnswered   = "answered"
	outcomeCallerLeft = "caller left"
)

// IsOrdinary reports whether a log line records a request that was answered normally and
// resumed no stream. Such lines are dropped first when the log rate is exceeded.
func IsOrdinary(line []byte) bool {
	return bytes.Contains(line, []byte(`"outcome":"answered"`)) && bytes.Contains(line, []byte(`"resumeAfter":""`))
}

// logEnd logs the end of the request and updates the metrics.
func (t *transfer) logEnd(err error) {
	outcome := outcomeAnswered
	var refusal *fescuebank.Refusal
	switch {
	case errors.As(err, &refusal):
		outcome = string(refusal.Code)
	case errors.Is(err, context.Canceled):
		outcome = outcomeCallerLeft
	case err != nil:
		outcome = err.Error()
	}
	r := t.request
	t.meter.Count("requests", r.Route.Name, string(r.Team), outcome)
	t.meter.Time("placeWait", t.slotWait)
	t.meter.Time("sendDelay", t.sendDelay)
	if t.headerSent {
		t.meter.Time("firstByte", t.firstByte)
		t.serviceLevels.FirstTokenWithin(r.Team, t.firstByte, t.objective())
	}
	t.meter.Time("total", t.clock.Now().Sub(r.Arrived))
	t.meter.Count("offers", strconv.Itoa(t.attempts))
	if t.framing != "" {
		t.meter.Count("responses", string(t.framing), reach(t.through))
	}
	v := t.versions()
	t.log.Info("Request ended.", "request", string(r.ID), "team", string(r.Team), "route", r.Route.Name, "priority", r.Priority,
		"configVersion", uint64(v.Config), "ownerEpoch", uint64(v.Epoch), "endpointsRevision", uint64(v.Endpoints),
		"endpoint", string(t.endpoint.ID), "started", t.endpoint.StartedUnixMilli, "endpointVersion", t.endpoint.Version,
		"entryRevision", uint64(t.endpoint.EntryVersion), "sendMs", t.sendDelay.Milliseconds(),
		"resumes", string(r.Resumes), "resumeAfter", r.ResumeAfter, "load", t.slotLoad,
		"reportedRunning", t.reportedLoad.Running, "reportedWaiting", t.reportedLoad.Waiting, "offers", t.attempts, "runs", t.runs,
		"lastEvent", t.lastEvent, "framing", string(t.framing), "through", string(t.through), "waitMs", t.slotWait.Milliseconds(), "firstMs", t.firstByte.Milliseconds(),
		"totalMs", t.clock.Now().Sub(r.Arrived).Milliseconds(), "leftMs", r.Deadline.Sub(t.clock.Now()).Milliseconds(),
		"status", t.status, "outcome", outcome)
}

// reach returns how an endpoint was reached, for the metrics.
func reach(through fescuebank.InstanceID) string {
	if through == "" {
		return "direct"
	}
	return "tunnel"
}
