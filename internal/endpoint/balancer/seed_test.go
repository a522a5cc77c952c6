package balancer_test

import "flag"

// The seed is fixed, so that each test run has the same result. -rapid.seed=0
// draws a random seed.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "60")
}
