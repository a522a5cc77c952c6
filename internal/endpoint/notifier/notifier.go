// Package notifier tells the owners of endpoints how this instance uses them
// and takes their credits in.
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
	// lookInterval is how often the use is compared with what was told.
	lookInterval = 10 * time.Millisecond
	// fallDelay is how long a fall of use may wait before it is told.
	fallDelay = 50 * time.Millisecond
	// renewInterval is how often a use that doesn't change is told.
	renewInterval = time.Second
	// waitingInterval is how often use is told while requests wait.
	waitingInterval = 50 * time.Millisecond
	// creditAge is how long a credit counts.
	creditAge   = 3 * time.Second
	callTimeout = 500 * time.Millisecond
)

// Notifier runs on each instance, and answers for the endpoints it owns.
type Notifier struct {
	directory fescuebank.Directory
	peer      fescuebank.Peer
	balancer  *balancer.Balancer
	arbiter   *arbiter.Arbiter
	clock     fescuebank.Clock
	log       hclog.Logger
	// demands returns what runs and waits here by team, empty if nothing waits.
	demands func() []fescuebank.TeamDemand
	// wake is called after limits have changed.
	wake func()
	// changed is called after the use of an owned endpoint has changed.
	changed func()
	kick    chan struct{}

	mu       sync.Mutex
	sequence uint64
	told     map[fescuebank.EndpointID]*telling
}

// telling is what an endpoint's owner was last told.
type telling struct {
	online  int
	at      time.Time
	running bool
	// credited is when a credit last came.
	credited time.Time
}

// Config is what a notifier works with.
type Config struct {
	Directory fescuebank.Directory
	Peer      fescuebank.Peer
	Balancer  *balancer.Balancer
	Arbiter   *arbiter.Arbiter
	Clock     fescuebank.Clock
	Log       hclog.Logger
	// Demands returns what runs and waits here by team, empty if nothing waits.
	Demands func() []fescuebank.TeamDemand
	// LimitsChanged is called after limits have changed.
	LimitsChanged func()
	// UseChanged is called after the use of an owned endpoint has changed.
	UseChanged func()
}

// New returns a notifier that has told nothing.
func New(c Config) *Notifier {
	return &Notifier{
		directory: c.Directory, peer: c.Peer, balancer: c.Balancer, arbiter: c.Arbiter,
		clock: c.Clock, log: c.Log, demands: c.Demands, wake: c.LimitsChanged, changed: c.UseChanged,
		kick: make(chan struct{}, 1),
		told: make(map[fescuebank.EndpointID]*telling),
	}
}

// Run tells owners until ctx ends.
func (n *Notifier) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-n.kick:
		case <-n.clock.After(lookInterval):
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
			go n.tell(ctx, owner, uses)
		}
	}
}

// Notify tells owners of a change at once.
func (n *Notifier) Notify() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// isDue reports whether the owner should be told of a target now, and if so
// notes that it is.
func (n *Notifier) isDue(now time.Time, t *balancer.Target, waiting bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	last, ok := n.told[t.ID()]
	if !ok {
		last = &telling{}
		n.told[t.ID()] = last
	}
	online := t.Online()
	age := now.Sub(last.at)
	due := online > last.online ||
		(online < last.online && age >= fallDelay) ||
		(online > 0 && age >= renewInterval) ||
		(waiting && age >= waitingInterval)
	if now.Sub(last.credited) >= creditAge {
		t.ExpireCredit()
	}
	if !due || last.running {
		return false
	}
	last.online, last.at, last.running = online, now, true
	return true
}

// tell sends one notice and takes the credits in.
func (n *Notifier) tell(ctx context.Context, owner fescuebank.Instance, uses []fescuebank.EndpointUse) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	n.mu.Lock()
	n.sequence++
	notice := fescuebank.LoadNotice{From: n.directory.Self().ID, Sequence: n.sequence, Uses: uses}
	n.mu.Unlock()
	var reply fescuebank.LoadReply
	if owner.ID == n.directory.Self().ID {
		reply = n.answer(&notice)
	} else if err := n.peer.Call(ctx, owner.PeerAddr, fescuebank.KindLoad, &notice, &reply); err != nil {
		n.log.Debug("Endpoint owner not told.", "owner", string(owner.ID), "err", err)
	}
	n.takeIn(uses, reply.Credits)
}

func (n *Notifier) takeIn(uses []fescuebank.EndpointUse, credits []fescuebank.EndpointCredit) {
	now := n.clock.Now()
	n.mu.Lock()
	for _, u := range uses {
		n.told[u.ID].running = false
	}
	for _, credit := range credits {
		if last, ok := n.told[credit.ID]; ok {
			last.credited = now
		}
	}
	n.mu.Unlock()
	for _, credit := range credits {
		if t, ok := n.balancer.Target(credit.ID); ok {
			t.ApplyCredit(credit.Limit, credit.Others)
		}
	}
	if len(credits) > 0 {
		n.wake()
	}
}

// Handle answers a LoadNotice of another instance.
func (n *Notifier) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var notice fescuebank.LoadNotice
	if err := decode(&notice); err != nil {
		return nil, err
	}
	reply := n.answer(&notice)
	return &reply, nil
}

func (n *Notifier) answer(notice *fescuebank.LoadNotice) fescuebank.LoadReply {
	var reply fescuebank.LoadReply
	now := n.clock.Now()
	for _, u := range notice.Uses {
		if _, acts := n.directory.MayAct(fescuebank.ShardOf(string(u.ID))); !acts {
			continue
		}
		t, ok := n.balancer.Target(u.ID)
		if !ok {
			continue
		}
		reply.Credits = append(reply.Credits, n.arbiter.Allocate(now, notice.From, notice.Sequence, u, t.Spec().Slots))
	}
	if len(reply.Credits) > 0 {
		n.changed()
	}
	return reply
}
