package manager_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// TestTakeoverDoesNotDependOnTheHistory guards against a team that has had so many jobs that a new owner never gets to its open ones.
func TestTakeoverDoesNotDependOnTheHistory(t *testing.T) {
	const (
		doneJobs = 300
		// maxCalls bounds the calls to the store for a takeover with one open job.
		maxCalls = 40
	)
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		for n := range doneJobs {
			p.submit(1, fescuebank.JobID(fmt.Sprintf("done%d", n)), 1)
			if n%3 == 1 {
				p.endJob(t, fescuebank.JobID(fmt.Sprintf("done%d", n)))
				continue
			}
			p.finishAll(1, 10)
			time.Sleep(3 * time.Second)
		}
		p.submit(1, "open", 2)
		before := p.store.Calls()
		p.restart(1)
		if _, err := p.manager(1).Item(t.Context(), team, "open", "open-0"); err != nil {
			t.Fatalf("got %v for the open job, want its item", err)
		}
		if calls := p.store.Calls() - before; calls > maxCalls {
			t.Errorf("got %d calls to the store for one open job, want %d at most", calls, maxCalls)
		}
		for _, id := range []fescuebank.JobID{"done0", "done150", "done299"} {
			if got := p.readAll(t, 1, id); len(got) != 1 {
				t.Errorf("job %s: got %d results after the takeover, want 1", id, len(got))
			}
		}
		if err := p.manager(1).Submit(t.Context(), job("done0", 1)); err != nil {
			t.Errorf("got %v for a done job sent again, want it accepted", err)
		}
	})
}

// endJob ends a job at manager 1 at its caller's request.
func (p *ownerPair) endJob(t *testing.T, id fescuebank.JobID) {
	t.Helper()
	if err := p.manager(1).End(t.Context(), team, id); err != nil {
		t.Fatal(err)
	}
}

// TestDoneJobsAreMarkedWithoutAnotherSubmission guards against a takeover that loads jobs which are all done, as no change of the
// ledger came after their end.
func TestDoneJobsAreMarkedWithoutAnotherSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			rounds, jobsInRound = 30, 8
			// maxCalls bounds the calls for a takeover: few jobs may be done and not marked.
			maxCalls = 160
		)
		p := newOwnerPair()
		var open []fescuebank.JobID
		for round := range rounds {
			for n := range jobsInRound {
				id := fescuebank.JobID(fmt.Sprintf("job%d", round*jobsInRound+n))
				j := job(id, 1)
				j.Items[0].Tokens = 1
				if err := p.manager(1).Submit(t.Context(), j); err != nil {
					t.Fatal(err)
				}
				open = append(open, id)
			}
		}
		p.finishAll(1, 10)
		time.Sleep(10 * time.Second)
		before := p.store.Calls()
		p.restart(1)
		if got := p.readAll(t, 1, open[0]); len(got) != 1 {
			t.Errorf("got %d results, want 1", len(got))
		}
		if calls := p.store.Calls() - before; calls > maxCalls {
			t.Errorf("got %d calls to the store for a takeover without open jobs, want %d at most", calls, maxCalls)
		}
	})
}

// TestTakeoverGoesOnWhereItFailed guards against a takeover that begins anew each time the store fails during it.
func TestTakeoverGoesOnWhereItFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 6
		p := newOwnerPair()
		for n := range jobs {
			p.submit(1, fescuebank.JobID(fmt.Sprintf("job%d", n)), 1)
		}
		// Each takeover writes one segment for each open job. A handover would begin another one beside the test.
		p.kill(1)
		p.store.SetFaults(memorystorer.Faults{DownAfterWrites: jobs / 2})
		p.manager(1).UpdateOwnership()
		synctest.Wait()
		if got := p.manager(1).Status().Open; got != jobs/2 {
			t.Errorf("got %d jobs loaded before the store failed, want %d", got, jobs/2)
		}
		if p.manager(1).HasWaiting() {
			t.Error("got an item at once, want the wait for a handover")
		}
		if _, err := p.manager(1).Item(t.Context(), team, "job0", "job0-0"); err == nil {
			t.Fatal("got no error while the store is down, want one")
		}
		time.Sleep(5 * time.Second)
		if !p.manager(1).HasWaiting() {
			t.Error("got no item of the jobs that were loaded, want one")
		}
		p.store.SetFaults(memorystorer.Faults{}) // The takeover goes on until then.
		time.Sleep(time.Second)
	})
}

// TestTakeoverGoesOnAfterACallThatFailed guards against a team whose jobs nobody loads, as a call that came before the takeover found the
// store down.
func TestTakeoverGoesOnAfterACallThatFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.submit(1, "job", 1)
		p.kill(1)
		p.store.SetFaults(memorystorer.Faults{Down: true})
		if _, err := p.manager(1).Item(t.Context(), team, "job", "job-0"); err == nil {
			t.Fatal("got no error while the store is down, want one")
		}
		p.manager(1).UpdateOwnership()
		p.store.SetFaults(memorystorer.Faults{})
		time.Sleep(5 * time.Second)
		if !p.manager(1).HasWaiting() {
			t.Error("got no item, want that of the open job")
		}
	})
}
