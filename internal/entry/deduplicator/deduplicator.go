// Package deduplicator runs calls that may not be repeated at most once per idempotency
// key.
package deduplicator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// prefix is the store prefix of intents.
	prefix = "intents/"
	// maxStoredBodyBytes bounds a response body that is stored for resends.
	maxStoredBodyBytes = 64 << 10
	// outcomeTimeout bounds the write of an outcome.
	outcomeTimeout = 5 * time.Second
)

// Deduplicator stores an intent before a call is sent and its outcome afterwards.
type Deduplicator struct {
	store fescuebank.ObjectStore
	clock fescuebank.Clock
}

// New returns a deduplicator.
func New(store fescuebank.ObjectStore, clock fescuebank.Clock) *Deduplicator {
	return &Deduplicator{store: store, clock: clock}
}

// Call identifies one call of a caller.
type Call struct {
	Team    fescuebank.TeamID
	Service fescuebank.ServiceName
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint is the hash of the call's method, path and body.
	Fingerprint string
}

// Outcome is a response that is stored for resends.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body,omitempty"`
	// BodyDropped is set if the body was too large to store.
	BodyDropped bool `json:"dropped,omitempty"`
}

// intentRecord is the stored state of a call. Without Outcome the call may have run.
type intentRecord struct {
	Fingerprint string    `json:"fingerprint"`
	Nonce       string    `json:"nonce"`
	Created     time.Time `json:"created"`
	Outcome     *Outcome  `json:"outcome,omitempty"`
	// NotRun is set if the call certainly did not run; it may be sent again.
	NotRun bool `json:"notRun,omitempty"`
}

// Intent is a durable intent to make a call.
type Intent struct {
	deduplicator *Deduplicator
	key          string
	version      fescuebank.StoreVersion
	record       intentRecord
}

func (c Call) key() string {
	sum := sha256.Sum256([]byte(string(c.Team) + "\x00" + string(c.Service) + "\x00" + c.Key))
	return prefix + hex.EncodeToString(sum[:])
}

// Begin stores the intent. If the call was made before, it returns the stored outcome, or
// a refusal which says that the call may have run.
func (d *Deduplicator) Begin(ctx context.Context, c Call) (*Intent, *Outcome, error) {
	intent := &Intent{deduplicator: d, key: c.key(), record: intentRecord{Fingerprint: c.Fingerprint, Nonce: fescuebank.NewRandomID(""), Created: d.clock.Now().UTC()}}
	err := intent.put(ctx, fescuebank.Absent)
	if err == nil {
		return intent, nil, nil
	}
	if !errors.Is(err, fescuebank.ErrVersion) && !errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		return nil, nil, refuseStoreDown()
	}
	return d.resolve(ctx, intent)
}

func refuseStoreDown() error {
	return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeStoreDown,
		"the call can't be made safely while the platform's store is down").WithRetryAfter(time.Second)
}

// resolve decides by the stored intent whether this call may be made.
func (d *Deduplicator) resolve(ctx context.Context, intent *Intent) (*Intent, *Outcome, error) {
	o, err := d.store.Get(ctx, intent.key)
	if err != nil {
		return nil, nil, refuseStoreDown() // This call was not sent, whatever the store holds.
	}
	var found intentRecord
	if err := json.Unmarshal(o.Value, &found); err != nil {
		return nil, nil, eris.Wrap(err, "Deduplicator.resolve")
	}
	switch {
	case found.Nonce == intent.record.Nonce:
		intent.version = o.Version
		return intent, nil, nil
	case found.Fingerprint != intent.record.Fingerprint:
		return nil, nil, fescuebank.Refuse(http.StatusConflict, fescuebank.CodeConflict, "the idempotency key belongs to another call")
	case found.Outcome != nil && !found.Outcome.BodyDropped:
		return nil, found.Outcome, nil
	case found.Outcome != nil:
		return nil, nil, fescuebank.Refuse(http.StatusConflict, fescuebank.CodeAlreadySent,
			"the call has run; its answer was too large to keep").WithState(fescuebank.Ran)
	case found.NotRun:
		return d.takeOver(ctx, intent, o.Version)
	}
	return nil, nil, fescuebank.Refuse(http.StatusConflict, fescuebank.CodeAlreadySent,
		"the call was sent before and may have run; its outcome is unknown").WithState(fescuebank.MayHaveRun)
}

// takeOver replaces an intent whose call did not run.
func (d *Deduplicator) takeOver(ctx context.Context, intent *Intent, version fescuebank.StoreVersion) (*Intent, *Outcome, error) {
	err := intent.put(ctx, version)
	if err == nil {
		return intent, nil, nil
	}
	return nil, nil, fescuebank.Refuse(http.StatusConflict, fescuebank.CodeConflict,
		"the same call is being made elsewhere").WithRetryAfter(time.Second)
}

func (in *Intent) put(ctx context.Context, expected fescuebank.StoreVersion) error {
	value, err := json.Marshal(in.record)
	if err != nil {
		return eris.Wrap(err, "Intent.put")
	}
	version, err := in.deduplicator.store.Put(ctx, in.key, value, expected)
	if err == nil {
		in.version = version
	}
	return err
}

// Complete stores the response for resends. If the write fails, resends are refused
// because the call may have run.
func (in *Intent) Complete(ctx context.Context, o Outcome) {
	if len(o.Body) > maxStoredBodyBytes {
		o.Body, o.BodyDropped = nil, true
	}
	in.record.Outcome = &o
	in.write(ctx)
}

// Release records that the call did not run.
func (in *Intent) Release(ctx context.Context) {
	in.record.NotRun = true
	in.write(ctx)
}

func (in *Intent) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	_ = in.put(ctx, in.version)
}
