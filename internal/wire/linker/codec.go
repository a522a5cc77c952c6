package linker

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"fescuebank"
)

// Errors of the protocol.
var (
	errUnknownKind   = errors.New("unknown message kind")
	errRemoteFailure = errors.New("peer failed to handle the request")
)

// outcome is the first byte of a reply.
type outcome byte

const (
	outcomeDone outcome = iota
	outcomeNotOwner
	outcomeRefused
	outcomeFailed
	// outcomeLost means that the handler called another instance and got no reply.
	outcomeLost
)

// maxElements is the largest number of elements of an array or map in a message. It
// bounds the memory that the receiver allocates for a message.
const maxElements = 1 << 16

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// refusal is the encoded form of a fescuebank.Refusal.
type refusal struct {
	Status     int                    `cbor:"1,keyasint"`
	Code       fescuebank.RefusalCode `cbor:"2,keyasint"`
	Message    string                 `cbor:"3,keyasint"`
	State      fescuebank.RunState    `cbor:"4,keyasint"`
	RetryAfter time.Duration          `cbor:"5,keyasint,omitempty"`
	Details    []any                  `cbor:"6,keyasint,omitempty"`
}

func encodeBody(message any) ([]byte, error) {
	return cbor.Marshal(message)
}

func decodeBody(body []byte, into any) error {
	return decoder.Unmarshal(body, into)
}

func encodeReply(reply any) []byte {
	body, err := encodeBody(reply)
	if err != nil {
		return encodeFailure(err)
	}
	return append([]byte{byte(outcomeDone)}, body...)
}

func encodeFailure(err error) []byte {
	if errors.Is(err, fescuebank.ErrNotOwner) {
		return []byte{byte(outcomeNotOwner)}
	}
	if errors.Is(err, fescuebank.ErrPeerLost) || errors.Is(err, fescuebank.ErrPeerUnreachable) {
		return append([]byte{byte(outcomeLost)}, err.Error()...)
	}
	var r *fescuebank.Refusal
	if errors.As(err, &r) {
		if body, err := encodeBody(refusal(*r)); err == nil {
			return append([]byte{byte(outcomeRefused)}, body...)
		}
	}
	return append([]byte{byte(outcomeFailed)}, err.Error()...)
}

func decodeReply(response []byte, reply any) error {
	if len(response) == 0 {
		return fescuebank.ErrPeerLost
	}
	switch outcome(response[0]) {
	case outcomeDone:
		if err := decodeBody(response[1:], reply); err != nil {
			return eris.Wrapf(fescuebank.ErrPeerLost, "decode reply: %v", err)
		}
		return nil
	case outcomeNotOwner:
		return fescuebank.ErrNotOwner
	case outcomeLost:
		return eris.Wrap(fescuebank.ErrPeerLost, string(response[1:]))
	case outcomeRefused:
		var r refusal
		if err := decodeBody(response[1:], &r); err != nil {
			return eris.Wrapf(fescuebank.ErrPeerLost, "decode refusal: %v", err)
		}
		refused := fescuebank.Refusal(r)
		return &refused
	}
	return eris.Wrap(errRemoteFailure, string(response[1:]))
}
