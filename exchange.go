package fescuebank

import (
	"net/http"
	"time"
)

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Request is one request of a caller on a route. Its body is opaque.
type Request struct {
	ID    RequestID
	Team  TeamID
	Route *Route
	// Service is the one that the route's shares chose.
	Service ServiceName
	Method  string
	// Target is the path and query as they came.
	Target string
	Host   string
	// Header holds the headers that are passed on.
	Header http.Header
	Body   []byte
	// Arrived is when the head of the request was read.
	Arrived time.Time
	// Deadline is when the caller or the route gives up, whichever is first.
	Deadline time.Time
	// Prompt are the parts of the prompt in order; the last is the request's own.
	Prompt []PromptPart
	// InputTokens and MaxOutputTokens are the tokens of the prompt and the most to generate.
	InputTokens     Tokens
	MaxOutputTokens Tokens
	// ResumeAfter is the number of the last event that the caller has, or empty.
	ResumeAfter string
	// Priority is the rank of the request, 0 for the most urgent.
	Priority int
}

// PrefixKey identifies the longest part of the prompt that other requests may share.
func (r *Request) PrefixKey() string {
	if len(r.Prompt) < 2 {
		return ""
	}
	return r.Prompt[len(r.Prompt)-2].ID
}

// EndpointLoad is an endpoint's own count of its requests.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
}

// ResponseInfo is what the head of an endpoint's answer says about itself.
type ResponseInfo struct {
	// Request is the id that the answer belongs to, empty if it names none.
	Request RequestID
	// NotRun is set when the endpoint says that it did not run the request.
	NotRun bool
	// Misdirected is set when another endpoint has the address now.
	Misdirected bool
	// Signed is set when the answer carries the endpoint's signature.
	Signed bool
	// Load is nil where the endpoint tells none.
	Load *EndpointLoad
}

// EndpointProtocol encodes requests to endpoints and decodes what answers say.
type EndpointProtocol interface {
	// Encode sets the headers of an attempt that may take as long as left.
	Encode(h http.Header, r *Request, e ServedEndpoint, left time.Duration)
	// Resume asks for the events after the one numbered last.
	Resume(h http.Header, last string)
	// Decode reads the head of an answer.
	Decode(status int, h http.Header) ResponseInfo
}

// ResponseWriter takes the answer to one request.
type ResponseWriter interface {
	// Start sends status and headers. It is called once, before Write.
	Start(status int, h http.Header)
	// Write sends a part of the body at once. It fails when the caller is gone.
	Write(p []byte) error
}
