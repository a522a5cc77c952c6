package manager_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// maxMessage is the largest message between instances.
const maxMessage = 8 << 20

// finishAll ends all items of a manager with outputs of a size that can't be compressed, and returns the outputs.
func (p *ownerPair) finishAll(i, size int) map[string][]byte {
	outputs := make(map[string][]byte)
	for {
		task := p.manager(i).NextTask(func() {}, nil)
		if task == nil {
			return outputs
		}
		output := randomBytes(byte(len(outputs)), size)
		outputs[string(task.Request.ID)] = output
		p.manager(i).Finish(task, false, output)
	}
}

// readAll reads all pages of a job's results.
func (p *ownerPair) readAll(t *testing.T, i int, id fescuebank.JobID) map[string][]byte {
	t.Helper()
	results := make(map[string][]byte)
	for {
		page, err := p.manager(i).Read(t.Context(), team, id, len(results), 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(page.Results) == 0 {
			return results
		}
		for _, r := range page.Results {
			results[r.Item] = r.Output
		}
	}
}

// TestResultsBeyondOneObjectAreListed guards against results that end while the store is away, are too large for one object, and are
// never listed.
func TestResultsBeyondOneObjectAreListed(t *testing.T) {
	for _, tt := range []struct {
		name  string
		items int
		size  int
	}{
		{"many results", 8, 300 << 10},
		{"results that fill an object almost", 4, 775 << 10},
		{"results that are larger than an object", 3, 1300 << 10},
		{"results of several objects each", 2, 3 << 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				p.submit(1, "job", tt.items)
				p.store.SetFaults(memorystorer.Faults{Down: true})
				want := p.finishAll(1, tt.size)
				time.Sleep(5 * time.Second)
				p.store.SetFaults(memorystorer.Faults{})
				time.Sleep(5 * time.Second)
				if got := p.readAll(t, 1, "job"); len(got) != tt.items {
					t.Errorf("got %d results 5 s after the outage, want %d", len(got), tt.items)
				}
				p.restart(1)
				got := p.readAll(t, 1, "job")
				for item, output := range want {
					if !bytes.Equal(got[item], output) {
						t.Errorf("item %s: got %d bytes from the next owner, want the %d of its output", item, len(got[item]), len(output))
					}
				}
			})
		})
	}
}

// TestLargeHandoverFitsInMessages guards against outcomes that are too large together for one message, so that all items of the team
// start over.
func TestLargeHandoverFitsInMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items, size = 8, 1300 << 10
		p := newOwnerPair()
		p.submit(1, "job", items)
		p.setFormerOwnerAlive(true)
		p.moveTeam(0)
		p.finishAll(1, size)
		p.releaseTeam(1)
		time.Sleep(5 * time.Second)
		if got := p.readAll(t, 0, "job"); len(got) != items {
			t.Errorf("got %d results from the next owner, want %d", len(got), items)
		}
		if p.largestHandover > maxMessage {
			t.Errorf("got a message of %d bytes, want %d at most", p.largestHandover, maxMessage)
		}
	})
}

// TestFullLedgerRefusesJobs guards against a ledger that outgrows an object, so that no job of the team can be submitted or ended for
// as long as its callers retry.
func TestFullLedgerRefusesJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		accepted := 0
		var err error
		// Long ids fill the ledger with few jobs.
		for err == nil && accepted < 100 {
			j := job(fescuebank.JobID(fmt.Sprintf("%030000d", accepted)), 1)
			j.Items[0].Tokens = 1
			err = p.manager(1).Submit(t.Context(), j)
			if err == nil {
				accepted++
			}
		}
		var refusal *fescuebank.Refusal
		if !errors.As(err, &refusal) || refusal.Status != http.StatusTooManyRequests || refusal.State != fescuebank.NotRun {
			t.Errorf("got %v after %d jobs, want a refusal that states that the job was not run", err, accepted)
		}
		for n := range accepted {
			if err := p.manager(1).End(t.Context(), team, fescuebank.JobID(fmt.Sprintf("%030000d", n))); err != nil {
				t.Errorf("got %v for the end of job %d, want none", err, n)
			}
		}
	})
}
