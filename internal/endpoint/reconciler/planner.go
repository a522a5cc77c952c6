package reconciler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

// view is what a plan is made from.
type view struct {
	state *fescuebank.DesiredState
	// report returns the load report of a living endpoint.
	report func(fescuebank.EndpointID) (fescuebank.LoadReport, bool)
}

// plan returns the next order that an endpoint needs, or false. Models are
// loaded before others are unloaded, and a model that should go from here stays
// until enough other endpoints have it.
func (v view) plan(e *fescuebank.EndpointSpec) (fescuebank.Order, bool) {
	report, alive := v.report(e.ID)
	if !alive || e.Leaving || report.Leaving {
		return fescuebank.Order{}, false
	}
	for _, m := range v.state.Models {
		if !slices.Contains(v.placed(m), e.ID) {
			continue
		}
		if o, needed := loadOrder(m, &report); needed {
			return o, true
		}
	}
	for _, loaded := range report.Loaded {
		if v.mayUnload(loaded.Name, e.ID) {
			return fescuebank.Order{Kind: fescuebank.OrderUnloadModel, Model: loaded.Name}, true
		}
	}
	return fescuebank.Order{}, false
}

// loadOrder is what brings a model on an endpoint to its desired version and
// adapters.
func loadOrder(m fescuebank.Model, report *fescuebank.LoadReport) (fescuebank.Order, bool) {
	loaded, ok := report.LoadedAs(m.Name)
	if !ok || loaded.Version != m.Version {
		return fescuebank.Order{Kind: fescuebank.OrderLoadModel, Model: m.Name, Version: m.Version}, true
	}
	for _, adapter := range m.Adapters {
		if !slices.Contains(loaded.Adapters, adapter) {
			return fescuebank.Order{Kind: fescuebank.OrderLoadAdapter, Model: m.Name, Version: m.Version, Adapter: adapter}, true
		}
	}
	return fescuebank.Order{}, false
}

// placed returns the endpoints that should have a model: the first of those
// that live, by hash of model and endpoint. When one goes the next takes its
// place.
func (v view) placed(m fescuebank.Model) []fescuebank.EndpointID {
	var living []fescuebank.EndpointID
	for i := range v.state.Endpoints {
		e := &v.state.Endpoints[i]
		report, alive := v.report(e.ID)
		if e.Serves(m.Name) && alive && !e.Leaving && !report.Leaving {
			living = append(living, e.ID)
		}
	}
	if m.Replicas == 0 || len(living) <= m.Replicas {
		return living
	}
	slices.SortFunc(living, func(a, b fescuebank.EndpointID) int {
		return cmp.Compare(placeOf(m.Name, a), placeOf(m.Name, b))
	})
	return living[:m.Replicas]
}

func placeOf(m fescuebank.ModelName, e fescuebank.EndpointID) uint64 {
	return xxhash.Sum64String(string(m) + "/" + string(e))
}

// mayUnload reports whether a model should go from an endpoint and all
// endpoints that should have it do.
func (v view) mayUnload(name fescuebank.ModelName, from fescuebank.EndpointID) bool {
	i := slices.IndexFunc(v.state.Models, func(m fescuebank.Model) bool { return m.Name == name })
	if i < 0 {
		return true
	}
	m := v.state.Models[i]
	placed := v.placed(m)
	if len(placed) == 0 || slices.Contains(placed, from) {
		return false
	}
	for _, id := range placed {
		report, _ := v.report(id)
		if loaded, ok := report.LoadedAs(name); !ok || loaded.Version != m.Version {
			return false
		}
	}
	return true
}
