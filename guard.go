package fescuebank

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AttemptEnd classifies how an attempt at an endpoint ended.
type AttemptEnd uint8

// The ends of an attempt.
const (
	// AttemptAbandoned is no evidence about the request: the attempt was cancelled,
	// refused or stalled.
	AttemptAbandoned AttemptEnd = iota
	// AttemptCompleted means that the response is complete.
	AttemptCompleted
	// AttemptLost means that the connection broke while the request was in flight, as
	// it does when the endpoint crashes.
	AttemptLost
)

// Guard blocks requests that have crashed endpoints.
type Guard interface {
	// Enter waits until the request may run at the endpoint. It returns a
	// refusal if the request is quarantined, which a batch item never is. The
	// caller calls leave when the attempt has ended.
	Enter(ctx context.Context, c *CompletionRequest, id EndpointID) (leave func(AttemptEnd), err error)
}

// CrashGuard stops requests on routes that crash endpoints.
type CrashGuard interface {
	// Enter returns a refusal if the request must not run. A suspect request waits until no
	// other run of it is known, for the given time at most.
	Enter(ctx context.Context, r *Request, maxWait time.Duration) (GuardedRun, error)
	// Observe returns the run of a request that must run in any case, as a batch item must.
	Observe(r *Request) GuardedRun
}

// GuardedRun is a run of a request that a CrashGuard admitted.
type GuardedRun interface {
	// RecordLost records that the connection to an endpoint broke before the endpoint had
	// responded to the request.
	RecordLost(e ServedEndpoint)
	// RecordCompleted records that the request was served completely.
	RecordCompleted()
	// Leave ends the run. It is called once, after the others.
	Leave()
}

// ClassifyAttempt returns how the attempt that returned err ended.
func ClassifyAttempt(ctx context.Context, err error) AttemptEnd {
	if err == nil {
		return AttemptCompleted
	}
	if failed, ok := AsEndpointError(err); ok && failed.Kind == EndpointLost && ctx.Err() == nil {
		return AttemptLost
	}
	return AttemptAbandoned
}

// Fingerprint identifies what a request makes an endpoint compute. Repetitions of
// a request have the same fingerprint, whichever caller sends them.
type Fingerprint [16]byte

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// MarshalText writes hexadecimal digits.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText reads hexadecimal digits.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	_, err := hex.Decode(f[:], text[:min(len(text), 2*len(f))])
	return err
}

// Fingerprint returns the request's fingerprint. It doesn't depend on the output
// of earlier attempts or on the bound of the response's length.
func (c *CompletionRequest) Fingerprint() Fingerprint {
	content, _ := json.Marshal(struct {
		Model    ModelName
		Prompt   string
		Messages []Message
	}{c.Model, c.Prompt, c.Messages}) // Strings can always be encoded as JSON.
	var f Fingerprint
	first := xxhash.Sum64(content)
	second := xxhash.Sum64(append(content, 1))
	for i := range 8 {
		f[i] = byte(first >> (8 * i))
		f[8+i] = byte(second >> (8 * i))
	}
	return f
}

// CrashRecord holds the endpoints that were lost while they ran one request.
type CrashRecord struct {
	Fingerprint Fingerprint `json:"fingerprint" cbor:"1,keyasint"`
	// Lost are the endpoints whose connection broke while the request was in flight.
	Lost []EndpointID `json:"lost" cbor:"2,keyasint"`
}

// Quarantined reports whether the request must not run again.
func (r CrashRecord) Quarantined() bool {
	const quarantineThreshold = 2
	return len(r.Lost) >= quarantineThreshold
}

// CrashRecordRequest sends a crash record to another instance.
type CrashRecordRequest struct {
	Record CrashRecord `cbor:"1,keyasint"`
}

// CrashRecordReply answers a CrashRecordRequest.
type CrashRecordReply struct{}

// PermitRequest asks the owner of a resource for its exclusive use.
type PermitRequest struct {
	// Resource names what is to be used. The owner of its shard grants the permit.
	Resource string     `cbor:"1,keyasint"`
	From     InstanceID `cbor:"2,keyasint"`
	// Token distinguishes uses by the same instance.
	Token string `cbor:"3,keyasint"`
	// Release gives the resource back.
	Release bool `cbor:"4,keyasint"`
}

// PermitReply answers a PermitRequest.
type PermitReply struct {
	Granted bool `cbor:"1,keyasint"`
}

// CrashRecordPrefix is the store prefix of crash records.
const CrashRecordPrefix = ControlPrefix + "suspects/"
