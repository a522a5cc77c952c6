// Package client sends callers' requests about routed batch jobs to the owner of
// their team, and handles those that other instances send to this one.
package client

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/batch/persister"
)

const (
	// callAttempts is how often a call is attempted before it fails.
	callAttempts = 4
	// retryPause is the pause between two attempts.
	retryPause = 120 * time.Millisecond
	// callTimeout bounds one attempt, in addition to the wait that the call allows.
	callTimeout = 900 * time.Millisecond
	// submitTimeout bounds one attempt to submit a job.
	submitTimeout = 2500 * time.Millisecond
	// ownerRetryAfter is the Retry-After while no owner replies.
	ownerRetryAfter = 500 * time.Millisecond
)

// Owners returns the owner of a team.
type Owners interface {
	Owner(team fescuebank.TeamID) (fescuebank.Holder, bool)
}

// Config holds a client's dependencies.
type Config struct {
	Self      fescuebank.Holder
	Owners    Owners
	Caller    fescuebank.MemberCaller
	Manager   *manager.Manager
	Persister *persister.Persister
	Clock     fescuebank.Clock
	Log       hclog.Logger
}

// Client makes calls to the owners of teams and handles those of other instances.
type Client struct {
	Config
}

// New returns a client.
func New(c Config) *Client {
	return &Client{Config: c}
}

// jobCall is the message of a call about a submitted job.
type jobCall struct {
	Team  fescuebank.TeamID `cbor:"1,keyasint"`
	Job   fescuebank.JobID  `cbor:"2,keyasint"`
	After int               `cbor:"3,keyasint,omitempty"`
	Wait  time.Duration     `cbor:"4,keyasint,omitempty"`
	Item  string            `cbor:"5,keyasint,omitempty"`
}

// itemReply carries the body of an item.
type itemReply struct {
	Body []byte `cbor:"1,keyasint"`
}

// emptyReply is the reply to a call without a result.
type emptyReply struct{}

// call calls the team's owner until it replies, up to callAttempts times. If this
// incarnation is the owner it calls local instead. It returns errOutcomeUnknown if an
// attempt may have taken effect and no later one succeeded.
func (c *Client) call(ctx context.Context, team fescuebank.TeamID, kind fescuebank.MessageKind, timeout time.Duration, message, reply any, local func(context.Context) error) error {
	var err error
	outcomeUnknown := false
	for range callAttempts {
		err = c.attempt(ctx, team, kind, timeout, message, reply, local)
		var refusal *fescuebank.Refusal
		if errors.As(err, &refusal) && outcomeUnknown && refusal.State == fescuebank.NotRun {
			return errOutcomeUnknown // An earlier attempt may still be in progress.
		}
		if err == nil || (refusal != nil && refusal.Code != fescuebank.CodeOwnerChanged) {
			return err
		}
		outcomeUnknown = outcomeUnknown || isOutcomeUnknown(err)
		if fescuebank.Sleep(ctx, c.Clock, retryPause) != nil {
			break
		}
	}
	c.Log.Warn("Call to the owner failed.", "team", string(team), "kind", int(kind), "err", err.Error())
	if outcomeUnknown {
		return errOutcomeUnknown
	}
	return err
}

// errOutcomeUnknown means that a call may have taken effect or may still do so.
var errOutcomeUnknown = errors.New("outcome of the call is unknown")

func isOutcomeUnknown(err error) bool {
	var refusal *fescuebank.Refusal
	hasOtherOwner := errors.As(err, &refusal) && refusal.Code == fescuebank.CodeOwnerChanged
	return hasOtherOwner || errors.Is(err, fescuebank.ErrPeerLost) || errors.Is(err, context.DeadlineExceeded)
}

func (c *Client) attempt(ctx context.Context, team fescuebank.TeamID, kind fescuebank.MessageKind, timeout time.Duration, message, reply any, local func(context.Context) error) error {
	owner, ok := c.Owners.Owner(team)
	if !ok {
		return fescuebank.ErrNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if owner == c.Self {
		return local(ctx)
	}
	return c.Caller.Call(ctx, owner.ID, kind, message, reply)
}

// Submit has the team's owner store a job with all its items, or returns a refusal. If
// the outcome is unknown the refusal says that the call may have run.
func (c *Client) Submit(ctx context.Context, job *fescuebank.RoutedJob) error {
	var reply emptyReply
	err := c.call(ctx, job.Team, fescuebank.KindSubmitJob, submitTimeout, job, &reply, func(ctx context.Context) error {
		return c.Manager.Submit(ctx, job)
	})
	return refusalOfChange(err)
}

// refusalOfChange converts the error of a call that changes something into a refusal that states whether it may
// have taken effect.
func refusalOfChange(err error) error {
	if errors.Is(err, errOutcomeUnknown) || isOutcomeUnknown(err) {
		return fescuebank.Refuse(http.StatusGatewayTimeout, fescuebank.CodeDeadline, "the owner of the team did not answer").WithState(fescuebank.MayHaveRun)
	}
	return refusalOf(err)
}

// refusalOf converts an error that is not a refusal into a refusal that says that the
// call did not run.
func refusalOf(err error) error {
	var r *fescuebank.Refusal
	if err == nil || errors.As(err, &r) {
		return err
	}
	return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeStoreDown, "the owner of the team is not reached").WithRetryAfter(ownerRetryAfter)
}

// Read returns a job's results from position after on, waiting up to wait for one. If
// the owner doesn't reply it reads them from the store.
func (c *Client) Read(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID, after int, wait time.Duration) (*fescuebank.ResultPage, error) {
	page := &fescuebank.ResultPage{}
	message := &jobCall{Team: team, Job: id, After: after, Wait: wait}
	err := c.call(ctx, team, fescuebank.KindReadResults, wait+callTimeout, message, page, func(ctx context.Context) error {
		found, err := c.Manager.Read(ctx, team, id, after, wait)
		if err == nil {
			*page = *found
		}
		return err
	})
	var refusal *fescuebank.Refusal
	if err == nil || ctx.Err() != nil {
		return page, err
	}
	if errors.As(err, &refusal) && refusal.Status != http.StatusServiceUnavailable {
		return nil, err
	}
	return c.readStore(ctx, team, id, after)
}

// readStore reads results from the store, without the owner.
func (c *Client) readStore(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID, after int) (*fescuebank.ResultPage, error) {
	ledger, _, err := c.Persister.Ledger(ctx, team)
	if err != nil {
		return nil, refusalOf(err)
	}
	entry := ledger.Find(id)
	if entry == nil {
		return nil, fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "no such batch job")
	}
	_, name, err := c.Persister.Job(ctx, team, id)
	if err != nil {
		return nil, refusalOf(err)
	}
	var results []fescuebank.RoutedResult
	for segment := 0; ; segment++ {
		more, err := c.Persister.Segment(ctx, name, segment)
		if errors.Is(err, fescuebank.ErrAbsent) {
			break
		}
		if err != nil {
			return nil, refusalOf(err)
		}
		results = append(results, more.Results...)
	}
	page := &fescuebank.ResultPage{Total: entry.Total}
	if after < len(results) {
		page.Results = manager.LimitToPage(results[after:])
	}
	return page, nil
}

// Item returns the body of an item without a committed result.
func (c *Client) Item(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID, item string) ([]byte, error) {
	var reply itemReply
	message := &jobCall{Team: team, Job: id, Item: item}
	err := c.call(ctx, team, fescuebank.KindReadItem, callTimeout, message, &reply, func(ctx context.Context) error {
		var err error
		reply.Body, err = c.Manager.Item(ctx, team, id, item)
		return err
	})
	return reply.Body, refusalOf(err)
}

// End ends a job at its caller's request.
func (c *Client) End(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID) error {
	var reply emptyReply
	message := &jobCall{Team: team, Job: id}
	err := c.call(ctx, team, fescuebank.KindEndJob, callTimeout, message, &reply, func(ctx context.Context) error {
		return c.Manager.End(ctx, team, id)
	})
	return refusalOfChange(err)
}

// HandleSubmit handles a submission sent by another instance.
func (c *Client) HandleSubmit(ctx context.Context, decode func(into any) error) (any, error) {
	var job fescuebank.RoutedJob
	if err := decode(&job); err != nil {
		return nil, err
	}
	return &emptyReply{}, c.Manager.Submit(ctx, &job)
}

// HandleRead handles a read sent by another instance.
func (c *Client) HandleRead(ctx context.Context, decode func(into any) error) (any, error) {
	var call jobCall
	if err := decode(&call); err != nil {
		return nil, err
	}
	return c.Manager.Read(ctx, call.Team, call.Job, call.After, call.Wait)
}

// HandleItem handles a call for an item's body sent by another instance.
func (c *Client) HandleItem(ctx context.Context, decode func(into any) error) (any, error) {
	var call jobCall
	if err := decode(&call); err != nil {
		return nil, err
	}
	body, err := c.Manager.Item(ctx, call.Team, call.Job, call.Item)
	if err != nil {
		return nil, err
	}
	return &itemReply{Body: body}, nil
}

// HandleEnd handles a call to end a job sent by another instance.
func (c *Client) HandleEnd(ctx context.Context, decode func(into any) error) (any, error) {
	var call jobCall
	if err := decode(&call); err != nil {
		return nil, err
	}
	return &emptyReply{}, c.Manager.End(ctx, call.Team, call.Job)
}
