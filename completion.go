package fescuebank

import (
	"context"
	"errors"
	"time"
)

// WorkClass separates online requests, whose callers wait, from batch work,
// which may be delayed.
type WorkClass uint8

// The classes of work.
const (
	Online WorkClass = iota
	Batch
)

func (w WorkClass) String() string {
	if w == Batch {
		return "batch"
	}
	return "online"
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is one request to a model.
type CompletionRequest struct {
	// Request is the id that the endpoint must echo on every event.
	Request RequestID
	// Team is the team whose key authorized the request.
	Team TeamID
	// Model is a model of the desired state.
	Model ModelName
	// Chat is set for chat completions, which have Messages instead of a Prompt.
	Chat bool
	// Messages are the turns of a chat.
	Messages []Message
	// Prompt is the text of a plain completion.
	Prompt string
	// MaxTokens is the largest number of tokens to generate, 1 or more.
	MaxTokens Tokens
	// Body is the validated JSON object as received. Options that this system doesn't
	// interpret are passed on from it.
	Body []byte
	// Class is Online if a caller waits for the response.
	Class WorkClass
	// Deadline is when the response must be complete; zero means none.
	Deadline time.Time
	// Resume is what earlier attempts generated.
	Resume PartialResponse
	// PrefixHash identifies the start of the prompt, for prefix affinity.
	PrefixHash uint64
	// PromptTokens is the estimated length of the prompt.
	PromptTokens Tokens
}

// Cost returns the estimated work of the completion in tokens.
func (c *CompletionRequest) Cost() Tokens {
	return c.PromptTokens + c.MaxTokens - c.Resume.Tokens
}

// PartialResponse is the part of a response that is already generated.
type PartialResponse struct {
	// Text is the generated text so far.
	Text string `json:"text"`
	// Tokens is the number of tokens in Text.
	Tokens Tokens `json:"tokens"`
}

// Delta is one piece of a streamed response.
type Delta struct {
	// Index is the number of the token, from 0, without gaps or repetitions over
	// all attempts of a request.
	Index Tokens
	// Text is the token's text.
	Text string
	// Finish is set on the last delta: "stop" or "length".
	Finish string
}

// EndpointErrorKind classifies failed attempts at an endpoint.
type EndpointErrorKind uint8

// The kinds of failed attempts.
const (
	// EndpointUnreachable means that no byte of the request was offered to the endpoint.
	EndpointUnreachable EndpointErrorKind = iota
	// EndpointRefused means that the endpoint stated that it did not run the request.
	EndpointRefused
	// EndpointRejected means that the request itself is invalid.
	EndpointRejected
	// EndpointBroken means that the response was mismatched (it belongs to another
	// request), had a gap or stalled.
	EndpointBroken
	// EndpointLost means that the connection broke while the request was in flight.
	EndpointLost
)

// AsEndpointError returns the *EndpointError within err.
func AsEndpointError(err error) (*EndpointError, bool) {
	var e *EndpointError
	ok := errors.As(err, &e)
	return e, ok
}

// EndpointError is a failed attempt at an endpoint.
type EndpointError struct {
	// Endpoint is the endpoint of the attempt.
	Endpoint EndpointID
	// Kind classifies the failure.
	Kind EndpointErrorKind
	// Status is the HTTP status, or 0 without a response.
	Status int
	// Cause is the underlying error.
	Cause error
}

func (e *EndpointError) Error() string {
	return "endpoint " + string(e.Endpoint) + ": " + e.Cause.Error()
}

// MayHaveRun reports whether the endpoint may have run the request.
func (e *EndpointError) MayHaveRun() bool {
	return e.Kind == EndpointBroken || e.Kind == EndpointLost
}

// Unwrap returns the cause.
func (e *EndpointError) Unwrap() error {
	return e.Cause
}

// Endpoint is one model engine.
type Endpoint interface {
	// Complete streams the response to emit, each token once and in order, and
	// returns an *EndpointError if the response is incomplete. An error returned
	// by emit ends the stream and is returned unchanged.
	Complete(ctx context.Context, c *CompletionRequest, emit func(Delta) error) error
}

// LoadReport is the load that an endpoint reports. It lags behind the actual load.
type LoadReport struct {
	// Running is the number of requests in the engine's current step.
	Running int `json:"running"`
	// Waiting is the number of requests admitted but not yet running.
	Waiting int `json:"waiting"`
	// Models are the models that the endpoint can serve now.
	Models []ModelName `json:"models"`
	// Loaded holds the versions and adapters of Models.
	Loaded []LoadedModel `json:"loaded"`
	// Leaving is set when the endpoint is about to shut down.
	Leaving bool `json:"leaving"`
}

// LoadedModel describes a model that an endpoint has loaded.
type LoadedModel struct {
	Name     ModelName `json:"name"`
	Version  string    `json:"version"`
	Adapters []string  `json:"adapters,omitempty"`
}

// LoadedAs returns the version and adapters with which the endpoint has a model loaded.
func (r *LoadReport) LoadedAs(name ModelName) (LoadedModel, bool) {
	for _, m := range r.Loaded {
		if m.Name == name {
			return m, true
		}
	}
	return LoadedModel{}, false
}
