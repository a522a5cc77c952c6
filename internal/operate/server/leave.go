package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/wire/rerouter"
)

const (
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

// handOver commits what is finished and gives up what this instance owns.
func (h *Server) handOver(ctx context.Context) {
	h.runner.Stop()
	h.steward.ExpediteCommits()
	for until := h.clock.Now().Add(handOverTime); !h.steward.AllCommitted() && h.clock.Now().Before(until); {
		_ = fescuebank.Sleep(ctx, h.clock, leaveLook/4)
	}
	h.handing.Store(true)
	h.elector.SetLeaving()
	h.steward.UpdateOwnership()
}

// pass tells a team's next owner the progress of its items, once there is one.
func (h *Server) pass(calls *rerouter.Rerouter, p manager.ProgressHandover) {
	ctx, cancel := context.WithTimeout(context.Background(), passTime)
	defer cancel()
	for ctx.Err() == nil {
		owner, ok := h.elector.Owner(p.Team)
		if ok && owner.ID != h.self.ID {
			err := calls.Call(ctx, owner.ID, fescuebank.KindProgressHandover, &p, &struct{}{})
			if err == nil {
				return
			}
			h.part("batch").Debug("Progress not passed on.", "team", string(p.Team), "err", err.Error())
		}
		_ = fescuebank.Sleep(ctx, h.clock, leaveLook/4)
	}
}

// heedRetirements empties this instance if it is asked to.
func (h *Server) heedRetirements(objects []fescuebank.Object) {
	for _, o := range objects {
		if o.Key == h.platform.RetirementPrefix+string(h.self.ID) && h.retiring.CompareAndSwap(false, true) {
			go h.retire(context.Background(), o.Key)
		}
	}
}

// retire hands over what this instance owns and tells when that is done.
func (h *Server) retire(ctx context.Context, key string) {
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
func (h *Server) leave(servers []*http.Server) {
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
func (h *Server) hasHandedOver() bool {
	l := h.elector.List()
	return l == nil || !l.Has(fescuebank.Holder{ID: h.self.ID, Incarnation: h.self.Incarnation})
}
