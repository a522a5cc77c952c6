package fescuebank

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// SuspectKey identifies something that may crash endpoints. It is a hash that shortens messages
// between instances.
type SuspectKey uint64

// Key returns the key of the requests with the fingerprint.
func (f Fingerprint) Key() SuspectKey {
	return SuspectKey(binary.LittleEndian.Uint64(f[:]))
}

// CrashID identifies the crash of one incarnation of an endpoint.
type CrashID uint64

// CrashID returns the id of the endpoint's crash.
func (e ServedEndpoint) CrashID() CrashID {
	id := append([]byte(e.ID), 0)
	return CrashID(xxhash.Sum64(binary.LittleEndian.AppendUint64(id, uint64(e.StartedUnixMilli))))
}

// CrashReport states under which requests of one instance an endpoint crashed before it had
// responded to them.
type CrashReport struct {
	_     struct{} `cbor:",toarray"`
	Crash CrashID
	// AgeMs is how long ago the endpoint crashed, in milliseconds.
	AgeMs    int64
	Requests []LostRequest
}

// LostRequest is a request under which an endpoint crashed.
type LostRequest struct {
	_   struct{} `cbor:",toarray"`
	Key SuspectKey
	// Trial is set if the request was suspect when it was sent to the endpoint.
	Trial bool
}

// Quarantine states that a request must not run, because endpoints crashed under it.
type Quarantine struct {
	_   struct{} `cbor:",toarray"`
	Key SuspectKey
	// LeftMs is the remaining and LengthMs the whole duration, in milliseconds.
	LeftMs   int64
	LengthMs int64
}

// QuarantinePrefix is the store prefix of the quarantines.
const QuarantinePrefix = "quarantines/"
