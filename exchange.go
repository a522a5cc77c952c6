package fescuebank

import (
	"crypto/sha256"
	"net/http"
	"time"
)

// PromptPart is one part of a prompt. Several requests may have it in common.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Request is one request of a caller on a route. Its body is opaque.
type Request struct {
	ID    RequestID
	Team  TeamID
	Route *Route
	// Service is the service that was picked by the weights of the route's shares.
	Service ServiceName
	Method  string
	// Target is the path and query as received.
	Target string
	Host   string
	// Header holds the headers as received. ForwardedHeaders tells which of them are sent to endpoints.
	Header http.Header
	Body   []byte
	// Arrived is when the header of the request was read.
	Arrived time.Time
	// Deadline is the earlier of the caller's and the route's time limit.
	Deadline time.Time
	// Prompt holds the parts of the prompt in order; the last belongs only to this request.
	Prompt []PromptPart
	// InputTokens is the length of the prompt; MaxOutputTokens bounds the generated tokens.
	InputTokens     Tokens
	MaxOutputTokens Tokens
	// ResumeAfter is the id of the last event that the caller received, or empty.
	ResumeAfter string
	// Resumes is the id of the caller's attempt that began the stream, if the caller has
	// received events of it; empty if the caller doesn't name one.
	Resumes RequestID
	// Priority ranks the request; 0 is the most urgent.
	Priority int
}

// Fingerprint identifies what the caller requests. Each attempt of the caller at the same request has
// the same one.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{string(r.Team), r.Host, r.Method, r.Target} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// PrefixKey identifies the longest prefix of the prompt that other requests may share.
func (r *Request) PrefixKey() string {
	if len(r.Prompt) < 2 {
		return ""
	}
	return r.Prompt[len(r.Prompt)-2].ID
}

// Cost returns the tokens by which requests are compared, as a generated token takes about as long as
// reading several of the prompt; 0 if they are unknown.
func (r *Request) Cost() Tokens {
	const promptTokensPerOutputToken = 10
	return r.InputTokens + promptTokensPerOutputToken*r.MaxOutputTokens
}

// Spent returns how long the caller has tried before this attempt, by the part of the route's time limit
// that it doesn't have any more.
func (r *Request) Spent() time.Duration {
	if r.Route == nil || r.Route.Timeout <= 0 {
		return 0
	}
	return max(0, r.Route.Timeout-r.Deadline.Sub(r.Arrived))
}

// EndpointLoad is an endpoint's count of its requests and slots.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes there at this moment, as a multiple of the usual time; 0 if
	// the endpoint doesn't state it.
	Slowdown Slowdown
}

// ResponseInfo is what the status and header of an endpoint's response state.
type ResponseInfo struct {
	// Request is the id of the request that the response belongs to, or empty if the
	// response has none.
	Request RequestID
	// NotRun is set when the endpoint states that it did not run the request.
	NotRun bool
	// Misdirected is set when the address now belongs to another endpoint.
	Misdirected bool
	// Signed is set when the response carries the endpoint's signature.
	Signed bool
	// Load is nil if the endpoint reports none.
	Load *EndpointLoad
	// RateLimit is the number of requests per second that the endpoint takes from all instances
	// together, 0 if it states none.
	RateLimit RequestRate
	// Endpoint is the endpoint that responded, or empty if the response names none.
	Endpoint EndpointID
	// Leaving is set when the endpoint that responded states that it leaves.
	Leaving bool
	// ColdLeft is how much longer the endpoint that responded is cold, 0 if it doesn't say so.
	ColdLeft time.Duration
}

// StatesCold reports whether the response states that the endpoint is cold to which the request was
// sent.
func (i ResponseInfo) StatesCold(sentTo EndpointID) bool {
	return i.ColdLeft > 0 && i.isFrom(sentTo)
}

// StatesLeaving reports whether the response states that the endpoint leaves to which the
// request was sent. A response by another endpoint that now has the address doesn't.
func (i ResponseInfo) StatesLeaving(sentTo EndpointID) bool {
	return i.Leaving && i.isFrom(sentTo)
}

// isFrom reports whether the response is that of the endpoint to which the request was sent.
func (i ResponseInfo) isFrom(sentTo EndpointID) bool {
	if i.Endpoint != "" {
		return i.Endpoint == sentTo
	}
	return !i.Misdirected
}

// StatedRateLimit returns the limit that the endpoint to which the request was sent states, 0 if
// it has none. It returns false if the response doesn't tell.
func (i ResponseInfo) StatedRateLimit(sentTo EndpointID) (RequestRate, bool) {
	if !i.isFrom(sentTo) || (i.NotRun && i.RateLimit == 0) {
		return 0, false
	}
	return i.RateLimit, true
}

// EndpointProtocol encodes the headers of requests to endpoints and decodes those
// of their responses.
type EndpointProtocol interface {
	// Encode sets the protocol's headers of an attempt that has to complete within timeLeft in h, which holds the
	// forwarded ones. It replaces or removes those that the caller sent under its names.
	Encode(h http.Header, r *Request, e ServedEndpoint, timeLeft time.Duration)
	// Resume sets the headers that request only the events after the one with the id last.
	Resume(h http.Header, last string)
	// Prompt returns the parts of the prompt that the header of a request states.
	Prompt(h http.Header) []PromptPart
	// Decode reads the status and header of a response.
	Decode(status int, h http.Header) ResponseInfo
}

// ResponseWriter writes the response to one request to its caller.
type ResponseWriter interface {
	// Start sends the status and header. It is called exactly once, before Write.
	Start(status int, h http.Header)
	// Write sends a part of the body without buffering it. It fails after the caller
	// has disconnected.
	Write(p []byte) error
}
