// Package permitter gives exclusive use of named resources, at the owner of
// the resource's shard.
package permitter

import (
	"context"
	"errors"
	"sync"
	"time"

	"fescuebank"
)

const (
	// life is how long a permit lasts without renewal.
	life = 3 * time.Second
	// renewInterval is how often a permit in use is renewed.
	renewInterval = time.Second
	callTimeout   = 500 * time.Millisecond
	// maxPermits bounds the permits of one instance.
	maxPermits = 4096
)

// ErrNoOwner means that nobody can give the permit now.
var ErrNoOwner = errors.New("no owner gives permits")

// ErrInUse means that somebody else has the resource.
var ErrInUse = errors.New("resource in use")

// Permitter asks for permits and gives those that this instance owns.
type Permitter struct {
	directory fescuebank.Directory
	peer      fescuebank.Peer
	clock     fescuebank.Clock

	mu      sync.Mutex
	permits map[string]permit
}

// permit is one resource in use.
type permit struct {
	token string
	until time.Time
}

// New returns a permitter without permits.
func New(d fescuebank.Directory, peer fescuebank.Peer, clock fescuebank.Clock) *Permitter {
	return &Permitter{directory: d, peer: peer, clock: clock, permits: make(map[string]permit)}
}

// Acquire asks for a resource once. The permit is renewed until release is
// called. The error is ErrInUse or ErrNoOwner.
func (p *Permitter) Acquire(ctx context.Context, resource string) (release func(), err error) {
	request := &fescuebank.PermitRequest{Resource: resource, From: p.directory.Self().ID, Token: fescuebank.NewRandomID("")}
	if err := p.ask(ctx, request); err != nil {
		return nil, err
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	go p.renew(renewing, request)
	return func() {
		stop()
		go p.giveBack(request)
	}, nil
}

func (p *Permitter) renew(ctx context.Context, request *fescuebank.PermitRequest) {
	for fescuebank.Sleep(ctx, p.clock, renewInterval) == nil {
		_ = p.ask(ctx, request)
	}
}

func (p *Permitter) giveBack(request *fescuebank.PermitRequest) {
	back := *request
	back.Release = true
	_ = p.ask(context.Background(), &back)
}

func (p *Permitter) ask(ctx context.Context, request *fescuebank.PermitRequest) error {
	owner, ok := p.directory.Owner(fescuebank.ShardOf(request.Resource))
	if !ok {
		return ErrNoOwner
	}
	var reply *fescuebank.PermitReply
	var err error
	if owner.ID == request.From {
		reply, err = p.answer(request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply = &fescuebank.PermitReply{}
		err = p.peer.Call(ctx, owner.PeerAddr, fescuebank.KindPermit, request, reply)
	}
	if err != nil {
		return ErrNoOwner
	}
	if !reply.Granted {
		return ErrInUse
	}
	return nil
}

// Handle answers a PermitRequest of another instance.
func (p *Permitter) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.PermitRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	return p.answer(&request)
}

func (p *Permitter) answer(r *fescuebank.PermitRequest) (*fescuebank.PermitReply, error) {
	if _, acts := p.directory.MayAct(fescuebank.ShardOf(r.Resource)); !acts {
		return nil, fescuebank.ErrNotOwner
	}
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	held, taken := p.permits[r.Resource]
	switch {
	case taken && held.token != r.Token:
		return &fescuebank.PermitReply{}, nil
	case r.Release:
		delete(p.permits, r.Resource)
	case len(p.permits) >= maxPermits:
		return &fescuebank.PermitReply{}, nil
	default:
		p.permits[r.Resource] = permit{token: r.Token, until: now.Add(life)}
	}
	return &fescuebank.PermitReply{Granted: true}, nil
}

func (p *Permitter) expire(now time.Time) {
	for resource, held := range p.permits {
		if !now.Before(held.until) {
			delete(p.permits, resource)
		}
	}
}
