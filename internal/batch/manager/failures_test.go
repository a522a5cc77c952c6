package manager_test

import (
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/manager"
)

// failUntilGivenUp fails all attempts at the only item of a manager until it is given up, or most attempts have failed.
func failUntilGivenUp(m *manager.Manager, most int) (failures int) {
	for failures < most {
		task := awaitTask(m)
		if task == nil {
			return failures
		}
		failures++
		m.Requeue(task, manager.CauseItemFailed, fescuebank.Progress{})
	}
	return failures
}

// TestFailuresAreKeptWhenTheOwnerEnds guards against an item that fails at each attempt and reaches endpoints again and again, as the count of its
// failures is lost with each owner.
func TestFailuresAreKeptWhenTheOwnerEnds(t *testing.T) {
	const (
		attempts = 3 // The route's.
		// killDelay is how long after its last failure the owner ends.
		killDelay = 300 * time.Millisecond
	)
	for _, tt := range []struct {
		name string
		// failed is the number of attempts that fail at the first owner.
		failed int
		end    func(p *ownerPair)
	}{
		{"stopped after one", 1, func(p *ownerPair) { p.restart(1) }},
		{"stopped after two", 2, func(p *ownerPair) { p.restart(1) }},
		{"stopped after all", attempts, func(p *ownerPair) { p.restart(1) }},
		{"killed after all", attempts, func(p *ownerPair) { p.kill(1) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				p.submit(1, "job", 2)
				if task := awaitTask(p.manager(1)); task == nil { // The other item is running meanwhile.
					t.Fatal("got no item, want one")
				}
				got := failUntilGivenUp(p.manager(1), tt.failed)
				time.Sleep(killDelay)
				tt.end(p)
				p.results(t, 1, "job")
				time.Sleep(time.Second)
				if task := awaitTask(p.manager(1)); task == nil {
					t.Fatal("got no item after the restart, want the one that was running")
				}
				got += failUntilGivenUp(p.manager(1), 2*attempts)
				if got != attempts {
					t.Errorf("got %d failed attempts, want %d", got, attempts)
				}
			})
		})
	}
}
