package fescuebank

// Candidate is an endpoint as one instance sees it when it picks.
type Candidate struct {
	ID EndpointID
	// Slots is how many requests the endpoint generates for at once, 1 or more.
	Slots int
	// Own is the number of online requests that this instance has there.
	Own int
	// Others is the estimated number of requests of other instances there, from
	// the newest load report. The report lags.
	Others int
	// Ramp is the share of its capacity that a new endpoint may use, 0 to 1.
	Ramp float64
}

// Load is the expected work in units of the endpoint's capacity.
func (c Candidate) Load() float64 {
	return float64(c.Own+c.Others+1) / (float64(c.Slots) * max(c.Ramp, minRamp))
}

const minRamp = 0.05

// Policy names a way to pick endpoints.
type Policy string

// The policies. All but PolicyLeastExpected are baselines to measure against.
const (
	PolicyLeastExpected Policy = "leastExpected"
	PolicyTwoChoices    Policy = "twoChoices"
	PolicyRandom        Policy = "random"
	PolicyRoundRobin    Policy = "roundRobin"
	PolicyLeastReported Policy = "leastReported"
)

// Policies lists every policy.
var Policies = []Policy{PolicyLeastExpected, PolicyTwoChoices, PolicyRandom, PolicyRoundRobin, PolicyLeastReported}
