package allocator

import (
	"time"

	"fescuebank"
	"fescuebank/internal/entry/postponer"
)

// SetForecaster sets the forecast of the load by which refused callers are told to return when it has
// fallen. Without one they are told the predicted wait.
func (a *Allocator) SetForecaster(f fescuebank.LoadForecaster) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forecaster = f
}

// RetryAfter returns the delay after which a caller whose request is refused should return, and
// expects it then. honoured is the longest delay that the caller honours.
func (a *Allocator) RetryAfter(request SlotRequest, honoured time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	request.Tried = nil
	outlook := postponer.Outlook{
		PeersReturning: a.peerDemand.Returning, Instances: a.instances, Lag: a.peerLag, Honoured: honoured,
		Wait: func(ahead int) (time.Duration, bool) {
			wait, ok := a.predictWait(request, now, len(a.waiting)+ahead)
			return max(wait, a.ranker.TimeBehind(request.rankRequest(), now)), ok
		},
	}
	if a.forecaster != nil {
		outlook.Room = func(at time.Time) (float64, bool) { return a.forecastRoom(request.Service, now, at) }
	}
	a.shortAt = now
	return a.postponer.Postpone(now, outlook)
}

// forecastRoom returns how many requests per second the slots of a service can serve at a time
// beside those of new callers. The caller holds the lock.
func (a *Allocator) forecastRoom(service fescuebank.ServiceName, now, at time.Time) (perSecond float64, ok bool) {
	needed, ok := a.forecaster.Forecast(service, at)
	if !ok {
		return 0, false
	}
	slots, _ := a.batchCapacity(service, now)
	return (float64(slots) - needed) / a.holdTime(work{service: service}).Seconds(), true
}
