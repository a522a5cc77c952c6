package hoster

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/steward"
	"fescuebank/internal/entry/relayer"
	"fescuebank/internal/fleet/follower"
	"fescuebank/internal/wire/detourer"
)

const (
	// maxAddresses is how many addresses an answer to a caller holds.
	maxAddresses = 64
	// pollInterval is the least mean time between two reads beside the watches here,
	// and fleetPollInterval the one of the whole fleet.
	pollInterval      = 4500 * time.Millisecond
	fleetPollInterval = 650 * time.Millisecond
	// flockPausePerInstance is what each instance adds to the pause between two watches
	// while changes keep coming, and longestFlockPause the most that it may be.
	flockPausePerInstance = 16 * time.Millisecond
	longestFlockPause     = 1200 * time.Millisecond
	// storeLostAfter is how long the store must fail here before the others are told.
	storeLostAfter = time.Second
	// catchUpAfter is how long newer state may be missing before a peer is asked.
	catchUpAfter = 150 * time.Millisecond
	// catchUpTimeout bounds the call to the peer.
	catchUpTimeout = 500 * time.Millisecond
	// leaveAtLeast is how long a leaving instance goes on to serve callers that
	// hold an older answer of addresses.
	leaveAtLeast = 2500 * time.Millisecond
	// leaveMargin is kept between the end of leaving and the end of the grace.
	leaveMargin = 900 * time.Millisecond
	// handOverTime bounds the commits before teams are handed over.
	handOverTime = time.Second
	// passTime bounds the time in which a next owner takes progress over.
	passTime = 2 * time.Second
	// leaveLook is how often a leaving instance looks whether it is idle.
	leaveLook = 100 * time.Millisecond
)

func (h *Hoster) applyConfig(objects []fescuebank.Object) {
	for _, o := range objects {
		if o.Key != h.platform.ConfigKey {
			continue
		}
		table, skipped, err := h.platform.DecodeConfig(o.Value)
		if err != nil {
			h.part("config").Error("Configuration not read.", "version", uint64(o.Version), "err", err.Error())
			return
		}
		for _, err := range skipped {
			h.part("config").Warn("Route left out.", "err", err.Error())
		}
		current := h.table.Load()
		if current != nil && table.Version <= current.Version {
			return
		}
		h.table.Store(table)
		h.part("config").Info("Configuration in force.", "version", uint64(table.Version), "revision", uint64(o.Version), "teams", len(table.Teams))
		h.roster.Kick()
		h.reassign()
	}
}

func (h *Hoster) applyEndpoints(objects []fescuebank.Object) {
	var list []fescuebank.ServedEndpoint
	for _, o := range objects {
		e, err := h.platform.DecodeEndpoint(o)
		if err != nil {
			h.part("endpoint").Warn("Entry of an endpoint is left out.", "key", o.Key, "err", err.Error())
			continue
		}
		list = append(list, e)
	}
	h.allotter.SetEndpoints(list)
	h.part("endpoint").Info("Endpoints known.", "endpoints", len(list), "revision", uint64(h.endpoints.ChangedAt()))
	h.roster.Kick()
	h.runner.Kick()
}

func (h *Hoster) applyOwners(objects []fescuebank.Object) {
	for _, o := range objects {
		if o.Key == fescuebank.OwnerListKey {
			h.elector.Apply(o, time.Time{})
		}
	}
}

// reassign takes in a new list of owners or new teams.
func (h *Hoster) reassign() {
	if h.steward == nil {
		return
	}
	h.buyer.Reassign()
	h.steward.Reassign()
	h.roster.Kick()
}

// owns reports whether this instance owns a team, and under which epoch.
func (h *Hoster) owns(team fescuebank.TeamID) (fescuebank.FencingNumber, bool) {
	l := h.elector.List()
	if l == nil || h.handing.Load() {
		return 0, false
	}
	owner, ok := l.Owner(team)
	return l.Epoch, ok && owner == fescuebank.Holder{ID: h.self.ID, Incarnation: h.self.Incarnation}
}

// handOver commits what is finished and gives up what this instance owns.
func (h *Hoster) handOver(ctx context.Context) {
	h.runner.Stop()
	h.steward.Hurry()
	for until := h.clock.Now().Add(handOverTime); !h.steward.Settled() && h.clock.Now().Before(until); {
		_ = fescuebank.Sleep(ctx, h.clock, leaveLook/4)
	}
	h.handing.Store(true)
	h.elector.SetLeaving()
	h.steward.Reassign()
}

// pass tells a team's next owner the progress of its items, once there is one.
func (h *Hoster) pass(calls *detourer.Detourer, p steward.Handover) {
	ctx, cancel := context.WithTimeout(context.Background(), passTime)
	defer cancel()
	for ctx.Err() == nil {
		owner, ok := h.elector.Owner(p.Team)
		if ok && owner.ID != h.self.ID {
			err := calls.Call(ctx, owner.ID, fescuebank.KindHandover, &p, &struct{}{})
			if err == nil {
				return
			}
			h.part("batch").Debug("Progress not passed on.", "team", string(p.Team), "err", err.Error())
		}
		_ = fescuebank.Sleep(ctx, h.clock, leaveLook/4)
	}
}

// fillNews completes what this instance tells the others.
func (h *Hoster) fillNews(n *fescuebank.News) {
	counts, waiting := h.allotter.Counts()
	if h.settings.Roles.Entry {
		n.Online, n.Waiting = counts, waiting
	} else {
		n.Batch = counts
	}
	n.Ready = h.ready()
	n.Leaving = h.leaving.Load() || h.handing.Load()
	n.Config, n.Endpoints = h.config.ChangedAt(), h.endpoints.ChangedAt()
	n.Epoch = h.elector.Epoch()
	n.Zone = h.self.Zone
	h.ejector.Tell(n)
	n.ReadAgo = h.elector.ReadAgo().Milliseconds()
	answers, since := h.platform.State()
	n.StoreLost = !answers && since >= storeLostAfter
}

// heard takes in the news of a peer.
func (h *Hoster) heard(n *fescuebank.News) {
	h.elector.Acknowledge(fescuebank.Holder{ID: n.From, Incarnation: n.Incarnation}, n.Epoch)
	h.elector.Hear(n.Epoch, time.Duration(n.ReadAgo)*time.Millisecond)
	h.ejector.Hear(n)
	h.allotter.SetFleet(h.roster.Live(), h.roster.Lag())
	h.allotter.SetOthers(h.roster.Others())
	h.runner.Kick()
	if h.config.Lacks(n.Config) || h.endpoints.Lacks(n.Endpoints) || n.Epoch > h.elector.Epoch() {
		h.catchUp(n)
	}
}

// catchUp reads what a peer knows and this instance doesn't: from the store, or
// else from the peer.
func (h *Hoster) catchUp(n *fescuebank.News) {
	if !h.catching.CompareAndSwap(false, true) {
		return
	}
	from, config, endpoints, epoch := n.From, n.Config, n.Endpoints, n.Epoch
	go func() {
		defer h.catching.Store(false)
		ctx := context.Background()
		_ = fescuebank.Sleep(ctx, h.clock, catchUpAfter)
		h.config.Hint(config)
		h.endpoints.Hint(endpoints)
		if epoch > h.elector.Epoch() {
			h.owners.Restart()
		}
		_ = fescuebank.Sleep(ctx, h.clock, catchUpAfter)
		if h.config.Lacks(config) {
			h.adopt(ctx, from, h.platform.ConfigPrefix)
		}
		if h.endpoints.Lacks(endpoints) {
			h.adopt(ctx, from, h.platform.EndpointPrefix)
		}
		if epoch > h.elector.Epoch() {
			h.adopt(ctx, from, fescuebank.OwnerListPrefix)
		}
	}()
}

// versions are the versions of what decisions rest on.
func (h *Hoster) versions() relayer.Versions {
	v := relayer.Versions{Epoch: h.elector.Epoch(), Endpoints: h.endpoints.ChangedAt()}
	if t := h.table.Load(); t != nil {
		v.Config = t.Version
	}
	return v
}

// gauge serves the present state among the counts.
func (h *Hoster) gauge() {
	h.counts.Gauge("versions", func() any { return h.versions() })
	h.counts.Gauge("inFlight", func() any { return h.flights.Load() })
	h.counts.Gauge("endpointConnectionsDialed", func() any { return h.exchanger.Dialed() })
	h.counts.Gauge("waitingForPlaces", func() any {
		_, waiting := h.allotter.Counts()
		return waiting
	})
	h.counts.Gauge("endpointsHere", func() any { return h.allotter.Loads() })
	h.counts.Gauge("storeAnswers", func() any {
		answers, since := h.platform.State()
		return map[string]any{"answers": answers, "sinceMs": since.Milliseconds()}
	})
	h.counts.Gauge("batchRunning", func() any { return h.runner.Running() })
	h.counts.Gauge("batch", func() any { return h.steward.Status() })
}

// poll reads the configuration and the endpoints in turn. Watches of all
// instances may miss a change together; one instance that reads it tells the rest.
func (h *Hoster) poll(ctx context.Context) {
	_ = fescuebank.Sleep(ctx, h.clock, rand.N(h.pollPause()))
	for i := 0; ctx.Err() == nil; i++ {
		if f := []*follower.Follower{h.config, h.endpoints}[i%2]; f.Listed() {
			f.Poll(ctx)
		}
		pause := h.pollPause()
		_ = fescuebank.Sleep(ctx, h.clock, pause/2+rand.N(pause))
	}
}

// flockPause bounds the pause between two watches while changes keep coming. It grows
// with the fleet, as each change wakes the watches of all.
func (h *Hoster) flockPause() time.Duration {
	pause := time.Duration(h.roster.Live()) * flockPausePerInstance
	return min(max(follower.LongestPause, pause), longestFlockPause)
}

// pollPause is the mean time between two reads. It grows with the fleet, since what
// one instance reads all hear of.
func (h *Hoster) pollPause() time.Duration {
	return max(pollInterval, time.Duration(h.roster.Live())*fleetPollInterval)
}

// mirrorRequest asks a peer for its mirror of a prefix.
type mirrorRequest struct {
	Prefix string `cbor:"1,keyasint"`
}

// mirrorReply holds the objects of a mirror.
type mirrorReply struct {
	Objects []fescuebank.Object `cbor:"1,keyasint"`
}

// adopt takes in a peer's mirror.
func (h *Hoster) adopt(ctx context.Context, from fescuebank.InstanceID, prefix string) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	p, ok := h.roster.Find(from)
	if !ok {
		return
	}
	var reply mirrorReply
	if err := h.linker.Call(ctx, p.PeerAddr, fescuebank.KindMirror, &mirrorRequest{Prefix: prefix}, &reply); err != nil {
		h.log.Debug("Mirror of a peer not read.", "peer", string(from), "err", err.Error())
		return
	}
	h.log.Info("Mirror of a peer taken in.", "peer", string(from), "prefix", prefix, "objects", len(reply.Objects))
	if f := h.follower(prefix); f != nil {
		f.Adopt(reply.Objects)
	}
}

// follower returns the mirror of a prefix that instances share, or nil.
func (h *Hoster) follower(prefix string) *follower.Follower {
	switch prefix {
	case h.platform.ConfigPrefix:
		return h.config
	case h.platform.EndpointPrefix:
		return h.endpoints
	case fescuebank.OwnerListPrefix:
		return h.owners
	}
	return nil
}

func (h *Hoster) handleMirror(_ context.Context, decode func(into any) error) (any, error) {
	var request mirrorRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	f := h.follower(request.Prefix)
	if f == nil {
		return nil, fescuebank.ErrAbsent
	}
	return &mirrorReply{Objects: f.Objects()}, nil
}

// ownersRequest asks a peer to read the list of owners from the store.
type ownersRequest struct{}

// readOwnersVia has a live peer read the list of owners from the store.
func (h *Hoster) readOwnersVia(ctx context.Context) (fescuebank.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for _, p := range h.roster.Peers() {
		if !p.Alive || p.News.StoreLost {
			continue
		}
		var o fescuebank.Object
		err := h.linker.Call(ctx, p.PeerAddr, fescuebank.KindOwners, &ownersRequest{}, &o)
		return o, err
	}
	return fescuebank.Object{}, fescuebank.ErrPeerUnreached
}

func (h *Hoster) handleOwners(ctx context.Context, _ func(into any) error) (any, error) {
	o, err := h.platform.Store.Get(ctx, fescuebank.OwnerListKey)
	if err != nil {
		return nil, err
	}
	return &o, nil
}

// readMembers reads the members from the store and reports whether it could.
func (h *Hoster) readMembers(ctx context.Context) bool {
	return h.members.Poll(ctx)
}

// restartFollowers lists everything again.
func (h *Hoster) restartFollowers() {
	for _, f := range []*follower.Follower{h.config, h.endpoints, h.members, h.owners} {
		f.Restart()
	}
}

// reconnect gives up connections that may have fallen silent like those to peers.
func (h *Hoster) reconnect() {
	h.log.Warn("Connections fell silent; all are made anew.")
	h.platform.Reconnect()
	h.exchanger.DropAll()
	h.restartFollowers()
}

// othersBatch returns the number of batch items that other instances run.
func (h *Hoster) othersBatch() int {
	_, _, batch := h.roster.Others()
	return batch
}

// ready reports whether this instance takes requests.
func (h *Hoster) ready() bool {
	return h.settings.Roles.Entry && h.table.Load() != nil && h.endpoints.Listed() && !h.leaving.Load()
}

// addresses returns the callers' addresses of the instances to use.
func (h *Hoster) addresses(fescuebank.Zone) []string {
	var list []string
	if h.ready() {
		list = append(list, h.self.CallerAddr)
	}
	for _, p := range h.roster.Peers() {
		if p.CallerAddr != "" && p.Reachable && p.News.Ready && !p.News.Leaving && len(list) < maxAddresses {
			list = append(list, p.CallerAddr)
		}
	}
	return list
}

// heedRetirements empties this instance if it is asked to.
func (h *Hoster) heedRetirements(objects []fescuebank.Object) {
	for _, o := range objects {
		if o.Key == h.platform.RetirementPrefix+string(h.self.ID) && h.retiring.CompareAndSwap(false, true) {
			go h.retire(context.Background(), o.Key)
		}
	}
}

// retire hands over what this instance owns and tells when that is done.
func (h *Hoster) retire(ctx context.Context, key string) {
	log := h.part("retire")
	log.Info("Instance is to be emptied.")
	h.handOver(ctx)
	for !h.hasHandedOver() {
		_ = fescuebank.Sleep(ctx, h.clock, leaveLook)
	}
	for {
		err := h.platform.SetRetired(ctx, key, true)
		if err == nil || errors.Is(err, fescuebank.ErrAbsent) {
			log.Info("Instance is emptied.")
			return
		}
		log.Warn("Retirement not told.", "err", err.Error())
		_ = fescuebank.Sleep(ctx, h.clock, leaveLook)
	}
}

// leave ends the instance: out of the addresses first, then ownership, then the
// requests in flight, then the entry.
func (h *Hoster) leave(servers []*http.Server) {
	began := h.clock.Now()
	h.log.Info("Instance leaves.", "inFlight", h.flights.Load(), "items", h.runner.Running())
	h.leaving.Store(true)
	h.roster.Send()
	ctx := context.Background()
	h.handOver(ctx)
	until := began.Add(h.settings.Timing.Grace - leaveMargin)
	for h.clock.Now().Before(until) {
		idle := h.flights.Load() == 0 && h.clock.Now().Sub(began) >= leaveAtLeast
		if idle || (len(servers) == 0 && h.hasHandedOver()) {
			_ = fescuebank.Sleep(ctx, h.clock, 3*leaveLook)
			break
		}
		_ = fescuebank.Sleep(ctx, h.clock, leaveLook)
	}
	ctx, cancel := context.WithDeadline(ctx, began.Add(h.settings.Timing.Grace-leaveMargin/2))
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(ctx) // What is left at the end of the grace is cut.
	}
	h.roster.Leave(ctx)
}

// hasHandedOver reports whether the list of owners doesn't name this run.
func (h *Hoster) hasHandedOver() bool {
	l := h.elector.List()
	return l == nil || !l.Has(fescuebank.Holder{ID: h.self.ID, Incarnation: h.self.Incarnation})
}
