package manager_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

const (
	// cancelTime bounds how long items of a job run on after its end was acknowledged, startTime how long those of an accepted job wait.
	cancelTime = 3 * time.Second
	startTime  = 4 * time.Second
	// callPause is the pause before a caller repeats a call that was not acknowledged.
	callPause = 100 * time.Millisecond
)

// decision is a call that changes a job, made to the former owner of its team first.
type decision struct {
	name string
	make func(ctx context.Context, p *ownerPair, owner int) error
	// isEnd is set if the job is ended, else it is submitted.
	isEnd bool
}

var decisions = []decision{
	{"end", func(ctx context.Context, p *ownerPair, owner int) error {
		return p.manager(owner).End(ctx, team, "job")
	}, true},
	{"submission", func(ctx context.Context, p *ownerPair, owner int) error {
		return p.manager(owner).Submit(ctx, job("job", 2))
	}, false},
}

// call makes a decision at a former owner, and at the newest one until it is acknowledged. It reports whether the former one did so.
func (d decision) call(t *testing.T, p *ownerPair, former, attempts int) (byFormer bool) {
	t.Helper()
	for n := range 10 {
		owner := former
		if n >= attempts {
			owner = 1 - former
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		err := d.make(ctx, p, owner)
		cancel()
		if err == nil {
			return owner == former
		}
		time.Sleep(callPause)
		p.store.SetFaults(memorystorer.Faults{})
	}
	t.Fatal("got no acknowledgement in ten calls, want one")
	return false
}

// TestAcknowledgedDecisionsBindTheNewestOwner guards against a job whose items run after its end was acknowledged, and against an accepted
// one that never runs, as a former owner acknowledged the call before it knew of the present one, which had read the ledger.
func TestAcknowledgedDecisionsBindTheNewestOwner(t *testing.T) {
	for _, tt := range []struct {
		name string
		// former is the index of the former owner.
		former int
		// attempts is how often the caller calls the former owner.
		attempts int
		faults   memorystorer.Faults
		// kill is set if the former owner is killed after the calls.
		kill bool
	}{
		{"the first owner is the former one", 0, 1, memorystorer.Faults{}, false},
		{"the second owner is the former one", 1, 1, memorystorer.Faults{}, false},
		{"the caller repeats the call there", 0, 3, memorystorer.Faults{}, false},
		{"the store loses the reply", 0, 1, memorystorer.Faults{LoseReplies: true}, false},
		{"the former owner is killed", 0, 1, memorystorer.Faults{}, true},
	} {
		for _, d := range decisions {
			t.Run(tt.name+", "+d.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newOwnerPair()
					newest := 1 - tt.former
					if d.isEnd {
						p.submit(tt.former, "job", 2)
						if p.accepted["job"] == 0 {
							p.submit(newest, "job", 2)
						}
					}
					p.setOwns(tt.former, true)
					p.load(tt.former)
					p.become(newest)
					p.load(newest)
					p.store.SetFaults(tt.faults)
					d.call(t, p, tt.former, tt.attempts)
					if tt.kill {
						p.kill(tt.former)
						p.become(newest)
					}
					if d.isEnd {
						time.Sleep(cancelTime)
						if task := p.manager(newest).NextTask(func() {}, nil); task != nil {
							t.Errorf("got item %s %v after the end of its job was acknowledged, want none", task.Request.ID, cancelTime)
						}
						return
					}
					time.Sleep(startTime)
					if p.manager(newest).NextTask(func() {}, nil) == nil {
						t.Errorf("got no item %v after its job was accepted, want one", startTime)
					}
				})
			})
		}
	}
}

// TestDecisionsOfOwnersOfTheBuildBefore guards against the same while builds are mixed: an owner of the build before acknowledges a call
// although it has been replaced.
func TestDecisionsOfOwnersOfTheBuildBefore(t *testing.T) {
	for _, tt := range []struct {
		name string
		// hasOther is set if the team has another open job, so that a handover is sent.
		hasOther bool
	}{
		{"a handover is sent", true},
		{"no handover is sent", false},
	} {
		for _, d := range decisions {
			t.Run(tt.name+", "+d.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newOwnerPair()
					p.olderBuild[0] = true
					p.setFormerOwnerAlive(true)
					p.become(0)
					if d.isEnd {
						p.submit(0, "job", 2)
					}
					if tt.hasOther {
						p.submit(0, "other", 1)
					}
					p.become(1)
					p.load(1)
					time.Sleep(callPause)
					if !d.call(t, p, 0, 1) {
						t.Fatal("got no acknowledgement of the owner of the build before, want one")
					}
					time.Sleep(callPause)
					p.releaseTeam(0)
					time.Sleep(startTime)
					runs := false
					for task := p.manager(1).NextTask(func() {}, nil); task != nil; task = p.manager(1).NextTask(func() {}, nil) {
						runs = runs || strings.HasPrefix(string(task.Request.ID), "job-")
					}
					if runs == d.isEnd {
						t.Errorf("got items of the job that run: %v, want %v", runs, !d.isEnd)
					}
				})
			})
		}
	}
}

// TestAcknowledgedEndStopsAttemptsOfTheNewestOwner guards against attempts that run on after the end of their job was acknowledged by a
// former owner.
func TestAcknowledgedEndStopsAttemptsOfTheNewestOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.submit(1, "job", 1)
		p.load(0)
		p.become(1)
		var stopped atomic.Bool
		time.Sleep(time.Second)
		if p.manager(1).NextTask(func() { stopped.Store(true) }, nil) == nil {
			t.Fatal("got no item, want one")
		}
		decisions[0].call(t, p, 0, 1)
		time.Sleep(cancelTime)
		if !stopped.Load() {
			t.Errorf("got no stop of the attempt within %v after the end of its job was acknowledged, want one", cancelTime)
		}
	})
}

// TestConfirmationOutlivesAFailedRead guards against an error for a caller because one read of the list of owners failed.
func TestConfirmationOutlivesAFailedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.load(1)
		p.setListUnreadable(true)
		time.AfterFunc(30*time.Millisecond, func() { p.setListUnreadable(false) })
		if err := p.manager(1).Submit(t.Context(), job("job", 1)); err != nil {
			t.Errorf("got %v, want the job accepted", err)
		}
	})
}

// TestJobSentAgainKeepsItsState guards against a job that begins anew, although it is done or ended, as it is sent again to an owner that
// doesn't know it yet.
func TestJobSentAgainKeepsItsState(t *testing.T) {
	for _, tt := range []struct {
		name string
		// close makes manager 0 complete or end the job.
		close func(p *ownerPair)
		// want is the number of results that the newest owner returns.
		want int
	}{
		{"done", func(p *ownerPair) { p.finishAll(0, 1); time.Sleep(startTime) }, 1},
		{"ended", func(p *ownerPair) { _ = p.manager(0).End(context.Background(), team, "job") }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				p.load(0)
				p.load(1)
				p.setListUnreadable(true)
				p.submit(0, "job", 1)
				tt.close(p)
				_ = p.manager(0).Submit(t.Context(), job("other", 1)) // Its write marks what is done.
				p.setListUnreadable(false)
				if err := p.manager(1).Submit(t.Context(), job("job", 1)); err != nil {
					t.Fatal(err)
				}
				page, err := p.manager(1).Read(t.Context(), team, "job", 0, 0)
				if err != nil || len(page.Results) != tt.want {
					t.Errorf("got %+v, error %v, want %d results", page, err, tt.want)
				}
				time.Sleep(startTime)
				for task := p.manager(1).NextTask(func() {}, nil); task != nil; task = p.manager(1).NextTask(func() {}, nil) {
					if task.Request.ID == "job-0" {
						t.Error("got the item of a closed job, want none")
					}
				}
			})
		})
	}
}

// TestCapCountsJobsOfTheFormerOwner guards against a team with more waiting tokens than its cap, as its owner didn't know of a job that a
// former one had listed.
func TestCapCountsJobsOfTheFormerOwner(t *testing.T) {
	const capItems = capTokens / itemTokens
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.load(0)
		p.load(1)
		p.submit(0, "first", capItems)
		err := p.manager(1).Submit(t.Context(), job("second", capItems))
		var refusal *fescuebank.Refusal
		if !errors.As(err, &refusal) || refusal.Status != http.StatusTooManyRequests || refusal.State != fescuebank.NotRun {
			t.Errorf("got %v for a job beyond the cap, want status %d", err, http.StatusTooManyRequests)
		}
		if err := p.manager(1).Submit(t.Context(), job("first", capItems)); err != nil {
			t.Errorf("got %v for the listed job sent again, want it accepted", err)
		}
	})
}

// load makes a manager read the team's ledger and open jobs.
func (p *ownerPair) load(i int) {
	_, _ = p.manager(i).Read(context.Background(), team, "job", 0, 0) // The job may not exist yet.
}
