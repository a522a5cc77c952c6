package fescuebank

import "github.com/cespare/xxhash/v2"

// EndpointTag is a short name of an endpoint for messages between instances.
// Two endpoints may share one; counts are then seen too high.
type EndpointTag uint32

// Tag returns the short name of an endpoint.
func (e EndpointID) Tag() EndpointTag {
	return EndpointTag(xxhash.Sum64String(string(e)))
}

// EndpointCounts are numbers of requests by endpoint.
type EndpointCounts map[EndpointTag]int

// Add adds other to c.
func (c EndpointCounts) Add(other EndpointCounts) {
	for tag, n := range other {
		c[tag] += n
	}
}

// Subtract takes other, a part of c, out of c.
func (c EndpointCounts) Subtract(other EndpointCounts) {
	for tag, n := range other {
		c[tag] -= n
		if c[tag] == 0 {
			delete(c, tag)
		}
	}
}

// Sum returns the number of requests at all endpoints.
func (c EndpointCounts) Sum() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// Gossip is what an instance tells all others, at each change and regularly.
type Gossip struct {
	From        InstanceID  `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Sequence grows with each message of an incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// Ready instances take callers' requests; Leaving ones are about to end.
	Ready   bool `cbor:"4,keyasint,omitempty"`
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Online and Batch count the requests that the instance has at endpoints.
	Online EndpointCounts `cbor:"6,keyasint,omitempty"`
	Batch  EndpointCounts `cbor:"7,keyasint,omitempty"`
	// Waiting is the number of online requests that wait for a place.
	Waiting int `cbor:"8,keyasint,omitempty"`
	// Config and Endpoints are the store versions at which the instance last saw
	// a change of the configuration and of the endpoints.
	Config    StoreVersion `cbor:"9,keyasint"`
	Endpoints StoreVersion `cbor:"10,keyasint"`
	// Received tells what was received from some of the other runs, each in its turn. It
	// is left out of messages that only tell a change.
	Received map[IncarnationTag]ReceivedFrom `cbor:"11,keyasint,omitempty"`
	// Epoch is that of the newest list of owners applied.
	Epoch FencingNumber `cbor:"12,keyasint,omitempty"`
	// StoreUnreachable is set while the instance doesn't reach the store.
	StoreUnreachable bool `cbor:"13,keyasint,omitempty"`
	// OwnerListAge is how long ago the instance read the list of owners and found the
	// epoch in force, in milliseconds; 0 if it hasn't.
	OwnerListAge int64 `cbor:"14,keyasint,omitempty"`
	// Outcomes are those of late at the endpoints that failed a request of any instance,
	// and TotalOutcomes those at all endpoints.
	Outcomes      OutcomeCounts `cbor:"15,keyasint,omitempty"`
	TotalOutcomes Outcomes      `cbor:"18,keyasint"`
	Zone          Zone          `cbor:"16,keyasint,omitempty"`
	// Ejected are the endpoints that the instance leaves out by its own judgement.
	Ejected map[EndpointTag]Ejection `cbor:"17,keyasint,omitempty"`
}

// IncarnationTag is a short name of one run of an instance for messages between instances.
type IncarnationTag uint64

// Tag returns the short name of a run.
func (h Holder) Tag() IncarnationTag {
	return IncarnationTag(xxhash.Sum64String(string(h.ID) + "/" + string(h.Incarnation)))
}

// ReceivedFrom is what one instance last received from another.
type ReceivedFrom struct {
	_ struct{} `cbor:",toarray"`
	// Sequence is that of the newest message.
	Sequence uint64
	// Epoch is the one that the message acknowledged.
	Epoch FencingNumber
}

// MemberEntry is an instance's entry in the store.
type MemberEntry struct {
	ID          InstanceID  `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	Zone        Zone        `json:"zone"`
	// CallerAddr is where callers connect, empty if the instance takes none.
	CallerAddr string `json:"callerAddr,omitempty"`
	PeerAddr   string `json:"peerAddr"`
	// Owner instances own batch jobs and limits.
	Owner bool `json:"owner,omitempty"`
	// Weight is the capacity relative to other instances.
	Weight float64 `json:"weight"`
	// Heartbeat grows while the instance can't tell otherwise that it lives.
	Heartbeat uint64 `json:"beat,omitempty"`
}

// MemberPrefix is the store prefix of the instances' entries.
const MemberPrefix = "instances/"
