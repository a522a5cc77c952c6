package manager_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/manager"
)

// TestNewOwnerKnowsLengthsFromResults checks that an incarnation that has just started estimates the
// run times of items from the results in the store: without that it starts items first that can't be
// done in time any more.
func TestNewOwnerKnowsLengthsFromResults(t *testing.T) {
	const (
		events   = 40
		perEvent = 50 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.submit(1, "job", 3)
		task := awaitTask(p.manager(1))
		p.manager(1).Finish(task, false, []byte(strings.Repeat("word\n", events-1)+"word"))
		time.Sleep(5 * time.Second)
		p.setOwns(1, false)
		p.moveTeam(0)
		if _, err := p.manager(0).Read(context.Background(), team, "job", 0, 0); err != nil {
			t.Fatal(err)
		}
		task = awaitTask(p.manager(0))
		if task == nil {
			t.Fatal("got no item, want one")
		}
		p.manager(0).ObserveAttempt(task, fescuebank.Progress{Events: events / 2}, perEvent*events/2, false)
		p.manager(0).Requeue(task, manager.CausePreempted, fescuebank.Progress{Events: events / 2, Last: "20"})
		got := p.manager(0).Remaining(task, events/2)
		if want := perEvent * events / 2; got < want || got > want+time.Second {
			t.Errorf("got %v until the end of the item, want about %v", got, want)
		}
	})
}
