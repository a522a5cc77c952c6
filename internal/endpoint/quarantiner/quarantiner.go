// Package quarantiner detects requests that crash endpoints (poison requests) and
// refuses them on all instances.
package quarantiner

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/endpoint/permitter"
)

const (
	// outageWindow is the time within which losses of several endpoints under
	// different requests are attributed to an outage and not to the requests.
	outageWindow = 2 * time.Second
	// evidenceWait is how long a request whose endpoint was lost waits for evidence
	// of an outage.
	evidenceWait = 150 * time.Millisecond
	// recordTTL is how long a request stays suspect without a new loss.
	recordTTL = time.Hour
	// publishTimeout bounds sending a crash record to all peers.
	publishTimeout = 400 * time.Millisecond
	// publishConcurrency bounds the concurrent sends.
	publishConcurrency = 16
	// permitRetryInterval is the interval of attempts to acquire a permit that is in use.
	permitRetryInterval = 50 * time.Millisecond
	// maxCompleted bounds the remembered fingerprints of completed requests.
	maxCompleted = 4096
	// maxSuspects bounds the suspect requests kept in memory.
	maxSuspects = 16384
	// maxStoreAttempts bounds the attempts to write a crash record to the store.
	maxStoreAttempts = 4
	// quarantineThreshold is the number of endpoints lost under a request from which
	// the request is refused.
	quarantineThreshold = 2
)

// Quarantiner is the fescuebank.Guard of a running daemon. A request becomes suspect
// when its endpoint is lost while running it. Attempts of suspect requests are isolated:
// at most one at a time for each fingerprint, and one suspect at a time at each endpoint.
// After the loss of a second endpoint the request is refused on all instances.
// Batch items are never suspect: they are always admitted, and endpoints lost under them are
// only evidence of outages.
type Quarantiner struct {
	store     fescuebank.ObjectStore
	peer      fescuebank.Peer
	directory fescuebank.Directory
	permitter *permitter.Permitter
	clock     fescuebank.Clock
	log       hclog.Logger

	mu        sync.Mutex
	suspects  map[fescuebank.Fingerprint]*suspect
	incidents map[fescuebank.EndpointID]*incident
	// unproven holds the fingerprints that have not completed before and are in
	// flight here. Other requests of the same fingerprint wait until the channel closes.
	unproven map[fescuebank.Fingerprint]chan struct{}
	// completed holds fingerprints of requests that completed.
	completed map[fescuebank.Fingerprint]bool
}

// suspect is what this instance knows of a suspect request.
type suspect struct {
	// own are endpoints lost under requests of this instance; evidence of an
	// outage removes them. reported are those in crash records received from other
	// instances or the store.
	own      map[fescuebank.EndpointID]bool
	reported map[fescuebank.EndpointID]bool
	at       time.Time
}

// lost returns the endpoints lost under the request.
func (s *suspect) lost() []fescuebank.EndpointID {
	return union(slices.Collect(maps.Keys(s.own)), slices.Collect(maps.Keys(s.reported)))
}

// New returns a quarantiner without suspect requests.
func New(store fescuebank.ObjectStore, peer fescuebank.Peer, d fescuebank.Directory, p *permitter.Permitter, clock fescuebank.Clock, log hclog.Logger) *Quarantiner {
	return &Quarantiner{
		store: store, peer: peer, directory: d, permitter: p, clock: clock, log: log,
		suspects:  make(map[fescuebank.Fingerprint]*suspect),
		incidents: make(map[fescuebank.EndpointID]*incident),
		unproven:  make(map[fescuebank.Fingerprint]chan struct{}),
		completed: make(map[fescuebank.Fingerprint]bool),
	}
}

// Enter waits until the request may run at the endpoint.
func (q *Quarantiner) Enter(ctx context.Context, c *fescuebank.CompletionRequest, id fescuebank.EndpointID) (func(fescuebank.AttemptEnd), error) {
	if c.Class == fescuebank.Batch {
		return func(end fescuebank.AttemptEnd) { q.endBatchAttempt(id, end) }, nil
	}
	f := c.Fingerprint()
	for {
		lost, wait, admitted := q.check(f)
		switch {
		case lost >= quarantineThreshold:
			return nil, refuse(lost)
		case lost > 0:
			return q.isolate(ctx, f, id)
		case admitted:
			return func(end fescuebank.AttemptEnd) { q.endAttempt(f, id, end) }, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// check returns how many endpoints were lost under f. If none was, it returns whether f
// may run now, or a channel that closes when it may try again.
func (q *Quarantiner) check(f fescuebank.Fingerprint) (lost int, wait chan struct{}, admitted bool) {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.suspects[f]; ok {
		if now.Sub(s.at) < recordTTL {
			return len(s.lost()), nil, false
		}
		delete(q.suspects, f)
	}
	if q.completed[f] {
		return 0, nil, true
	}
	if running, ok := q.unproven[f]; ok {
		return 0, running, false
	}
	q.unproven[f] = make(chan struct{})
	return 0, nil, true
}

// isolate acquires the permits to run a suspect: as the only request of its fingerprint,
// and as the only suspect at its endpoint. A resource without an owner needs no permit,
// so that suspects run even while no permits are issued.
func (q *Quarantiner) isolate(ctx context.Context, f fescuebank.Fingerprint, id fescuebank.EndpointID) (func(fescuebank.AttemptEnd), error) {
	var releases []func()
	releaseAll := func() {
		for _, release := range releases {
			release()
		}
	}
	for _, resource := range []string{"request/" + f.String(), "endpoint/" + string(id)} {
		release, err := q.acquirePermit(ctx, resource)
		if err != nil {
			releaseAll()
			return nil, err
		}
		releases = append(releases, release)
	}
	// Another attempt may have ended while this one waited for its permits.
	if lost := q.lostUnder(f); lost >= quarantineThreshold {
		releaseAll()
		return nil, refuse(lost)
	}
	return func(end fescuebank.AttemptEnd) {
		q.endAttempt(f, id, end)
		releaseAll()
	}, nil
}

func refuse(lost int) error {
	return fescuebank.Refuse(http.StatusUnprocessableEntity, fescuebank.CodeQuarantined,
		"the request is quarantined: %d endpoints broke off under it", lost)
}

func (q *Quarantiner) lostUnder(f fescuebank.Fingerprint) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.suspects[f]; ok {
		return len(s.lost())
	}
	return 0
}

// acquirePermit waits for the permit of a resource.
func (q *Quarantiner) acquirePermit(ctx context.Context, resource string) (func(), error) {
	for {
		release, err := q.permitter.Acquire(ctx, resource)
		if err == nil {
			return release, nil
		}
		if errors.Is(err, permitter.ErrNoOwner) {
			return func() {}, nil
		}
		if err := fescuebank.Sleep(ctx, q.clock, permitRetryInterval); err != nil {
			return nil, context.Cause(ctx)
		}
	}
}

// endAttempt ends an attempt. After a loss it waits for evidence of an outage and
// publishes the crash record before the request may be retried.
func (q *Quarantiner) endAttempt(f fescuebank.Fingerprint, id fescuebank.EndpointID, end fescuebank.AttemptEnd) {
	q.mu.Lock()
	if running, ok := q.unproven[f]; ok && end != fescuebank.AttemptLost {
		close(running)
		delete(q.unproven, f)
	}
	if end == fescuebank.AttemptCompleted {
		q.markCompleted(f)
	}
	q.mu.Unlock()
	if end != fescuebank.AttemptLost {
		return
	}
	q.recordLoss(f, id)
	_ = fescuebank.Sleep(context.Background(), q.clock, evidenceWait)
	if record, attributed := q.attribute(f, id); attributed {
		q.publish(record)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if running, ok := q.unproven[f]; ok {
		close(running)
		delete(q.unproven, f)
	}
}

// endBatchAttempt ends an attempt of a batch item. After a loss it looks for an outage once the
// other requests of the endpoint have been recorded.
func (q *Quarantiner) endBatchAttempt(id fescuebank.EndpointID, end fescuebank.AttemptEnd) {
	if end != fescuebank.AttemptLost {
		return
	}
	q.mu.Lock()
	in := q.incidentFor(id, q.clock.Now())
	q.mu.Unlock()
	_ = fescuebank.Sleep(context.Background(), q.clock, evidenceWait)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.findOutage(id, in)
}

// markCompleted records that f completed, which clears it of suspicion. The caller holds mu.
func (q *Quarantiner) markCompleted(f fescuebank.Fingerprint) {
	delete(q.suspects, f)
	if len(q.completed) >= maxCompleted {
		for old := range q.completed {
			delete(q.completed, old)
			break
		}
	}
	q.completed[f] = true
}

// recordLoss records that an endpoint was lost under a request.
func (q *Quarantiner) recordLoss(f fescuebank.Fingerprint, id fescuebank.EndpointID) {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.completed, f)
	in := q.incidentFor(id, now)
	in.requests = append(in.requests, f)
	q.suspectFor(f).own[id] = true
	q.suspectFor(f).at = now
}

// attribute decides, after all requests of a lost endpoint have been recorded, whether
// the loss is attributed to f. If it is, it returns the crash record to publish.
func (q *Quarantiner) attribute(f fescuebank.Fingerprint, id fescuebank.EndpointID) (fescuebank.CrashRecord, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	in, ok := q.incidents[id]
	if ok {
		q.findOutage(id, in)
	}
	s, ok := q.suspects[f]
	if !ok || !s.own[id] {
		return fescuebank.CrashRecord{}, false
	}
	return fescuebank.CrashRecord{Fingerprint: f, Lost: s.lost()}, true
}

// suspectFor returns the entry of f. A new entry beyond maxSuspects is not kept. The
// caller holds mu.
func (q *Quarantiner) suspectFor(f fescuebank.Fingerprint) *suspect {
	s, ok := q.suspects[f]
	if !ok {
		s = &suspect{own: make(map[fescuebank.EndpointID]bool), reported: make(map[fescuebank.EndpointID]bool)}
		if len(q.suspects) < maxSuspects {
			q.suspects[f] = s
		}
	}
	return s
}

// Quarantined returns the crash records of the requests that are refused.
func (q *Quarantiner) Quarantined() []fescuebank.CrashRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []fescuebank.CrashRecord
	for f, s := range q.suspects {
		if out := (fescuebank.CrashRecord{Fingerprint: f, Lost: s.lost()}); out.Quarantined() {
			list = append(list, out)
		}
	}
	return list
}
