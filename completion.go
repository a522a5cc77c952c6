package fescuebank

import (
	"context"
	"errors"
	"time"
)

// WorkClass separates callers who wait from jobs that may.
type WorkClass uint8

// The kinds of work.
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

// Completion is one request to a model.
type Completion struct {
	// Request is the id that the endpoint must echo on every event.
	Request RequestID
	// Team is the one whose key came with the request.
	Team TeamID
	// Model is a model of the desired state.
	Model ModelName
	// Chat is set for chat completions, which have Messages and no Prompt.
	Chat bool
	// Messages are the turns of a chat.
	Messages []Message
	// Prompt is the text of a plain completion.
	Prompt string
	// MaxTokens bounds the answer, 1 or more.
	MaxTokens Tokens
	// Body is the validated JSON object as it came, for options that pass through.
	Body []byte
	// Work says whether a caller waits.
	Work WorkClass
	// Deadline is when the answer must be whole; zero means none.
	Deadline time.Time
	// Resume is what a former attempt generated.
	Resume Partial
	// PrefixHash identifies the start of the prompt, for prefix affinity.
	PrefixHash uint64
	// PromptTokens is the estimated length of the prompt.
	PromptTokens Tokens
}

// Cost is the estimated work of the completion in tokens.
func (c *Completion) Cost() Tokens {
	return c.PromptTokens + c.MaxTokens - c.Resume.Tokens
}

// Partial is the part of an answer that is already generated.
type Partial struct {
	// Text is the generated text so far.
	Text string `json:"text"`
	// Tokens is the number of tokens in Text.
	Tokens Tokens `json:"tokens"`
}

// Delta is one piece of a streamed answer.
type Delta struct {
	// Index is the number of the token, from 0, without gap or repetition over
	// all attempts of a request.
	Index Tokens
	// Text is the token's text.
	Text string
	// Finish is set on the last delta: "stop" or "length".
	Finish string
}

// EndpointErrorKind says how an endpoint failed.
type EndpointErrorKind uint8

// How an endpoint can fail.
const (
	// EndpointUnreached means that no byte of the request was offered.
	EndpointUnreached EndpointErrorKind = iota
	// EndpointRefused means that the endpoint said that it did not run the request.
	EndpointRefused
	// EndpointRejected means that the request itself is at fault.
	EndpointRejected
	// EndpointBroken means that the answer was crossed, had a gap or fell silent.
	EndpointBroken
	// EndpointLost means that the connection broke under the request.
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
	// Endpoint is the one that failed.
	Endpoint EndpointID
	// Kind says what is known of the attempt.
	Kind EndpointErrorKind
	// Status is the HTTP status, or 0.
	Status int
	// Cause is the error below.
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
	// Complete streams the answer to emit, in order and each token once, and
	// returns an *EndpointError if the answer is not whole. An error of emit
	// ends the stream and is returned as it is.
	Complete(ctx context.Context, c *Completion, emit func(Delta) error) error
}

// LoadReport is an endpoint's own view of its load. It lags.
type LoadReport struct {
	// Running is the number of requests in the engine's current step.
	Running int `json:"running"`
	// Waiting is the number admitted but not yet running.
	Waiting int `json:"waiting"`
	// Models are those it can serve now.
	Models []ModelName `json:"models"`
	// Loaded tells the versions and adapters of Models.
	Loaded []LoadedModel `json:"loaded"`
	// Leaving is set when the endpoint is about to go.
	Leaving bool `json:"leaving"`
}

// LoadedModel is a model as an endpoint has it loaded.
type LoadedModel struct {
	Name     ModelName `json:"name"`
	Version  string    `json:"version"`
	Adapters []string  `json:"adapters,omitempty"`
}

// LoadedAs returns how the endpoint has a model loaded.
func (r *LoadReport) LoadedAs(name ModelName) (LoadedModel, bool) {
	for _, m := range r.Loaded {
		if m.Name == name {
			return m, true
		}
	}
	return LoadedModel{}, false
}
