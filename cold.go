package fescuebank

import "time"

// ColdBounds bounds what a cold endpoint may get from all instances together, those cut off from the
// others included: in any second its rate times Overage, and Slack more.
type ColdBounds struct {
	// Overage is a factor above 0.
	Overage float64
	// Slack is a number of requests, 0 or more.
	Slack Requests
}

// maxColdLeft bounds the time for which an endpoint may say that it stays cold.
const maxColdLeft = time.Minute

// ColdLeft returns the time for which an endpoint says that it stays cold, stated in milliseconds: at
// least 0, and at most a minute, so that a false statement ends.
func ColdLeft(milliseconds float64) time.Duration {
	bounded := min(max(0, milliseconds), float64(maxColdLeft.Milliseconds()))
	return time.Duration(bounded * float64(time.Millisecond))
}
