package fescuebank

// ColdBounds bounds what a cold endpoint may get from all instances together, those cut off from the
// others included: in any second its rate times Overage, and Slack more.
type ColdBounds struct {
	Overage float64
	Slack   Requests
}
