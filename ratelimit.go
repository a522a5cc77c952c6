package fescuebank

import "time"

// RateLimitStatement is what an endpoint last stated about the requests that it takes, as one
// instance tells others.
type RateLimitStatement struct {
	_ struct{} `cbor:",toarray"`
	// Rate is the number of requests per second that the endpoint takes from all instances
	// together; 0 if it states no limit.
	Rate RequestRate
	// AgeMs is how long ago the endpoint stated that, in milliseconds.
	AgeMs int64
}

// RateLimiter limits the requests of this instance to endpoints that state a limit, or are cold.
type RateLimiter interface {
	// Take counts a request that is sent to the endpoint.
	Take(id EndpointID)
	// Share returns this instance's part of the endpoint's limit. It returns false for an
	// endpoint without a limit.
	Share(id EndpointID) (RateShare, bool)
	// Observe applies the limit that the endpoint states in a response, 0 for none.
	Observe(id EndpointID, limit RequestRate)
	// ObserveCold applies how much longer the endpoint states in a response that it is cold.
	ObserveCold(id EndpointID, left time.Duration)
}

// RateShare is one instance's part of an endpoint's limit.
type RateShare struct {
	// Rate is the number of requests per second that the instance may send, 0 for none.
	Rate RequestRate
	// Available is the number of requests that it may send now.
	Available Requests
}
