// Package quarantiner finds requests that crash endpoints and keeps them away
// from the fleet.
package quarantiner

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"fescuebank"
	"fescuebank/internal/endpoint/permitter"
)

const (
	// outageWindow is within which losses of several endpoints under different
	// requests are taken for an outage and not for the requests' fault.
	outageWindow = 2 * time.Second
	// evidenceWait is how long a lost request waits for evidence of an outage.
	evidenceWait = 150 * time.Millisecond
	// memory is how long a suspicion is kept.
	memory = time.Hour
	// tellTimeout bounds telling all peers of a suspicion.
	tellTimeout = 400 * time.Millisecond
	fanOut      = 16
	// retryPermit is how often a taken permit is asked for again.
	retryPermit = 50 * time.Millisecond
	// maxProven bounds the remembered requests that completed.
	maxProven = 4096
	// maxSuspects bounds the remembered suspicions.
	maxSuspects = 16384
	storeTries  = 4
	// quarantineBound is how many endpoints may be lost to one request.
	quarantineBound = 2
)

// Quarantiner is the fescuebank.Guard of a running daemon. A request becomes
// suspect when an endpoint breaks off under it; suspects then run alone of
// their kind: one at a time for each request, and one for each endpoint. After
// the second endpoint the request is refused everywhere.
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
	// first holds unproven requests in flight here; others of the same
	// fingerprint wait for their end.
	first  map[fescuebank.Fingerprint]chan struct{}
	proven map[fescuebank.Fingerprint]bool
}

// suspect is what this instance knows of a suspicion.
type suspect struct {
	// own are endpoints lost under requests of this instance; evidence of an
	// outage takes them back. told are those that other instances know of.
	own  map[fescuebank.EndpointID]bool
	told map[fescuebank.EndpointID]bool
	at   time.Time
}

// lost returns the endpoints lost under the request.
func (s *suspect) lost() []fescuebank.EndpointID {
	return unite(slices.Collect(maps.Keys(s.own)), slices.Collect(maps.Keys(s.told)))
}

// incident is the loss of one endpoint as seen here.
type incident struct {
	at    time.Time
	under []fescuebank.Fingerprint
}

// New returns a quarantiner that suspects nothing.
func New(store fescuebank.ObjectStore, peer fescuebank.Peer, d fescuebank.Directory, p *permitter.Permitter, clock fescuebank.Clock, log hclog.Logger) *Quarantiner {
	return &Quarantiner{
		store: store, peer: peer, directory: d, permitter: p, clock: clock, log: log,
		suspects:  make(map[fescuebank.Fingerprint]*suspect),
		incidents: make(map[fescuebank.EndpointID]*incident),
		first:     make(map[fescuebank.Fingerprint]chan struct{}),
		proven:    make(map[fescuebank.Fingerprint]bool),
	}
}

// Enter waits until the request may run at the endpoint.
func (q *Quarantiner) Enter(ctx context.Context, c *fescuebank.Completion, id fescuebank.EndpointID) (func(fescuebank.AttemptEnd), error) {
	f := c.Fingerprint()
	for {
		lost, wait, turn := q.look(f)
		switch {
		case lost >= quarantineBound:
			return nil, refuse(lost)
		case lost > 0:
			return q.isolate(ctx, f, id)
		case turn:
			return func(end fescuebank.AttemptEnd) { q.leave(f, id, end) }, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// look returns how many endpoints were lost under f. If none was, it returns
// whether f may run now, or what to wait for.
func (q *Quarantiner) look(f fescuebank.Fingerprint) (lost int, wait chan struct{}, turn bool) {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.suspects[f]; ok {
		if now.Sub(s.at) < memory {
			return len(s.lost()), nil, false
		}
		delete(q.suspects, f)
	}
	if q.proven[f] {
		return 0, nil, true
	}
	if running, ok := q.first[f]; ok {
		return 0, running, false
	}
	q.first[f] = make(chan struct{})
	return 0, nil, true
}

// isolate runs a suspect: alone for its fingerprint, and as the only suspect at
// its endpoint. While nobody gives permits it runs all the same.
func (q *Quarantiner) isolate(ctx context.Context, f fescuebank.Fingerprint, id fescuebank.EndpointID) (func(fescuebank.AttemptEnd), error) {
	var releases []func()
	releaseAll := func() {
		for _, release := range releases {
			release()
		}
	}
	for _, resource := range []string{"request/" + f.String(), "endpoint/" + string(id)} {
		release, err := q.permit(ctx, resource)
		if err != nil {
			releaseAll()
			return nil, err
		}
		releases = append(releases, release)
	}
	// Another attempt may have ended while this one waited.
	if lost := q.lostUnder(f); lost >= quarantineBound {
		releaseAll()
		return nil, refuse(lost)
	}
	return func(end fescuebank.AttemptEnd) {
		q.leave(f, id, end)
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

func (q *Quarantiner) permit(ctx context.Context, resource string) (func(), error) {
	for {
		release, err := q.permitter.Acquire(ctx, resource)
		if err == nil {
			return release, nil
		}
		if errors.Is(err, permitter.ErrNoOwner) {
			return func() {}, nil
		}
		if err := fescuebank.Sleep(ctx, q.clock, retryPermit); err != nil {
			return nil, context.Cause(ctx)
		}
	}
}

// leave ends an attempt. After a loss it waits for evidence of an outage and
// tells the fleet before the request goes on.
func (q *Quarantiner) leave(f fescuebank.Fingerprint, id fescuebank.EndpointID, end fescuebank.AttemptEnd) {
	q.mu.Lock()
	if running, ok := q.first[f]; ok && end != fescuebank.AttemptLost {
		close(running)
		delete(q.first, f)
	}
	if end == fescuebank.AttemptCompleted {
		q.prove(f)
	}
	q.mu.Unlock()
	if end != fescuebank.AttemptLost {
		return
	}
	q.note(f, id)
	_ = fescuebank.Sleep(context.Background(), q.clock, evidenceWait)
	if suspicion, fresh := q.judge(f, id); fresh {
		q.publish(suspicion)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if running, ok := q.first[f]; ok {
		close(running)
		delete(q.first, f)
	}
}

// prove notes that f completed, which clears it. The caller holds mu.
func (q *Quarantiner) prove(f fescuebank.Fingerprint) {
	delete(q.suspects, f)
	if len(q.proven) >= maxProven {
		for old := range q.proven {
			delete(q.proven, old)
			break
		}
	}
	q.proven[f] = true
}

// note records that an endpoint was lost under a request.
func (q *Quarantiner) note(f fescuebank.Fingerprint, id fescuebank.EndpointID) {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.proven, f)
	for other, in := range q.incidents {
		if now.Sub(in.at) > outageWindow {
			delete(q.incidents, other)
		}
	}
	in, ok := q.incidents[id]
	if !ok {
		in = &incident{at: now}
		q.incidents[id] = in
	}
	in.under = append(in.under, f)
	q.suspect(f).own[id] = true
	q.suspect(f).at = now
}

// judge decides, once all requests of a lost endpoint have been noted, whether
// the loss is held against f. It returns the suspicion to tell if it is.
func (q *Quarantiner) judge(f fescuebank.Fingerprint, id fescuebank.EndpointID) (fescuebank.CrashRecord, bool) {
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

// suspect returns the entry of f. The caller holds mu.
func (q *Quarantiner) suspect(f fescuebank.Fingerprint) *suspect {
	s, ok := q.suspects[f]
	if !ok {
		s = &suspect{own: make(map[fescuebank.EndpointID]bool), told: make(map[fescuebank.EndpointID]bool)}
		if len(q.suspects) < maxSuspects {
			q.suspects[f] = s
		}
	}
	return s
}

// findOutage takes losses at other endpoints under other requests as evidence
// that the endpoints went away by themselves, unless another instance suspects
// one of the requests. The caller holds mu.
func (q *Quarantiner) findOutage(id fescuebank.EndpointID, in *incident) {
	if q.anyTold(in.under) {
		return
	}
	for other, o := range q.incidents {
		if other == id || sharesAny(o.under, in.under) || q.anyTold(o.under) {
			continue
		}
		q.acquit(other, o)
		q.acquit(id, in)
	}
}

func (q *Quarantiner) anyTold(list []fescuebank.Fingerprint) bool {
	return slices.ContainsFunc(list, func(f fescuebank.Fingerprint) bool {
		s, ok := q.suspects[f]
		return ok && len(s.told) > 0
	})
}

func sharesAny(a, b []fescuebank.Fingerprint) bool {
	return slices.ContainsFunc(a, func(f fescuebank.Fingerprint) bool { return slices.Contains(b, f) })
}

// acquit takes a loss back from all requests that it was held against here.
func (q *Quarantiner) acquit(id fescuebank.EndpointID, in *incident) {
	for _, f := range in.under {
		s, ok := q.suspects[f]
		if !ok {
			continue
		}
		delete(s.own, id)
		if len(s.lost()) == 0 {
			delete(q.suspects, f)
		}
	}
}

// publish tells all peers at once and the store when it can.
func (q *Quarantiner) publish(s fescuebank.CrashRecord) {
	q.log.Warn("Endpoint lost under a request.", "fingerprint", s.Fingerprint.String(), "lost", len(s.Lost))
	go q.storeSuspicion(s)
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(fanOut)
	self := q.directory.Self().ID
	for _, i := range q.directory.Instances() {
		if i.ID == self {
			continue
		}
		group.Go(func() error {
			request := fescuebank.CrashRecordRequest{Record: s}
			return q.peer.Call(ctx, i.PeerAddr, fescuebank.KindCrashRecord, &request, &fescuebank.CrashRecordReply{})
		})
	}
	_ = group.Wait()
}

// storeSuspicion unites the suspicion with what the store holds.
func (q *Quarantiner) storeSuspicion(s fescuebank.CrashRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	key := fescuebank.CrashRecordPrefix + s.Fingerprint.String()
	for range storeTries {
		united := s
		o, err := q.store.Get(ctx, key)
		if err == nil {
			var found fescuebank.CrashRecord
			if json.Unmarshal(o.Value, &found) == nil {
				united.Lost = unite(found.Lost, s.Lost)
			}
		} else if !errors.Is(err, fescuebank.ErrAbsent) {
			_ = fescuebank.Sleep(ctx, q.clock, time.Second)
			continue
		}
		value, err := json.Marshal(united)
		if err != nil {
			return
		}
		if _, err = q.store.Put(ctx, key, value, o.Version); err == nil {
			return
		}
	}
}

func unite(a, b []fescuebank.EndpointID) []fescuebank.EndpointID {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// ApplyObject takes in a suspicion object of the store. A deleted one is forgotten.
func (q *Quarantiner) ApplyObject(o fescuebank.Object) {
	if o.Deleted {
		var f fescuebank.Fingerprint
		if f.UnmarshalText([]byte(strings.TrimPrefix(o.Key, fescuebank.CrashRecordPrefix))) == nil {
			q.mu.Lock()
			defer q.mu.Unlock()
			delete(q.suspects, f)
		}
		return
	}
	var s fescuebank.CrashRecord
	if json.Unmarshal(o.Value, &s) == nil {
		q.merge(s)
	}
}

// Handle takes in a suspicion that another instance tells.
func (q *Quarantiner) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.CrashRecordRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	q.merge(request.Record)
	return &fescuebank.CrashRecordReply{}, nil
}

func (q *Quarantiner) merge(told fescuebank.CrashRecord) {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.proven, told.Fingerprint)
	s := q.suspect(told.Fingerprint)
	s.at = now
	for _, id := range told.Lost {
		s.told[id] = true
	}
}

// Quarantined returns the requests that are refused.
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
