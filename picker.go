package fescuebank

// Candidate is an endpoint that an instance may pick, with the load known to the
// instance.
type Candidate struct {
	ID EndpointID
	// Slots is how many requests the endpoint can run at once, 1 or more.
	Slots int
	// OwnRequests is the number of this instance's online requests at the endpoint.
	OwnRequests int
	// OtherRequests is the estimated number of other instances' requests at the endpoint,
	// from the newest load report, which lags.
	OtherRequests int
	// Ramp is the share of its capacity that a new endpoint may use, 0 to 1.
	Ramp float64
}

// Load returns the load with one more request, as a share of the endpoint's capacity.
func (c Candidate) Load() float64 {
	return float64(c.OwnRequests+c.OtherRequests+1) / (float64(c.Slots) * max(c.Ramp, minRamp))
}

// minRamp bounds Ramp from below, so that Load never divides by zero.
const minRamp = 0.05

// Policy names an algorithm that picks endpoints.
type Policy string

// The policies. All except PolicyLeastExpected are baselines for measurements.
const (
	PolicyLeastExpected Policy = "leastExpected"
	PolicyTwoChoices    Policy = "twoChoices"
	PolicyRandom        Policy = "random"
	PolicyRoundRobin    Policy = "roundRobin"
	PolicyLeastReported Policy = "leastReported"
)

// Policies lists every policy.
var Policies = []Policy{PolicyLeastExpected, PolicyTwoChoices, PolicyRandom, PolicyRoundRobin, PolicyLeastReported}
