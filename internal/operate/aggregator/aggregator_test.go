package aggregator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
	"fescuebank/internal/operate/aggregator"
	"fescuebank/internal/operate/evaluator"
)

// fleet has an instance "far" that responds and an instance "lost" that doesn't.
type fleet struct {
	remote *aggregator.Aggregator
}

func (f *fleet) Peers() []gossiper.Peer {
	return []gossiper.Peer{
		{MemberEntry: fescuebank.MemberEntry{ID: "far", PeerAddr: "far:1"}},
		{MemberEntry: fescuebank.MemberEntry{ID: "lost", PeerAddr: "lost:1"}},
	}
}

func (f *fleet) Call(ctx context.Context, addr string, _ fescuebank.MessageKind, _, reply any) error {
	if addr != "far:1" {
		return fescuebank.ErrPeerLost
	}
	response, err := f.remote.Handle(ctx, func(any) error { return nil })
	if err != nil {
		return err
	}
	body, err := cbor.Marshal(response)
	return errors.Join(err, cbor.Unmarshal(body, reply))
}

// counts is a ServiceLevelSource of one team.
type counts fescuebank.Counter

func (c counts) Levels() []fescuebank.TeamServiceLevels {
	windows := make([]fescuebank.ServiceLevels, len(fescuebank.BurnWindows))
	for i := range windows {
		windows[i].Complete = fescuebank.Counter(c)
	}
	return []fescuebank.TeamServiceLevels{{Team: "team", Windows: windows}}
}

func TestReportSumsInstancesAndListsMissing(t *testing.T) {
	f := &fleet{remote: aggregator.New(nil, nil, counts{Good: 1, Total: 2})}
	local := aggregator.New(f, f, counts{Good: 3, Total: 3})
	recorder := httptest.NewRecorder()
	local.ServeHTTP(recorder, httptest.NewRequest("GET", "/burn", nil))
	var report evaluator.Report
	if err := json.Unmarshal(recorder.Body.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	if len(report.Missing) != 1 || report.Missing[0] != "lost" || report.Instances != 2 {
		t.Errorf("got %d instances, missing %v, want 2 and lost", report.Instances, report.Missing)
	}
	if len(report.Lines) != 1 {
		t.Fatalf("got %d lines, want 1", len(report.Lines))
	}
	if got := report.Lines[0].Windows[0]; got.Good != 4 || got.Total != 5 {
		t.Errorf("got %d of %d good, want 4 of 5", got.Good, got.Total)
	}
}
