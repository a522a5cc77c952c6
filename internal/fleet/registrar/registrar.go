// Package registrar tracks the assignment of shards to instances and takes part in rewriting
// it.
package registrar

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/fleet/assigner"
	"fescuebank/internal/fleet/detector"
	"fescuebank/internal/fleet/encoder"
	"fescuebank/internal/fleet/leaser"
)

// Registrar is the fescuebank.Directory of a running daemon.
type Registrar struct {
	self     fescuebank.Instance
	region   fescuebank.Region
	store    fescuebank.ObjectStore
	clock    fescuebank.Clock
	log      hclog.Logger
	timing   fescuebank.TimingSettings
	leaser   *leaser.Leaser
	assigner *assigner.Assigner
	encoder  *encoder.Encoder
	detector *detector.Detector
	// listed returns the platform's list as last read.
	listed func() []fescuebank.ListedInstance

	// current is the newest assignment applied, an empty one at first. It is never nil.
	current atomic.Pointer[fescuebank.Assignment]

	mu sync.Mutex
	// storedVersion is the store version of the assignment applied.
	storedVersion fescuebank.StoreVersion
	// confirmedStopped holds the former owners and homes that can no longer act.
	confirmedStopped map[formerHolder]bool
	// observations holds when each lease was first seen in its current state.
	observations map[fescuebank.InstanceID]observation
	// unlistedSince is when each instance was first found missing from the platform's
	// list.
	unlistedSince map[fescuebank.InstanceID]time.Time
	// onChange holds the functions to call after a new assignment has been applied.
	onChange []func()
}

// Config holds the dependencies of a registrar.
type Config struct {
	Self   fescuebank.Instance
	Region fescuebank.Region
	Store  fescuebank.ObjectStore
	Clock  fescuebank.Clock
	Log    hclog.Logger
	Timing fescuebank.TimingSettings
	// Homes is the number of home slots of a shard.
	Homes    int
	Detector *detector.Detector
	// Listed returns the platform's list as last read.
	Listed func() []fescuebank.ListedInstance
}

// New returns a registrar and the leaser that it uses.
func New(c Config) (*Registrar, *leaser.Leaser) {
	r := &Registrar{
		self: c.Self, region: c.Region, store: c.Store, clock: c.Clock, log: c.Log, timing: c.Timing,
		assigner: assigner.New(c.Homes), encoder: encoder.New(), detector: c.Detector, listed: c.Listed,
		confirmedStopped: make(map[formerHolder]bool),
		observations:     make(map[fescuebank.InstanceID]observation),
		unlistedSince:    make(map[fescuebank.InstanceID]time.Time),
	}
	r.current.Store(&fescuebank.Assignment{})
	r.leaser = leaser.New(c.Self, c.Store, c.Clock, c.Timing, r.readAssignment, c.Log)
	return r, r.leaser
}

// OnChange registers f to be called after each new assignment. Call it before Run.
func (r *Registrar) OnChange(f func()) {
	r.onChange = append(r.onChange, f)
}

// Current returns the newest assignment applied. It must not be changed.
func (r *Registrar) Current() *fescuebank.Assignment {
	return r.current.Load()
}

// Self returns this instance.
func (r *Registrar) Self() fescuebank.Instance {
	return r.self
}

// readAssignment reads the assignment from the store and applies it.
func (r *Registrar) readAssignment(ctx context.Context) (fescuebank.FencingNumber, error) {
	o, err := r.store.Get(ctx, fescuebank.AssignmentKey(r.region))
	if errors.Is(err, fescuebank.ErrAbsent) {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrap(err, "Registrar.readAssignment")
	}
	r.ApplyObject(o)
	return r.Current().Version, nil
}

// ApplyObject applies an assignment read from the store if it is newer than the current one.
func (r *Registrar) ApplyObject(o fescuebank.Object) {
	r.mu.Lock()
	outdated := o.Version <= r.storedVersion
	r.mu.Unlock()
	if outdated || o.Key != fescuebank.AssignmentKey(r.region) {
		return
	}
	next, err := r.encoder.Decode(o.Value)
	if err != nil {
		r.log.Error("Assignment not decoded.", "err", err)
		return
	}
	if !r.replace(next, o.Version) {
		return
	}
	r.log.Info("Assignment applied.", "version", uint64(next.Version), "members", len(next.Members))
	// The functions called here stop everything that acts by the old assignment, before
	// the new one is acknowledged.
	for _, f := range r.onChange {
		f()
	}
	r.leaser.Acknowledge(next.Version, r.isFormer(next))
}

// replace makes next the current assignment and returns true, unless next is not newer than
// the current one. It forgets confirmations for much older assignments.
func (r *Registrar) replace(next *fescuebank.Assignment, version fescuebank.StoreVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if next.Version <= r.current.Load().Version {
		return false
	}
	r.storedVersion = version
	r.current.Store(next)
	for former := range r.confirmedStopped {
		if former.since+maxConfirmedAge < next.Version {
			delete(r.confirmedStopped, former)
		}
	}
	return true
}
