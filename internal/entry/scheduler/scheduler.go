// Package scheduler holds online requests until an endpoint has room for them.
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

// Scheduler queues per model, each model under its own lock. The queue forms
// here since engines admit requests as they come.
type Scheduler struct {
	balancer *balancer.Balancer
	clock    fescuebank.Clock
	perTeam  int
	// reserved is called after a request got its endpoint.
	reserved func()

	mu    sync.RWMutex
	lanes map[fescuebank.ModelName]*lane
}

// lane is the queue of one model.
type lane struct {
	model fescuebank.ModelName

	mu    sync.Mutex
	queue *queuer.Queuer
	// running counts requests at endpoints by team.
	running map[fescuebank.TeamID]int
	// service is the smoothed time from reservation to the end of a request.
	service time.Duration
}

// Request is what the scheduler needs to know of a request.
type Request struct {
	Completion *fescuebank.Completion
	// Weight is the team's share under contention.
	Weight float64
	// Prefer is the endpoint that holds the prompt's prefix, or empty.
	Prefer fescuebank.EndpointID
	// Avoid lists endpoints that already failed the request.
	Avoid []fescuebank.EndpointID
}

// waiter is a queued request.
type waiter struct {
	request *Request
	// granted takes the endpoint, or nil when the request is shed.
	granted chan *balancer.Target
}

// New returns a scheduler over the endpoints of b. reserved is called after
// each request that got its endpoint.
func New(b *balancer.Balancer, perTeam int, clock fescuebank.Clock, reserved func()) *Scheduler {
	return &Scheduler{balancer: b, clock: clock, perTeam: perTeam, reserved: reserved, lanes: make(map[fescuebank.ModelName]*lane)}
}

func (s *Scheduler) lane(m fescuebank.ModelName) *lane {
	s.mu.RLock()
	l, ok := s.lanes[m]
	s.mu.RUnlock()
	if ok {
		return l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok = s.lanes[m]; !ok {
		l = &lane{model: m, queue: queuer.New(s.perTeam), running: make(map[fescuebank.TeamID]int)}
		s.lanes[m] = l
	}
	return l
}

// Acquire waits for an endpoint with room. The caller calls Done once the
// request has left the endpoint.
func (s *Scheduler) Acquire(ctx context.Context, r *Request) (*balancer.Target, error) {
	l := s.lane(r.Completion.Model)
	target, w, item, err := s.enter(l, r)
	if target != nil || err != nil {
		return target, err
	}
	select {
	case target = <-w.granted:
	case <-ctx.Done():
		l.mu.Lock()
		l.queue.Remove(item)
		l.mu.Unlock()
		select {
		case target = <-w.granted:
			if target != nil {
				s.Done(target, r, 0)
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

// enter takes an endpoint at once or queues the request.
func (s *Scheduler) enter(l *lane, r *Request) (*balancer.Target, *waiter, *queuer.Item, error) {
	c := r.Completion
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Len() == 0 {
		if t := s.balancer.Reserve(c.Model, r.Prefer, r.Avoid); t != nil {
			l.queue.Charge(c.Team, r.Weight, c.Cost())
			l.running[c.Team]++
			s.reserved()
			return t, nil, nil, nil
		}
	}
	w := &waiter{request: r, granted: make(chan *balancer.Target, 1)}
	item := &queuer.Item{Team: c.Team, Weight: r.Weight, Cost: c.Cost(), Deadline: c.Deadline, Value: w}
	if !l.queue.Push(item) {
		return nil, nil, nil, fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeOverloaded,
			"too many requests of this team are waiting").WithRetryAfter(l.drainTime())
	}
	s.dispatch(l)
	return nil, w, item, nil
}

// drainTime is when asking again makes sense. The caller holds mu.
func (l *lane) drainTime() time.Duration {
	return max(time.Second, l.service)
}

// dispatch serves waiting requests while endpoints have room. The caller holds
// the lane's lock.
func (s *Scheduler) dispatch(l *lane) {
	now := s.clock.Now()
	for item := l.queue.Peek(); item != nil; item = l.queue.Peek() {
		w := item.Value.(*waiter)
		if !item.Deadline.IsZero() && now.Add(l.service/4).After(item.Deadline) {
			l.queue.Remove(item)
			w.granted <- nil
			continue
		}
		t := s.balancer.Reserve(l.model, w.request.Prefer, w.request.Avoid)
		if t == nil && s.balancer.HasFreeSlot(l.model) {
			// Only endpoints that it has to avoid have room; any will do then.
			t = s.balancer.Reserve(l.model, "", nil)
		}
		if t == nil {
			return
		}
		l.queue.Pop()
		l.running[item.Team]++
		s.reserved()
		w.granted <- t
	}
}

// Done ends a reservation; extra is what the request cost beyond its estimate.
func (s *Scheduler) Done(t *balancer.Target, r *Request, extra fescuebank.Tokens) {
	t.Release()
	l := s.lane(r.Completion.Model)
	l.mu.Lock()
	l.queue.Correct(r.Completion.Team, r.Weight, extra)
	if l.running[r.Completion.Team]--; l.running[r.Completion.Team] <= 0 {
		delete(l.running, r.Completion.Team)
	}
	l.mu.Unlock()
	s.Wake()
}

// ObserveServiceTime takes in how long a request of the model was served.
func (s *Scheduler) ObserveServiceTime(m fescuebank.ModelName, d time.Duration) {
	const smoothing = 8
	l := s.lane(m)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.service += (d - l.service) / smoothing
}

// Wake serves waiting requests after endpoints may have got room.
func (s *Scheduler) Wake() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, l := range s.lanes {
		l.mu.Lock()
		s.dispatch(l)
		l.mu.Unlock()
	}
}

// Demands returns what each team has running and waiting here. It is empty if
// nothing waits, since nobody has to share then.
func (s *Scheduler) Demands() []fescuebank.TeamDemand {
	if waiting, _ := s.Waiting(); waiting == 0 {
		return nil
	}
	counts := make(map[fescuebank.TeamID]int)
	s.mu.RLock()
	for _, l := range s.lanes {
		l.mu.Lock()
		for team, n := range l.running {
			counts[team] += n
		}
		l.queue.CountByTeam(counts)
		l.mu.Unlock()
	}
	s.mu.RUnlock()
	demands := make([]fescuebank.TeamDemand, 0, len(counts))
	for team, n := range counts {
		demands = append(demands, fescuebank.TeamDemand{Team: team, Count: n})
	}
	return demands
}

// Waiting returns the number of waiting requests and the summed weight of
// their teams, over all models.
func (s *Scheduler) Waiting() (int, float64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	count, weight := 0, 0.0
	for _, l := range s.lanes {
		l.mu.Lock()
		count += l.queue.Len()
		weight += l.queue.WaitingWeight()
		l.mu.Unlock()
	}
	return count, weight
}
