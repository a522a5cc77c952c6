// Package prober probes other instances and reads the platform's list.
package prober

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/detector"
)

// listInterval is how often the platform's list is read.
const listInterval = 5 * time.Second

// Prober feeds a detector.
type Prober struct {
	self     fescuebank.InstanceID
	list     fescuebank.InstanceList
	peer     fescuebank.Peer
	clock    fescuebank.Clock
	log      hclog.Logger
	interval time.Duration
	detector *detector.Detector
	// versions returns what this instance knows; behind is called when a peer
	// knows more.
	versions   func() fescuebank.Versions
	onMismatch func(from string, theirs fescuebank.Versions)

	mu          sync.Mutex
	lastContact time.Time
	listed      []fescuebank.ListedInstance
}

// Config is what a prober works with.
type Config struct {
	Self     fescuebank.InstanceID
	List     fescuebank.InstanceList
	Peer     fescuebank.Peer
	Clock    fescuebank.Clock
	Log      hclog.Logger
	Interval time.Duration
	Detector *detector.Detector
	// Versions returns what this instance knows.
	Versions func() fescuebank.Versions
	// OnMismatch is called with the address of a peer that knows something else.
	OnMismatch func(from string, theirs fescuebank.Versions)
}

// New returns a prober.
func New(c Config) *Prober {
	return &Prober{
		self: c.Self, list: c.List, peer: c.Peer, clock: c.Clock, log: c.Log,
		interval: c.Interval, detector: c.Detector, versions: c.Versions, onMismatch: c.OnMismatch,
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	go p.refreshList(ctx)
	for ctx.Err() == nil {
		for _, target := range p.detector.Targets() {
			go p.probe(ctx, target)
		}
		_ = fescuebank.Sleep(ctx, p.clock, p.interval/2+rand.N(p.interval))
	}
}

func (p *Prober) refreshList(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := p.list.Instances(ctx)
		if err != nil {
			p.log.Debug("Instance list not read.", "err", err)
		} else {
			p.SetListed(list)
		}
		_ = fescuebank.Sleep(ctx, p.clock, listInterval/2+rand.N(listInterval))
	}
}

// SetListed takes in a list of instances.
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

// LastContact returns when a peer last answered or asked.
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

func (p *Prober) compare(from string, theirs fescuebank.Versions) {
	if theirs != p.versions() {
		p.onMismatch(from, theirs)
	}
}

// Handle answers a probe.
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

func (p *Prober) address(id fescuebank.InstanceID) (string, bool) {
	for _, i := range p.Listed() {
		if i.ID == id {
			return i.PeerAddr, true
		}
	}
	return "", false
}
