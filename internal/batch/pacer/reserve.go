package pacer

import (
	"time"

	"fescuebank"
)

// Reserve is the shares of a service's slots that batch items leave free: Start when an item starts,
// Keep afterwards.
type Reserve struct {
	Start, Keep float64
}

// Rise is how many more slots online requests are expected to need than now: at most within the time
// that it takes to clear them, and within the least time for which it is worth to start an item.
type Rise struct {
	Clearing, Starting float64
}

// NewReserve returns the reserve at a service with a number of slots. If the rise isn't known it is that for
// a load that may rise at any time.
func NewReserve(slots int, rise Rise, known bool) Reserve {
	if !known || slots <= 0 {
		return Reserve{Start: StartReservedShare, Keep: MinReservedShare}
	}
	return Reserve{
		Start: MinReservedShare + max(0, rise.Starting)/float64(slots),
		Keep:  MinReservedShare + max(0, rise.Clearing)/float64(slots),
	}
}

const (
	// riseStep is the distance of the times at which the load is predicted.
	riseStep = 50 * time.Millisecond
	// minRunTime is the least time for which it is worth to start an item that will be cancelled.
	minRunTime = 300 * time.Millisecond
)

// ForecastRise returns the expected rise of a service's online load. clearing is how long it takes until the
// slots of cancelled items are free at all instances.
func ForecastRise(f fescuebank.LoadForecaster, service fescuebank.ServiceName, now time.Time, clearing time.Duration) (Rise, bool) {
	level, ok := f.Forecast(service, now)
	if !ok {
		return Rise{}, false
	}
	var rise Rise
	for ahead := riseStep; ahead <= clearing+minRunTime; ahead += riseStep {
		slots, ok := f.Forecast(service, now.Add(ahead))
		if !ok {
			return Rise{}, false
		}
		if ahead <= clearing {
			rise.Clearing = max(rise.Clearing, slots-level)
		}
		rise.Starting = max(rise.Starting, slots-level)
	}
	return rise, true
}
