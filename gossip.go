package fescuebank

import "github.com/cespare/xxhash/v2"

// EndpointTag is a hash of an endpoint's id that shortens messages between
// instances. If two endpoints collide, their counts add up and look too high.
type EndpointTag uint32

// Tag returns the endpoint's tag.
func (e EndpointID) Tag() EndpointTag {
	return EndpointTag(xxhash.Sum64String(string(e)))
}

// EndpointCounts holds the number of requests of each endpoint.
type EndpointCounts map[EndpointTag]int

// Add adds other to c.
func (c EndpointCounts) Add(other EndpointCounts) {
	for tag, n := range other {
		c[tag] += n
	}
}

// Subtract subtracts other, which was added to c before.
func (c EndpointCounts) Subtract(other EndpointCounts) {
	for tag, n := range other {
		c[tag] -= n
		if c[tag] == 0 {
			delete(c, tag)
		}
	}
}

// ServiceCounts holds a number of requests for each service. Counts of 0 are omitted.
type ServiceCounts map[ServiceName]int

// Add adds other to c.
func (c ServiceCounts) Add(other ServiceCounts) {
	for service, n := range other {
		c[service] += n
	}
}

// Subtract subtracts other, which was added to c before.
func (c ServiceCounts) Subtract(other ServiceCounts) {
	for service, n := range other {
		c[service] -= n
		if c[service] == 0 {
			delete(c, service)
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

// Gossip is the message that an instance sends to all others at each change and
// at regular intervals.
type Gossip struct {
	From        InstanceID  `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Sequence grows with each message of an incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// Ready instances accept callers' requests; Leaving ones are about to shut down.
	Ready   bool `cbor:"4,keyasint,omitempty"`
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Online and Batch count the requests that the instance has in flight at
	// endpoints.
	Online EndpointCounts `cbor:"6,keyasint,omitempty"`
	Batch  EndpointCounts `cbor:"7,keyasint,omitempty"`
	// Waiting is the number of online requests that wait for a slot.
	Waiting int `cbor:"8,keyasint,omitempty"`
	// WaitingAt divides Waiting among the services. It is left out while all endpoints known are of one service, and by
	// older builds.
	WaitingAt ServiceCounts `cbor:"34,keyasint,omitempty"`
	// ConfigVersion and EndpointsVersion are the store versions at which the instance last saw
	// a change of the configuration and of the endpoints.
	ConfigVersion    StoreVersion `cbor:"9,keyasint"`
	EndpointsVersion StoreVersion `cbor:"10,keyasint"`
	// Received acknowledges the newest messages from some of the other incarnations, all of
	// them in rotation. It is left out of messages that only announce a change.
	Received map[IncarnationTag]ReceivedFrom `cbor:"11,keyasint,omitempty"`
	// Epoch is the epoch of the newest list of owners that the instance has applied.
	Epoch FencingNumber `cbor:"12,keyasint,omitempty"`
	// StoreUnreachable is set while the instance can't reach the store.
	StoreUnreachable bool `cbor:"13,keyasint,omitempty"`
	// OwnerListAgeMs is how long ago the instance read the list of owners from the store
	// and found Epoch in force, in milliseconds; 0 if it has not.
	OwnerListAgeMs int64 `cbor:"14,keyasint,omitempty"`
	// Outcomes are the recent outcomes at the endpoints that failed a request of any
	// instance, TotalOutcomes those at all endpoints together.
	Outcomes      OutcomeCounts `cbor:"15,keyasint,omitempty"`
	TotalOutcomes Outcomes      `cbor:"18,keyasint"`
	Zone          Zone          `cbor:"16,keyasint,omitempty"`
	// Ejected are the endpoints that the instance itself has ejected as outliers.
	Ejected map[EndpointTag]Ejection `cbor:"17,keyasint,omitempty"`
	// Started counts the online requests that the instance has sent to endpoints.
	Started uint64 `cbor:"21,keyasint,omitempty"`
	// Relay asks the receiver to relay the message to all other instances.
	Relay bool `cbor:"19,keyasint,omitempty"`
	// MembersVersion is the store version at which the instance last saw a change of the
	// member entries.
	MembersVersion StoreVersion `cbor:"20,keyasint,omitempty"`
	// Crashes are the recent crashes of endpoints under requests of the instance, and
	// Quarantines what it has quarantined because of crashes.
	Crashes     []CrashReport `cbor:"22,keyasint,omitempty"`
	Quarantines []Quarantine  `cbor:"23,keyasint,omitempty"`
	// Completed holds suspects that the instance saw complete, with the time since then in
	// milliseconds, and Trials those that it is running.
	Completed map[SuspectKey]int64 `cbor:"24,keyasint,omitempty"`
	Trials    []SuspectKey         `cbor:"25,keyasint,omitempty"`
	// RateLimits are statements of endpoints about the rate of requests that they take: recent
	// changes that the instance observed, and in messages with Received those that it repeats.
	RateLimits map[EndpointTag]RateLimitStatement `cbor:"26,keyasint,omitempty"`
	// LeavingEndpoints are the endpoints that stated in a response to the instance that they leave, with the
	// start of the incarnation that did so, in Unix milliseconds.
	LeavingEndpoints map[EndpointTag]int64 `cbor:"33,keyasint,omitempty"`
	// EndpointsLost is set while the instance reaches no endpoint, and Tunnels counts the
	// connections to endpoints that it holds for other instances.
	EndpointsLost bool `cbor:"27,keyasint,omitempty"`
	Tunnels       int  `cbor:"28,keyasint,omitempty"`
	// Zones is what the instance knows of evacuated zones and cold endpoints; nil if its settings
	// don't switch evacuations on and it has found no endpoint to be cold.
	Zones *ZoneGossip `cbor:"29,keyasint,omitempty"`
	// Paces holds what the instance has observed since its previous message of how long work
	// takes at endpoints.
	Paces map[EndpointIncarnationTag]PaceStatement `cbor:"30,keyasint,omitempty"`
	// Demand is set while slots are short.
	Demand *SlotDemand `cbor:"31,keyasint,omitempty"`
}

// RelayedGossip is a gossip message of another instance. Origin and Sequence let a receiver
// that already has it skip it without decoding.
type RelayedGossip struct {
	_        struct{} `cbor:",toarray"`
	Origin   IncarnationTag
	Sequence uint64
	// Body is the encoded message.
	Body []byte
}

// GossipBundle is the message with which an instance relays gossip.
type GossipBundle struct {
	// From is the relaying instance.
	From InstanceID `cbor:"1,keyasint"`
	// Started counts the online requests that the instance has sent to endpoints.
	Started uint64 `cbor:"21,keyasint,omitempty"`
	// Relay asks the receiver to relay the messages to its own zone.
	Relay    bool            `cbor:"2,keyasint,omitempty"`
	Messages []RelayedGossip `cbor:"3,keyasint"`
}

// IncarnationTag is a hash of an instance's id and incarnation that shortens
// messages between instances.
type IncarnationTag uint64

// Tag returns the tag of the incarnation.
func (h Holder) Tag() IncarnationTag {
	return IncarnationTag(xxhash.Sum64String(string(h.ID) + "/" + string(h.Incarnation)))
}

// ReceivedFrom acknowledges the newest message that one instance received from another.
type ReceivedFrom struct {
	_ struct{} `cbor:",toarray"`
	// Sequence is the sequence number of that message.
	Sequence uint64
	// Epoch is the epoch of the list of owners that the message stated as applied.
	Epoch FencingNumber
}

// ReplicaDelta holds the changes of an instance's replica of a prefix since some version.
type ReplicaDelta struct {
	Objects []Object `cbor:"1,keyasint,omitempty"`
	// At is the store version up to which the replica is current.
	At StoreVersion `cbor:"2,keyasint,omitempty"`
	// Versions holds the versions of all objects of the replica, by key.
	Versions map[string]StoreVersion `cbor:"3,keyasint,omitempty"`
}

// MemberEntry is an instance's registration in the store.
type MemberEntry struct {
	ID          InstanceID  `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	Zone        Zone        `json:"zone"`
	// CallerAddr is where callers connect, empty if the instance accepts none.
	CallerAddr string `json:"callerAddr,omitempty"`
	PeerAddr   string `json:"peerAddr"`
	// Owner instances own batch jobs and limits.
	Owner bool `json:"owner,omitempty"`
	// Weight is the capacity relative to other instances.
	Weight float64 `json:"weight"`
	// Heartbeat is incremented at each write of the entry. An owner that receives no
	// gossip from most other owners writes its entry periodically, to show through the
	// store that it is alive.
	Heartbeat uint64 `json:"beat,omitempty"`
	// ConfirmsChanges is set by owner instances that acknowledge changes of batch jobs only while the store names them as the owner.
	// Older builds don't have it.
	ConfirmsChanges bool `json:"confirmsChanges,omitempty"`
}

// MemberPrefix is the store prefix of the instances' entries.
const MemberPrefix = "instances/"
