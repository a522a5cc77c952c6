// Package forecaster predicts the number of slots that online requests need in the next seconds
// from its recent course. It answers loads that rise and fall in a rhythm of seconds, while batch
// items that take longer than a trough hold slots that the next crest needs.
package forecaster

import (
	"math"
	"sync"
	"time"

	"fescuebank"
)

const (
	// binTime is the time for which one mean of the load is kept.
	binTime = 100 * time.Millisecond
	// historyBins is the number of means that are kept.
	historyBins = 240
	// minPeriodBins and maxPeriodBins bound the periods that are looked for.
	minPeriodBins = 10
	maxPeriodBins = 120
	// minOverlapBins is how many means must have a counterpart one period earlier.
	minOverlapBins = 30
	// maxGap is the longest time without an observation that doesn't restart the history.
	maxGap = time.Second
	// searchInterval is how often the period is looked for.
	searchInterval = 500 * time.Millisecond
	// maxUnexplained is the largest part of the variance that a period may leave unexplained.
	maxUnexplained = 0.35
	// minUnexplained is the unexplained part of the variance from which the loads at two times count as
	// unlike.
	minUnexplained = 0.7
	// minVariation is the least standard deviation of the load, as a share of its mean, in which a
	// period is looked for.
	minVariation = 0.15
	// recentBins is the number of the newest means that must match the period, and maxRecentError
	// the largest mean deviation from it, in standard deviations.
	recentBins     = 8
	maxRecentError = 1.0
)

// Forecaster is a fescuebank.LoadForecaster. It assumes no period in advance, and predicts nothing
// for a load that doesn't repeat.
type Forecaster struct {
	clock fescuebank.Clock

	mu       sync.Mutex
	services map[fescuebank.ServiceName]*series
}

// New returns a forecaster that has observed nothing.
func New(clock fescuebank.Clock) *Forecaster {
	return &Forecaster{clock: clock, services: make(map[fescuebank.ServiceName]*series)}
}

// series is the recent course of the load of one service, in slots.
type series struct {
	// means are the loads in consecutive bins, the newest one last. The next bin begins at end.
	means []float64
	end   time.Time
	// sum and count are the sum of the observed loads in the bin that isn't complete, and their number.
	sum   float64
	count int
	// period is the number of bins after which the load repeats; 0 if it doesn't. deviation is its
	// standard deviation.
	period     int
	deviation  float64
	searchedAt time.Time
}

// Observe applies the number of slots that online requests of a service need now.
func (f *Forecaster) Observe(service fescuebank.ServiceName, slots float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	s := f.services[service]
	if s == nil || now.Sub(s.end) > maxGap {
		s = &series{end: now}
		f.services[service] = s
	}
	s.advance(now, slots)
	s.sum += slots
	s.count++
	if now.Sub(s.searchedAt) >= searchInterval {
		s.searchedAt = now
		s.search()
	}
}

// Forecast returns the number of slots that online requests of a service are expected to need at a
// time, or false if the load doesn't repeat or has been observed for too short a time.
func (f *Forecaster) Forecast(service fescuebank.ServiceName, at time.Time) (slots float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil || s.period == 0 || f.clock.Now().Sub(s.end) > maxGap || !s.matches() {
		return 0, false
	}
	return s.at(at), true
}

// Periods returns after how many milliseconds the load of each service repeats, 0 if it doesn't.
func (f *Forecaster) Periods() map[fescuebank.ServiceName]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	periods := make(map[fescuebank.ServiceName]int64, len(f.services))
	for service, s := range f.services {
		periods[service] = 0
		if s.period > 0 && s.matches() {
			periods[service] = (time.Duration(s.period) * binTime).Milliseconds()
		}
	}
	return periods
}

// advance completes the bins that ended. Bins without an observation take the newest one.
func (s *series) advance(now time.Time, newest float64) {
	for !s.end.Add(binTime).After(now) {
		mean := newest
		if s.count > 0 {
			mean = s.sum / float64(s.count)
		}
		s.means = append(s.means, mean)
		s.sum, s.count = 0, 0
		s.end = s.end.Add(binTime)
	}
	if extra := len(s.means) - historyBins; extra > 0 {
		s.means = append(s.means[:0], s.means[extra:]...)
	}
}

// search finds the shortest period that explains the course of the load. Loads at adjacent times are
// alike even if none repeats, so a period counts only if there is a shorter distance of time at which
// loads are unlike.
func (s *series) search() {
	s.period = 0
	mean, variance := moments(s.means)
	s.deviation = math.Sqrt(variance)
	if mean <= 0 || s.deviation < minVariation*mean {
		return
	}
	unlike := false // Set once such a distance was found.
	best := maxUnexplained
	for period := minPeriodBins; period <= min(maxPeriodBins, len(s.means)-minOverlapBins); period++ {
		unexplained := s.unexplained(period, variance)
		if unexplained >= minUnexplained {
			unlike = true
		}
		if !unlike {
			continue
		}
		if s.period > 0 && unexplained >= minUnexplained {
			return // The distances around the shortest period are done.
		}
		if unexplained < best {
			best, s.period = unexplained, period
		}
	}
}

// unexplained returns which part of the variance remains if the load is predicted by the one a
// period earlier: 0 if it repeats exactly, about 1 if it doesn't.
func (s *series) unexplained(period int, variance float64) float64 {
	sum, count := 0.0, 0
	for i := period; i < len(s.means); i++ {
		d := s.means[i] - s.means[i-period]
		sum += d * d
		count++
	}
	return sum / float64(count) / (2 * variance)
}

// matches reports whether the newest loads are like those a period earlier.
func (s *series) matches() bool {
	n := len(s.means)
	if n < s.period+recentBins {
		return false
	}
	sum := 0.0
	for i := n - recentBins; i < n; i++ {
		sum += math.Abs(s.means[i] - s.means[i-s.period])
	}
	return sum/recentBins <= maxRecentError*s.deviation
}

// at returns the load at a time: in the past the observed one, in the future that of the newest period.
// The period must be above 0.
func (s *series) at(t time.Time) float64 {
	index := len(s.means) + int(math.Floor(float64(t.Sub(s.end))/float64(binTime)))
	for index >= len(s.means) {
		index -= s.period
	}
	return s.means[max(0, index)]
}

// moments returns the mean and the variance of a list.
func moments(list []float64) (mean, variance float64) {
	if len(list) == 0 {
		return 0, 0
	}
	for _, v := range list {
		mean += v
	}
	mean /= float64(len(list))
	for _, v := range list {
		variance += (v - mean) * (v - mean)
	}
	return mean, variance / float64(len(list))
}
