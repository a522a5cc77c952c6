package fescuebank

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// RunState says what is known of a request that got an error answer.
type RunState string

// The run states. NotRun is only claimed when no byte of the request was
// offered to an endpoint or the endpoint itself said that it refused.
const (
	NotRun     RunState = "notRun"
	MayHaveRun RunState = "mayHaveRun"
	Ran        RunState = "ran"
)

// HeaderRunState carries the RunState of every error answer.
const HeaderRunState = "X-Run-State"

// HeaderRequestID carries the request id on answers and towards endpoints.
const HeaderRequestID = "X-Request-Id"

// RefusalCode is the machine-readable reason of an error answer.
type RefusalCode string

// The reasons an error answer can give.
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
)

// Refusal is an error answer to a caller.
type Refusal struct {
	// Status is the HTTP status, 400 to 599.
	Status int
	// Code is the machine-readable reason.
	Code RefusalCode
	// Message is a short sentence for people. It never holds a key.
	Message string
	// State is what is known of the request's execution.
	State RunState
	// RetryAfter is when asking again makes sense. 0 means not said.
	RetryAfter time.Duration
	// Details are names and values of what decided, for the log alone.
	Details []any
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", r.Status, r.Code, r.State, r.Message)
}

// Refuse returns a refusal of a request that did not run.
func Refuse(status int, code RefusalCode, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Message: fmt.Sprintf(format, args...), State: NotRun}
}

// WithRetryAfter sets when to ask again and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithDetails adds what decided, for the log, and returns r.
func (r *Refusal) WithDetails(details ...any) *Refusal {
	r.Details = append(r.Details, details...)
	return r
}

// WithState sets the run state and returns r.
func (r *Refusal) WithState(s RunState) *Refusal {
	r.State = s
	return r
}

// AsRefusal returns the refusal within err, or an internal one that admits that
// the request may have run.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Refuse(http.StatusInternalServerError, CodeInternal, "the request failed inside the system").WithState(MayHaveRun)
}
