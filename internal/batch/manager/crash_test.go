package manager_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/manager"
)

// placementTime is how soon an item must be handed out again once endpoints are sound and have
// room.
const placementTime = 3 * time.Second

// TestItemIsPlacedSoonAfterCrashes checks that an item is handed out soon after crashes under it,
// however many they were, and that none of them counts as a failure of the item.
func TestItemIsPlacedSoonAfterCrashes(t *testing.T) {
	for _, crashes := range []int{1, 2, 3, 4, 10, 40, 100} {
		t.Run(fmt.Sprintf("%d crashes", crashes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				p.submit(1, "job", 1)
				for n := range crashes {
					task := awaitTask(p.manager(1))
					if task == nil {
						t.Fatalf("after %d crashes: got no item within %v, want it", n, placementTime)
					}
					p.manager(1).Requeue(task, manager.CauseInterrupted, task.Progress)
				}
				task := awaitTask(p.manager(1))
				if task == nil {
					t.Fatalf("got no item within %v, want it", placementTime)
				}
				p.manager(1).Finish(task, false, []byte("text"))
				time.Sleep(time.Minute)
				page, err := p.manager(1).Read(t.Context(), team, "job", 0, 0)
				if err != nil {
					t.Fatal(err)
				}
				if len(page.Results) != 1 || page.Results[0].Failed {
					t.Errorf("got results %+v, want one that is complete", page.Results)
				}
			})
		})
	}
}

// TestItemEndsAfterFailuresAmongCrashes checks that only responses that say that the item failed
// count towards the route's attempts.
func TestItemEndsAfterFailuresAmongCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.submit(1, "job", 1)
		failures := 0
		for _, cause := range []manager.Cause{
			manager.CauseInterrupted, manager.CauseItemFailed, manager.CauseInterrupted, manager.CauseNotRun,
			manager.CauseItemFailed, manager.CausePreempted, manager.CauseInterrupted, manager.CauseItemFailed,
		} {
			task := awaitTask(p.manager(1))
			if task == nil {
				t.Fatalf("got no item after %d failures, want it until 3", failures)
			}
			if cause == manager.CauseItemFailed {
				failures++
			}
			p.manager(1).Requeue(task, cause, fescuebank.Progress{})
		}
		time.Sleep(time.Minute)
		page, err := p.manager(1).Read(t.Context(), team, "job", 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(page.Results) != 1 || !page.Results[0].Failed {
			t.Errorf("got results %+v, want one failure after %d", page.Results, failures)
		}
	})
}

// awaitTask returns the next item, or nil if none is handed out within placementTime.
func awaitTask(m *manager.Manager) *manager.Task {
	const pollInterval = 50 * time.Millisecond
	for range int(placementTime / pollInterval) {
		if task := m.NextTask(func() {}, nil); task != nil {
			return task
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// TestSilenceDoesNotDelayAnItemMore checks that an item whose endpoints fell silent again and
// again waits no longer than after the first time.
func TestSilenceDoesNotDelayAnItemMore(t *testing.T) {
	const pause = 150 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := newOwnerPair()
		p.submit(1, "job", 1)
		for n := range 12 {
			time.Sleep(pause)
			task := p.manager(1).NextTask(func() {}, nil)
			if task == nil {
				t.Fatalf("after %d silent endpoints: got no item after %v, want it", n, pause)
			}
			p.manager(1).Requeue(task, manager.CauseSilent, task.Progress)
		}
	})
}
