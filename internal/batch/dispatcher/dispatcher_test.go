package dispatcher

import (
	"errors"
	"testing"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/timing/timekeeper"
)

// TestOnlyErrorResponsesCountAgainstAnItem checks how failed attempts are reported: a lost or
// silent endpoint is no failure of the item.
func TestOnlyErrorResponsesCountAgainstAnItem(t *testing.T) {
	for _, tt := range []struct {
		name string
		err  error
		want fescuebank.ReportKind
	}{
		{"connection lost", &fescuebank.EndpointError{Kind: fescuebank.EndpointLost, Cause: errors.New("EOF")}, fescuebank.ItemLost},
		{"silent or invalid response", &fescuebank.EndpointError{Kind: fescuebank.EndpointBroken, Cause: errors.New("no progress")}, fescuebank.ItemLost},
		{"error of another kind", errors.New("other"), fescuebank.ItemLost},
		{"status 500", &fescuebank.EndpointError{Kind: fescuebank.EndpointBroken, Status: 500, Cause: errors.New("status 500")}, fescuebank.ItemFailed},
		{"status 400", &fescuebank.EndpointError{Kind: fescuebank.EndpointRejected, Status: 400, Cause: errors.New("status 400")}, fescuebank.ItemDone},
		{"refused", &fescuebank.EndpointError{Kind: fescuebank.EndpointRefused, Status: 503, Cause: errors.New("status 503")}, fescuebank.ItemReturned},
		{"unreachable", &fescuebank.EndpointError{Kind: fescuebank.EndpointUnreachable, Cause: errors.New("refused")}, fescuebank.ItemReturned},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := &Dispatcher{clock: timekeeper.Timekeeper{}, log: hclog.NewNullLogger()}
			report := d.classify(t.Context(), &endpointWork{id: "e"}, fescuebank.ItemReport{}, "item", tt.err)
			if report.Kind != tt.want {
				t.Errorf("got report kind %d, want %d", report.Kind, tt.want)
			}
		})
	}
}
