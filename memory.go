package fescuebank

const (
	// heldMemoryShare is the share of an instance's memory that may hold bodies of requests and of responses, and unread
	// parts of these. The rest is for everything else that the process allocates.
	heldMemoryShare = 0.25
	// defaultHeldMemory applies if the settings don't state the memory.
	defaultHeldMemory = 64 * MiB
)

// HeldMemory returns the size of the MemoryBudget of an instance by its memory in MiB, 0 if unknown.
func HeldMemory(memoryMiB int) Bytes {
	if memoryMiB <= 0 {
		return defaultHeldMemory
	}
	return Bytes(heldMemoryShare * float64(Bytes(memoryMiB)*MiB))
}

// MemoryBudget bounds the memory that an instance holds for callers and endpoints that send or read
// slowly: bodies of requests until these end, and parts of responses that callers haven't read yet.
type MemoryBudget interface {
	// Reserve reserves memory. It reports false, and reserves nothing, if too little is left.
	Reserve(n Bytes) bool
	// Release returns reserved memory.
	Release(n Bytes)
}
