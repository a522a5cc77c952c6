package forecaster

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fescuebank"
)

const step = 20 * time.Millisecond

// steppedClock is a clock that the test sets.
type steppedClock struct{ now time.Time }

func (c *steppedClock) Now() time.Time { return c.now }

func (c *steppedClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// square returns a load that alternates between two levels.
func square(low, high float64, trough, crest time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(trough+crest) < trough {
			return low
		}
		return high
	}
}

// observe simulates a load with the noise of independent requests.
func observe(f *Forecaster, c *steppedClock, load func(time.Duration) float64, from, to time.Duration) {
	random := rand.New(rand.NewPCG(3, 3))
	for at := from; at < to; at += step {
		c.now = time.Unix(0, 0).Add(at)
		level := load(at)
		f.Observe("s", max(0, level+random.NormFloat64()*math.Sqrt(level)))
	}
}

func TestForecast(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	noise := make([]float64, 10000)
	for i := range noise {
		noise[i] = 400 * random.Float64()
	}
	const after = 20 * time.Second
	for _, tt := range []struct {
		name string
		load func(time.Duration) float64
		want bool
	}{
		{"crests of 2.4 s each 5.8 s", square(80, 395, 3400*time.Millisecond, 2400*time.Millisecond), true},
		{"crests of 1.1 s each 3 s", square(40, 160, 1900*time.Millisecond, 1100*time.Millisecond), true},
		{"short crests each 9 s", square(60, 300, 7500*time.Millisecond, 1500*time.Millisecond), true},
		{"level", func(time.Duration) float64 { return 200 }, false},
		{"no rhythm", func(at time.Duration) float64 { return noise[at/(700*time.Millisecond)] }, false},
		{"rise without end", func(at time.Duration) float64 { return 10 + 20*at.Seconds() }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := &steppedClock{now: time.Unix(0, 0)}
			f := New(c)
			observe(f, c, tt.load, 0, after)
			wrong, total := 0, 0
			for ahead := time.Duration(0); ahead < 3*time.Second; ahead += 100 * time.Millisecond {
				got, ok := f.Forecast("s", c.now.Add(ahead))
				if ok != tt.want {
					t.Fatalf("got a forecast %v, want %v (periods %v)", ok, tt.want, f.Periods())
				}
				want := tt.load(after - step + ahead)
				total++
				if ok && math.Abs(got-want) > want/2 {
					wrong++
				}
			}
			if wrong > total/10 {
				t.Errorf("got %d of %d forecasts off by more than half, want at most a tenth", wrong, total)
			}
		})
	}
}

// TestForecastEndsWithTheRhythm checks that nothing is predicted soon after the load has stopped to
// repeat, and again once it does.
func TestForecastEndsWithTheRhythm(t *testing.T) {
	wave := square(80, 395, 3400*time.Millisecond, 2400*time.Millisecond)
	c := &steppedClock{now: time.Unix(0, 0)}
	f := New(c)
	observe(f, c, wave, 0, 17*time.Second)
	if _, ok := f.Forecast("s", c.now); !ok {
		t.Fatal("got no forecast after three periods, want one")
	}
	level := func(time.Duration) float64 { return 80 }
	observe(f, c, level, 17*time.Second, 22*time.Second)
	if got, ok := f.Forecast("s", c.now); ok {
		t.Errorf("got a forecast of %.0f after a crest that didn't come, want none", got)
	}
	observe(f, c, wave, 22*time.Second, 60*time.Second)
	if _, ok := f.Forecast("s", c.now); !ok {
		t.Error("got no forecast after the rhythm has come back, want one")
	}
}

// TestForecastNeedsObservations checks that nothing is predicted for an unknown service, within the
// first period, or after a time without observations.
func TestForecastNeedsObservations(t *testing.T) {
	wave := square(80, 395, 3400*time.Millisecond, 2400*time.Millisecond)
	c := &steppedClock{now: time.Unix(0, 0)}
	f := New(c)
	check := func(when string, service fescuebank.ServiceName) {
		t.Helper()
		if got, ok := f.Forecast(service, c.now); ok {
			t.Errorf("%s: got a forecast of %.0f, want none", when, got)
		}
	}
	observe(f, c, wave, 0, 5*time.Second)
	check("in the first period", "s")
	check("for another service", "other")
	observe(f, c, wave, 5*time.Second, 17*time.Second)
	c.now = c.now.Add(2 * maxGap)
	check("after a time without observations", "s")
}
