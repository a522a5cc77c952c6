// Package reserver keeps the memory that an instance holds for callers and endpoints within a budget. It
// answers a load of large or slow requests: each of them is within the limits of the configuration, but
// all of them together exceed the memory of the instance.
package reserver

import (
	"sync"

	"fescuebank"
)

const (
	// largestPart is the share of the free budget that one reservation may take, so that a few large
	// requests leave room for many small ones.
	largestPart = 0.5
	// freeSize is the size up to which a reservation may take the rest of the budget.
	freeSize = 16 * fescuebank.KiB
)

// Reserver is a fescuebank.MemoryBudget.
type Reserver struct {
	budget fescuebank.Bytes

	mu sync.Mutex
	// held is between 0 and budget.
	held    fescuebank.Bytes
	refused uint64
}

// New returns a reserver of a budget above 0.
func New(budget fescuebank.Bytes) *Reserver {
	return &Reserver{budget: budget}
}

// Reserve reserves memory. It reports false, and reserves nothing, if too little is left.
func (r *Reserver) Reserve(n fescuebank.Bytes) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := r.budget - r.held
	most := max(fescuebank.Bytes(largestPart*float64(free)), min(free, freeSize))
	if n > most {
		r.refused++
		return false
	}
	r.held += n
	return true
}

// Release returns reserved memory, at most as much as was reserved.
func (r *Reserver) Release(n fescuebank.Bytes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = max(0, r.held-n)
}

// Status is the state of a reserver.
type Status struct {
	HeldBytes   fescuebank.Bytes `json:"heldBytes"`
	BudgetBytes fescuebank.Bytes `json:"budgetBytes"`
	// Refused counts the reservations that found too little left.
	Refused uint64 `json:"refused"`
}

// Status returns the state.
func (r *Reserver) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{HeldBytes: r.held, BudgetBytes: r.budget, Refused: r.refused}
}
