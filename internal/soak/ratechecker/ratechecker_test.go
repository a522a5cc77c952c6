package ratechecker

import (
	"testing"
	"time"
)

func TestExceededLimits(t *testing.T) {
	const contact = 3 * time.Second
	for _, tt := range []struct {
		name string
		// interval is the time between two requests from begin until end.
		interval, begin, end time.Duration
		want                 int
	}{
		{"kept", 500 * time.Millisecond, 0, 20 * time.Second, 0},
		{"exceeded before all must know it", 10 * time.Millisecond, 0, 2900 * time.Millisecond, 0},
		{"exceeded", 200 * time.Millisecond, 0, 20 * time.Second, 1},
		{"burst", time.Millisecond, 0, 3030 * time.Millisecond, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := New(contact)
			start := time.Now()
			c.SetLimit("i-1", 2)
			for at := tt.begin; at < tt.end; at += tt.interval {
				c.RecordReached("i-1", start.Add(at))
				c.RecordReached("i-2", start.Add(at))
			}
			if got := len(c.Violations()); got != tt.want {
				t.Errorf("got %d violations, want %d: %v", got, tt.want, c.Violations())
			}
		})
	}
}
