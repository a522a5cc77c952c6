package server

import (
	"time"

	"fescuebank"
	"fescuebank/internal/entry/relayer"
)

// storeLostAfter is how long the store must fail here before the others are told.
const storeLostAfter = time.Second

// fillNews completes what this instance tells the others.
func (h *Server) fillNews(n *fescuebank.Gossip) {
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
	h.ejector.FillGossip(n)
	n.OwnerListAge = h.elector.ListAge().Milliseconds()
	answers, since := h.platform.StoreState()
	n.StoreUnreachable = !answers && since >= storeLostAfter
}

// heard takes in the news of a peer.
func (h *Server) heard(n *fescuebank.Gossip) {
	h.elector.Acknowledge(fescuebank.Holder{ID: n.From, Incarnation: n.Incarnation}, n.Epoch)
	h.elector.RecordPeerRead(n.Epoch, time.Duration(n.OwnerListAge)*time.Millisecond)
	h.ejector.ApplyGossip(n)
	h.allotter.SetFleet(h.roster.LiveCount(), h.roster.Lag())
	h.allotter.SetPeerCounts(h.roster.PeerTotals())
	h.runner.Wake()
	if h.config.IsBehind(n.Config) || h.endpoints.IsBehind(n.Endpoints) || n.Epoch > h.elector.Epoch() {
		h.catchUp(n)
	}
}

// versions are the versions of what decisions rest on.
func (h *Server) versions() relayer.Versions {
	v := relayer.Versions{Epoch: h.elector.Epoch(), Endpoints: h.endpoints.ChangedAt()}
	if t := h.table.Load(); t != nil {
		v.Config = t.Version
	}
	return v
}

// gauge serves the present state among the counts.
func (h *Server) gauge() {
	h.counts.Gauge("versions", func() any { return h.versions() })
	h.counts.Gauge("inFlight", func() any { return h.flights.Load() })
	h.counts.Gauge("endpointConnectionsDialed", func() any { return h.exchanger.Dialed() })
	h.counts.Gauge("waitingForPlaces", func() any {
		_, waiting := h.allotter.Counts()
		return waiting
	})
	h.counts.Gauge("endpointsHere", func() any { return h.allotter.Loads() })
	h.counts.Gauge("storeAnswers", func() any {
		answers, since := h.platform.StoreState()
		return map[string]any{"answers": answers, "sinceMs": since.Milliseconds()}
	})
	h.counts.Gauge("batchRunning", func() any { return h.runner.Running() })
	h.counts.Gauge("batch", func() any { return h.steward.Status() })
}

// othersBatch returns the number of batch items that other instances run.
func (h *Server) othersBatch() int {
	_, _, batch := h.roster.PeerTotals()
	return batch
}
