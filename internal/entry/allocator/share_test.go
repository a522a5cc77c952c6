package allocator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/allocator"
)

const (
	otherTeams = 70
	busyTeam   = fescuebank.TeamID("busy")
	// shareLength is how long a load of teams is simulated.
	shareLength = 8 * time.Second
	// maxRefusalTime is a quarter of the objective.
	maxRefusalTime = waveObjective / 4
)

// teamFleet is a fleet without batch work whose callers belong to teams. Its instances exchange their
// demand with the lag of the counts.
type teamFleet struct {
	*waveFleet
	demands []fescuebank.SlotDemand
	sums    []publishedDemand
	teams   map[fescuebank.TeamID]*teamResult
}

// publishedDemand is the demand of all instances as of a time.
type publishedDemand struct {
	at     time.Time
	demand fescuebank.SlotDemand
}

// teamResult counts what the callers of a team got.
type teamResult struct {
	waveResult
	// heldRefusals counts the refusals that took longer than maxRefusalTime.
	heldRefusals int
}

func newTeamFleet(entries, endpointCount int, lag time.Duration, rates map[fescuebank.TeamID]fescuebank.RequestRate) *teamFleet {
	f := &teamFleet{
		waveFleet: newWaveFleet(entries, 0, endpointCount, lag),
		demands:   make([]fescuebank.SlotDemand, entries), teams: make(map[fescuebank.TeamID]*teamResult),
	}
	for team := range rates {
		f.teams[team] = &teamResult{}
	}
	for _, a := range f.entries {
		a.SetTeamRates(rates)
	}
	return f
}

// exchangeDemand publishes the demand of instance i and gives it that of the others as of half the
// lag ago.
func (f *teamFleet) exchangeDemand(i int, now time.Time) {
	before := f.demands[i]
	var next fescuebank.SlotDemand
	next.Add(f.entries[i].Demand())
	f.demands[i] = next
	sum := publishedDemand{at: now}
	if len(f.sums) > 0 {
		sum.demand.Add(&f.sums[len(f.sums)-1].demand)
	}
	sum.demand.Subtract(&before)
	sum.demand.Add(&next)
	f.sums = append(f.sums, sum)
	for len(f.sums) > 1 && now.Sub(f.sums[1].at) >= f.lag/2 {
		f.sums = f.sums[1:]
	}
	var others fescuebank.SlotDemand
	others.Add(&f.sums[0].demand)
	others.Subtract(&before)
	f.entries[i].SetPeerDemand(others, len(f.entries))
}

// request sends one request of a team through a random entry.
func (f *teamFleet) request(team fescuebank.TeamID) {
	arrived := time.Now()
	a := f.entries[f.random.IntN(len(f.entries))]
	hold := onlineHold/2 + time.Duration(f.random.Int64N(int64(onlineHold)))
	go func() {
		slot, err := a.Acquire(context.Background(), allocator.SlotRequest{
			Service: "s", Team: team, Deadline: arrived.Add(waveObjective * 3 / 4), ReconsiderAt: arrived.Add(waveObjective / 5),
		})
		f.mu.Lock()
		defer f.mu.Unlock()
		result := f.teams[team]
		result.requests++
		if err != nil {
			result.refused++
			if time.Since(arrived) > maxRefusalTime {
				result.heldRefusals++
			}
			return
		}
		e := f.endpoints[slot.Endpoint.ID]
		r := &arrival{}
		r.start = func() {
			if time.Since(arrived)+firstEventTime <= waveObjective {
				result.inTime++
			} else {
				result.late++
			}
			time.AfterFunc(hold, func() { f.end(e, r, slot) })
		}
		e.arrive(r)
	}()
}

// simulate sends the requests of all teams at their rates, evenly spread at random.
func (f *teamFleet) simulate(rates map[fescuebank.TeamID]float64) {
	began := time.Now()
	next := make(map[fescuebank.TeamID]time.Time, len(rates))
	for n := 0; time.Since(began) < shareLength; n++ {
		now := time.Now()
		f.mu.Lock()
		f.exchange(n%len(f.entries), now)
		f.exchangeDemand(n%len(f.entries), now)
		f.mu.Unlock()
		for team, rate := range rates {
			for !next[team].After(now) {
				f.request(team)
				if next[team].IsZero() {
					next[team] = now
				}
				next[team] = next[team].Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
			}
		}
		time.Sleep(f.lag / 3 / time.Duration(len(f.entries)))
	}
}

// others sums the results of all teams but the busy one.
func (f *teamFleet) others() waveResult {
	var sum waveResult
	for team, r := range f.teams {
		if team != busyTeam {
			sum.requests += r.requests
			sum.inTime += r.inTime
			sum.late += r.late
			sum.refused += r.refused
		}
	}
	return sum
}

// simulateTeams simulates 70 teams that together need three quarters of the slots, the first of which uses
// largeWeight times as much as another, beside the busy team if busyRate is above 0.
func simulateTeams(entries int, lag time.Duration, largeWeight, busyRate float64) *teamFleet {
	const (
		endpointCount = 30
		capacity      = endpointCount * 8 / 0.7 // Requests per second.
		limitFactor   = 1.6
	)
	usual := 0.75 * capacity / (otherTeams - 1 + largeWeight)
	rates := make(map[fescuebank.TeamID]float64)
	limits := map[fescuebank.TeamID]fescuebank.RequestRate{busyTeam: fescuebank.RequestRate(limitFactor * usual)}
	for i := range otherTeams {
		team := fescuebank.TeamID(fmt.Sprintf("team-%d", i))
		rates[team] = usual
		if i == 0 {
			rates[team] *= largeWeight
		}
		limits[team] = fescuebank.RequestRate(limitFactor * rates[team])
	}
	if busyRate > 0 {
		rates[busyTeam] = busyRate * capacity
	}
	f := newTeamFleet(entries, endpointCount, lag, limits)
	f.simulate(rates)
	time.Sleep(20 * time.Second) // Lets all requests end.
	f.mu.Lock()
	defer f.mu.Unlock()
	return f
}

// TestTeamFarAboveItsRatePaysForItself simulates a team that asks for three quarters of the slots beside 70
// that need as much at their usual rates. The others must be served nearly as if it were not there,
// it must get no less than its share, and its refusals must come at once.
func TestTeamFarAboveItsRatePaysForItself(t *testing.T) {
	t.Parallel()
	const (
		busyRate        = 0.75
		toleratedLoss   = 0.1
		maxHeldRefusals = 0.05
		// minBusyServed is the share of the slots that belongs to one of 71 teams, of what the busy team
		// asks for.
		minBusyServed = 1.0 / 71 / busyRate
	)
	for _, tt := range []struct {
		name        string
		entries     int
		lag         time.Duration
		largeWeight float64
	}{
		{"four instances", 4, 6 * time.Millisecond, 1},
		{"40 instances, one large team", 40, 150 * time.Millisecond, 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				control := simulateTeams(tt.entries, tt.lag, tt.largeWeight, 0).others()
				f := simulateTeams(tt.entries, tt.lag, tt.largeWeight, busyRate)
				others, busy, large := f.others(), f.teams[busyTeam], f.teams["team-0"]
				t.Logf("without the busy team: in time %.3f; others: in time %.3f, late %.3f, refused %.3f; busy team: in time %.3f, late %.3f, refused %.3f, held %d; team-0: in time %.3f",
					control.share(control.inTime), others.share(others.inTime), others.share(others.late), others.share(others.refused),
					busy.share(busy.inTime), busy.share(busy.late), busy.share(busy.refused), busy.heldRefusals, large.share(large.inTime))
				want := control.share(control.inTime) - toleratedLoss
				if got := others.share(others.inTime); got < want {
					t.Errorf("got %.3f of the other teams' requests in time, want at least %.3f", got, want)
				}
				if got := large.share(large.inTime); tt.largeWeight > 1 && got < want {
					t.Errorf("got %.3f of the large team's requests in time, want at least %.3f", got, want)
				}
				if got := busy.share(busy.inTime + busy.late); got < minBusyServed {
					t.Errorf("got %.3f of the busy team's requests served, want at least %.3f", got, minBusyServed)
				}
				if got := busy.share(busy.heldRefusals); got > maxHeldRefusals {
					t.Errorf("got %.3f of the busy team's requests refused after more than %v, want at most %.2f", got, maxRefusalTime, maxHeldRefusals)
				}
			})
		})
	}
}
