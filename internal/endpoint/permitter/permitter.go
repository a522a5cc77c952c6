// Package permitter grants permits for the exclusive use of named resources (leased
// locks). The owner of a resource's shard grants its permits.
package permitter

import (
	"context"
	"errors"
	"sync"
	"time"

	"fescuebank"
)

const (
	// permitTTL is how long a permit is valid without renewal.
	permitTTL = 3 * time.Second
	// renewInterval is how often a permit in use is renewed.
	renewInterval = time.Second
	callTimeout   = 500 * time.Millisecond
	// maxPermits bounds the permits that one instance has granted at a time.
	maxPermits = 4096
)

// ErrNoOwner means that no owner can be reached to grant the permit.
var ErrNoOwner = errors.New("no owner of the resource reached")

// ErrInUse means that the owner refused the permit, usually because the resource is in use.
var ErrInUse = errors.New("resource in use")

// Permitter acquires permits and grants those for resources that this instance owns.
type Permitter struct {
	directory fescuebank.Directory
	peer      fescuebank.Peer
	clock     fescuebank.Clock

	mu      sync.Mutex
	permits map[string]permit
}

// permit is a granted permit.
type permit struct {
	token string
	until time.Time
}

// New returns a permitter that has granted no permits.
func New(d fescuebank.Directory, peer fescuebank.Peer, clock fescuebank.Clock) *Permitter {
	return &Permitter{directory: d, peer: peer, clock: clock, permits: make(map[string]permit)}
}

// Acquire requests a permit once, without waiting for it. The permit is renewed until
// release is called. The error is ErrInUse or ErrNoOwner.
func (p *Permitter) Acquire(ctx context.Context, resource string) (release func(), err error) {
	request := &fescuebank.PermitRequest{Resource: resource, From: p.directory.Self().ID, Token: fescuebank.NewRandomID("")}
	if err := p.send(ctx, request); err != nil {
		return nil, err
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	go p.renew(renewing, request)
	return func() {
		stop()
		go p.release(request)
	}, nil
}

// renew renews a permit until ctx ends.
func (p *Permitter) renew(ctx context.Context, request *fescuebank.PermitRequest) {
	for fescuebank.Sleep(ctx, p.clock, renewInterval) == nil {
		_ = p.send(ctx, request)
	}
}

// release returns a permit to the owner.
func (p *Permitter) release(request *fescuebank.PermitRequest) {
	release := *request
	release.Release = true
	_ = p.send(context.Background(), &release)
}

// send sends a request to the owner of its resource.
func (p *Permitter) send(ctx context.Context, request *fescuebank.PermitRequest) error {
	owner, ok := p.directory.Owner(fescuebank.ShardOf(request.Resource))
	if !ok {
		return ErrNoOwner
	}
	var reply *fescuebank.PermitReply
	var err error
	if owner.ID == request.From {
		reply, err = p.grant(request)
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
	return p.grant(&request)
}

// grant processes a request as the owner of its resource.
func (p *Permitter) grant(r *fescuebank.PermitRequest) (*fescuebank.PermitReply, error) {
	if _, mayAct := p.directory.MayAct(fescuebank.ShardOf(r.Resource)); !mayAct {
		return nil, fescuebank.ErrNotOwner
	}
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(now)
	held, inUse := p.permits[r.Resource]
	switch {
	case inUse && held.token != r.Token:
		return &fescuebank.PermitReply{}, nil
	case r.Release:
		delete(p.permits, r.Resource)
	case len(p.permits) >= maxPermits:
		return &fescuebank.PermitReply{}, nil
	default:
		p.permits[r.Resource] = permit{token: r.Token, until: now.Add(permitTTL)}
	}
	return &fescuebank.PermitReply{Granted: true}, nil
}

// dropExpired drops expired permits. The caller holds mu.
func (p *Permitter) dropExpired(now time.Time) {
	for resource, held := range p.permits {
		if !now.Before(held.until) {
			delete(p.permits, resource)
		}
	}
}
