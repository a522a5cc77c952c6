package manager_test

import (
	"testing"
	"testing/synctest"
	"time"

	"fescuebank/internal/batch/manager"
)

// retention is that of the test's route.
const retention = time.Hour

// TestNoItemIsGivenUpByTheTimeOfDayOfAnotherInstance guards against items that fail before their retention ends, or get no time at the
// endpoint, because the submitter's clock differs from the owner's.
func TestNoItemIsGivenUpByTheTimeOfDayOfAnotherInstance(t *testing.T) {
	for _, tt := range []struct {
		name string
		// ahead is how far the submitter's clock is ahead.
		ahead    time.Duration
		takeover bool
	}{
		{"same time", 0, false},
		{"submitter ahead", 2 * time.Hour, false},
		{"submitter behind", -2 * time.Hour, false},
		{"next owner, submitter ahead", 2 * time.Hour, true},
		{"next owner, submitter behind", -2 * time.Hour, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				submitted := job("job", 1)
				submitted.Submitted = time.Now().Add(tt.ahead)
				if err := p.manager(1).Submit(t.Context(), submitted); err != nil {
					t.Fatal(err)
				}
				if tt.takeover {
					p.restart(1)
				}
				if got := p.failedAfter(t, retention-time.Minute); got != 0 {
					t.Fatalf("got %d items given up before their retention ends, want none", got)
				}
				task := p.manager(1).NextTask(func() {}, nil)
				if task == nil {
					t.Fatal("got no item, want it")
				}
				if left := time.Until(task.Request.Deadline); left < time.Minute || left > retention {
					t.Errorf("got %v until the item's deadline, want what is left of its retention", left)
				}
				p.manager(1).Requeue(task, manager.CauseNotRun, task.Progress)
				if got := p.failedAfter(t, 2*time.Minute); got != 1 {
					t.Errorf("got %d items given up when their retention has ended, want 1", got)
				}
			})
		})
	}
}

// failedAfter lets time pass at manager 1 and returns how many items of the job have failed then.
func (p *ownerPair) failedAfter(t *testing.T, d time.Duration) int {
	t.Helper()
	if _, err := p.manager(1).Read(t.Context(), team, "job", 0, 0); err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(10 * time.Second) {
		p.manager(1).Expire()
	}
	page, err := p.manager(1).Read(t.Context(), team, "job", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Results)
}

// TestAgeOfJobsIsPassedOn guards against jobs that no owner ever gives up, because each one counts from its own takeover.
func TestAgeOfJobsIsPassedOn(t *testing.T) {
	for _, tt := range []struct {
		name string
		// handsOver is set if the former owner sends a handover.
		handsOver bool
		// lost bounds the age that isn't passed on.
		lost time.Duration
	}{
		{"by a handover", true, time.Minute},
		{"by the results", false, 11 * time.Minute},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				p.submit(1, "job", 2)
				time.Sleep(retention - 20*time.Minute)
				p.manager(1).Finish(p.manager(1).NextTask(func() {}, nil), false, []byte("text"))
				time.Sleep(10 * time.Minute)
				p.moveTeam(0)
				if tt.handsOver {
					p.releaseTeam(1)
				}
				time.Sleep(10*time.Minute + tt.lost)
				p.expireFor(0, time.Second)
				time.Sleep(10 * time.Second)
				page, err := p.manager(0).Read(t.Context(), team, "job", 0, 0)
				if err != nil {
					t.Fatal(err)
				}
				if len(page.Results) != 2 || !page.Results[1].Failed {
					t.Errorf("got results %+v when the retention has ended, want a second one that failed", page.Results)
				}
			})
		})
	}
}
