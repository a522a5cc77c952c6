// Package router runs online completions on endpoints, with retries.
package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/config/withdrawer"
	"fescuebank/internal/endpoint/balancer"
	"fescuebank/internal/entry/scheduler"
)

const (
	// minBackoff bounds the wait before the first retry. The bound doubles with each retry
	// up to maxBackoff; a wait is at least half of its bound.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxPrefixes bounds the number of remembered prompt prefixes.
	maxPrefixes = 8192
)

// Router runs completions on endpoints.
type Router struct {
	scheduler *scheduler.Scheduler
	balancer  *balancer.Balancer
	clock     fescuebank.Clock
	log       hclog.Logger
	attempts  int
	budget    *retryBudget
	// endpoint returns the connection to an endpoint.
	endpoint func(fescuebank.EndpointID) (fescuebank.Endpoint, bool)
	guard    fescuebank.Guard
	observer Observer
	// firstToken returns the objective for the time to the first token.
	firstToken func() time.Duration

	mu sync.Mutex
	// prefixHolders maps the hash of a prompt prefix to the endpoint that last served it.
	prefixHolders map[uint64]fescuebank.EndpointID
}

// Observer receives the events of requests.
type Observer interface {
	// FirstToken reports the time from arrival to the first token.
	FirstToken(team fescuebank.TeamID, d time.Duration)
	// Retry reports a retry.
	Retry()
}

// Config holds the dependencies of a Router.
type Config struct {
	Scheduler *scheduler.Scheduler
	Balancer  *balancer.Balancer
	Clock     fescuebank.Clock
	Log       hclog.Logger
	// Attempts bounds the attempts per request.
	Attempts int
	// Endpoint returns the connection to an endpoint.
	Endpoint func(fescuebank.EndpointID) (fescuebank.Endpoint, bool)
	Guard    fescuebank.Guard
	Observer Observer
	// FirstToken returns the objective for the time to the first token.
	FirstToken func() time.Duration
}

// New returns a router.
func New(c Config) *Router {
	return &Router{
		scheduler: c.Scheduler, balancer: c.Balancer, clock: c.Clock, log: c.Log, attempts: c.Attempts,
		endpoint: c.Endpoint, guard: c.Guard, observer: c.Observer, firstToken: c.FirstToken,
		budget:        newRetryBudget(),
		prefixHolders: make(map[uint64]fescuebank.EndpointID),
	}
}

// progress is the state of a request over all its attempts.
type progress struct {
	partial fescuebank.PartialResponse
	arrived time.Time
	// avoid lists endpoints that failed the request.
	avoid []fescuebank.EndpointID
	// mayHaveRun is set after an endpoint may have run the request.
	mayHaveRun bool
}

// Complete streams the completion to emit, each token exactly once over all attempts.
// weight is the team's share. The error is a *fescuebank.Refusal or an error of emit.
func (r *Router) Complete(ctx context.Context, c *fescuebank.CompletionRequest, weight float64, emit func(fescuebank.Delta) error) error {
	p := &progress{arrived: r.clock.Now()}
	var lastErr error
	for attempt := range r.attempts {
		if attempt > 0 {
			if !r.budget.withdraw() {
				break
			}
			r.observer.Retry()
			if err := r.backoff(ctx, attempt); err != nil {
				return r.contextRefusal(ctx, p)
			}
		}
		err := r.attempt(ctx, c, weight, p, emit)
		if err == nil {
			r.budget.deposit()
			return nil
		}
		if ctx.Err() != nil {
			return r.contextRefusal(ctx, p)
		}
		lastErr = err
		if !isRetryable(err) {
			break
		}
		r.log.Debug("Attempt failed.", "request", string(c.Request), "attempt", attempt, "err", err)
	}
	return r.finalError(lastErr, p)
}

// attempt runs the request once on one endpoint.
func (r *Router) attempt(ctx context.Context, c *fescuebank.CompletionRequest, weight float64, p *progress, emit func(fescuebank.Delta) error) error {
	c.Resume = p.partial
	request := &scheduler.Request{Completion: c, Weight: weight, PrefixHolder: r.prefixHolder(c.PrefixHash), Avoid: p.avoid}
	target, err := r.scheduler.Acquire(ctx, request)
	if err != nil {
		return err
	}
	started := r.clock.Now()
	before := p.partial.Tokens
	err = r.run(ctx, c, target, p, emit)
	used := c.PromptTokens + p.partial.Tokens - before
	r.scheduler.Release(target, request, used-c.Cost())
	r.recordAttempt(target, c, err, r.clock.Now().Sub(started), p)
	return err
}

// run sends the request to the endpoint and adds what it generates to p.
func (r *Router) run(ctx context.Context, c *fescuebank.CompletionRequest, target *balancer.Target, p *progress, emit func(fescuebank.Delta) error) error {
	endpoint, ok := r.endpoint(target.ID())
	if !ok {
		return &fescuebank.EndpointError{Endpoint: target.ID(), Kind: fescuebank.EndpointUnreachable, Cause: errors.New("endpoint was removed")}
	}
	end, err := r.guard.Enter(ctx, c, target.ID())
	if err != nil {
		return err
	}
	started := r.clock.Now()
	err = endpoint.Complete(ctx, c, func(d fescuebank.Delta) error {
		if p.partial.Tokens == 0 && d.Index == 0 {
			now := r.clock.Now()
			r.observer.FirstToken(c.Team, now.Sub(p.arrived))
			target.AdaptLimit(now.Sub(started), r.firstToken())
		}
		p.mayHaveRun = true
		p.partial.Text += d.Text
		p.partial.Tokens = d.Index + 1
		return emit(d)
	})
	failed, ok := fescuebank.AsEndpointError(err)
	p.mayHaveRun = p.mayHaveRun || (ok && failed.MayHaveRun())
	end(fescuebank.ClassifyAttempt(ctx, err))
	return err
}

// recordAttempt updates the endpoint's state after an attempt.
func (r *Router) recordAttempt(t *balancer.Target, c *fescuebank.CompletionRequest, err error, duration time.Duration, p *progress) {
	failed, ok := fescuebank.AsEndpointError(err)
	switch {
	case err == nil:
		t.RecordSuccess()
		r.scheduler.ObserveServiceTime(c.Model, duration)
		r.setPrefixHolder(c.PrefixHash, t.ID())
	case ok && failed.Kind != fescuebank.EndpointRejected:
		p.avoid = append(p.avoid, t.ID())
		if failed.Kind != fescuebank.EndpointRefused {
			r.balancer.RecordFailure(t)
		}
	}
}

func isRetryable(err error) bool {
	failed, ok := fescuebank.AsEndpointError(err)
	return ok && failed.Kind != fescuebank.EndpointRejected
}

func (r *Router) backoff(ctx context.Context, attempt int) error {
	d := min(minBackoff<<(attempt-1), maxBackoff)
	return fescuebank.Sleep(ctx, r.clock, d/2+rand.N(d/2))
}

// contextRefusal returns the refusal of a request whose context ended.
func (r *Router) contextRefusal(ctx context.Context, p *progress) error {
	cause := context.Cause(ctx)
	refusal := fescuebank.Refuse(http.StatusGatewayTimeout, fescuebank.CodeDeadline, "the request met its deadline")
	if errors.Is(cause, withdrawer.ErrWithdrawn) {
		refusal = fescuebank.Refuse(http.StatusUnauthorized, fescuebank.CodeKeyWithdrawn, "the key was withdrawn")
	}
	return refusal.WithState(p.state())
}

func (p *progress) state() fescuebank.RunState {
	if p.mayHaveRun {
		return fescuebank.MayHaveRun
	}
	return fescuebank.NotRun
}

// finalError returns the error after the last attempt.
func (r *Router) finalError(err error, p *progress) error {
	failed, ok := fescuebank.AsEndpointError(err)
	if !ok {
		return err
	}
	if failed.Kind == fescuebank.EndpointRejected {
		return fescuebank.Refuse(failed.Status, fescuebank.CodeEndpointError, "the endpoint rejected the request: %v", failed.Cause)
	}
	return fescuebank.Refuse(http.StatusBadGateway, fescuebank.CodeEndpointLost,
		"no endpoint gave a whole answer").WithState(p.state()).WithRetryAfter(time.Second)
}

func (r *Router) prefixHolder(prefix uint64) fescuebank.EndpointID {
	if prefix == 0 {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefixHolders[prefix]
}

// setPrefixHolder records the endpoint that served a prefix. At the limit an arbitrary
// entry is evicted.
func (r *Router) setPrefixHolder(prefix uint64, id fescuebank.EndpointID) {
	if prefix == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.prefixHolders[prefix]; !known && len(r.prefixHolders) >= maxPrefixes {
		for old := range r.prefixHolders {
			delete(r.prefixHolders, old)
			break
		}
	}
	r.prefixHolders[prefix] = id
}
