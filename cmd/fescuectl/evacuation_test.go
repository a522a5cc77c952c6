package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fescuebank/platform/simulator"
)

// TestEvacuationIsRequestedListedAndRemoved also checks that a repeated request changes nothing, and that
// the removal of what isn't there is reported.
func TestEvacuationIsRequestedListedAndRemoved(t *testing.T) {
	store := httptest.NewServer(&simulator.Store{})
	defer store.Close()
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instance":"entry-a","known":true,"zones":[{"zone":"z0","version":1,"appliedMsAgo":4200,"inFlight":3}],"behind":["entry-c"],"applied":2}`)
	}))
	defer instance.Close()
	for _, step := range []struct {
		name    string
		command evacuationCommand
		want    string
		code    int
	}{
		{"request", evacuationCommand{Request: &requestEvacuationCommand{Zone: "z0"}}, "Evacuation of zone z0 requested", 0},
		{"request again", evacuationCommand{Request: &requestEvacuationCommand{Zone: "z0"}}, "evacuated already", 0},
		{"request another", evacuationCommand{Request: &requestEvacuationCommand{Zone: "z1"}}, "Evacuation of zone z1 requested", 0},
		{"list", evacuationCommand{List: &listEvacuationsCommand{}}, "z1", 0},
		{"who has applied it", evacuationCommand{List: &listEvacuationsCommand{Metrics: strings.TrimPrefix(instance.URL, "http://")}}, "Not yet, or not known: entry-c.", 0},
		{"remove", evacuationCommand{Remove: &removeEvacuationCommand{Zone: "z0"}}, "Evacuation of zone z0 removed.", 0},
		{"remove again", evacuationCommand{Remove: &removeEvacuationCommand{Zone: "z0"}}, "", exitNotFound},
		{"list what is left", evacuationCommand{List: &listEvacuationsCommand{}}, "z1", 0},
	} {
		c, err := newClient(connection{Output: "table"})
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		c.out = &out
		step.command.Store = store.URL
		err = step.command.run(context.Background(), c)
		code := 0
		if err != nil {
			code = exitCode(err)
		}
		if code != step.code || !strings.Contains(out.String(), step.want) {
			t.Errorf("%s: got %q, %v, want %q and exit code %d", step.name, out.String(), err, step.want, step.code)
		}
	}
	command := evacuationCommand{List: &listEvacuationsCommand{}}
	c, err := newClient(connection{Output: "table"})
	if err != nil {
		t.Fatal(err)
	}
	if err := command.run(context.Background(), c); !errors.Is(err, errNoStore) {
		t.Errorf("got %v without a store, want %v", err, errNoStore)
	}
}
