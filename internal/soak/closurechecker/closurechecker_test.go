package closurechecker

import (
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/soak/monitor"
)

func TestRequestsInClosedPlaces(t *testing.T) {
	const bound, contact = 5 * time.Second, 6 * time.Second
	for _, tt := range []struct {
		name string
		// at is when the request reaches the place, after its closure was acknowledged.
		at    time.Duration
		place string
		// disturbed is the instance that is disturbed within the contact time, and id that of the request.
		disturbed string
		id        fescuebank.RequestID
		ended     bool
		want      int
	}{
		{"within the bound", 4 * time.Second, "a", "", "known", false, 0},
		{"too late", 6 * time.Second, "a", "", "known", false, 1},
		{"another place", 6 * time.Second, "b", "", "known", false, 0},
		{"closure ended", 6 * time.Second, "a", "", "known", true, 0},
		{"instance out of touch", 6 * time.Second, "a", "entry-0", "known", false, 0},
		{"another instance out of touch", 6 * time.Second, "a", "entry-1", "known", false, 1},
		{"origin unknown", 6 * time.Second, "a", "", "item", false, 1},
		{"origin unknown, an instance out of touch", 6 * time.Second, "a", "entry-1", "item", false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := monitor.New()
			c := New(Config{What: "evacuation of zone", Bound: bound, Contact: contact}, m)
			c.AddInstance("entry-0")
			c.AddInstance("entry-1")
			c.RecordSent("known", "entry-0")
			start := time.Now()
			end := c.Close("a", start)
			if tt.disturbed != "" {
				m.Disturb(tt.disturbed, start.Add(tt.at-contact))(start.Add(tt.at - contact + time.Second/2))
			}
			if tt.ended {
				end()
			}
			c.RecordReached(tt.id, "i-1", tt.place, start.Add(tt.at))
			if got := len(c.Violations()); got != tt.want {
				t.Errorf("got %d violations, want %d: %v", got, tt.want, c.Violations())
			}
		})
	}
}
