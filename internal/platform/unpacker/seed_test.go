package unpacker_test

import "flag"

// The seed is fixed, so that each run tests the same cases. -rapid.seed=0 draws a random
// one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.nofailfile", "true")
}
