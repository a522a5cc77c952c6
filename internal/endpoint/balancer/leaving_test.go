package balancer_test

import (
	"testing"

	"fescuebank"
	"fescuebank/internal/endpoint/balancer"
	"fescuebank/internal/timing/timekeeper"
)

// TestNewConfigurationDoesNotEndAReportedLeave guards against requests to an endpoint that reported that it
// leaves, between a new configuration and its next report.
func TestNewConfigurationDoesNotEndAReportedLeave(t *testing.T) {
	for _, tt := range []struct {
		name string
		url  string
		want bool
	}{
		{"same endpoint", "", false},
		{"another endpoint under the same id", "http://10.0.0.2", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := balancer.New("z", fescuebank.PolicyLeastExpected, timekeeper.Timekeeper{})
			list := specs(1, 8)
			b.SetEndpoints(list)
			b.ApplyReport("e0", fescuebank.LoadReport{Models: list[0].Models, Leaving: true})
			next := specs(1, 8)
			next[0].URL = tt.url
			b.SetEndpoints(next)
			if got := b.Reserve("m", "", nil) != nil; got != tt.want {
				t.Errorf("got a slot %v, want %v", got, tt.want)
			}
		})
	}
}
