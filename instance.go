package fescuebank

import "context"

// Instance is one entry instance as the others know it.
type Instance struct {
	// ID is unique in the fleet.
	ID InstanceID `json:"id"`
	// Zone is the availability zone from the instance's settings.
	Zone Zone `json:"zone"`
	// CallerURL is where callers connect, such as "http://10.0.0.1:8080".
	CallerURL string `json:"callerUrl"`
	// PeerAddr is the host:port of the inner protocol.
	PeerAddr string `json:"peerAddr"`
	// Weight is the capacity relative to other instances, above 0.
	Weight float64 `json:"weight"`
}

// ListedInstance is an entry of the platform's list. The list lags.
type ListedInstance struct {
	Instance
	// Leaving is set once the platform is about to take the instance away.
	Leaving bool `json:"leaving"`
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// Instances returns live and leaving instances, as known some time ago.
	Instances(ctx context.Context) ([]ListedInstance, error)
	// Announce registers the instance that asks, or its leaving.
	Announce(ctx context.Context, i ListedInstance) error
}
