// Package prober probes other instances periodically and reads the platform's list of
// instances.
package prober

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/detector"
)

// listInterval is how often the platform's list is read.
const listInterval = 5 * time.Second

// Prober probes the targets of a detector and passes it the results.
type Prober struct {
	self     fescuebank.InstanceID
	list     fescuebank.InstanceList
	peer     fescuebank.Peer
	clock    fescuebank.Clock
	log      hclog.Logger
	interval time.Duration
	detector *detector.Detector
	// versions returns the versions that this instance knows. onMismatch is called with
	// the address and the versions of a peer that knows other ones.
	versions   func() fescuebank.Versions
	onMismatch func(from string, theirs fescuebank.Versions)

	mu sync.Mutex
	// lastContact is when a probe of this instance was last answered, or a peer's
	// probe last arrived.
	lastContact time.Time
	// listed is the platform's list as last read.
	listed []fescuebank.ListedInstance
}

// Config holds the dependencies of a prober.
type Config struct {
	Self  fescuebank.InstanceID
	List  fescuebank.InstanceList
	Peer  fescuebank.Peer
	Clock fescuebank.Clock
	Log   hclog.Logger
	// Interval is the mean time between two rounds of probes, and the timeout of a probe.
	Interval time.Duration
	Detector *detector.Detector
	// Versions returns the versions that this instance knows.
	Versions func() fescuebank.Versions
	// OnMismatch is called with the address and the versions of a peer that knows other
	// ones.
	OnMismatch func(from string, theirs fescuebank.Versions)
}

// New returns a prober.
func New(c Config) *Prober {
	return &Prober{
		self: c.Self, list: c.List, peer: c.Peer, clock: c.Clock, log: c.Log,
		interval: c.Interval, detector: c.Detector, versions: c.Versions, onMismatch: c.OnMismatch,
	}
}

// Run reads the platform's list and sends probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	go p.refreshList(ctx)
	for ctx.Err() == nil {
		for _, target := range p.detector.Targets() {
			go p.probe(ctx, target)
		}
		_ = fescuebank.Sleep(ctx, p.clock, fescuebank.Jitter(p.interval))
	}
}

// refreshList reads the platform's list periodically until ctx ends.
func (p *Prober) refreshList(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := p.list.Instances(ctx)
		if err != nil {
			p.log.Debug("Instance list not read.", "err", err)
		} else {
			p.SetListed(list)
		}
		_ = fescuebank.Sleep(ctx, p.clock, fescuebank.Jitter(listInterval))
	}
}

// SetListed replaces the platform's list.
func (p *Prober) SetListed(list []fescuebank.ListedInstance) {
	p.mu.Lock()
	p.listed = list
	p.mu.Unlock()
	p.detector.SetListed(list)
}

// Listed returns the platform's list as last read.
func (p *Prober) Listed() []fescuebank.ListedInstance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed
}

// LastContact returns when a peer last answered a probe or sent one.
func (p *Prober) LastContact() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastContact
}

func (p *Prober) recordContact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastContact = p.clock.Now()
}

// probe probes one instance and records the result.
func (p *Prober) probe(ctx context.Context, target fescuebank.Instance) {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	request := fescuebank.ProbeRequest{From: p.self, Updates: p.detector.NextUpdates(), Version: p.versions()}
	var reply fescuebank.ProbeReply
	err := p.peer.Call(ctx, target.PeerAddr, fescuebank.KindProbe, &request, &reply)
	now := p.clock.Now()
	if err != nil || reply.ID != target.ID {
		if !errors.Is(ctx.Err(), context.Canceled) {
			p.detector.RecordFailure(target.ID, now)
		}
		return
	}
	p.recordContact()
	p.detector.RecordReply(target.ID, now)
	p.detector.ApplyUpdates(reply.Updates)
	p.compare(target.PeerAddr, reply.Version)
}

// compare calls onMismatch if the versions of a peer differ from those of this instance.
func (p *Prober) compare(from string, theirs fescuebank.Versions) {
	if theirs != p.versions() {
		p.onMismatch(from, theirs)
	}
}

// Handle answers a probe of another instance.
func (p *Prober) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.ProbeRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	p.recordContact()
	p.detector.ApplyUpdates(request.Updates)
	if from, ok := p.address(request.From); ok {
		p.compare(from, request.Version)
	}
	return &fescuebank.ProbeReply{ID: p.self, Updates: p.detector.NextUpdates(), Version: p.versions()}, nil
}

// address returns the peer address of a listed instance.
func (p *Prober) address(id fescuebank.InstanceID) (string, bool) {
	for _, i := range p.Listed() {
		if i.ID == id {
			return i.PeerAddr, true
		}
	}
	return "", false
}
