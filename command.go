package fescuebank

// CommandKind is what a command makes an endpoint do.
type CommandKind string

// The commands that endpoints accept.
const (
	CommandLoadModel   CommandKind = "loadModel"
	CommandUnloadModel CommandKind = "unloadModel"
	CommandLoadAdapter CommandKind = "loadAdapter"
	CommandChangeRole  CommandKind = "changeRole"
)

// Command makes an endpoint change what it serves.
type Command struct {
	// Fencing is the fencing number of the owner that sends the command. An endpoint
	// that checks it refuses numbers lower than the highest one it has seen.
	Fencing FencingNumber `json:"fencing"`
	Kind    CommandKind   `json:"kind"`
	Model   ModelName     `json:"model,omitempty"`
	Version string        `json:"version,omitempty"`
	Adapter string        `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
}
