package fescuebank

import "time"

// Pace is how long work takes at an endpoint, as a multiple of the time at the typical
// endpoint of its service. It is above 0; at 2 work takes twice as long.
type Pace float64

// Slowdown is how long work takes at an endpoint for a moment, as a multiple of what it usually
// takes at the same endpoint; 0 means unknown.
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
