package estimator

import (
	"testing"
	"time"
)

func TestRemaining(t *testing.T) {
	e := New()
	if got := e.Remaining("r", 0); got != 0 {
		t.Errorf("got %v without any sample, want 0", got)
	}
	for range 50 {
		e.ObserveAttempt("r", 100, 3*time.Second)
		e.ObserveAttempt("r", 2, 3*time.Second) // Too short to tell.
		e.ObserveItem("r", 150)
	}
	for _, tt := range []struct {
		events int
		want   time.Duration
	}{
		{0, 4500 * time.Millisecond}, {50, 3 * time.Second}, {149, 450 * time.Millisecond}, {300, 450 * time.Millisecond},
	} {
		if got := e.Remaining("r", tt.events); got.Round(10*time.Millisecond) != tt.want {
			t.Errorf("%d events: got %v, want %v", tt.events, got, tt.want)
		}
	}
	if got := e.Remaining("other", 0); got != 0 {
		t.Errorf("got %v for another route, want 0", got)
	}
}

// TestEstimateFollowsChanges checks that items that became slower are soon expected to be.
func TestEstimateFollowsChanges(t *testing.T) {
	e := New()
	e.ObserveItem("r", 100)
	for range 20 {
		e.ObserveAttempt("r", 100, time.Second)
	}
	for range 30 {
		e.ObserveAttempt("r", 100, 2*time.Second)
	}
	if got := e.Remaining("r", 0); got < 1900*time.Millisecond || got > 2*time.Second {
		t.Errorf("got %v, want nearly 2s", got)
	}
}
