package allocator

import "fescuebank"

// Paces knows how long work takes at each endpoint.
type Paces interface {
	fescuebank.EndpointPaces
	// LastingPace returns the pace of an endpoint apart from momentary slowdowns, 1 if nothing is
	// known of it.
	LastingPace(id fescuebank.EndpointID) fescuebank.Pace
	// Observe applies a load report that an endpoint has sent to this instance.
	Observe(e fescuebank.ServedEndpoint, load fescuebank.EndpointLoad)
}

// noPaces are Paces that know nothing.
type noPaces struct{}

func (noPaces) Pace(fescuebank.EndpointID) fescuebank.Pace                 { return 1 }
func (noPaces) LastingPace(fescuebank.EndpointID) fescuebank.Pace          { return 1 }
func (noPaces) Observe(fescuebank.ServedEndpoint, fescuebank.EndpointLoad) {}

// SetPaces makes the allocator weigh the paces of endpoints. It is called before the first request.
func (a *Allocator) SetPaces(p Paces) {
	a.paces = p
}
