package fescuebank

import (
	"cmp"
	"context"

	"github.com/cespare/xxhash/v2"
)

// Instance describes one instance to the others.
type Instance struct {
	// ID is unique in the fleet.
	ID InstanceID `json:"id"`
	// Zone is the availability zone from the instance's settings.
	Zone Zone `json:"zone"`
	// CallerURL is where callers connect, such as "http://10.0.0.1:8080".
	CallerURL string `json:"callerUrl"`
	// PeerAddr is the host:port of the protocol between instances.
	PeerAddr string `json:"peerAddr"`
	// Weight is the capacity relative to other instances, above 0.
	Weight float64 `json:"weight"`
}

// HashRank returns the number of members that precede an instance in the order of a key, by
// rendezvous hashing: the largest hash of key and id first, equal ones by id. All instances with the
// same members agree on it, and an instance that comes or goes changes the rank of each other by one
// at most.
func HashRank(key string, id InstanceID, members []InstanceID) int {
	hash := func(m InstanceID) uint64 { return xxhash.Sum64String(key + string(m)) }
	own, rank := hash(id), 0
	for _, m := range members {
		if c := cmp.Compare(hash(m), own); c > 0 || (c == 0 && m < id) {
			rank++
		}
	}
	return rank
}

// ListedInstance is an entry of the platform's list of instances, which lags.
type ListedInstance struct {
	Instance
	// Leaving is set when the platform is about to remove the instance.
	Leaving bool `json:"leaving"`
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// Instances returns the live and the leaving instances, as of some time ago.
	Instances(ctx context.Context) ([]ListedInstance, error)
	// Announce registers the calling instance, or reports that it is leaving.
	Announce(ctx context.Context, i ListedInstance) error
}
