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

// SuspectKeys returns the keys of all that may make the request crash endpoints: first that of the
// request itself, then those of the parts of its prompt that other requests may hold, at most
// maxParts of them.
func (r *Request) SuspectKeys() []SuspectKey {
	const maxParts = 16
	keys := []SuspectKey{r.Fingerprint().Key()}
	for _, part := range r.Prompt[:min(max(0, len(r.Prompt)-1), maxParts)] {
		keys = append(keys, SuspectKey(xxhash.Sum64String(string(r.Service)+"/"+part.ID)))
	}
	return keys
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
	_ struct{} `cbor:",toarray"`
	// Keys has the key of the request first, then those of the parts of its prompt.
	Keys []SuspectKey
	// Trials are those of Keys that were suspect when the request was sent to the endpoint.
	Trials []SuspectKey
}

// Quarantine states that requests that have all keys must not run, because endpoints crashed under
// such requests. It has one key, or those of several parts if all of these requests held them all.
type Quarantine struct {
	_ struct{} `cbor:",toarray"`
	// ID is the same at all instances, also after some of Keys were found to be sound.
	ID   string
	Keys []SuspectKey
	// LeftMs is the remaining and LengthMs the whole duration, in milliseconds.
	LeftMs   int64
	LengthMs int64
}

// QuarantinePrefix is the store prefix of the quarantines.
const QuarantinePrefix = "quarantines/"
