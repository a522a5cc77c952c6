package manager_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// randomBytes returns bytes that can't be compressed.
func randomBytes(seed byte, n int) []byte {
	b := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(b) // It never fails.
	return b
}

// largeJob returns a job whose stored form takes several objects.
func largeJob(id fescuebank.JobID) *fescuebank.RoutedJob {
	j := job(id, 4)
	for i := range j.Items {
		j.Items[i].Body = randomBytes(byte(i), 600<<10)
		j.Items[i].Header = map[string]string{"A": "1", "B": "2", "C": "3", "D": "4", "E": "5"}
	}
	return j
}

// TestJobSentAgainIsStoredWhole guards against a job that is sent again after half of its objects were written, and is
// then stored as a mixture of two encodings.
func TestJobSentAgainIsStoredWhole(t *testing.T) {
	for writes := 1; writes <= 4; writes++ {
		t.Run(fmt.Sprintf("store down after %d writes", writes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				p.submit(1, "small", 1)
				p.store.SetFaults(memorystorer.Faults{DownAfterWrites: writes})
				if err := p.manager(1).Submit(t.Context(), largeJob("job")); err == nil {
					t.Fatal("got no error while the store is down, want one")
				}
				p.store.SetFaults(memorystorer.Faults{})
				time.Sleep(time.Second)
				if err := p.manager(1).Submit(t.Context(), largeJob("job")); err != nil {
					t.Fatalf("got %v for the job that is sent again, want it accepted", err)
				}
				p.restart(1)
				for _, want := range largeJob("job").Items {
					got, err := p.manager(1).Item(t.Context(), team, "job", want.ID)
					if err != nil || !bytes.Equal(got, want.Body) {
						t.Errorf("got %d bytes of item %s and error %v, want its body", len(got), want.ID, err)
					}
				}
				if _, err := p.manager(1).Item(t.Context(), team, "small", "small-0"); err != nil {
					t.Errorf("got %v for another job of the team, want its item", err)
				}
			})
		})
	}
}

// TestDamagedJobHoldsUpNoOther guards against one stored job that can't be read and keeps all others of its team from
// being loaded.
func TestDamagedJobHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.submit(1, "damaged", 1)
		p.submit(1, "sound", 1)
		o, err := p.store.Get(t.Context(), "batchjobs/damaged.0")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := p.store.Put(t.Context(), o.Key, []byte(`{"parts":1,"data":"AAAA"}`), o.Version); err != nil {
			t.Fatal(err)
		}
		p.restart(1)
		if _, err := p.manager(1).Item(t.Context(), team, "sound", "sound-0"); err != nil {
			t.Errorf("got %v for the other job, want its item", err)
		}
		_, err = p.manager(1).Read(t.Context(), team, "damaged", 0, 0)
		var refusal *fescuebank.Refusal
		if !errors.As(err, &refusal) || refusal.Status != http.StatusServiceUnavailable {
			t.Errorf("got %v for the damaged job, want status 503: it was accepted", err)
		}
	})
}

// TestOtherJobUnderAStoredIDIsRefused guards against a job whose id is that of another stored job, and which is accepted
// although the next owner would load the other one.
func TestOtherJobUnderAStoredIDIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.store.SetFaults(memorystorer.Faults{DownAfterWrites: 1})
		if err := p.manager(1).Submit(t.Context(), job("job", 1)); err == nil {
			t.Fatal("got no error while the ledger can't be written, want one")
		}
		p.store.SetFaults(memorystorer.Faults{})
		err := p.manager(1).Submit(t.Context(), job("job", 2))
		var refusal *fescuebank.Refusal
		if !errors.As(err, &refusal) || refusal.Status != http.StatusConflict || refusal.State != fescuebank.NotRun {
			t.Errorf("got %v for another job under the id, want a conflict that states that it was not run", err)
		}
		if err := p.manager(1).Submit(t.Context(), job("job", 1)); err != nil {
			t.Errorf("got %v for the job sent again, want it accepted", err)
		}
	})
}
