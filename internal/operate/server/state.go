package server

import (
	"time"

	"fescuebank"
)

// maxAddresses bounds the addresses of a response to a caller.
const maxAddresses = 64

// applyConfig puts the newest configuration in force, unless it can't be decoded or isn't newer.
func (s *Server) applyConfig(objects []fescuebank.Object) {
	for _, o := range objects {
		if o.Key != s.platform.ConfigKey {
			continue
		}
		table, skipped, err := s.platform.DecodeConfig(o.Value)
		if err != nil {
			s.logFor("config").Error("Configuration not decoded.", "version", uint64(o.Version), "err", err.Error())
			return
		}
		for _, err := range skipped {
			s.logFor("config").Warn("Invalid route skipped.", "err", err.Error())
		}
		current := s.table.Load()
		if current != nil && table.Version <= current.Version {
			return
		}
		s.table.Store(table)
		s.throttler.SetServices(table.Services)
		s.allocator.SetTeamRates(table.TeamRates())
		s.logFor("config").Info("Configuration in force.", "version", uint64(table.Version), "revision", uint64(o.Version), "teams", len(table.Teams))
		s.gossiper.Wake()
		s.applyOwnership()
	}
}

// applyEndpoints puts the endpoint entries of the replica in force once they are listed and it is known to
// which zones nothing may be sent. Whichever comes last calls it; the entries are read with the lock held, so
// that no older list follows a newer one.
func (s *Server) applyEndpoints() {
	s.applyingEndpoints.Lock()
	defer s.applyingEndpoints.Unlock()
	if s.evacuator.Known() && s.endpoints.Listed() {
		s.setEndpoints(s.endpoints.Objects())
	}
}

// applyEndpointsAfter applies the entries again after a time, when some that are replaced by other objects count no more.
func (s *Server) applyEndpointsAfter(wait time.Duration) {
	<-s.clock.After(wait)
	s.applyEndpoints()
}

// setEndpoints passes the valid ones of all endpoint entries on. The caller holds applyingEndpoints.
func (s *Server) setEndpoints(objects []fescuebank.Object) {
	list, faults, wait := s.entries.Endpoints(objects)
	for _, f := range faults {
		s.logFor("endpoint").Warn("Invalid endpoint entry skipped.", "key", f.Key, "err", f.Err.Error())
	}
	if wait > 0 {
		go s.applyEndpointsAfter(wait)
	}
	s.profiler.SetEndpoints(list)
	s.throttler.SetEndpoints(list)
	s.allocator.SetEndpoints(list)
	s.logFor("endpoint").Info("Endpoints updated.", "endpoints", len(list), "revision", uint64(s.endpoints.ChangedAt()), "newestEntry", uint64(newestEntry(list)))
	s.gossiper.Wake()
	s.runner.Wake()
}

// newestEntry returns the store version of the newest entry of a list. If it is lower than in the log line
// before, an older list was applied after a newer one, or the newest endpoint has left.
func newestEntry(list []fescuebank.ServedEndpoint) fescuebank.StoreVersion {
	var newest fescuebank.StoreVersion
	for _, e := range list {
		newest = max(newest, e.EntryVersion)
	}
	return newest
}

func (s *Server) applyMembers(objects []fescuebank.Object) {
	s.gossiper.ApplyObjects(objects, s.members.AsOf())
	peers := s.gossiper.Peers()
	ids := make([]fescuebank.InstanceID, 0, len(peers))
	for _, p := range peers {
		ids = append(ids, p.ID)
	}
	s.limiter.SetMembers(ids)
	s.throttler.SetMembers(ids)
}

func (s *Server) applyOwners(objects []fescuebank.Object) {
	for _, o := range objects {
		if o.Key == fescuebank.OwnerListKey {
			s.elector.ApplyObject(o, time.Time{})
		}
	}
}

// applyOwnership applies a new list of owners or new teams.
func (s *Server) applyOwnership() {
	if s.manager == nil {
		return
	}
	s.acquirer.UpdateOwnership()
	s.manager.UpdateOwnership()
	s.gossiper.Wake()
}

// owns reports whether this instance owns a team, and returns the epoch of the list of
// owners.
func (s *Server) owns(team fescuebank.TeamID) (fescuebank.FencingNumber, bool) {
	l := s.elector.List()
	if l == nil || s.released.Load() {
		return 0, false
	}
	owner, ok := l.Owner(team)
	return l.Epoch, ok && owner == s.holder()
}

// ready reports whether this instance accepts requests.
func (s *Server) ready() bool {
	return s.settings.Roles.Entry && s.table.Load() != nil && s.endpoints.Listed() && s.evacuator.Known() && !s.leaving.Load()
}

// addresses returns the caller addresses of this instance and of its reachable peers, as
// far as they are ready and not leaving. It ignores the zone.
func (s *Server) addresses(fescuebank.Zone) []string {
	var list []string
	if s.ready() {
		list = append(list, s.self.CallerAddr)
	}
	for _, p := range s.gossiper.Peers() {
		if p.CallerAddr != "" && p.Reachable && p.Gossip.Ready && !p.Gossip.Leaving && len(list) < maxAddresses {
			list = append(list, p.CallerAddr)
		}
	}
	return list
}
