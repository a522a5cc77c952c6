package fescuebank

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// RunState states whether a request that got an error response has run.
type RunState string

// The run states. NotRun is only stated when no byte of the request was offered to
// an endpoint, or when the endpoint itself stated that it refused the request.
const (
	NotRun     RunState = "notRun"
	MayHaveRun RunState = "mayHaveRun"
	Ran        RunState = "ran"
)

// HeaderRunState carries the RunState of every error response.
const HeaderRunState = "X-Run-State"

// HeaderRequestID carries the request id in responses and in requests to endpoints.
const HeaderRequestID = "X-Request-Id"

// RefusalCode is the machine-readable reason of an error response.
type RefusalCode string

// The reasons of error responses.
const (
	CodeBadRequest    RefusalCode = "badRequest"
	CodeUnauthorized  RefusalCode = "unauthorized"
	CodeKeyWithdrawn  RefusalCode = "keyWithdrawn"
	CodeNotFound      RefusalCode = "notFound"
	CodeUnknownModel  RefusalCode = "unknownModel"
	CodeTooLarge      RefusalCode = "tooLarge"
	CodeRateLimited   RefusalCode = "rateLimited"
	CodeLimitUnknown  RefusalCode = "limitUnknown"
	CodeOverloaded    RefusalCode = "overloaded"
	CodeLeaving       RefusalCode = "leaving"
	CodeStoreDown     RefusalCode = "storeDown"
	CodeConflict      RefusalCode = "conflict"
	CodeQuarantined   RefusalCode = "quarantined"
	CodeEndpointLost  RefusalCode = "endpointLost"
	CodeDeadline      RefusalCode = "deadline"
	CodeAlreadySent   RefusalCode = "alreadySent"
	CodeInternal      RefusalCode = "internal"
	CodeConfigStale   RefusalCode = "configStale"
	CodeEndpointError RefusalCode = "endpointError"
	// CodeOwnerChanged means that another instance has become the owner of the team. The same call to that one is idempotent.
	CodeOwnerChanged RefusalCode = "ownerChanged"
	// CodeCannotResume means that the stream can't continue where it began.
	CodeCannotResume RefusalCode = "cannotResume"
)

// Refusal is an error response to a caller.
type Refusal struct {
	// Status is the HTTP status, 400 to 599.
	Status int
	// Code is the machine-readable reason.
	Code RefusalCode
	// Message explains the reason in a short sentence. It never contains a key.
	Message string
	// State states whether the request has run.
	State RunState
	// RetryAfter is the time after which the caller may retry. 0 means unspecified.
	RetryAfter time.Duration
	// Details are key-value pairs that explain the decision. They are only logged.
	Details []any
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", r.Status, r.Code, r.State, r.Message)
}

// ErrShutdown is the cause with which the context of a request ends when the instance that serves it is
// about to be gone.
var ErrShutdown = errors.New("instance shuts down")

// IsShutdown reports whether a request's context has ended because of ErrShutdown.
func IsShutdown(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrShutdown)
}

// Refuse returns a refusal of a request that did not run.
func Refuse(status int, code RefusalCode, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Message: fmt.Sprintf(format, args...), State: NotRun}
}

// WithRetryAfter sets the time after which the caller may retry and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithDetails adds key-value pairs for the log and returns r.
func (r *Refusal) WithDetails(details ...any) *Refusal {
	r.Details = append(r.Details, details...)
	return r
}

// WithState sets the run state and returns r.
func (r *Refusal) WithState(s RunState) *Refusal {
	r.State = s
	return r
}

// AsRefusal returns the refusal within err, or an internal error with the state
// MayHaveRun.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Refuse(http.StatusInternalServerError, CodeInternal, "the request failed inside the system").WithState(MayHaveRun)
}
