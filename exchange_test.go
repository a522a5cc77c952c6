package fescuebank_test

import (
	"testing"

	"fescuebank"
)

// TestStatesLeaving guards against taking an endpoint for leaving because another one, at the
// address that it had, leaves.
func TestStatesLeaving(t *testing.T) {
	for _, tt := range []struct {
		name string
		info fescuebank.ResponseInfo
		want bool
	}{
		{"not leaving", fescuebank.ResponseInfo{Endpoint: "i-1"}, false},
		{"no endpoint named", fescuebank.ResponseInfo{Leaving: true}, true},
		{"refused without execution", fescuebank.ResponseInfo{Leaving: true, NotRun: true}, true},
		{"endpoint named", fescuebank.ResponseInfo{Leaving: true, Endpoint: "i-1"}, true},
		{"another endpoint named", fescuebank.ResponseInfo{Leaving: true, Endpoint: "i-2"}, false},
		{"misdirected, no endpoint named", fescuebank.ResponseInfo{Leaving: true, NotRun: true, Misdirected: true}, false},
		{"misdirected, another endpoint named", fescuebank.ResponseInfo{Leaving: true, NotRun: true, Misdirected: true, Endpoint: "i-2"}, false},
		{"status 421 for another reason", fescuebank.ResponseInfo{Leaving: true, NotRun: true, Misdirected: true, Endpoint: "i-1"}, true},
	} {
		if got := tt.info.StatesLeaving("i-1"); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
