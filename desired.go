package fescuebank

import (
	"fmt"
	"net/url"
	"regexp"
	"time"
)

// Team is one tenant.
type Team struct {
	// ID is unique in the document.
	ID TeamID `json:"id"`
	// Rate is the sustained fleet-wide rate in requests per second, 0 or more.
	Rate RequestRate `json:"rate"`
	// Burst is how many requests may arrive at the same time, 1 or more.
	Burst Requests `json:"burst"`
	// Weight is the share under contention relative to other teams, above 0.
	Weight float64 `json:"weight"`
	// Keys are the team's valid keys.
	Keys []TeamKey `json:"keys"`
	// Models are the models the team may use; empty means all.
	Models []ModelName `json:"models,omitempty"`
}

// Model is one model that the fleet serves.
type Model struct {
	// Name is unique in the document.
	Name ModelName `json:"name"`
	// Version is the version that endpoints should load.
	Version string `json:"version"`
	// Adapters are loaded together with the model.
	Adapters []string `json:"adapters,omitempty"`
	// Replicas is how many of the endpoints that list the model should serve it;
	// 0 means all of them.
	Replicas int `json:"replicas"`
}

// FencingMode says whether an endpoint checks the fencing numbers of commands.
type FencingMode string

// The fencing modes.
const (
	FencingChecked FencingMode = "checked"
	FencingIgnored FencingMode = "ignored"
)

// EndpointSpec is one model endpoint as configured by operators.
type EndpointSpec struct {
	// ID is unique in the document.
	ID EndpointID `json:"id"`
	// URL is the base URL, without a path.
	URL string `json:"url"`
	// Zone is the endpoint's availability zone.
	Zone Zone `json:"zone"`
	// Models are the models that it may be commanded to serve.
	Models []ModelName `json:"models"`
	// Slots is how many requests it can run at once, 1 or more.
	Slots int `json:"slots"`
	// Fencing says whether the endpoint checks fencing numbers.
	Fencing FencingMode `json:"fencing"`
	// Leaving takes the endpoint out of use: it receives no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Service is a plain service behind a route.
type Service struct {
	// Name is the path segment of the route, unique in the document.
	Name ServiceName `json:"name"`
	// URLs are the base URLs of its endpoints, at least one.
	URLs []string `json:"urls"`
	// Repeatable means that a call may be sent again after a failure.
	Repeatable bool `json:"repeatable"`
	// Open means that calls need no key.
	Open bool `json:"open"`
	// Timeout bounds one call.
	Timeout Seconds `json:"timeoutSeconds"`
}

// Seconds is a duration that is written as a number of seconds in the desired state.
type Seconds float64

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}

// Objectives are the service levels that the burn report measures against.
type Objectives struct {
	// FirstToken is the longest time to the first token that meets the objective.
	FirstToken Seconds `json:"firstTokenSeconds"`
	// FirstTokenShare is the share of online requests that must meet FirstToken, 0 to 1.
	FirstTokenShare float64 `json:"firstTokenShare"`
	// CompleteShare is the share of accepted online requests with a complete response.
	CompleteShare float64 `json:"completeShare"`
	// AdmittedShare is the share of requests within their team's rate that are not refused.
	AdmittedShare float64 `json:"admittedShare"`
	// BatchOnTimeShare is the share of batch items completed by their due time.
	BatchOnTimeShare float64 `json:"batchOnTimeShare"`
}

// DesiredState is the document in which operators configure the system.
type DesiredState struct {
	// Generation is the generation of the state that the document was edited from.
	// Applying the document fails if another generation is in force by then. 0 means
	// that no state was applied before.
	Generation Generation `json:"generation"`

	Teams      []Team         `json:"teams"`
	Models     []Model        `json:"models"`
	Endpoints  []EndpointSpec `json:"endpoints"`
	Services   []Service      `json:"services"`
	Objectives Objectives     `json:"objectives"`
}

// Bounds and defaults of the values in a desired state.
const (
	maxNameLength           = 64
	maxRate                 = 1e6
	maxBurst                = 1e6
	maxWeight               = 1e3
	maxServiceTimeout       = Seconds(600)
	defaultServiceTimeout   = Seconds(30)
	defaultWeight           = 1
	defaultFirstToken       = Seconds(0.54)
	defaultFirstTokenShare  = 0.95
	defaultCompleteShare    = 0.999
	defaultAdmittedShare    = 0.999
	defaultBatchOnTimeShare = 0.99
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)

// Defaults sets the values that the document leaves out.
func (d *DesiredState) Defaults() {
	for i := range d.Teams {
		if d.Teams[i].Weight == 0 {
			d.Teams[i].Weight = defaultWeight
		}
	}
	for i := range d.Endpoints {
		if d.Endpoints[i].Fencing == "" {
			d.Endpoints[i].Fencing = FencingIgnored
		}
	}
	for i := range d.Services {
		if d.Services[i].Timeout == 0 {
			d.Services[i].Timeout = defaultServiceTimeout
		}
	}
	d.Objectives.defaults()
}

// DefaultObjectives returns the objectives of a fleet that has none configured.
func DefaultObjectives() Objectives {
	var o Objectives
	o.defaults()
	return o
}

func (o *Objectives) defaults() {
	if o.FirstToken == 0 {
		o.FirstToken = defaultFirstToken
	}
	setIfZero(&o.FirstTokenShare, defaultFirstTokenShare)
	setIfZero(&o.CompleteShare, defaultCompleteShare)
	setIfZero(&o.AdmittedShare, defaultAdmittedShare)
	setIfZero(&o.BatchOnTimeShare, defaultBatchOnTimeShare)
}

func setIfZero(value *float64, fallback float64) {
	if *value == 0 {
		*value = fallback
	}
}

// Validate returns every fault of the document as *Faults, or nil.
func (d *DesiredState) Validate() error {
	var f Faults
	d.validateTeams(&f)
	models := d.validateModels(&f)
	d.validateEndpoints(&f, models)
	d.validateServices(&f)
	d.Objectives.validate(&f)
	return f.Err()
}

func (d *DesiredState) validateTeams(f *Faults) {
	teams := newNameSet("team")
	keys := make(map[KeyHash]TeamID)
	for i, t := range d.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		teams.add(f, path+".id", string(t.ID))
		f.Check(t.Rate >= 0 && t.Rate <= maxRate, path+".rate", "want 0 to %g requests per second", maxRate)
		f.Check(t.Burst >= 1 && t.Burst <= maxBurst, path+".burst", "want 1 to %g requests", maxBurst)
		f.Check(t.Weight > 0 && t.Weight <= maxWeight, path+".weight", "want above 0 and at most %g", maxWeight)
		for j, k := range t.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d].hash", path, j)
			f.Check(k.Hash != KeyHash{}, keyPath, "want the SHA-256 of a key in hexadecimal digits")
			other, duplicate := keys[k.Hash]
			f.Check(!duplicate, keyPath, "want a key of its own; team %q has this one", other)
			keys[k.Hash] = t.ID
		}
	}
}

func (d *DesiredState) validateModels(f *Faults) *nameSet {
	models := newNameSet("model")
	for i, m := range d.Models {
		path := fmt.Sprintf("models[%d]", i)
		models.add(f, path+".name", string(m.Name))
		f.Check(m.Version != "", path+".version", "want a version")
		f.Check(m.Replicas >= 0, path+".replicas", "want 0 or more")
	}
	for i, t := range d.Teams {
		for j, m := range t.Models {
			f.Check(models.has(string(m)), fmt.Sprintf("teams[%d].models[%d]", i, j), "want a model of the document, not %q", m)
		}
	}
	return models
}

func (d *DesiredState) validateEndpoints(f *Faults, models *nameSet) {
	endpoints := newNameSet("endpoint")
	for i, e := range d.Endpoints {
		path := fmt.Sprintf("endpoints[%d]", i)
		endpoints.add(f, path+".id", string(e.ID))
		checkURL(f, path+".url", e.URL)
		f.Check(e.Zone != "", path+".zone", "want an availability zone")
		f.Check(e.Slots >= 1, path+".slots", "want 1 or more")
		valid := e.Fencing == FencingChecked || e.Fencing == FencingIgnored
		f.Check(valid, path+".fencing", "want %q or %q", FencingChecked, FencingIgnored)
		f.Check(len(e.Models) > 0, path+".models", "want at least one model")
		for j, m := range e.Models {
			f.Check(models.has(string(m)), fmt.Sprintf("%s.models[%d]", path, j), "want a model of the document, not %q", m)
		}
	}
}

func (d *DesiredState) validateServices(f *Faults) {
	services := newNameSet("service")
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		services.add(f, path+".name", string(s.Name))
		f.Check(len(s.URLs) > 0, path+".urls", "want at least one address")
		for j, u := range s.URLs {
			checkURL(f, fmt.Sprintf("%s.urls[%d]", path, j), u)
		}
		f.Check(s.Timeout > 0 && s.Timeout <= maxServiceTimeout, path+".timeoutSeconds", "want above 0 and at most %g", maxServiceTimeout)
	}
}

func (o *Objectives) validate(f *Faults) {
	f.Check(o.FirstToken > 0, "objectives.firstTokenSeconds", "want above 0")
	checkShare(f, "objectives.firstTokenShare", o.FirstTokenShare)
	checkShare(f, "objectives.completeShare", o.CompleteShare)
	checkShare(f, "objectives.admittedShare", o.AdmittedShare)
	checkShare(f, "objectives.batchOnTimeShare", o.BatchOnTimeShare)
}

func checkShare(f *Faults, path string, share float64) {
	f.Check(share > 0 && share < 1, path, "want above 0 and below 1")
}

func checkURL(f *Faults, path, text string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.User == nil && u.RawQuery == ""
	f.Check(ok, path, "want http://HOST:PORT or https://HOST:PORT")
}

// nameSet checks the syntax and uniqueness of names of one kind.
type nameSet struct {
	kind string
	seen map[string]bool
}

func newNameSet(kind string) *nameSet {
	return &nameSet{kind: kind, seen: make(map[string]bool)}
}

func (s *nameSet) add(f *Faults, path, name string) {
	ok := len(name) <= maxNameLength && namePattern.MatchString(name)
	f.Check(ok, path, "want 1 to %d letters, digits, dots, dashes or underscores", maxNameLength)
	f.Check(!s.seen[name], path, "want a name of its own; %s %q stands twice", s.kind, name)
	s.seen[name] = true
}

func (s *nameSet) has(name string) bool {
	return s.seen[name]
}

// ParseDesiredState decodes a document, sets defaults and validates it. If the
// document can be decoded, all faults are reported together.
func ParseDesiredState(b []byte) (*DesiredState, error) {
	var d DesiredState
	if err := strictUnmarshal(b, &d); err != nil {
		f := &Faults{}
		f.Add("document", "want valid JSON: %v", err)
		return nil, f
	}
	d.Defaults()
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return &d, nil
}
