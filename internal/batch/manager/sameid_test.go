package manager_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
)

// TestTeamsMayChooseOneID guards against two teams that choose the same id for their jobs and get each other's results.
func TestTeamsMayChooseOneID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		teams := []fescuebank.TeamID{team, "other", "third"}
		for n, owner := range teams {
			j := job("nightly", 2)
			j.Team = owner
			for i := range j.Items {
				j.Items[i].ID = fmt.Sprintf("%s-%d-%d", owner, n, i)
			}
			if err := p.manager(1).Submit(t.Context(), j); err != nil {
				t.Fatalf("got %v for the job of %s, want it accepted", err, owner)
			}
		}
		for task := p.manager(1).NextTask(func() {}, nil); task != nil; task = p.manager(1).NextTask(func() {}, nil) {
			p.manager(1).Finish(task, false, []byte("output of "+string(task.Request.Team)))
		}
		time.Sleep(5 * time.Second)
		for _, when := range []string{"before a restart", "after it"} {
			for n, owner := range teams {
				page, err := p.manager(1).Read(t.Context(), owner, "nightly", 0, 0)
				if err != nil || len(page.Results) != 2 || page.Total != 2 {
					t.Fatalf("%s, %s: got %+v, error %v, want 2 results", owner, when, page, err)
				}
				for _, r := range page.Results {
					if own := fmt.Sprintf("%s-%d-", owner, n); r.Item[:len(own)] != own || string(r.Output) != "output of "+string(owner) {
						t.Errorf("%s, %s: got item %s with %q, want an own one", owner, when, r.Item, r.Output)
					}
				}
			}
			p.restart(1)
		}
	})
}
