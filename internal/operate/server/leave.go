package server

import (
	"context"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/entry/acceptor"
	"fescuebank/internal/wire/rerouter"
)

const (
	// acceptTime is how long a leaving instance continues to accept requests, because callers
	// may use an address response received before.
	acceptTime = 2800 * time.Millisecond
	// leaveMargin is the time reserved at the end of the grace period for shutting
	// down the servers and removing the member entry.
	leaveMargin = 900 * time.Millisecond
	// minPassTime is the least time that a request must have left until it is ended to be passed on for the
	// first time, if it was accepted early and then waited.
	minPassTime = 2 * time.Second
	// exitMargin is the time left of the grace period when the instance has given up removing its member
	// entry: the process has to end by itself.
	exitMargin = 250 * time.Millisecond
	// commitTimeout bounds the wait for commits before ownership is released.
	commitTimeout = time.Second
	// handoverTimeout bounds sending a team's progress to its next owner.
	handoverTimeout = 2 * time.Second
	// idlePollInterval is how often a leaving instance checks whether it is idle.
	idlePollInterval = 100 * time.Millisecond
	// shutdownTimeout bounds answering the requests that are no longer waited for, and shutting down the
	// servers.
	shutdownTimeout = 100 * time.Millisecond
)

// releaseOwnership cancels the running items, waits up to commitTimeout for the commits of
// finished ones, and releases the teams that this instance owns.
func (s *Server) releaseOwnership(ctx context.Context) {
	s.runner.Stop()
	s.manager.ExpediteCommits()
	for deadline := s.clock.Now().Add(commitTimeout); !s.manager.AllCommitted() && s.clock.Now().Before(deadline); {
		_ = fescuebank.Sleep(ctx, s.clock, idlePollInterval/4)
	}
	s.released.Store(true)
	s.elector.SetLeaving()
	s.manager.UpdateOwnership()
}

// sendHandover sends the progress of a team's items to the team's next owner, which is this instance if
// a later list moved the team back. It waits until there is one and retries failed calls, for up to
// handoverTimeout in all.
func (s *Server) sendHandover(caller *rerouter.Rerouter, p manager.ProgressHandover) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		owner, ok := s.elector.Owner(p.Team)
		if ok {
			err := s.deliverHandover(ctx, caller, owner.ID, &p)
			if err == nil {
				return
			}
			s.logFor("batch").Debug("Progress not sent to the next owner.", "team", string(p.Team), "err", err.Error())
		}
		_ = fescuebank.Sleep(ctx, s.clock, idlePollInterval/4)
	}
}

// deliverHandover passes progress to the owner with an id.
func (s *Server) deliverHandover(ctx context.Context, caller *rerouter.Rerouter, owner fescuebank.InstanceID, p *manager.ProgressHandover) error {
	if owner == s.self.ID {
		return s.manager.ReceiveHandover(ctx, p)
	}
	return caller.Call(ctx, owner, fescuebank.KindProgressHandover, p, &struct{}{})
}

// leave shuts the instance down: it removes itself from the addresses, releases
// ownership, waits for the requests in flight, also those of other instances that go through it,
// and removes its member entry.
func (s *Server) leave(servers []*acceptor.Acceptor) {
	start := s.clock.Now()
	s.log.Info("Instance leaves.", "inFlight", s.inFlight.Load(), "items", s.runner.Running())
	lateAt := start.Add(lateTime(s.settings.Timing.Grace))
	s.lateAt.Store(&lateAt)
	s.leaving.Store(true)
	s.gossiper.Send()
	ctx := context.Background()
	s.releaseOwnership(ctx)
	if len(servers) > 0 {
		s.drain(ctx, servers, start)
	} else {
		s.awaitHandover(ctx, start.Add(s.settings.Timing.Grace-leaveMargin))
	}
	s.awaitTunnels(ctx, start.Add(s.settings.Timing.Grace-leaveMargin/2))
	// The shutdown may have used up its time; the entry must be removed all the same.
	leaveCtx, cancelLeave := context.WithDeadline(ctx, start.Add(s.settings.Timing.Grace-exitMargin))
	defer cancelLeave()
	s.gossiper.Leave(leaveCtx)
}

// acceptingTime returns how long a leaving instance continues to accept requests.
func acceptingTime(grace time.Duration) time.Duration {
	return min(acceptTime, grace-leaveMargin)
}

// lateTime returns how long a leaving instance passes requests on for the first time.
func lateTime(grace time.Duration) time.Duration {
	return max(acceptingTime(grace), grace-leaveMargin/2-minPassTime)
}

// isLate reports whether this instance leaves and passes on no request for the first time.
func (s *Server) isLate() bool {
	at := s.lateAt.Load()
	return at != nil && !s.clock.Now().Before(*at)
}

// drain accepts requests until acceptTime after start, however many are in flight: those that are
// whole only later might not end within the grace period, and are refused. It then waits for those in
// flight. Those that remain near the end of the grace period are ended, so that their callers
// are answered before the process is gone.
func (s *Server) drain(ctx context.Context, servers []*acceptor.Acceptor, start time.Time) {
	grace := s.settings.Timing.Grace
	_ = fescuebank.Sleep(ctx, s.clock, start.Add(acceptingTime(grace)).Sub(s.clock.Now()))
	s.closed.Store(true)
	ctx, cancel := context.WithDeadline(ctx, start.Add(grace-leaveMargin/2))
	defer cancel()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() { shutdown(ctx, server) })
	}
	group.Wait()
}

// shutdown waits for the requests of a server until ctx ends, then ends those that remain.
func shutdown(ctx context.Context, server *acceptor.Acceptor) {
	server.StopAccepting()
	server.AwaitRequests(ctx)
	server.EndRequests()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	server.Shutdown(ctx)
}

// awaitHandover waits until the instance has handed over all it owned, also the progress of items, or
// until the deadline.
func (s *Server) awaitHandover(ctx context.Context, deadline time.Time) {
	for s.clock.Now().Before(deadline) && (!s.hasHandedOver() || s.manager.IsHandingOver()) {
		_ = fescuebank.Sleep(ctx, s.clock, idlePollInterval)
	}
	_ = fescuebank.Sleep(ctx, s.clock, 3*idlePollInterval)
}

// awaitTunnels waits until no other instance's request goes through this one, or until the deadline.
func (s *Server) awaitTunnels(ctx context.Context, deadline time.Time) {
	for s.clock.Now().Before(deadline) && s.tunneler.Active() > 0 {
		_ = fescuebank.Sleep(ctx, s.clock, idlePollInterval)
	}
}

// hasHandedOver reports whether the list of owners no longer has this incarnation.
func (s *Server) hasHandedOver() bool {
	l := s.elector.List()
	return l == nil || !l.Has(s.holder())
}

// formerOwner returns the instance that owned a team by the list of owners before, if its
// incarnation is alive.
func (s *Server) formerOwner(team fescuebank.TeamID) (manager.FormerOwner, bool) {
	l := s.elector.List()
	if l == nil {
		return manager.FormerOwner{}, false
	}
	former, ok := l.PreviousOwner(team)
	if !ok {
		return manager.FormerOwner{}, false
	}
	peer, known := s.gossiper.Find(former.ID)
	isAlive := known && peer.Reachable && peer.Incarnation == former.Incarnation
	return manager.FormerOwner{ID: former.ID, ConfirmsChanges: peer.ConfirmsChanges}, isAlive
}
