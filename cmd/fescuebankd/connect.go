//go:build !faults

package main

import "fescuebank/internal/endpoint/dialer"

// endpointConnector returns what opens connections to endpoints.
func endpointConnector(string) connectFunc {
	return dialer.Connect
}
