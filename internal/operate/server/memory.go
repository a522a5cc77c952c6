package server

import "fescuebank"

const (
	// closedJobsShare is the share of the instance's memory that may hold batch jobs that are done or ended.
	closedJobsShare = 0.125
	// defaultClosedJobsMemory applies if the settings don't state the memory.
	defaultClosedJobsMemory = 32 * fescuebank.MiB
)

// closedJobsMemory returns the budget of memory for batch jobs that are done or ended, by the memory
// of the instance in MiB, 0 if unknown.
func closedJobsMemory(memoryMiB int) fescuebank.Bytes {
	if memoryMiB <= 0 {
		return defaultClosedJobsMemory
	}
	return fescuebank.Bytes(closedJobsShare * float64(fescuebank.Bytes(memoryMiB)*fescuebank.MiB))
}
