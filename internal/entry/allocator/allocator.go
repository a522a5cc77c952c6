// Package allocator assigns requests to slots at endpoints and queues those that find
// none free.
package allocator

import (
	"context"
	"errors"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/postponer"
	"fescuebank/internal/entry/ranker"
)

// Errors of Acquire.
var (
	// ErrNoEndpoint means that no endpoint of the service is left to try.
	ErrNoEndpoint = errors.New("no endpoint")
	// ErrFull means that no slot is expected to be free before the deadline.
	ErrFull = errors.New("all slots taken")
)

const (
	// shortageMemory is how long an instance states its demand after requests last waited for slots.
	shortageMemory = 3 * time.Second
)

// Allocator counts the requests at each endpoint and assigns free slots.
type Allocator struct {
	clock fescuebank.Clock
	// onChange is called without the lock held when this instance's counts change.
	onChange func()
	limiter  fescuebank.RateLimiter
	paces    Paces

	mu        sync.Mutex
	endpoints map[fescuebank.EndpointID]*endpoint
	versions  versionHistory
	// leaving holds the endpoints that stated in a response, to this or another instance, that they leave.
	leaving map[fescuebank.EndpointTag]leavingStatement
	// evacuated are the zones to whose endpoints nothing may be sent.
	evacuated map[fescuebank.Zone]bool
	// ranker orders the waiting requests. waiting is in order only right after sortWaiting.
	ranker       *ranker.Ranker
	waiting      []*waiter
	nextSequence uint64
	// peerDemand is the demand that the other instances stated, instances their number with this
	// one, and shortAt when requests last waited for slots somewhere.
	peerDemand fescuebank.SlotDemand
	instances  int
	shortAt    time.Time
	postponer  postponer.Postponer
	// forecaster is nil if the load isn't forecast.
	forecaster fescuebank.LoadForecaster
	// holds is how long the slots of each kind of work are held at the typical endpoint, on average.
	holds map[work]time.Duration
	// heldSlots are the slots held by this instance's requests.
	heldSlots map[*Slot]bool
	// started counts the slots assigned to online requests.
	started uint64
	// peerStarts counts the slots that the other instances assigned to online requests, and
	// peerRate is the moving average of how many they assign per second, as of peerRateAt.
	// peerLag is the maximum age of their counts.
	peerStarts uint64
	peerRate   float64
	peerRateAt time.Time
	peerLag    time.Duration
	// peersWaiting is the number of requests waiting at other instances, and peerBatch the
	// number of slots held by their batch work, which is preempted for waiting requests.
	peersWaiting int
	peerBatch    int
	// peersWaitingAt holds those of peersWaiting whose service is known.
	peersWaitingAt fescuebank.ServiceCounts
	// peerOnline are the other instances' online requests at each endpoint.
	peerOnline fescuebank.EndpointCounts
	// sharedAt is when this instance last took its share of the free slots for which requests of
	// several instances wait.
	sharedAt time.Time
}

// New returns an allocator without endpoints that knows of no request limits.
func New(clock fescuebank.Clock, onChange func()) *Allocator {
	return NewLimited(clock, onChange, noLimits{})
}

// NewLimited returns an allocator without endpoints that keeps the request limits of the limiter.
func NewLimited(clock fescuebank.Clock, onChange func(), limiter fescuebank.RateLimiter) *Allocator {
	return &Allocator{
		clock: clock, onChange: onChange, limiter: limiter, paces: noPaces{}, ranker: ranker.New(), holds: make(map[work]time.Duration),
		endpoints: make(map[fescuebank.EndpointID]*endpoint), heldSlots: make(map[*Slot]bool),
		leaving: make(map[fescuebank.EndpointTag]leavingStatement),
	}
}

// Counts returns the number of this instance's requests at each endpoint and the number
// of its waiting requests.
func (a *Allocator) Counts() (counts fescuebank.EndpointCounts, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts = make(fescuebank.EndpointCounts)
	for _, e := range a.endpoints {
		if e.ownRequests > 0 {
			counts[e.tag] += e.ownRequests
		}
	}
	return counts, len(a.waiting)
}

// SetPeerCounts sets the other instances' requests at each endpoint, their waiting
// requests, and the slots held by their batch work.
func (a *Allocator) SetPeerCounts(counts fescuebank.EndpointCounts, waiting, batch int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, e := range a.endpoints {
		e.otherRequests = counts[e.tag]
		e.report.settle(e.otherRequests, now, a.peerLag)
	}
	a.peersWaiting, a.peerBatch = waiting, batch
	a.noteShortage(now)
	a.assignShared()
}

// Started returns the number of slots assigned to online requests so far.
func (a *Allocator) Started() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.started
}

// Acquire returns a slot, waiting for one until the request's deadline. It fails with
// ErrFull at once if the predicted wait is longer, and with ErrNoEndpoint if there is no
// endpoint to wait for. While others wait, a request of a team above its share waits only until
// it would be reconsidered, as what they leave can't be predicted.
func (a *Allocator) Acquire(ctx context.Context, request SlotRequest) (*Slot, error) {
	slot, w, err := a.assignOrQueue(request)
	if err != nil {
		return nil, err
	}
	a.onChange()
	if slot != nil {
		return slot, nil
	}
	return a.wait(ctx, w)
}

// assignOrQueue returns a slot if one is free now, or else a waiter that it has queued.
func (a *Allocator) assignOrQueue(request SlotRequest) (*Slot, *waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if slot := a.assignInTurn(request, now); slot != nil {
		return slot, nil, nil
	}
	if !request.ReconsiderAt.IsZero() && a.isBehind(request, now) && (a.othersWait(now) || a.mustYield(request, now)) {
		request.Deadline = request.ReconsiderAt
	}
	w := &waiter{request: request, sequence: a.nextSequence, assigned: make(chan *Slot, 1)}
	a.nextSequence++
	wait, ok := a.predictWait(request, now, a.countAhead(w, now))
	if !ok {
		return nil, nil, ErrNoEndpoint
	}
	if now.Add(wait).After(request.Deadline) {
		return nil, nil, ErrFull
	}
	a.waiting = append(a.waiting, w)
	a.noteShortage(now)
	return nil, w, nil
}

// TryAcquire returns a slot if one is free now, else nil.
func (a *Allocator) TryAcquire(request SlotRequest) *Slot {
	slot := a.assignNow(request)
	if slot != nil {
		a.onChange()
	}
	return slot
}

// assignNow is assign with the lock.
func (a *Allocator) assignNow(request SlotRequest) *Slot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.assign(request, a.clock.Now())
}

// LogFields returns the state from which waits of a team's requests for the service are
// predicted, as log fields.
func (a *Allocator) LogFields(service fescuebank.ServiceName, team fescuebank.TeamID) []any {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	slots, free := a.batchCapacity(service, now)
	wait, _ := a.predictWait(SlotRequest{Service: service, Team: team}, now, len(a.waiting))
	share := a.ranker.Share(team, now)
	return []any{
		"team", string(team), "teamUse", share.Use, "teamShare", share.Share, "aboveShare", share.IsExceeded(),
		"service", string(service), "places", slots, "freePlaces", free, "waitingHere", len(a.waiting),
		"waitingElsewhere", a.peersWaiting, "yielding", a.peerBatch, "predictedWaitMs", wait.Milliseconds(), "holdMs", a.holdTime(work{service: service}).Milliseconds(),
	}
}

// assign takes a free slot for the request, or returns nil. The caller holds the lock.
func (a *Allocator) assign(request SlotRequest, now time.Time) *Slot {
	best := a.pick(request, now)
	if best == nil {
		return nil
	}
	if !request.batch {
		a.started++
		a.ranker.Record(request.Team, request.Cost, now)
	}
	a.limiter.Take(best.ID)
	best.ownRequests++
	slot := &Slot{Endpoint: best.ServedEndpoint, Load: best.load(now), acquiredAt: now, batch: request.batch, endpoint: best, allocator: a}
	a.heldSlots[slot] = true
	return slot
}

// assignInTurn takes a free slot that no waiting request can use, or returns nil. A resuming stream
// goes before the waiting requests. The caller holds the lock.
func (a *Allocator) assignInTurn(request SlotRequest, now time.Time) *Slot {
	if !request.Resuming {
		request.limitedOnly = a.contention(request.Service, now).contended
	}
	if a.mustYield(request, now) {
		return nil
	}
	if request.Resuming || len(a.waiting) == 0 {
		return a.assign(request, now)
	}
	if a.pick(request, now) == nil {
		return nil
	}
	a.assignAllowed()
	return a.assign(request, now)
}
