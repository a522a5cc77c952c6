package explainer_test

import (
	"strings"
	"testing"

	"fescuebank/internal/operate/explainer"
)

const entryLog = `  1.0 entry {"@level":"info","@message":"Configuration in force.","@module":"fescuebank.config","@timestamp":"2026-12-04T10:00:01.000000Z","instance":"entry","version":7}
not a line of the log
{"@message":"Request ended.","@module":"fescuebank.entry","@timestamp":"2026-12-04T10:00:03.000000Z","instance":"entry","request":"r1","team":"t","endpoint":"i-1","outcome":"endpointLost"}
{"@message":"Request ended.","@module":"fescuebank.entry","@timestamp":"2026-12-04T10:00:03.100000Z","instance":"entry","request":"r2","team":"t","endpoint":"i-1","outcome":"answered"}
{"@message":"Configuration in force.","@module":"fescuebank.config","@timestamp":"2026-12-04T10:09:00.000000Z","instance":"entry","version":8}
`

const ownerLog = `{"@message":"Bucket begins.","@module":"fescuebank.limit","@timestamp":"2026-12-04T10:00:02.500000Z","instance":"owner","team":"t"}
{"@message":"Bucket begins.","@module":"fescuebank.limit","@timestamp":"2026-12-04T10:00:02.500000Z","instance":"owner","team":"other"}
`

func TestExplain(t *testing.T) {
	var e explainer.Explainer
	for _, log := range []string{ownerLog, entryLog} {
		if err := e.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	lines := e.Explain("r1")
	var messages []string
	for _, l := range lines {
		messages = append(messages, l.Instance+": "+l.Message)
	}
	want := "entry: Configuration in force. | owner: Bucket begins. | entry: Request ended."
	if got := strings.Join(messages, " | "); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if e.Skipped() != 1 {
		t.Errorf("got %d lines skipped, want 1", e.Skipped())
	}
	if got := e.Explain("nobody"); got != nil {
		t.Errorf("got %v for an unknown id, want no lines", got)
	}
	var out strings.Builder
	if err := explainer.Write(&out, lines); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "outcome=endpointLost") {
		t.Errorf("got %s, want the outcome", out.String())
	}
}
