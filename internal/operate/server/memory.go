package server

import "fescuebank"

const (
	// heldMemoryShare is the share of the instance's memory that may hold bodies of requests and unread
	// parts of responses. The rest is for everything else that the process allocates.
	heldMemoryShare = 0.25
	// defaultHeldMemory applies if the settings don't state the memory.
	defaultHeldMemory = 64 * fescuebank.MiB
)

// heldMemory returns the budget of memory held for callers and endpoints, by the memory of the
// instance in MiB, 0 if unknown.
func heldMemory(memoryMiB int) fescuebank.Bytes {
	if memoryMiB <= 0 {
		return defaultHeldMemory
	}
	return fescuebank.Bytes(heldMemoryShare * float64(fescuebank.Bytes(memoryMiB)*fescuebank.MiB))
}
