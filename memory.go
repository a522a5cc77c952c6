package fescuebank

// MemoryBudget bounds the memory that an instance holds for callers and endpoints that send or read
// slowly: bodies of requests until these end, and parts of responses that callers haven't read yet.
type MemoryBudget interface {
	// Reserve reserves memory. It reports false, and reserves nothing, if too little is left.
	Reserve(n Bytes) bool
	// Release returns reserved memory.
	Release(n Bytes)
}
