package fescuebank

import (
	"context"
	"errors"
	"time"
)

// MessageKind is the kind of a request in the protocol between instances.
type MessageKind uint8

// The requests between instances. Numbers are never reused.
const (
	KindProbe MessageKind = iota + 1
	KindTokens
	KindPull
	KindReport
	KindWithdraw
	KindLoad
	KindStatus
	KindLend
	KindCrashRecord
	KindPermit
	KindBucketHandover
	KindGossip
	KindAcquire
	KindSubmitJob
	KindReadResults
	KindReadItem
	KindEndJob
	KindRelay
	KindReplica
	KindOwners
	KindProgressHandover
	KindServiceLevels
	KindGossipBundle
	KindRecordStreams
	KindFindStream
	KindDialEndpoint
)

// ProbeRequest checks whether an instance is alive and carries health updates.
type ProbeRequest struct {
	From    InstanceID     `cbor:"1,keyasint"`
	Updates []HealthUpdate `cbor:"2,keyasint"`
	Version Versions       `cbor:"3,keyasint"`
}

// ProbeReply answers a probe.
type ProbeReply struct {
	ID      InstanceID     `cbor:"1,keyasint"`
	Updates []HealthUpdate `cbor:"2,keyasint"`
	Version Versions       `cbor:"3,keyasint"`
}

// Versions states the newest versions of shared state that an instance knows. An
// instance that receives a newer one reads it from the store at once, even if its
// watch has not reported the change.
type Versions struct {
	// Generation is that of the configuration in force.
	Generation Generation `cbor:"1,keyasint"`
	// Assignment is the newest assignment applied.
	Assignment FencingNumber `cbor:"2,keyasint"`
	// WithdrawnDigest is a digest of the known key withdrawals.
	WithdrawnDigest uint64 `cbor:"3,keyasint"`
}

// PullRequest requests batch items from a job owner.
type PullRequest struct {
	From InstanceID `cbor:"1,keyasint"`
	// Models are the models of the endpoint that has free slots.
	Models []ModelName `cbor:"2,keyasint"`
	// Limit is the largest number of items to return.
	Limit int `cbor:"3,keyasint"`
}

// PulledItem is one item handed out to an instance that pulls items.
type PulledItem struct {
	Ref ItemRef `cbor:"1,keyasint"`
	// Attempt is incremented each time the item is handed out.
	Attempt int    `cbor:"2,keyasint"`
	Team    TeamID `cbor:"3,keyasint"`
	// Line is the input line.
	Line []byte `cbor:"4,keyasint"`
	// Resume is what earlier attempts generated.
	Resume PartialResponse `cbor:"5,keyasint"`
}

// PullReply hands out items for the duration Expiry.
type PullReply struct {
	Items []PulledItem `cbor:"1,keyasint"`
	// Expiry is how long the pulling instance may take between two reports of an item
	// before the owner hands it out again.
	Expiry time.Duration `cbor:"2,keyasint"`
	// Weight is the sum of the weights of the teams that still have pending items.
	Weight float64 `cbor:"3,keyasint"`
}

// ReportKind is the kind of an item report.
type ReportKind uint8

// The kinds of item reports.
const (
	// ItemDone reports the outcome of the item.
	ItemDone ReportKind = iota + 1
	// ItemReturned returns the item with the output generated so far.
	ItemReturned
	// ItemRunning extends the expiry.
	ItemRunning
	// ItemLost returns the item after its endpoint was lost or fell silent while running it.
	ItemLost
	// ItemFailed returns the item after its endpoint responded that it failed.
	ItemFailed
)

// ItemReport reports the state of one pulled item.
type ItemReport struct {
	Ref     ItemRef         `cbor:"1,keyasint"`
	Attempt int             `cbor:"2,keyasint"`
	Kind    ReportKind      `cbor:"3,keyasint"`
	Outcome ItemOutcome     `cbor:"4,keyasint"`
	Resume  PartialResponse `cbor:"5,keyasint"`
	// Used is the number of tokens generated since the previous report.
	Used Tokens `cbor:"6,keyasint"`
}

// ReportRequest reports the states of items to the owner of their jobs.
type ReportRequest struct {
	From    InstanceID   `cbor:"1,keyasint"`
	Reports []ItemReport `cbor:"2,keyasint"`
}

// ReportReply names the items that the pulling instance should stop.
type ReportReply struct {
	Stop []ItemRef `cbor:"1,keyasint"`
}

// WithdrawRequest propagates withdrawn keys between instances.
type WithdrawRequest struct {
	Hashes []KeyHash `cbor:"1,keyasint"`
}

// WithdrawReply returns the withdrawn keys that the receiver knows and the request
// did not contain.
type WithdrawReply struct {
	Hashes []KeyHash `cbor:"1,keyasint"`
}

// StatusRequest requests an instance's counters and state.
type StatusRequest struct{}

// StatusReply is an instance's state for operators.
type StatusReply struct {
	// JSON is an encoded InstanceStatus.
	JSON []byte `cbor:"1,keyasint"`
}

// Errors of a Peer.
var (
	// ErrPeerUnreachable means that the peer certainly did not receive the request.
	ErrPeerUnreachable = errors.New("peer unreachable")
	// ErrPeerLost means that the peer may have acted on the request.
	ErrPeerLost = errors.New("connection to peer lost")
	// ErrNotOwner means that the peer doesn't own the object of the request.
	ErrNotOwner = errors.New("peer is not the owner")
)

// Peer calls other instances.
type Peer interface {
	// Call sends request to the instance at addr and decodes the response into
	// reply, a pointer. Errors of the connection wrap one of those above.
	Call(ctx context.Context, addr string, kind MessageKind, request, reply any) error
}

// MemberCaller calls other instances by their id.
type MemberCaller interface {
	// Call is like Peer.Call, with the id in place of the address.
	Call(ctx context.Context, id InstanceID, kind MessageKind, request, reply any) error
}

// PeerHandler handles one kind of request, which it decodes with decode.
type PeerHandler func(ctx context.Context, decode func(into any) error) (reply any, err error)

// TeamDemand is the number of a team's requests that run or wait at one instance.
type TeamDemand struct {
	Team  TeamID `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// EndpointUse is one instance's use of one endpoint.
type EndpointUse struct {
	ID EndpointID `cbor:"1,keyasint"`
	// Online is the number of the instance's online requests at the endpoint.
	Online int `cbor:"2,keyasint"`
	// Demands is only set while requests wait for a free slot.
	Demands []TeamDemand `cbor:"3,keyasint,omitempty"`
}

// LoadNotice reports an instance's use of endpoints to their owner.
type LoadNotice struct {
	From InstanceID `cbor:"1,keyasint"`
	// Sequence grows with each notice of an instance; older ones are ignored.
	Sequence uint64        `cbor:"2,keyasint"`
	Uses     []EndpointUse `cbor:"3,keyasint"`
}

// EndpointCredit is what the owner of an endpoint allows one instance.
type EndpointCredit struct {
	ID EndpointID `cbor:"1,keyasint"`
	// Limit is the largest number of the instance's online requests at the endpoint.
	Limit int `cbor:"2,keyasint"`
	// OtherRequests is the number of other instances' online requests at the endpoint.
	OtherRequests int `cbor:"3,keyasint"`
}

// LoadReply answers a LoadNotice. It leaves out endpoints that the called instance
// doesn't own.
type LoadReply struct {
	Credits []EndpointCredit `cbor:"1,keyasint"`
}

// StreamRecord states the software version of the endpoints that a resumable stream began
// at. Only endpoints of that version may continue the stream.
type StreamRecord struct {
	// ID is the id of the request whose response contained the first event.
	ID RequestID `cbor:"1,keyasint"`
	// Version is empty if the endpoint states no version.
	Version string `cbor:"2,keyasint,omitempty"`
}

// RecordStreamsRequest stores copies of an instance's stream records at another one.
type RecordStreamsRequest struct {
	Records []StreamRecord `cbor:"1,keyasint"`
}

// RecordStreamsReply acknowledges that all records of the request are stored.
type RecordStreamsReply struct{}

// FindStreamRequest asks an instance for its record of a stream.
type FindStreamRequest struct {
	ID RequestID `cbor:"1,keyasint"`
}

// FindStreamReply answers a FindStreamRequest.
type FindStreamReply struct {
	// Found is set if the instance has a record of the stream; otherwise Version is empty.
	Found   bool   `cbor:"1,keyasint,omitempty"`
	Version string `cbor:"2,keyasint,omitempty"`
	// Conflicting is set if several versions are recorded; Version is empty then.
	Conflicting bool `cbor:"3,keyasint,omitempty"`
}
