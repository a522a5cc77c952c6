package allocator_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
)

const (
	// callerTimeout is how long a caller waits in all, and honouredShare the part of the time that it has
	// left up to which it honours the delay of a refusal.
	callerTimeout = 5 * time.Second
	honouredShare = 1.0 / 3
)

// returnResult counts what callers got that were refused and returned.
type returnResult struct {
	firstInTime, refused, returned, returnedInTime, returnedLate, refusedAgain int
}

// inTime returns the number of callers that were served in time, counted from the attempt that was served.
func (r returnResult) inTime() int {
	return r.firstInTime + r.returnedInTime
}

// returnFleet is a fleet whose refused callers return once.
type returnFleet struct {
	*teamFleet
	result returnResult
	// delay returns the delay of a refusal at an instance.
	delay func(a *allocator.Allocator, r allocator.SlotRequest, honoured time.Duration) time.Duration
}

// try sends one attempt of a caller that first tried at a time.
func (f *returnFleet) try(first time.Time, instance int) {
	arrived := time.Now()
	a := f.entries[instance]
	request := allocator.SlotRequest{
		Service: "s", Team: "t", Deadline: arrived.Add(waveObjective * 3 / 4), ReconsiderAt: arrived.Add(waveObjective / 5), Spent: arrived.Sub(first),
	}
	returned := request.Spent > 0
	slot, err := a.Acquire(context.Background(), request)
	f.mu.Lock()
	defer f.mu.Unlock()
	if returned {
		f.result.returned++
	}
	if err != nil {
		if returned {
			f.result.refusedAgain++
			return
		}
		f.result.refused++
		honoured := time.Duration(honouredShare * float64(callerTimeout-time.Since(first)))
		delay := min(f.delay(a, request, honoured), honoured)
		next := rand.IntN(len(f.entries))
		time.AfterFunc(delay, func() { f.try(first, next) })
		return
	}
	e := f.endpoints[slot.Endpoint.ID]
	r := &arrival{}
	hold := onlineHold/2 + rand.N(onlineHold)
	r.start = func() {
		inTime := time.Since(arrived)+firstEventTime <= waveObjective
		switch {
		case !returned && inTime:
			f.result.firstInTime++
		case returned && inTime:
			f.result.returnedInTime++
		case returned:
			f.result.returnedLate++
		}
		time.AfterFunc(hold, func() { f.end(e, r, slot) })
	}
	e.arrive(r)
}

// simulateCrests sends four crests at crest times the capacity.
func (f *returnFleet) simulateCrests(capacity, crest float64) {
	began := time.Now()
	next := began
	for n := 0; time.Since(began) < 4*(troughTime+crestTime); n++ {
		now := time.Now()
		f.mu.Lock()
		f.exchange(n%len(f.entries), now)
		f.exchangeDemand(n%len(f.entries), now)
		f.mu.Unlock()
		for !next.After(now) {
			instance := f.random.IntN(len(f.entries))
			go f.try(now, instance)
			share := crest
			if next.Sub(began)%(troughTime+crestTime) < troughTime {
				share = crest * troughShare / crestShare
			}
			next = next.Add(time.Duration(f.random.ExpFloat64() / (capacity * share) * float64(time.Second)))
		}
		time.Sleep(f.lag / 3 / time.Duration(len(f.entries)))
	}
	time.Sleep(20 * time.Second) // Lets all requests end.
}

// TestCallersReturnWhenSlotsAreFree simulates crests at 1.25 times what the slots serve. Callers that return when
// a forecast sees room don't take slots of new ones in the crest, so that fewer are refused than after a
// random delay. Without a forecast it may not get worse.
func TestCallersReturnWhenSlotsAreFree(t *testing.T) {
	t.Parallel()
	const (
		endpointCount = 30
		capacity      = endpointCount * 8 / 0.7 // Requests per second.
		crest         = 1.25
	)
	for _, tt := range []struct {
		name    string
		entries int
		lag     time.Duration
	}{
		{"four instances", 4, 6 * time.Millisecond},
		{"40 instances", 40, 150 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			simulate := func(delay func(*allocator.Allocator, allocator.SlotRequest, time.Duration) time.Duration) (result returnResult) {
				synctest.Test(t, func(*testing.T) {
					f := &returnFleet{teamFleet: newTeamFleet(tt.entries, endpointCount, tt.lag, nil), delay: delay}
					f.simulateCrests(capacity, crest)
					f.mu.Lock()
					defer f.mu.Unlock()
					result = f.result
				})
				return result
			}
			random := simulate(func(*allocator.Allocator, allocator.SlotRequest, time.Duration) time.Duration {
				return 300*time.Millisecond + rand.N(700*time.Millisecond)
			})
			got := simulate((*allocator.Allocator).RetryAfter)
			var began time.Time
			forecast := simulate(func(a *allocator.Allocator, r allocator.SlotRequest, honoured time.Duration) time.Duration {
				if began.IsZero() {
					began = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
				}
				a.SetForecaster(crestForecaster{began: began, slots: endpointCount * 8 * crest})
				return a.RetryAfter(r, honoured)
			})
			if got.inTime() < random.inTime()*95/100 {
				t.Errorf("got %d requests in time, want about as many as with a random delay: %d", got.inTime(), random.inTime())
			}
			if forecast.refused >= random.refused {
				t.Errorf("got %d refusals with a forecast, want fewer than with a random delay: %d", forecast.refused, random.refused)
			}
			if tt.entries == 4 && 10*forecast.refusedAgain > forecast.returned {
				t.Errorf("got %d of %d returning callers refused again with a forecast, want at most a tenth", forecast.refusedAgain, forecast.returned)
			}
			t.Logf("random delay %+v, predicted %+v, forecast %+v", random, got, forecast)
		})
	}
}

// crestForecaster knows the crests to come.
type crestForecaster struct {
	began time.Time
	// slots is the need of a crest.
	slots float64
}

func (f crestForecaster) Forecast(_ fescuebank.ServiceName, at time.Time) (float64, bool) {
	// A slot that was taken in a crest is held for some time after it.
	if at.Add(-onlineHold/2).Sub(f.began)%(troughTime+crestTime) < troughTime {
		return f.slots * troughShare / crestShare, true
	}
	return f.slots, true
}
