package coldchecker

import (
	"testing"
	"time"
)

func TestRequestsAtColdEndpoints(t *testing.T) {
	for _, tt := range []struct {
		name     string
		endpoint string
		// interval is the time between two requests from begin on, count in number.
		interval, begin time.Duration
		count           int
		want            int
	}{
		{"kept", "cold", 110 * time.Millisecond, 0, 27, 0},
		{"exceeded", "cold", 90 * time.Millisecond, 0, 27, 1},
		{"burst", "cold", time.Millisecond, time.Second, 11, 1},
		{"after the cold time", "cold", time.Millisecond, 3 * time.Second, 100, 0},
		{"warm", "warm", time.Millisecond, 0, 100, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := New(10)
			start := time.Now()
			c.SetCold("cold", start.Add(3*time.Second))
			for i := range tt.count {
				c.RecordReached(tt.endpoint, start.Add(tt.begin+time.Duration(i)*tt.interval))
			}
			if got := len(c.Violations()); got != tt.want {
				t.Errorf("got %d violations, want %d: %v", got, tt.want, c.Violations())
			}
		})
	}
}
