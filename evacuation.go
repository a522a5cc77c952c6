package fescuebank

// Evacuation is an operator's request that nothing more be sent to the endpoints of an
// availability zone. It is in force from the store's acknowledgement until it is removed.
type Evacuation struct {
	Zone Zone `json:"zone"`
	// Version is the store version at which it was requested.
	Version StoreVersion `json:"version"`
}

// ZoneGossip is what an instance tells others about evacuated zones and cold endpoints.
type ZoneGossip struct {
	// Evacuations is the store version at which the instance last saw a change of the
	// evacuations, 1 if it knows them and has seen none, and 0 if it doesn't know them.
	Evacuations StoreVersion `cbor:"1,keyasint,omitempty"`
	// Cold holds the endpoints that the instance itself found to be cold, with the time for which
	// they stay so at most, in milliseconds.
	Cold map[EndpointTag]int64 `cbor:"2,keyasint,omitempty"`
}

// EvacuationStatus is what one instance knows of the evacuations and of who applies them.
type EvacuationStatus struct {
	Instance InstanceID `json:"instance"`
	// Known is set once the instance has learnt which zones are evacuated. It sends
	// nothing to endpoints before.
	Known bool                  `json:"known"`
	Zones []EvacuationZoneState `json:"zones"`
	// Behind are the live instances that don't state the newest change as applied, and
	// Applied is the number of those that do, this one included.
	Behind  []InstanceID `json:"behind"`
	Applied int          `json:"applied"`
}

// EvacuationZoneState is one evacuated zone as one instance sees it.
type EvacuationZoneState struct {
	Evacuation
	// AppliedMsAgo is how long ago the instance applied it.
	AppliedMsAgo int64 `json:"appliedMsAgo"`
	// InFlight is the number of requests of all instances at the zone's endpoints.
	InFlight int `json:"inFlight"`
}
