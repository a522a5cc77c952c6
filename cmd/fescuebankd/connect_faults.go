//go:build faults

package main

import "fescuebank/internal/soak/partitioner"

// endpointConnector returns what opens connections to endpoints. The file beside the settings whose
// name ends in .partition cuts this instance off from them.
func endpointConnector(settings string) connectFunc {
	return partitioner.Watch(settings + partitioner.FileSuffix).Connect
}
