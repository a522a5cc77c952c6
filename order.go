package fescuebank

// OrderKind says what an endpoint is told to do.
type OrderKind string

// The orders that endpoints take.
const (
	OrderLoadModel   OrderKind = "loadModel"
	OrderUnloadModel OrderKind = "unloadModel"
	OrderLoadAdapter OrderKind = "loadAdapter"
	OrderChangeRole  OrderKind = "changeRole"
)

// Order tells an endpoint to change what it serves.
type Order struct {
	// Fencing is the number of the owner that gives the order. An endpoint that
	// checks it refuses numbers lower than one it has seen.
	Fencing FencingNumber `json:"fencing"`
	Kind    OrderKind     `json:"kind"`
	Model   ModelName     `json:"model,omitempty"`
	Version string        `json:"version,omitempty"`
	Adapter string        `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
}
