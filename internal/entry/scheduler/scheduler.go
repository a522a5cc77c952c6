// Package scheduler queues online requests until an endpoint has capacity for them.
package scheduler

import (
	"context"
	"net/http"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/endpoint/balancer"
	"fescuebank/internal/entry/queuer"
)

// Scheduler queues requests per model, each model under its own lock. Requests are queued
// here because engines admit requests in order of arrival.
type Scheduler struct {
	balancer   *balancer.Balancer
	clock      fescuebank.Clock
	maxPerTeam int
	// onReserved is called after a request was assigned an endpoint.
	onReserved func()

	mu     sync.RWMutex
	queues map[fescuebank.ModelName]*modelQueue
}

// modelQueue is the queue of one model.
type modelQueue struct {
	model fescuebank.ModelName

	mu      sync.Mutex
	waiting *queuer.Queuer
	// running counts each team's requests at endpoints.
	running map[fescuebank.TeamID]int
	// serviceTime is the moving average of the time from a request's reservation to its
	// end, over successful requests.
	serviceTime time.Duration
}

// Request is a completion to schedule.
type Request struct {
	Completion *fescuebank.CompletionRequest
	// Weight is the team's share under contention.
	Weight float64
	// PrefixHolder is the endpoint that last served the prompt's prefix, or empty.
	PrefixHolder fescuebank.EndpointID
	// Avoid lists endpoints that already failed the request.
	Avoid []fescuebank.EndpointID
}

// waiter is a queued request.
type waiter struct {
	request *Request
	// assigned receives the endpoint, or nil if the request is shed.
	assigned chan *balancer.Target
}

// New returns a scheduler over the endpoints of b. onReserved is called after each
// assignment of an endpoint.
func New(b *balancer.Balancer, maxPerTeam int, clock fescuebank.Clock, onReserved func()) *Scheduler {
	return &Scheduler{balancer: b, clock: clock, maxPerTeam: maxPerTeam, onReserved: onReserved, queues: make(map[fescuebank.ModelName]*modelQueue)}
}

func (s *Scheduler) queueFor(m fescuebank.ModelName) *modelQueue {
	s.mu.RLock()
	q, ok := s.queues[m]
	s.mu.RUnlock()
	if ok {
		return q
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q, ok = s.queues[m]; !ok {
		q = &modelQueue{model: m, waiting: queuer.New(s.maxPerTeam), running: make(map[fescuebank.TeamID]int)}
		s.queues[m] = q
	}
	return q
}

// Acquire waits for an endpoint with free capacity. The caller must call Release after
// the request has ended at the endpoint.
func (s *Scheduler) Acquire(ctx context.Context, r *Request) (*balancer.Target, error) {
	q := s.queueFor(r.Completion.Model)
	target, w, item, err := s.reserveOrEnqueue(q, r)
	if target != nil || err != nil {
		return target, err
	}
	select {
	case target = <-w.assigned:
	case <-ctx.Done():
		q.mu.Lock()
		q.waiting.Remove(item)
		q.mu.Unlock()
		select {
		case target = <-w.assigned:
			if target != nil {
				s.Release(target, r, 0)
			}
		default:
		}
		return nil, context.Cause(ctx)
	}
	if target == nil {
		return nil, fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeDeadline,
			"the request can no longer meet its deadline").WithRetryAfter(time.Second)
	}
	return target, nil
}

// reserveOrEnqueue reserves an endpoint at once or queues the request.
func (s *Scheduler) reserveOrEnqueue(q *modelQueue, r *Request) (*balancer.Target, *waiter, *queuer.Item, error) {
	c := r.Completion
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting.Len() == 0 {
		if t := s.balancer.Reserve(c.Model, r.PrefixHolder, r.Avoid); t != nil {
			q.waiting.Charge(c.Team, r.Weight, c.Cost())
			q.running[c.Team]++
			s.onReserved()
			return t, nil, nil, nil
		}
	}
	w := &waiter{request: r, assigned: make(chan *balancer.Target, 1)}
	item := &queuer.Item{Team: c.Team, Weight: r.Weight, Cost: c.Cost(), Deadline: c.Deadline, Value: w}
	if !q.waiting.Push(item) {
		return nil, nil, nil, fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeOverloaded,
			"too many requests of this team are waiting").WithRetryAfter(q.retryAfter())
	}
	s.dispatch(q)
	return nil, w, item, nil
}

// retryAfter returns the retry delay for a refused request. The caller holds mu.
func (q *modelQueue) retryAfter() time.Duration {
	return max(time.Second, q.serviceTime)
}

// dispatch assigns endpoints to waiting requests while there is capacity, and sheds
// requests that have less than a quarter of the mean service time left. The caller holds
// the queue's lock.
func (s *Scheduler) dispatch(q *modelQueue) {
	now := s.clock.Now()
	for item := q.waiting.Peek(); item != nil; item = q.waiting.Peek() {
		w := item.Value.(*waiter)
		if !item.Deadline.IsZero() && now.Add(q.serviceTime/4).After(item.Deadline) {
			q.waiting.Remove(item)
			w.assigned <- nil
			continue
		}
		t := s.balancer.Reserve(q.model, w.request.PrefixHolder, w.request.Avoid)
		if t == nil && s.balancer.HasFreeSlot(q.model) {
			// Only endpoints to avoid have capacity: use any of them.
			t = s.balancer.Reserve(q.model, "", nil)
		}
		if t == nil {
			return
		}
		q.waiting.Pop()
		q.running[item.Team]++
		s.onReserved()
		w.assigned <- t
	}
}

// Release ends a reservation; extra is the actual cost minus the estimate.
func (s *Scheduler) Release(t *balancer.Target, r *Request, extra fescuebank.Tokens) {
	t.Release()
	q := s.queueFor(r.Completion.Model)
	q.mu.Lock()
	q.waiting.CorrectCharge(r.Completion.Team, r.Weight, extra)
	if q.running[r.Completion.Team]--; q.running[r.Completion.Team] <= 0 {
		delete(q.running, r.Completion.Team)
	}
	q.mu.Unlock()
	s.Wake()
}

// ObserveServiceTime records how long a request of the model was served.
func (s *Scheduler) ObserveServiceTime(m fescuebank.ModelName, d time.Duration) {
	const smoothing = 8
	q := s.queueFor(m)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serviceTime += (d - q.serviceTime) / smoothing
}

// Wake dispatches waiting requests after endpoints may have gained capacity.
func (s *Scheduler) Wake() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, q := range s.queues {
		q.mu.Lock()
		s.dispatch(q)
		q.mu.Unlock()
	}
}

// Demands returns the number of running and waiting requests of each team. It is empty if
// no request waits, since there is no contention then.
func (s *Scheduler) Demands() []fescuebank.TeamDemand {
	if waiting, _ := s.Waiting(); waiting == 0 {
		return nil
	}
	counts := make(map[fescuebank.TeamID]int)
	s.mu.RLock()
	for _, q := range s.queues {
		q.mu.Lock()
		for team, n := range q.running {
			counts[team] += n
		}
		q.waiting.CountByTeam(counts)
		q.mu.Unlock()
	}
	s.mu.RUnlock()
	demands := make([]fescuebank.TeamDemand, 0, len(counts))
	for team, n := range counts {
		demands = append(demands, fescuebank.TeamDemand{Team: team, Count: n})
	}
	return demands
}

// Waiting returns the number of waiting requests and the summed weight of their teams,
// over all models.
func (s *Scheduler) Waiting() (int, float64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	count, weight := 0, 0.0
	for _, q := range s.queues {
		q.mu.Lock()
		count += q.waiting.Len()
		weight += q.waiting.WaitingWeight()
		q.mu.Unlock()
	}
	return count, weight
}
