package manager_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/manager"
)

const (
	// releaseDelay is how long after the next owner the former one applies the list of owners.
	releaseDelay = 700 * time.Millisecond
	// lateEnd is how long after its cancellation an attempt ends on a busy instance.
	lateEnd = 300 * time.Millisecond
	// silentWait is how long items wait at most for a former owner that sends nothing.
	silentWait = 2500 * time.Millisecond
)

// started is progress that an item made at its former owner.
var started = fescuebank.Progress{Events: 5, Last: "5", Output: []byte("text"), Version: "v1"}

// moveTeam makes the manager to the newest owner, which loads the team's jobs. The other one still
// considers itself the owner.
func (p *ownerPair) moveTeam(to int) {
	p.become(to)
	_, _ = p.manager(to).Read(context.Background(), team, "job", 0, 0)
}

// releaseTeam makes a manager release the team.
func (p *ownerPair) releaseTeam(from int) {
	p.setOwns(from, false)
	p.manager(from).UpdateOwnership()
}

// TestItemsWaitForTheProgressOfALiveFormerOwner guards against items that start over because the
// former owner applies the list of owners later than the next one.
func TestItemsWaitForTheProgressOfALiveFormerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.submit(1, "job", 1)
		task := awaitTask(p.manager(1))
		p.setFormerOwnerAlive(true)
		p.moveTeam(0)
		time.Sleep(releaseDelay)
		if early := p.manager(0).NextTask(func() {}, nil); early != nil {
			t.Fatalf("got an item with %d events before the former owner released it, want none", early.Progress.Events)
		}
		p.releaseTeam(1)
		p.manager(1).Requeue(task, manager.CauseInterrupted, started)
		if got := awaitTask(p.manager(0)); got == nil || got.Progress.Events != started.Events {
			t.Errorf("got %+v, want the item with its progress", got)
		}
	})
}

// TestProgressOfAttemptsThatEndLateIsHandedOver guards against progress that is lost because an
// attempt takes long to end after its cancellation.
func TestProgressOfAttemptsThatEndLateIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.submit(1, "job", 1)
		task := awaitTask(p.manager(1))
		p.setFormerOwnerAlive(true)
		p.moveTeam(0)
		p.releaseTeam(1)
		time.Sleep(lateEnd)
		p.manager(1).Requeue(task, manager.CauseInterrupted, started)
		if got := awaitTask(p.manager(0)); got == nil || got.Progress.Events != started.Events {
			t.Errorf("got %+v, want the item with its progress", got)
		}
	})
}

// TestItemsStartWithoutAHandover checks when the items of a moved team start if the former owner
// has no progress to send, or is lost, or sends nothing.
func TestItemsStartWithoutAHandover(t *testing.T) {
	for _, tt := range []struct {
		name            string
		alive, releases bool
		within          time.Duration
	}{
		{"no progress", true, true, 400 * time.Millisecond},
		{"former owner is lost", false, false, 400 * time.Millisecond},
		{"former owner is silent", true, false, silentWait},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				p.submit(1, "job", 1)
				p.setFormerOwnerAlive(tt.alive)
				p.moveTeam(0)
				if tt.releases {
					p.releaseTeam(1)
				}
				time.Sleep(tt.within)
				if p.manager(0).NextTask(func() {}, nil) == nil {
					t.Errorf("got no item after %v, want it", tt.within)
				}
			})
		})
	}
}

// TestHandoverInProgressIsReported checks that a leaving instance can tell that it still sends
// progress.
func TestHandoverInProgressIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.submit(1, "job", 1)
		task := awaitTask(p.manager(1))
		p.moveTeam(0)
		p.releaseTeam(1)
		if !p.manager(1).IsHandingOver() {
			t.Error("got no handover in progress while an attempt ends, want one")
		}
		p.manager(1).Requeue(task, manager.CauseInterrupted, started)
		time.Sleep(time.Second)
		if p.manager(1).IsHandingOver() {
			t.Error("got a handover in progress after it was sent, want none")
		}
	})
}

// TestOutcomesThatAreNotCommittedAreHandedOver guards against items that run again because their team
// moved to another owner between their end and their commit.
func TestOutcomesThatAreNotCommittedAreHandedOver(t *testing.T) {
	for _, tt := range []struct {
		name   string
		failed bool
		output string
	}{{"completed", false, "text"}, {"failed", true, ""}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				p.submit(1, "job", 2)
				done := awaitTask(p.manager(1))
				p.manager(1).Finish(done, tt.failed, []byte(tt.output))
				p.setFormerOwnerAlive(true)
				p.moveTeam(0)
				p.releaseTeam(1)
				other := awaitTask(p.manager(0))
				if other == nil || other.Request.ID == done.Request.ID {
					t.Fatalf("got %+v, want the other item", other)
				}
				if again := awaitTask(p.manager(0)); again != nil {
					t.Errorf("got the item %s once more, want it to be done", again.Request.ID)
				}
				page, err := p.manager(0).Read(t.Context(), team, "job", 0, 0)
				if err != nil {
					t.Fatal(err)
				}
				if len(page.Results) != 1 || page.Results[0].Failed != tt.failed || string(page.Results[0].Output) != tt.output {
					t.Errorf("got results %+v, want the one of the former owner", page.Results)
				}
			})
		})
	}
}
