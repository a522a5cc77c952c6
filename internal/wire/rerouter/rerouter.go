// Package rerouter calls other instances, through a third one if the target can't be
// reached directly.
package rerouter

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
)

// Members provides the members of the fleet.
type Members interface {
	Peers() []gossiper.Peer
	Find(id fescuebank.InstanceID) (gossiper.Peer, bool)
}

// Rerouter is a fescuebank.MemberCaller that relays calls to unreachable members.
type Rerouter struct {
	peer    fescuebank.Peer
	members Members
}

// New returns a rerouter that makes its calls through peer.
func New(peer fescuebank.Peer, members Members) *Rerouter {
	return &Rerouter{peer: peer, members: members}
}

// relayRequest asks an instance to relay a call to the instance at To.
type relayRequest struct {
	To   string                 `cbor:"1,keyasint"`
	Kind fescuebank.MessageKind `cbor:"2,keyasint"`
	Body cbor.RawMessage        `cbor:"3,keyasint"`
}

// Call calls the member directly, or through a random live member if it is not alive or
// can't be reached. Call returns the errors of fescuebank.Peer.
func (r *Rerouter) Call(ctx context.Context, id fescuebank.InstanceID, kind fescuebank.MessageKind, message, reply any) error {
	target, ok := r.members.Find(id)
	if !ok {
		return eris.Wrap(fescuebank.ErrPeerUnreachable, "Rerouter.Call: not a member")
	}
	if target.Alive {
		err := r.peer.Call(ctx, target.PeerAddr, kind, message, reply)
		if !errors.Is(err, fescuebank.ErrPeerUnreachable) {
			return err
		}
	}
	body, err := cbor.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "Rerouter.Call")
	}
	relay, ok := pickRelay(r.members.Peers(), id)
	if !ok {
		return eris.Wrap(fescuebank.ErrPeerUnreachable, "Rerouter.Call: no other live member to relay the call")
	}
	var raw cbor.RawMessage
	relayed := &relayRequest{To: target.PeerAddr, Kind: kind, Body: body}
	if err := r.peer.Call(ctx, relay.PeerAddr, fescuebank.KindRelay, relayed, &raw); err != nil {
		return err
	}
	return eris.Wrap(cbor.Unmarshal(raw, reply), "Rerouter.Call")
}

// pickRelay returns a random live member other than id.
func pickRelay(peers []gossiper.Peer, id fescuebank.InstanceID) (gossiper.Peer, bool) {
	var live []gossiper.Peer
	for _, p := range peers {
		if p.Alive && p.ID != id {
			live = append(live, p)
		}
	}
	if len(live) == 0 {
		return gossiper.Peer{}, false
	}
	return live[rand.N(len(live))], true
}

// Handle relays a call for another instance.
func (r *Rerouter) Handle(ctx context.Context, decode func(into any) error) (any, error) {
	var request relayRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	var raw cbor.RawMessage
	if err := r.peer.Call(ctx, request.To, request.Kind, request.Body, &raw); err != nil {
		return nil, err
	}
	return raw, nil
}
