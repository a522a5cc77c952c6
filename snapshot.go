package fescuebank

import "slices"

// Snapshot is one complete generation of the desired state with its indexes. It is
// immutable.
type Snapshot struct {
	State     *DesiredState
	Teams     map[TeamID]*Team
	Keys      map[KeyHash]TeamID
	Models    map[ModelName]*Model
	Endpoints map[EndpointID]*EndpointSpec
	Services  map[ServiceName]*Service
}

// NewSnapshot indexes a valid state.
func NewSnapshot(d *DesiredState) *Snapshot {
	s := &Snapshot{
		State:     d,
		Teams:     make(map[TeamID]*Team, len(d.Teams)),
		Keys:      make(map[KeyHash]TeamID, len(d.Teams)),
		Models:    make(map[ModelName]*Model, len(d.Models)),
		Endpoints: make(map[EndpointID]*EndpointSpec, len(d.Endpoints)),
		Services:  make(map[ServiceName]*Service, len(d.Services)),
	}
	for i := range d.Teams {
		t := &d.Teams[i]
		s.Teams[t.ID] = t
		for _, k := range t.Keys {
			s.Keys[k.Hash] = t.ID
		}
	}
	for i := range d.Models {
		s.Models[d.Models[i].Name] = &d.Models[i]
	}
	for i := range d.Endpoints {
		s.Endpoints[d.Endpoints[i].ID] = &d.Endpoints[i]
	}
	for i := range d.Services {
		s.Services[d.Services[i].Name] = &d.Services[i]
	}
	return s
}

// TeamWeight returns the weight of a team, or the default for an unknown one.
func (s *Snapshot) TeamWeight(id TeamID) float64 {
	if t, ok := s.Teams[id]; ok {
		return t.Weight
	}
	return defaultWeight
}

// MayUse reports whether the team may use model m.
func (t *Team) MayUse(m ModelName) bool {
	if len(t.Models) == 0 {
		return true
	}
	return slices.Contains(t.Models, m)
}

// Serves reports whether the endpoint may be commanded to serve model m.
func (e *EndpointSpec) Serves(m ModelName) bool {
	return slices.Contains(e.Models, m)
}

// ConfigSource returns the generation in force on this instance.
type ConfigSource interface {
	// Current returns the newest complete generation. It is never nil and never older
	// than one returned before.
	Current() *Snapshot
}

// Manifest names the segments of one generation of the desired state. It is written
// after them, with a conditional write.
type Manifest struct {
	Generation Generation `json:"generation"`
	// Base names the segment of everything except teams.
	Base string `json:"base"`
	// Teams names the segments of teams, indexed by hash of the team; an empty name
	// means that no team has that hash.
	Teams []string `json:"teams"`
	// Nonce lets the writer recognize its own write after the response was lost.
	Nonce string `json:"nonce"`
}

// ManifestKey is the store key of the manifest.
const ManifestKey = ControlPrefix + "manifest"

// SegmentPrefix is the store prefix of the desired state's segments. A segment's
// key contains the hash of its content, so segments never change.
const SegmentPrefix = "desired/"

// WithdrawalPrefix is the store prefix of the hashes of withdrawn keys.
const WithdrawalPrefix = ControlPrefix + "withdrawals/"
