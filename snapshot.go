package fescuebank

// Snapshot is one whole generation of the desired state with its indexes. It
// is never changed once made.
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

// MayUse reports whether the team may use model m.
func (t *Team) MayUse(m ModelName) bool {
	if len(t.Models) == 0 {
		return true
	}
	for _, allowed := range t.Models {
		if allowed == m {
			return true
		}
	}
	return false
}

// Serves reports whether the endpoint may be told to serve model m.
func (e *EndpointSpec) Serves(m ModelName) bool {
	for _, model := range e.Models {
		if model == m {
			return true
		}
	}
	return false
}

// ConfigSource gives the generation in force on this instance.
type ConfigSource interface {
	// Current returns the newest whole generation; it is never nil and never
	// older than one returned before.
	Current() *Snapshot
}

// Manifest names the segments of one generation of the desired state. It is
// written last, by conditional write.
type Manifest struct {
	Generation Generation `json:"generation"`
	// Base names the segment of everything but teams.
	Base string `json:"base"`
	// Teams names the segments of teams, by hash of the team; empty means no team.
	Teams []string `json:"teams"`
	// Nonce tells the writer whether a write with a lost answer was its own.
	Nonce string `json:"nonce"`
}

// ManifestKey is the store key of the manifest.
const ManifestKey = ControlPrefix + "manifest"

// SegmentPrefix is the store prefix of the desired state's segments. A
// segment's key is the hash of its content, so it never changes.
const SegmentPrefix = "desired/"

// WithdrawalPrefix is the store prefix of withdrawn keys' hashes.
const WithdrawalPrefix = ControlPrefix + "withdrawals/"
