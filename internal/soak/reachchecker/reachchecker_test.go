package reachchecker

import (
	"testing"
	"time"

	"fescuebank/internal/soak/monitor"
)

func TestPartitionedInstancesMustServe(t *testing.T) {
	const contact = 3 * time.Second
	for _, tt := range []struct {
		name string
		// served is the number of requests, of one hundred, that the partitioned instance serves.
		served    int
		disturbed bool
		// closed is when, after the begin of the partition, all endpoints are closed for 10 s, 0 for never.
		closed time.Duration
		want   int
	}{
		{"served as often", 100, false, 0, 0},
		{"served far less often", 30, false, 0, 1},
		{"disturbed otherwise", 30, true, 0, 0},
		{"no endpoint open when not served", 30, false, contact + 300*time.Millisecond, 0},
		{"served far less often before no endpoint was open", 30, false, 9 * time.Second, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := monitor.New()
			c := New(contact, m)
			start := time.Now()
			if tt.disturbed {
				m.Disturb("a", start)
			}
			if tt.closed > 0 {
				c.CloseAll(start.Add(tt.closed))(start.Add(tt.closed + 10*time.Second))
			}
			end := c.Partition([]string{"a"}, start)
			for i := range 100 {
				at := start.Add(contact + time.Duration(i)*10*time.Millisecond)
				c.RecordTry("a", at, i < tt.served)
				c.RecordTry("b", at, true)
				c.RecordTry("a", start.Add(time.Second), false)
			}
			end(start.Add(10 * time.Second))
			if got := len(c.Violations()); got != tt.want {
				t.Errorf("got %d violations, want %d: %v", got, tt.want, c.Violations())
			}
		})
	}
}
