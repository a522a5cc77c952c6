package fescuebank

import "time"

// VersionPrefix is the store prefix of the records of the services' software versions.
const VersionPrefix = "softwareversions/"

// SoleVersion is the only software version at which endpoints of a service have been listed since
// a time.
type SoleVersion struct {
	// Version is empty if several versions are listed.
	Version string
	Since   time.Time
}
