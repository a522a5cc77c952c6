package postponer_test

import (
	"testing"
	"time"

	"fescuebank/internal/entry/postponer"
)

var began = time.Unix(1_000_000, 0)

// waits returns a prediction at a service that releases slots at a rate per second.
func waits(perSecond float64) func(ahead int) (time.Duration, bool) {
	return func(ahead int) (time.Duration, bool) {
		return time.Duration(float64(ahead+1) / perSecond * float64(time.Second)), true
	}
}

// TestReturningCallersArriveAtTheRateOfReleases refuses 300 callers at the same moment.
func TestReturningCallersArriveAtTheRateOfReleases(t *testing.T) {
	const perSecond = 400
	for _, tt := range []struct {
		name      string
		instances int
	}{
		{"one instance", 1},
		// The instances don't know of each other's refusals.
		{"60 instances at once", 60},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const callers = 300
			perInterval := make(map[time.Duration]int)
			for range tt.instances {
				p := &postponer.Postponer{}
				for range callers / tt.instances {
					delay := p.Postpone(began, postponer.Outlook{
						Wait: waits(perSecond), Instances: tt.instances, Lag: 150 * time.Millisecond, Honoured: 4 * time.Second,
					})
					perInterval[delay.Truncate(250*time.Millisecond)]++
				}
			}
			const want = 2 * perSecond / 4 / 4 // One in four released slots, with room for chance.
			for interval, got := range perInterval {
				if got > want {
					t.Errorf("got %d callers in the quarter of a second from %v, want at most %d", got, interval, want)
				}
			}
		})
	}
}

func TestDelay(t *testing.T) {
	const honoured = 1600 * time.Millisecond
	trough := func(at time.Time) (float64, bool) {
		if at.Sub(began) < 900*time.Millisecond {
			return -50, true
		}
		return 100, true
	}
	never := func(time.Time) (float64, bool) { return -50, true }
	for _, tt := range []struct {
		name     string
		outlook  postponer.Outlook
		min, max time.Duration
	}{
		{"nothing to wait for", postponer.Outlook{Wait: func(int) (time.Duration, bool) { return 0, false }}, 300 * time.Millisecond, time.Second},
		{"slot nearly free", postponer.Outlook{Wait: waits(1000), Honoured: honoured}, 100 * time.Millisecond, 200 * time.Millisecond},
		{"behind those that return elsewhere", postponer.Outlook{Wait: waits(400), PeersReturning: 100, Honoured: honoured}, time.Second, 1100 * time.Millisecond},
		{"at the end of what is honoured", postponer.Outlook{Wait: waits(400), PeersReturning: 158, Instances: 50, Honoured: honoured}, 1580 * time.Millisecond, honoured},
		{"no slot in sight", postponer.Outlook{Wait: waits(400), PeersReturning: 300, Honoured: honoured}, 3 * time.Second, 3100 * time.Millisecond},
		{"never", postponer.Outlook{Wait: waits(0.001), Honoured: honoured}, 10 * time.Second, 10 * time.Second},
		{"room after the crest", postponer.Outlook{Wait: waits(100), Room: trough, Honoured: honoured}, 900 * time.Millisecond, 1100 * time.Millisecond},
		{"crest without end", postponer.Outlook{Wait: waits(400), Room: never, PeersReturning: 50, Honoured: honoured}, 500 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &postponer.Postponer{}
			if got := p.Postpone(began, tt.outlook); got < tt.min || got > tt.max {
				t.Errorf("got %v, want %v to %v", got, tt.min, tt.max)
			}
		})
	}
}

func TestReturningCallersAreForgottenWhenDue(t *testing.T) {
	p := &postponer.Postponer{}
	for range 10 {
		p.Postpone(began, postponer.Outlook{Wait: waits(100), Honoured: 500 * time.Millisecond})
	}
	if got := p.Returning(began); got != 10 {
		t.Errorf("got %d returning callers, want 10", got)
	}
	if got := p.Returning(began.Add(501 * time.Millisecond)); got != 0 {
		t.Errorf("got %d returning callers after all honoured delays, want none", got)
	}
}
