package gossiper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/linker"
)

// TestRestartedInstanceRegistersAtOnce checks that an instance whose former incarnation left
// its member entry replaces that entry without a pause: until it is registered it may not use
// its floors, so callers within their rates are refused.
func TestRestartedInstanceRegistersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memorystorer.MemoryStorer
		key := fescuebank.MemberPrefix + "me"
		if _, err := store.Put(t.Context(), key, []byte(`{"id":"me","incarnation":"before"}`), fescuebank.Absent); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g := New(Config{
			Self:  fescuebank.MemberEntry{ID: "me", Incarnation: "now"},
			Store: &store, Linker: port{&network{handlers: make(map[string]map[fescuebank.MessageKind]linker.NotificationHandler)}, "me"},
			Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(),
		})
		go g.register(ctx)
		time.Sleep(registerRetry / 2)
		if !g.Registered() {
			t.Errorf("got no registration within %v, want it", registerRetry/2)
		}
	})
}

// TestOldListDoesNotUnregister checks that a list of the members that is older than this instance's
// last write of its entry doesn't count as the loss of the entry: callers would be refused until it
// has been written once more.
func TestOldListDoesNotUnregister(t *testing.T) {
	for _, tt := range []struct {
		name  string
		own   string
		asOf  fescuebank.StoreVersion
		wants bool
	}{
		{"entry of the former incarnation, older than the write", "before", 5, true},
		{"no entry, list older than the write", "", 5, true},
		{"entry of another incarnation, newer than the write", "after", 20, false},
		{"no entry any more", "", 20, false},
		{"own entry", "me1", 20, true},
	} {
		g, _ := newGossiper(t, false)
		g.version, g.entryLost = 10, false
		var list []fescuebank.MemberEntry
		if tt.own != "" {
			list = append(list, fescuebank.MemberEntry{ID: "me", Incarnation: fescuebank.Incarnation(tt.own)})
		}
		applyEntries(g, tt.asOf, list...)
		if got := g.Registered(); got != tt.wants {
			t.Errorf("%s: got registered %v, want %v", tt.name, got, tt.wants)
		}
	}
}
