// Package planner predicts when batch items end, and chooses which of them yield, under an online
// load whose crests take the slots that batch items hold in its troughs.
package planner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fescuebank"
)

const (
	// step is the distance of the times for which the room is predicted.
	step = 100 * time.Millisecond
	// horizon is how far ahead the room is predicted. It repeats after that.
	horizon = 12 * time.Second
	// maxRunTime bounds the predicted time until an item's end.
	maxRunTime = time.Hour
	// pausedSpeed is the share of the items that may run below which batch work counts as paused.
	pausedSpeed = 0.5
)

// Planner predicts from forecasts of the online load.
type Planner struct {
	forecaster fescuebank.LoadForecaster
	// slots returns the number of a service's slots that batch items and online requests share.
	slots func(fescuebank.ServiceName) int
	clock fescuebank.Clock

	mu    sync.Mutex
	plans map[fescuebank.ServiceName]*plan
}

// plan is the predicted course of batch work.
type plan struct {
	at time.Time
	// speeds holds, for each step from at on, which share of the items that run at the best time
	// may run then. It is empty if the load isn't known in advance.
	speeds []float64
}

// New returns a planner.
func New(f fescuebank.LoadForecaster, slots func(fescuebank.ServiceName) int, clock fescuebank.Clock) *Planner {
	return &Planner{forecaster: f, slots: slots, clock: clock, plans: make(map[fescuebank.ServiceName]*plan)}
}

// TimeToEnd returns how long an item of a service takes from now on to run for a time, with the
// pauses in which online requests need its slot.
func (p *Planner) TimeToEnd(service fescuebank.ServiceName, run time.Duration) time.Duration {
	plan := p.plan(service)
	if len(plan.speeds) == 0 {
		return run
	}
	var took time.Duration
	for i := 0; run > 0 && took < maxRunTime; i++ {
		run -= time.Duration(plan.speeds[i%len(plan.speeds)] * float64(step))
		took += step
	}
	return took
}

// Pause returns how long it takes from now on until batch work may go on after the next crest, or 0 if no
// crest is known.
func (p *Planner) Pause(service fescuebank.ServiceName) time.Duration {
	plan := p.plan(service)
	paused := false
	for i, speed := range plan.speeds {
		if paused && speed >= pausedSpeed {
			return time.Duration(i) * step
		}
		paused = paused || speed < pausedSpeed
	}
	return 0
}

// plan returns the current plan of a service.
func (p *Planner) plan(service fescuebank.ServiceName) *plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	current := p.plans[service]
	if current == nil || now.Sub(current.at) >= step {
		current = &plan{at: now, speeds: p.speeds(service, now)}
		p.plans[service] = current
	}
	return current
}

// speeds predicts the course of batch work from now on.
func (p *Planner) speeds(service fescuebank.ServiceName, now time.Time) []float64 {
	slots := float64(p.slots(service))
	var rooms []float64
	for ahead := time.Duration(0); ahead < horizon; ahead += step {
		load, ok := p.forecaster.Forecast(service, now.Add(ahead))
		if !ok {
			return nil
		}
		rooms = append(rooms, max(0, slots-load))
	}
	most := slices.Max(rooms)
	if most <= 0 {
		return nil
	}
	for i := range rooms {
		rooms[i] /= most
	}
	return rooms
}

// Candidate is a running item that may have to yield.
type Candidate struct {
	// Index is that of the item at the caller.
	Index int
	Due   time.Time
	// Remaining is how long the item is expected to run until its end and its commit; 0 if unknown.
	Remaining time.Duration
}

// Order sorts items in the order in which they yield: first those that can't be done in time any more, last those
// that would be late if they yielded now. Of the others, those go first that have the most left to
// do: what is nearly done ends soon and needs no further run. pause is how long an item that yields waits.
func Order(list []Candidate, now time.Time, pause time.Duration) {
	rank := func(c Candidate) int {
		slack := c.Due.Sub(now) - c.Remaining
		switch {
		case slack < 0:
			return 0
		case slack < pause:
			return 2
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.Remaining, a.Remaining), b.Due.Compare(a.Due))
	})
}
