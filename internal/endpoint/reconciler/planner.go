package reconciler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

// planner computes commands from the desired state and the endpoints' load reports.
type planner struct {
	state *fescuebank.DesiredState
	// report returns the load report of an endpoint, or false if it has no recent one.
	report func(fescuebank.EndpointID) (fescuebank.LoadReport, bool)
}

// plan returns the next command that an endpoint needs, or false. Models are loaded
// before others are unloaded, and a model that is no longer placed on the endpoint stays
// until all endpoints it is placed on have loaded it.
func (p planner) plan(e *fescuebank.EndpointSpec) (fescuebank.Command, bool) {
	report, alive := p.report(e.ID)
	if !alive || e.Leaving || report.Leaving {
		return fescuebank.Command{}, false
	}
	for _, m := range p.state.Models {
		if !slices.Contains(p.placement(m), e.ID) {
			continue
		}
		if o, needed := loadCommand(m, &report); needed {
			return o, true
		}
	}
	for _, loaded := range report.Loaded {
		if p.mayUnload(loaded.Name, e.ID) {
			return fescuebank.Command{Kind: fescuebank.CommandUnloadModel, Model: loaded.Name}, true
		}
	}
	return fescuebank.Command{}, false
}

// loadCommand returns the next command that brings a model on an endpoint to its desired
// version and adapters.
func loadCommand(m fescuebank.Model, report *fescuebank.LoadReport) (fescuebank.Command, bool) {
	loaded, ok := report.LoadedAs(m.Name)
	if !ok || loaded.Version != m.Version {
		return fescuebank.Command{Kind: fescuebank.CommandLoadModel, Model: m.Name, Version: m.Version}, true
	}
	for _, adapter := range m.Adapters {
		if !slices.Contains(loaded.Adapters, adapter) {
			return fescuebank.Command{Kind: fescuebank.CommandLoadAdapter, Model: m.Name, Version: m.Version, Adapter: adapter}, true
		}
	}
	return fescuebank.Command{}, false
}

// placement returns the endpoints that should have a model: the available endpoints with
// the lowest hashes of model and endpoint (rendezvous hashing). When one fails, the next
// in order replaces it and the others stay.
func (p planner) placement(m fescuebank.Model) []fescuebank.EndpointID {
	var candidates []fescuebank.EndpointID
	for i := range p.state.Endpoints {
		e := &p.state.Endpoints[i]
		report, alive := p.report(e.ID)
		if e.Serves(m.Name) && alive && !e.Leaving && !report.Leaving {
			candidates = append(candidates, e.ID)
		}
	}
	if m.Replicas == 0 || len(candidates) <= m.Replicas {
		return candidates
	}
	slices.SortFunc(candidates, func(a, b fescuebank.EndpointID) int {
		return cmp.Compare(placementHash(m.Name, a), placementHash(m.Name, b))
	})
	return candidates[:m.Replicas]
}

func placementHash(m fescuebank.ModelName, e fescuebank.EndpointID) uint64 {
	return xxhash.Sum64String(string(m) + "/" + string(e))
}

// mayUnload reports whether a model may be unloaded from an endpoint: either the desired
// state doesn't have the model, or it is not placed on this endpoint and all endpoints that
// it is placed on have loaded its desired version.
func (p planner) mayUnload(name fescuebank.ModelName, from fescuebank.EndpointID) bool {
	i := slices.IndexFunc(p.state.Models, func(m fescuebank.Model) bool { return m.Name == name })
	if i < 0 {
		return true
	}
	m := p.state.Models[i]
	placed := p.placement(m)
	if len(placed) == 0 || slices.Contains(placed, from) {
		return false
	}
	for _, id := range placed {
		report, _ := p.report(id)
		if loaded, ok := report.LoadedAs(name); !ok || loaded.Version != m.Version {
			return false
		}
	}
	return true
}
