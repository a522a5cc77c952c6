package pacer

import (
	"time"

	"fescuebank"
)

const (
	// riseStep is the time between two predictions of the load.
	riseStep = 50 * time.Millisecond
	// minRunTime is the least time for which it is worth to start an item that will be cancelled.
	minRunTime = 300 * time.Millisecond
)

// Reserve is the shares of a service's slots, 0 or more, that batch items leave free.
type Reserve struct {
	// Start is what must remain free when an item starts.
	Start float64
	// Keep is what must remain free afterwards, or else items are cancelled. It is at most Start.
	Keep float64
}

// Rise is how many more slots online requests are expected to need than now, 0 or more.
type Rise struct {
	// Clearing is the largest number within the time that it takes to clear slots of batch items.
	Clearing float64
	// Starting is the largest number within that time and minRunTime after it. An item that starts
	// although they will be needed would be cancelled before it has run for minRunTime.
	Starting float64
}

// NewReserve returns the reserve at a service with a number of slots. If the rise isn't known, it is
// that for a load that may rise at any time.
func NewReserve(slots int, rise Rise, known bool) Reserve {
	if !known || slots <= 0 {
		return Reserve{Start: StartReservedShare, Keep: MinReservedShare}
	}
	return Reserve{
		Start: MinReservedShare + max(0, rise.Starting)/float64(slots),
		Keep:  MinReservedShare + max(0, rise.Clearing)/float64(slots),
	}
}

// ForecastRise returns the expected rise of a service's online load, or false if the load isn't
// forecast. clearing is how long it takes until the slots of cancelled items are free at all instances.
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
