package fescuebank

import (
	"context"
	"errors"
	"time"
)

// MessageKind numbers the requests of the inner protocol.
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
)

// ProbeRequest asks whether an instance is alive and passes knowledge on.
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

// Versions are the newest shared states that an instance knows. An instance
// that hears of a newer one reads it at once, though its watch said nothing.
type Versions struct {
	// Applied is the configuration in force.
	Applied Generation `cbor:"1,keyasint"`
	// Assignment is the newest assignment applied.
	Assignment FencingNumber `cbor:"2,keyasint"`
	// Withdrawn is a digest of the known key withdrawals.
	Withdrawn uint64 `cbor:"3,keyasint"`
}

// PullRequest asks a job owner for batch items.
type PullRequest struct {
	From InstanceID `cbor:"1,keyasint"`
	// Models are those of the endpoint that has room.
	Models []ModelName `cbor:"2,keyasint"`
	// Limit bounds the number of items.
	Limit int `cbor:"3,keyasint"`
}

// PulledItem is one item handed to a puller.
type PulledItem struct {
	Ref ItemRef `cbor:"1,keyasint"`
	// Attempt grows with each time the item is handed out.
	Attempt int    `cbor:"2,keyasint"`
	Team    TeamID `cbor:"3,keyasint"`
	// Line is the input line.
	Line []byte `cbor:"4,keyasint"`
	// Resume is what a former attempt generated.
	Resume Partial `cbor:"5,keyasint"`
}

// PullReply hands out items until Expiry.
type PullReply struct {
	Items []PulledItem `cbor:"1,keyasint"`
	// Expiry is how long the puller may stay silent about an item.
	Expiry time.Duration `cbor:"2,keyasint"`
	// Weight is the summed weight of the teams that still have pending items.
	Weight float64 `cbor:"3,keyasint"`
}

// ReportKind says what a puller reports of an item.
type ReportKind uint8

// What can be reported of an item.
const (
	// ItemDone carries the outcome.
	ItemDone ReportKind = iota + 1
	// ItemReturned gives the item back with what was generated.
	ItemReturned
	// ItemRunning extends the expiry.
	ItemRunning
	// ItemLost gives the item back after its endpoint failed under it.
	ItemLost
)

// ItemReport is a puller's word on one item.
type ItemReport struct {
	Ref     ItemRef     `cbor:"1,keyasint"`
	Attempt int         `cbor:"2,keyasint"`
	Kind    ReportKind  `cbor:"3,keyasint"`
	Outcome ItemOutcome `cbor:"4,keyasint"`
	Resume  Partial     `cbor:"5,keyasint"`
	// Used is the number of tokens generated since the last report.
	Used Tokens `cbor:"6,keyasint"`
}

// ReportRequest reports items to their job's owner.
type ReportRequest struct {
	From    InstanceID   `cbor:"1,keyasint"`
	Reports []ItemReport `cbor:"2,keyasint"`
}

// ReportReply names the items that the puller should stop.
type ReportReply struct {
	Stop []ItemRef `cbor:"1,keyasint"`
}

// WithdrawRequest spreads key withdrawals between instances.
type WithdrawRequest struct {
	Hashes []KeyHash `cbor:"1,keyasint"`
}

// WithdrawReply returns the receiver's own withdrawals that were not sent.
type WithdrawReply struct {
	Hashes []KeyHash `cbor:"1,keyasint"`
}

// StatusRequest asks an instance for its counters and state.
type StatusRequest struct{}

// StatusReply is an instance's state for operators.
type StatusReply struct {
	// JSON is an InstanceStatus.
	JSON []byte `cbor:"1,keyasint"`
}

// Errors of a Peer.
var (
	// ErrPeerUnreached means that the peer surely did not get the request.
	ErrPeerUnreached = errors.New("peer unreached")
	// ErrPeerLost means that the peer may have acted on the request.
	ErrPeerLost = errors.New("peer lost")
	// ErrNotOwner means that the peer doesn't own what the request is about.
	ErrNotOwner = errors.New("peer is not the owner")
)

// Peer calls other instances.
type Peer interface {
	// Call sends request to the instance at addr and decodes the answer into
	// reply, a pointer. It returns an error that wraps one of those above.
	Call(ctx context.Context, addr string, kind MessageKind, request, reply any) error
}

// MemberCaller calls other instances by their id.
type MemberCaller interface {
	// Call is that of a Peer, with the id in place of the address.
	Call(ctx context.Context, id InstanceID, kind MessageKind, request, reply any) error
}

// PeerHandler answers one kind of request. It decodes the request with decode.
type PeerHandler func(ctx context.Context, decode func(into any) error) (reply any, err error)

// TeamDemand is what a team has running and waiting at one instance.
type TeamDemand struct {
	Team  TeamID `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// EndpointUse is one instance's use of one endpoint.
type EndpointUse struct {
	ID EndpointID `cbor:"1,keyasint"`
	// Online is the number of online requests that the instance has there.
	Online int `cbor:"2,keyasint"`
	// Demands are told while requests wait for room.
	Demands []TeamDemand `cbor:"3,keyasint,omitempty"`
}

// LoadNotice tells the owner of endpoints how an instance uses them.
type LoadNotice struct {
	From InstanceID `cbor:"1,keyasint"`
	// Sequence grows with each notice of an instance; older ones are ignored.
	Sequence uint64        `cbor:"2,keyasint"`
	Uses     []EndpointUse `cbor:"3,keyasint"`
}

// EndpointCredit is what the owner of an endpoint allows one instance.
type EndpointCredit struct {
	ID EndpointID `cbor:"1,keyasint"`
	// Limit bounds the instance's online requests there.
	Limit int `cbor:"2,keyasint"`
	// Others is the number of online requests of other instances there.
	Others int `cbor:"3,keyasint"`
}

// LoadReply answers a LoadNotice. Endpoints that the instance doesn't own are
// left out.
type LoadReply struct {
	Credits []EndpointCredit `cbor:"1,keyasint"`
}
