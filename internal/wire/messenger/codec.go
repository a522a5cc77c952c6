package messenger

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"fescuebank"
)

// Errors of the protocol.
var (
	errTooLong       = errors.New("message exceeds the maximum size")
	errTooShort      = errors.New("message is shorter than the request header")
	errVersion       = errors.New("unknown protocol version")
	errUnknownKind   = errors.New("unknown message kind")
	errRemoteFailure = errors.New("peer failed to handle the request")
)

// outcome is the first byte of a response.
type outcome byte

const (
	outcomeDone outcome = iota
	outcomeNotOwner
	outcomeFailed
)

const requestHeaderBytes = 2

// decoder limits what a message may make the receiver allocate.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 16, MaxNestedLevels: 16,
		DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

func encodeRequest(kind fescuebank.MessageKind, request any) ([]byte, error) {
	payload, err := cbor.Marshal(request)
	if err != nil {
		return nil, err
	}
	return append([]byte{protocolVersion, byte(kind)}, payload...), nil
}

func decodeRequest(body []byte) (fescuebank.MessageKind, []byte, error) {
	if len(body) < requestHeaderBytes {
		return 0, nil, errTooShort
	}
	if body[0] != protocolVersion {
		return 0, nil, errVersion
	}
	return fescuebank.MessageKind(body[1]), body[requestHeaderBytes:], nil
}

func decodeBody(payload []byte, into any) error {
	return decoder.Unmarshal(payload, into)
}

func encodeReply(reply any) []byte {
	payload, err := cbor.Marshal(reply)
	if err != nil {
		return encodeFailure(err)
	}
	return append([]byte{byte(outcomeDone)}, payload...)
}

func encodeFailure(err error) []byte {
	if errors.Is(err, fescuebank.ErrNotOwner) {
		return []byte{byte(outcomeNotOwner)}
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
	}
	return eris.Wrap(errRemoteFailure, string(response[1:]))
}
