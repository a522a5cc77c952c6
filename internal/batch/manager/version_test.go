package manager_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fescuebank"
	"fescuebank/internal/batch/manager"
)

// TestProgressAfterStartingOver checks which progress an item keeps when an attempt at another
// version started over: that of the attempt, or the earlier one if it generated nothing.
func TestProgressAfterStartingOver(t *testing.T) {
	earlier := fescuebank.Progress{Events: 5, Last: "5", Output: []byte("v1"), Version: "v1"}
	for _, tt := range []struct {
		name  string
		ended fescuebank.Progress
		want  fescuebank.Progress
	}{
		{"nothing generated", fescuebank.Progress{Version: "v2"}, earlier},
		{"fewer events", fescuebank.Progress{Events: 2, Last: "2", Version: "v2"}, fescuebank.Progress{Events: 2, Last: "2", Version: "v2"}},
		{"same version", fescuebank.Progress{Events: 7, Last: "7", Version: "v1"}, fescuebank.Progress{Events: 7, Last: "7", Version: "v1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				p.submit(1, "job", 1)
				task := awaitTask(p.manager(1))
				p.manager(1).Requeue(task, manager.CausePreempted, earlier)
				task = awaitTask(p.manager(1))
				task.Progress = task.Progress.ContinuedAt("", tt.ended.Version)
				p.manager(1).Requeue(task, manager.CausePreempted, tt.ended)
				got := awaitTask(p.manager(1)).Progress
				if got.Events != tt.want.Events || got.Last != tt.want.Last || got.Version != tt.want.Version {
					t.Errorf("got progress %+v, want %+v", got, tt.want)
				}
			})
		})
	}
}

// TestHandoverKeepsTheVersion checks that an item's version reaches the next owner, and that
// progress from an owner that sent none has an unknown version.
func TestHandoverKeepsTheVersion(t *testing.T) {
	type olderProgress struct {
		Events int
		Last   string
		Output []byte
	}
	for _, tt := range []struct {
		name string
		sent any
		want string
	}{
		{"with a version", fescuebank.Progress{Events: 2, Last: "2", Output: []byte("ab"), Version: "v1"}, "v1"},
		{"without a version", olderProgress{Events: 2, Last: "2", Output: []byte("ab")}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newOwnerPair()
				p.submit(1, "job", 1)
				message, err := cbor.Marshal(map[int]any{1: team, 2: []any{map[int]any{1: "job", 2: "job-0", 3: tt.sent}}})
				if err != nil {
					t.Fatal(err)
				}
				_, err = p.manager(1).HandleProgressHandover(t.Context(), func(into any) error { return cbor.Unmarshal(message, into) })
				if err != nil {
					t.Fatal(err)
				}
				got := awaitTask(p.manager(1)).Progress
				if got.Events != 2 || got.Last != "2" || string(got.Output) != "ab" || got.Version != tt.want {
					t.Errorf("got progress %+v, want 2 events of version %q", got, tt.want)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
