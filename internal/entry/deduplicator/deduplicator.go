// Package deduplicator makes calls that may not be repeated happen at most once
// for each idempotency key.
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
	// maxKeptBody bounds an answer that is kept for resends.
	maxKeptBody = 64 << 10
	// settleTimeout bounds writing the outcome.
	settleTimeout = 5 * time.Second
)

// Deduplicator writes an intent before a call is offered and its outcome after.
type Deduplicator struct {
	store fescuebank.ObjectStore
	clock fescuebank.Clock
}

// New returns an deduplicator.
func New(store fescuebank.ObjectStore, clock fescuebank.Clock) *Deduplicator {
	return &Deduplicator{store: store, clock: clock}
}

// Call identifies one call of a caller.
type Call struct {
	Team    fescuebank.TeamID
	Service fescuebank.ServiceName
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint is the hash of what is called with what.
	Fingerprint string
}

// Outcome is an answer that is kept for resends.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body,omitempty"`
	// Dropped is set when the body was too large to keep.
	Dropped bool `json:"dropped,omitempty"`
}

// intent is the stored state of a call. Without Outcome the call may have run.
type intent struct {
	Fingerprint string    `json:"fingerprint"`
	Nonce       string    `json:"nonce"`
	Created     time.Time `json:"created"`
	Outcome     *Outcome  `json:"outcome,omitempty"`
	// NotRun is set when the call surely did not run; it may be sent again.
	NotRun bool `json:"notRun,omitempty"`
}

// Intent is a durable intent to make a call.
type Intent struct {
	intender *Deduplicator
	key      string
	version  fescuebank.StoreVersion
	state    intent
}

func (c Call) key() string {
	sum := sha256.Sum256([]byte(string(c.Team) + "\x00" + string(c.Service) + "\x00" + c.Key))
	return prefix + hex.EncodeToString(sum[:])
}

// Begin makes the intent durable. If the call was made before it returns the
// kept outcome, or a refusal that says that it may have run.
func (i *Deduplicator) Begin(ctx context.Context, c Call) (*Intent, *Outcome, error) {
	own := &Intent{intender: i, key: c.key(), state: intent{Fingerprint: c.Fingerprint, Nonce: fescuebank.NewRandomID(""), Created: i.clock.Now().UTC()}}
	err := own.put(ctx, fescuebank.Absent)
	if err == nil {
		return own, nil, nil
	}
	if !errors.Is(err, fescuebank.ErrVersion) && !errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		return nil, nil, storeDown()
	}
	return i.resolve(ctx, own)
}

func storeDown() error {
	return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeStoreDown,
		"the call can't be made safely while the platform's store is down").WithRetryAfter(time.Second)
}

// resolve finds out what the existing intent means for this call.
func (i *Deduplicator) resolve(ctx context.Context, own *Intent) (*Intent, *Outcome, error) {
	o, err := i.store.Get(ctx, own.key)
	if err != nil {
		return nil, nil, storeDown() // Nothing was offered, whatever the store holds.
	}
	var found intent
	if err := json.Unmarshal(o.Value, &found); err != nil {
		return nil, nil, eris.Wrap(err, "Intender.resolve")
	}
	switch {
	case found.Nonce == own.state.Nonce:
		own.version = o.Version
		return own, nil, nil
	case found.Fingerprint != own.state.Fingerprint:
		return nil, nil, fescuebank.Refuse(http.StatusConflict, fescuebank.CodeConflict, "the idempotency key belongs to another call")
	case found.Outcome != nil && !found.Outcome.Dropped:
		return nil, found.Outcome, nil
	case found.Outcome != nil:
		return nil, nil, fescuebank.Refuse(http.StatusConflict, fescuebank.CodeAlreadySent,
			"the call has run; its answer was too large to keep").WithState(fescuebank.Ran)
	case found.NotRun:
		return i.renew(ctx, own, o.Version)
	}
	return nil, nil, fescuebank.Refuse(http.StatusConflict, fescuebank.CodeAlreadySent,
		"the call was sent before and may have run; its outcome is unknown").WithState(fescuebank.MayHaveRun)
}

// renew takes over an intent whose call did not run.
func (i *Deduplicator) renew(ctx context.Context, own *Intent, version fescuebank.StoreVersion) (*Intent, *Outcome, error) {
	err := own.put(ctx, version)
	if err == nil {
		return own, nil, nil
	}
	return nil, nil, fescuebank.Refuse(http.StatusConflict, fescuebank.CodeConflict,
		"the same call is being made elsewhere").WithRetryAfter(time.Second)
}

func (in *Intent) put(ctx context.Context, expected fescuebank.StoreVersion) error {
	value, err := json.Marshal(in.state)
	if err != nil {
		return eris.Wrap(err, "Intent.put")
	}
	version, err := in.intender.store.Put(ctx, in.key, value, expected)
	if err == nil {
		in.version = version
	}
	return err
}

// Complete keeps the answer for resends. If it can't be written, resends are
// told that the call may have run.
func (in *Intent) Complete(ctx context.Context, o Outcome) {
	if len(o.Body) > maxKeptBody {
		o.Body, o.Dropped = nil, true
	}
	in.state.Outcome = &o
	in.finish(ctx)
}

// Release records that the call did not run.
func (in *Intent) Release(ctx context.Context) {
	in.state.NotRun = true
	in.finish(ctx)
}

func (in *Intent) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	_ = in.put(ctx, in.version)
}
