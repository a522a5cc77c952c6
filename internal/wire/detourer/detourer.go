// Package detourer calls instances that this one can't reach by way of a third.
package detourer

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
)

// Members is what the detourer needs to know of the fleet.
type Members interface {
	Peers() []gossiper.Peer
	Find(id fescuebank.InstanceID) (gossiper.Peer, bool)
}

// Detourer is a fescuebank.Peer that calls members by their id.
type Detourer struct {
	peer    fescuebank.Peer
	members Members
}

// New returns a detourer over peer.
func New(peer fescuebank.Peer, members Members) *Detourer {
	return &Detourer{peer: peer, members: members}
}

// request asks an instance to pass a call on.
type request struct {
	To   string                 `cbor:"1,keyasint"`
	Kind fescuebank.MessageKind `cbor:"2,keyasint"`
	Body cbor.RawMessage        `cbor:"3,keyasint"`
}

// Call calls the member. If it is silent, another member is asked to pass the
// call on. It returns the errors of fescuebank.Peer.
func (d *Detourer) Call(ctx context.Context, id fescuebank.InstanceID, kind fescuebank.MessageKind, message, reply any) error {
	target, ok := d.members.Find(id)
	if !ok {
		return eris.Wrap(fescuebank.ErrPeerUnreached, "Detourer.Call: not a member")
	}
	if target.Alive {
		err := d.peer.Call(ctx, target.PeerAddr, kind, message, reply)
		if !errors.Is(err, fescuebank.ErrPeerUnreached) {
			return err
		}
	}
	body, err := cbor.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "Detourer.Call")
	}
	via, ok := pickVia(d.members.Peers(), id)
	if !ok {
		return eris.Wrap(fescuebank.ErrPeerUnreached, "Detourer.Call: nobody to pass it on")
	}
	var raw cbor.RawMessage
	wrapped := &request{To: target.PeerAddr, Kind: kind, Body: body}
	if err := d.peer.Call(ctx, via.PeerAddr, fescuebank.KindRelay, wrapped, &raw); err != nil {
		return err
	}
	return eris.Wrap(cbor.Unmarshal(raw, reply), "Detourer.Call")
}

// pickVia returns a live member other than id.
func pickVia(peers []gossiper.Peer, id fescuebank.InstanceID) (gossiper.Peer, bool) {
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

// Handle passes a call on for another instance.
func (d *Detourer) Handle(ctx context.Context, decode func(into any) error) (any, error) {
	var r request
	if err := decode(&r); err != nil {
		return nil, err
	}
	var raw cbor.RawMessage
	if err := d.peer.Call(ctx, r.To, r.Kind, r.Body, &raw); err != nil {
		return nil, err
	}
	return raw, nil
}
