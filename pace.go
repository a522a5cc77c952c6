package fescuebank

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pace is how long work takes at an endpoint, as a multiple of the time at the typical
// endpoint of its service. It is above 0; at 2 work takes twice as long.
type Pace float64

// Slowdown is how long work takes at an endpoint at a moment, as a multiple of what is usual; 0 means
// unknown.
type Slowdown float64

// EndpointPaces knows how long work takes at each endpoint.
type EndpointPaces interface {
	// Pace returns the pace of an endpoint at this moment, 1 if nothing is known of it.
	Pace(id EndpointID) Pace
}

// LoadForecaster predicts the load by online requests from their recent course.
type LoadForecaster interface {
	// Forecast returns the number of slots of the service that online requests are expected to
	// need at a time in the next seconds. It returns false while too little is known.
	Forecast(service ServiceName, at time.Time) (slots float64, ok bool)
}

// EndpointIncarnationTag is a hash of an endpoint's id and incarnation that shortens messages
// between instances. What is known of an incarnation doesn't hold for the next one.
type EndpointIncarnationTag uint32

// IncarnationTag returns the tag of the endpoint's incarnation.
func (e ServedEndpoint) IncarnationTag() EndpointIncarnationTag {
	return EndpointIncarnationTag(xxhash.Sum64String(string(e.ID) + "/" + strconv.FormatInt(e.StartedUnixMilli, 10)))
}

// PaceStatement is what an instance has observed of an endpoint since its previous message.
type PaceStatement struct {
	_ struct{} `cbor:",toarray"`
	// Samples is the number of times that work was timed, and Percent the mean time, in percent
	// of the time at the typical endpoint. A message that is lost costs only these samples.
	Samples int
	Percent int
	// Slowdown is the last stated one in percent, 0 if none was stated, and Requests the number
	// of requests that the endpoint reported with it, running and waiting, 0 if it reported none.
	// Both are AgeMs milliseconds old.
	Slowdown int
	Requests int
	AgeMs    int64
}
