package server

import (
	"time"

	"fescuebank"
)

// maxAddresses is how many addresses an answer to a caller holds.
const maxAddresses = 64

func (h *Server) applyConfig(objects []fescuebank.Object) {
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
		h.roster.Wake()
		h.reassign()
	}
}

func (h *Server) applyEndpoints(objects []fescuebank.Object) {
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
	h.roster.Wake()
	h.runner.Wake()
}

func (h *Server) applyOwners(objects []fescuebank.Object) {
	for _, o := range objects {
		if o.Key == fescuebank.OwnerListKey {
			h.elector.Apply(o, time.Time{})
		}
	}
}

// reassign takes in a new list of owners or new teams.
func (h *Server) reassign() {
	if h.steward == nil {
		return
	}
	h.buyer.Reassign()
	h.steward.UpdateOwnership()
	h.roster.Wake()
}

// owns reports whether this instance owns a team, and under which epoch.
func (h *Server) owns(team fescuebank.TeamID) (fescuebank.FencingNumber, bool) {
	l := h.elector.List()
	if l == nil || h.handing.Load() {
		return 0, false
	}
	owner, ok := l.Owner(team)
	return l.Epoch, ok && owner == fescuebank.Holder{ID: h.self.ID, Incarnation: h.self.Incarnation}
}

// ready reports whether this instance takes requests.
func (h *Server) ready() bool {
	return h.settings.Roles.Entry && h.table.Load() != nil && h.endpoints.Listed() && !h.leaving.Load()
}

// addresses returns the callers' addresses of the instances to use.
func (h *Server) addresses(fescuebank.Zone) []string {
	var list []string
	if h.ready() {
		list = append(list, h.self.CallerAddr)
	}
	for _, p := range h.roster.Peers() {
		if p.CallerAddr != "" && p.Reachable && p.Gossip.Ready && !p.Gossip.Leaving && len(list) < maxAddresses {
			list = append(list, p.CallerAddr)
		}
	}
	return list
}
