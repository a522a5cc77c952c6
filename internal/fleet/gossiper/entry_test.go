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
