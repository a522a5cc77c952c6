package allocator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"fescuebank/internal/load/forecaster"
	"fescuebank/internal/timing/timekeeper"
)

// TestWaveOverBatchWork simulates the wave of a fleet of 165 entries and 30 owners with 78
// endpoints. At its crest the wave needs seven tenths of the slots, many of which batch items
// hold from the trough before. Nearly all requests must begin in time, and batch work must
// go on.
func TestWaveOverBatchWork(t *testing.T) {
	t.Parallel()
	const (
		maxRefused = 0.02
		minItems   = 150
	)
	for _, tt := range []struct {
		name string
		lag  time.Duration
		// minInTime is the least share of the requests that must begin in time.
		minInTime float64
	}{
		{"counts of 210 ms", 210 * time.Millisecond, 0.90},
		{"counts of 60 ms", 60 * time.Millisecond, 0.95},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				got := newWaveFleet(165, 30, 78, tt.lag).simulate(328)
				t.Logf("in time %.3f, late %.3f, refused %.3f (%.3f with a slot free), %d items done, %d preempted",
					got.share(got.inTime), got.share(got.late), got.share(got.refused), got.share(got.refusedFree), got.itemsDone, got.preempted)
				if inTime := got.share(got.inTime); inTime < tt.minInTime {
					t.Errorf("got %.3f of the requests in time, want at least %.2f", inTime, tt.minInTime)
				}
				if refused := got.share(got.refused); refused > maxRefused {
					t.Errorf("got %.3f of the requests refused, want at most %.2f", refused, maxRefused)
				}
				if got.itemsDone < minItems {
					t.Errorf("got %d batch items done, want at least %d", got.itemsDone, minItems)
				}
				time.Sleep(20 * time.Second) // Lets all requests end.
			})
		})
	}
}

// TestForecastOfCrests simulates five periods of the wave over a fleet of 66 entries and 13 owners with 60
// endpoints. At its crests online requests need five sixths of the slots. With the load known in
// advance more of them must begin in time than without, and no fewer batch items may be done.
func TestForecastOfCrests(t *testing.T) {
	t.Parallel()
	const (
		lag = 140 * time.Millisecond
		// minItems is the least part of the items that are done without a forecast.
		minItems = 0.95
	)
	results := make(map[bool]waveResult)
	for _, forecast := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newWaveFleet(66, 13, 60, lag)
			f.length = 5 * (troughTime + crestTime)
			f.itemInterval = 13 * time.Second / 34
			if forecast {
				f.forecaster = forecaster.New(timekeeper.Timekeeper{})
			}
			got := f.simulate(300)
			results[forecast] = got
			t.Logf("forecast %v: in time %.3f, late %.3f, refused %.3f, %d items done in %v on average, %d preempted",
				forecast, got.share(got.inTime), got.share(got.late), got.share(got.refused), got.itemsDone,
				got.itemTime/time.Duration(max(1, got.itemsDone)), got.preempted)
			time.Sleep(20 * time.Second) // Lets all requests end.
		})
	}
	if got, want := results[true].share(results[true].inTime), results[false].share(results[false].inTime); got < want {
		t.Errorf("got %.3f of the requests in time with a forecast, want at least the %.3f without", got, want)
	}
	if got, want := results[true].itemsDone, int(minItems*float64(results[false].itemsDone)); got < want {
		t.Errorf("got %d items done with a forecast, want at least %d", got, want)
	}
}
