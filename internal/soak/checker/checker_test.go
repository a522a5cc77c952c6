package checker_test

import (
	"fmt"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/soak/checker"
	"fescuebank/internal/soak/monitor"
)

var start = time.Unix(1_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// send records count requests that crash endpoints, one every 100 ms from fromMs on.
func send(c *checker.Checker, cause checker.Cause, fromMs, count int) {
	for n := range count {
		id := fescuebank.RequestID(fmt.Sprint(fromMs, "/", n))
		at := after(fromMs + 100*n)
		c.RecordSent(id, cause, "i", at)
		c.RecordReached(id, at)
		c.RecordCrash(id, at)
	}
}

func TestRequestsAfterTheCauseIsKnown(t *testing.T) {
	cause := checker.Cause{Name: "request", Crashes: 3}
	for _, tt := range []struct {
		name   string
		record func(c *checker.Checker, m *monitor.Monitor)
		want   int
	}{
		{"two crashes", func(c *checker.Checker, _ *monitor.Monitor) { send(c, cause, 0, 2) }, 0},
		{"many crashes within the contact time", func(c *checker.Checker, _ *monitor.Monitor) { send(c, cause, 0, 20) }, 0},
		{"three later", func(c *checker.Checker, _ *monitor.Monitor) { send(c, cause, 0, 3); send(c, cause, 4000, 3) }, 0},
		{"four later", func(c *checker.Checker, _ *monitor.Monitor) { send(c, cause, 0, 3); send(c, cause, 4000, 4) }, 1},
		{"four later from a disturbed instance", func(c *checker.Checker, m *monitor.Monitor) {
			send(c, cause, 0, 3)
			m.Disturb("i", after(2000))(after(2100))
			send(c, cause, 4000, 4)
		}, 0},
	} {
		m := monitor.New()
		c := checker.New(3*time.Second, m)
		tt.record(c, m)
		if got := c.Violations(); len(got) != tt.want {
			t.Errorf("%s: got violations %q, want %d", tt.name, got, tt.want)
		}
	}
}

func TestSoundRequests(t *testing.T) {
	cause := checker.Cause{Name: "request", Crashes: 3}
	for _, tt := range []struct {
		name string
		// begun of 20 sound requests like those of the cause begin, sent from fromMs on.
		fromMs, begun int
		want          int
	}{
		{"half begin", 7000, 10, 0}, {"few begin", 7000, 9, 1}, {"few begin too early", 1000, 0, 0}, {"few begin too late", 30_000, 0, 0},
	} {
		c := checker.New(3*time.Second, monitor.New())
		send(c, cause, 0, 3)
		c.RecordSent("last", cause, "i", after(20_000))
		for n := range 20 {
			c.RecordSound(&cause, "i", after(tt.fromMs+n), n < tt.begun)
			c.RecordSound(nil, "i", after(n), true)
		}
		if got := c.Violations(); len(got) != tt.want {
			t.Errorf("%s: got violations %q, want %d", tt.name, got, tt.want)
		}
	}
}
