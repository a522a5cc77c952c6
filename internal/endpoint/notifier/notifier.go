// Package notifier reports this instance's use of endpoints to the endpoints' owners and
// applies the credits that they return.
package notifier

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/endpoint/arbiter"
	"fescuebank/internal/endpoint/balancer"
)

const (
	// pollInterval is how often the use is compared with what was reported.
	pollInterval = 10 * time.Millisecond
	// decreaseDelay is the minimum time between notices if the use has decreased.
	decreaseDelay = 50 * time.Millisecond
	// refreshInterval is how often an unchanged use above zero is reported.
	refreshInterval = time.Second
	// waitingInterval is how often the use is reported while requests wait.
	waitingInterval = 50 * time.Millisecond
	// creditTTL is how long a credit is valid.
	creditTTL   = 3 * time.Second
	callTimeout = 500 * time.Millisecond
)

// Notifier runs on each instance. It reports the instance's use of all endpoints, and
// answers the notices on the endpoints that the instance owns.
type Notifier struct {
	directory fescuebank.Directory
	peer      fescuebank.Peer
	balancer  *balancer.Balancer
	arbiter   *arbiter.Arbiter
	clock     fescuebank.Clock
	log       hclog.Logger
	// demands returns the running and waiting requests of this instance by team; it is
	// empty if none wait.
	demands func() []fescuebank.TeamDemand
	// onLimitsChange is called after credits were applied, which may change limits.
	onLimitsChange func()
	// onUseChange is called after the use of owned endpoints was recorded.
	onUseChange func()
	// trigger ends the wait for the next poll.
	trigger chan struct{}

	mu       sync.Mutex
	sequence uint64
	sent     map[fescuebank.EndpointID]*sentUse
}

// sentUse is the use last reported to an endpoint's owner.
type sentUse struct {
	online int
	sentAt time.Time
	// inFlight is set until the owner's reply is received or the call has failed.
	inFlight bool
	// creditedAt is when a credit was last received.
	creditedAt time.Time
}

// Config holds a notifier's dependencies.
type Config struct {
	Directory fescuebank.Directory
	Peer      fescuebank.Peer
	Balancer  *balancer.Balancer
	Arbiter   *arbiter.Arbiter
	Clock     fescuebank.Clock
	Log       hclog.Logger
	// Demands returns the running and waiting requests of this instance by team; it is
	// empty if none wait.
	Demands func() []fescuebank.TeamDemand
	// OnLimitsChange is called after credits were applied, which may change limits.
	OnLimitsChange func()
	// OnUseChange is called after the use of owned endpoints was recorded.
	OnUseChange func()
}

// New returns a notifier that has reported nothing.
func New(c Config) *Notifier {
	return &Notifier{
		directory: c.Directory, peer: c.Peer, balancer: c.Balancer, arbiter: c.Arbiter,
		clock: c.Clock, log: c.Log, demands: c.Demands, onLimitsChange: c.OnLimitsChange, onUseChange: c.OnUseChange,
		trigger: make(chan struct{}, 1),
		sent:    make(map[fescuebank.EndpointID]*sentUse),
	}
}

// Run reports use to the owners until ctx ends.
func (n *Notifier) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-n.trigger:
		case <-n.clock.After(pollInterval):
		case <-ctx.Done():
		}
		demands := n.demands()
		byOwner := make(map[fescuebank.Instance][]fescuebank.EndpointUse)
		now := n.clock.Now()
		for _, t := range n.balancer.Targets() {
			owner, ok := n.directory.Owner(fescuebank.ShardOf(string(t.ID())))
			if ok && n.isDue(now, t, len(demands) > 0) {
				byOwner[owner] = append(byOwner[owner], fescuebank.EndpointUse{ID: t.ID(), Online: t.Online(), Demands: demands})
			}
		}
		for owner, uses := range byOwner {
			go n.send(ctx, owner, uses)
		}
	}
}

// Notify has a change reported without waiting for the next poll.
func (n *Notifier) Notify() {
	select {
	case n.trigger <- struct{}{}:
	default:
	}
}

// isDue reports whether the use of a target must be reported to its owner now, and if so
// records it as reported. It is not due while a reply is outstanding. It also expires an
// old credit of the target.
func (n *Notifier) isDue(now time.Time, t *balancer.Target, waiting bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	last, ok := n.sent[t.ID()]
	if !ok {
		last = &sentUse{}
		n.sent[t.ID()] = last
	}
	online := t.Online()
	age := now.Sub(last.sentAt)
	due := online > last.online ||
		(online < last.online && age >= decreaseDelay) ||
		(online > 0 && age >= refreshInterval) ||
		(waiting && age >= waitingInterval)
	if now.Sub(last.creditedAt) >= creditTTL {
		t.ExpireCredit()
	}
	if !due || last.inFlight {
		return false
	}
	last.online, last.sentAt, last.inFlight = online, now, true
	return true
}

// send sends one notice to an owner and applies the returned credits.
func (n *Notifier) send(ctx context.Context, owner fescuebank.Instance, uses []fescuebank.EndpointUse) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	n.mu.Lock()
	n.sequence++
	notice := fescuebank.LoadNotice{From: n.directory.Self().ID, Sequence: n.sequence, Uses: uses}
	n.mu.Unlock()
	var reply fescuebank.LoadReply
	if owner.ID == n.directory.Self().ID {
		reply = n.allocate(&notice)
	} else if err := n.peer.Call(ctx, owner.PeerAddr, fescuebank.KindLoad, &notice, &reply); err != nil {
		n.log.Debug("Endpoint use not reported to its owner.", "owner", string(owner.ID), "err", err)
	}
	n.applyCredits(uses, reply.Credits)
}

// applyCredits applies the credits returned for a notice of uses.
func (n *Notifier) applyCredits(uses []fescuebank.EndpointUse, credits []fescuebank.EndpointCredit) {
	now := n.clock.Now()
	n.mu.Lock()
	for _, u := range uses {
		n.sent[u.ID].inFlight = false
	}
	for _, credit := range credits {
		if last, ok := n.sent[credit.ID]; ok {
			last.creditedAt = now
		}
	}
	n.mu.Unlock()
	for _, credit := range credits {
		if t, ok := n.balancer.Target(credit.ID); ok {
			t.ApplyCredit(credit.Limit, credit.OtherRequests)
		}
	}
	if len(credits) > 0 {
		n.onLimitsChange()
	}
}

// Handle answers a LoadNotice of another instance.
func (n *Notifier) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var notice fescuebank.LoadNotice
	if err := decode(&notice); err != nil {
		return nil, err
	}
	reply := n.allocate(&notice)
	return &reply, nil
}

// allocate records the uses of endpoints that this instance owns and returns their credits.
func (n *Notifier) allocate(notice *fescuebank.LoadNotice) fescuebank.LoadReply {
	var reply fescuebank.LoadReply
	now := n.clock.Now()
	for _, u := range notice.Uses {
		if _, mayAct := n.directory.MayAct(fescuebank.ShardOf(string(u.ID))); !mayAct {
			continue
		}
		t, ok := n.balancer.Target(u.ID)
		if !ok {
			continue
		}
		reply.Credits = append(reply.Credits, n.arbiter.Allocate(now, notice.From, notice.Sequence, u, t.Spec().Slots))
	}
	if len(reply.Credits) > 0 {
		n.onUseChange()
	}
	return reply
}
