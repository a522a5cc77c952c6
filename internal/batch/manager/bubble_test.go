package manager_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fescuebank/internal/standin/memorystorer"
)

// closeTime is how long what goes on in managers may take to end.
const closeTime = 20 * time.Second

// checkInBubbles checks a property with a bubble for each sequence, whose clock begins anew.
func checkInBubbles(t *testing.T, property func(*rapid.T)) {
	rapid.Check(t, func(sequence *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			property(sequence)
		})
		if failure == nil {
			return
		}
		// rapid tells failures apart by the line that they come from: a sequence that lacks data for a draw is none.
		if fmt.Sprintf("%T", failure) == "rapid.invalidData" {
			panic(failure)
		}
		panic(failure)
	})
}

// close ends what goes on in the managers: time stands still in a bubble once its sequence has ended.
func (p *ownerPair) close() {
	p.store.SetFaults(memorystorer.Faults{})
	p.config.setUnreadable(false)
	for i := range 2 {
		p.setOwns(i, false)
		p.manager(i).UpdateOwnership()
	}
	time.Sleep(closeTime)
}
