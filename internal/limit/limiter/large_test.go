package limiter

import (
	"math"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/timing/timekeeper"
)

// TestAnyStatedLimitIsApplied guards against an instance that hangs after an endpoint or a peer states a limit that nobody foresaw.
func TestAnyStatedLimitIsApplied(t *testing.T) {
	for _, limit := range []fescuebank.RequestRate{1e-300, 1, 1e6, 1e9, 1.1e9, 1 << 62, math.MaxFloat64, fescuebank.RequestRate(math.Inf(1)), fescuebank.RequestRate(math.NaN())} {
		for _, fromPeer := range []bool{false, true} {
			l := New(Config{Self: "a", Clock: timekeeper.Timekeeper{}, Announce: func() {}, Log: hclog.NewNullLogger()})
			l.SetMembers(nil)
			if fromPeer {
				l.ApplyGossip(&fescuebank.Gossip{RateLimits: map[fescuebank.EndpointTag]fescuebank.RateLimitStatement{endpointID.Tag(): {Rate: limit}}})
			} else {
				l.Observe(endpointID, limit)
			}
			share, isLimited := l.Share(endpointID)
			if want := !math.IsNaN(float64(limit)); isLimited != want {
				t.Errorf("limit %g, from a peer %v: got limited %v, want %v", float64(limit), fromPeer, isLimited, want)
			}
			if isLimited && (share.Rate <= 0 || math.IsInf(float64(share.Rate), 0) || math.IsNaN(float64(share.Available))) {
				t.Errorf("limit %g, from a peer %v: got the share %+v, want a rate", float64(limit), fromPeer, share)
			}
			time.Sleep(time.Millisecond)
			if share, _ := l.Share(endpointID); limit >= 1e6 && share.Available < 1 {
				t.Errorf("limit %g, from a peer %v: got %v requests that may be sent, want many", float64(limit), fromPeer, share.Available)
			}
		}
	}
}
