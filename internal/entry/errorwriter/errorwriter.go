// Package errorwriter writes error responses.
package errorwriter

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"fescuebank"
)

// ErrorWriter writes error responses in the callers' JSON format.
type ErrorWriter struct{}

// Body is the JSON of an error response.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of an error response.
type Detail struct {
	Code      fescuebank.RefusalCode `json:"code"`
	Type      string                 `json:"type"`
	Message   string                 `json:"message"`
	RunState  fescuebank.RunState    `json:"runState"`
	RequestID fescuebank.RequestID   `json:"requestId,omitempty"`
	// RetryAfterSeconds is the suggested retry delay; 0 means none is given.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

// Write writes the refusal within err as the response.
func (ErrorWriter) Write(w http.ResponseWriter, id fescuebank.RequestID, err error) {
	r := fescuebank.AsRefusal(err)
	body := NewBody(id, r)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(fescuebank.HeaderRunState, string(r.State))
	if body.Error.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(body.Error.RetryAfterSeconds))
	}
	if r.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(body)
}

// NewBody returns the JSON of a refusal.
func NewBody(id fescuebank.RequestID, r *fescuebank.Refusal) Body {
	return Body{Error: Detail{
		Code: r.Code, Type: errorType(r.Status), Message: r.Message, RunState: r.State, RequestID: id,
		RetryAfterSeconds: int(math.Ceil(r.RetryAfter.Seconds())),
	}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}
