package server

import (
	"encoding/json"
	"net/http"
	"slices"

	"fescuebank"
)

// applyEvacuations applies the operators' requests to evacuate zones. With the first list, the endpoints
// that are known by then come into use.
func (s *Server) applyEvacuations(objects []fescuebank.Object) {
	list := make([]fescuebank.Evacuation, 0, len(objects))
	zones := make([]fescuebank.Zone, 0, len(objects))
	for _, o := range objects {
		v := s.platform.DecodeEvacuation(o)
		list, zones = append(list, v), append(zones, v.Zone)
	}
	change := s.evacuator.Apply(list)
	s.throttler.ObserveReturn(change.Ended)
	s.allocator.SetEvacuated(zones)
	if change.First {
		s.applyEndpoints()
	}
	s.gossiper.Wake()
	s.runner.Wake()
}

// evacuationsVersion returns the version of the newest change of evacuations that this instance applies,
// as a fescuebank.ZoneGossip states it.
func (s *Server) evacuationsVersion() fescuebank.StoreVersion {
	if !s.evacuator.Known() {
		return 0
	}
	return max(1, s.evacuations.ChangedAt())
}

// openEndpoints returns the endpoints to which this instance opens tunnels for others.
func (s *Server) openEndpoints() []fescuebank.ServedEndpoint {
	return s.allocator.OpenEndpoints()
}

// evacuationStatus returns what this instance knows of the evacuations and of who applies them.
func (s *Server) evacuationStatus() fescuebank.EvacuationStatus {
	status := fescuebank.EvacuationStatus{
		Instance: s.self.ID, Known: s.evacuator.Known(), Zones: s.evacuator.Zones(), Behind: []fescuebank.InstanceID{}, Applied: 1,
	}
	for i := range status.Zones {
		status.Zones[i].InFlight = s.allocator.ZoneLoad(status.Zones[i].Zone)
	}
	version := s.evacuationsVersion()
	for _, p := range s.gossiper.Peers() {
		switch {
		case !p.Alive:
		case p.Gossip.Zones != nil && p.Gossip.Zones.Evacuations >= version:
			status.Applied++
		default:
			status.Behind = append(status.Behind, p.ID)
		}
	}
	slices.Sort(status.Behind)
	return status
}

// serveEvacuations responds with the status of the evacuations.
func (s *Server) serveEvacuations(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.evacuationStatus()) // Fails only if the caller has disconnected.
}
