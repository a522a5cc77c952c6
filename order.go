package fescuebank

// OrderKind is what an order makes an endpoint do.
type OrderKind string

// The orders that endpoints accept.
const (
	OrderLoadModel   OrderKind = "loadModel"
	OrderUnloadModel OrderKind = "unloadModel"
	OrderLoadAdapter OrderKind = "loadAdapter"
	OrderChangeRole  OrderKind = "changeRole"
)

// Order makes an endpoint change what it serves.
type Order struct {
	// Fencing is the fencing number of the owner that sends the order. An endpoint
	// that checks it refuses numbers lower than the highest one it has seen.
	Fencing FencingNumber `json:"fencing"`
	Kind    OrderKind     `json:"kind"`
	Model   ModelName     `json:"model,omitempty"`
	Version string        `json:"version,omitempty"`
	Adapter string        `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
}
