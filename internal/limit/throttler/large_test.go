package throttler

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/limit/limiter"
	"fescuebank/internal/timing/timekeeper"
)

// TestAnyColdRateIsApplied guards against an instance that hangs after the configuration states a very large rate of cold endpoints.
func TestAnyColdRateIsApplied(t *testing.T) {
	for _, rate := range []fescuebank.RequestRate{0.001, 1e9, 1.1e9, 1 << 62, 1e300} {
		l := limiter.New(limiter.Config{Self: "a", Clock: timekeeper.Timekeeper{}, Announce: func() {}, Log: hclog.NewNullLogger()})
		th := New(Config{Limiter: l, Self: "a", Clock: timekeeper.Timekeeper{}, Announce: func() {}, Log: hclog.NewNullLogger(), Bounds: fescuebank.ColdBounds{Overage: 1}})
		th.SetMembers(nil)
		th.SetServices(map[fescuebank.ServiceName]fescuebank.RoutedService{"s": {ColdRate: rate, ColdTime: time.Minute}})
		th.SetEndpoints([]fescuebank.ServedEndpoint{{ID: "i-1", Service: "s"}})
		th.ObserveCold("i-1", time.Minute)
		if _, isLimited := th.Share("i-1"); !isLimited {
			t.Errorf("cold rate %g: got no limit of a cold endpoint, want one", float64(rate))
		}
	}
}
