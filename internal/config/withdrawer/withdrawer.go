// Package withdrawer propagates key withdrawals between instances and cancels the
// requests of withdrawn keys.
package withdrawer

import (
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"fescuebank"
)

const (
	// maxConcurrentCalls bounds the concurrent calls of one withdrawal: the write to the
	// store and the exchanges with peers.
	maxConcurrentCalls = 8
	// exchangeTimeout bounds the exchange with one peer.
	exchangeTimeout = 2 * time.Second
	// storeRetryInterval is the interval at which writing withdrawals to the store is
	// retried.
	storeRetryInterval = 3 * time.Second
)

// ErrWithdrawn is the cause with which requests of a withdrawn key are canceled.
var ErrWithdrawn = errors.New("key withdrawn")

// Withdrawer maintains the grow-only set of withdrawn keys.
type Withdrawer struct {
	store fescuebank.ObjectStore
	peer  fescuebank.Peer
	clock fescuebank.Clock
	log   hclog.Logger

	mu sync.Mutex
	// withdrawn maps every known withdrawal to whether it is in the store.
	withdrawn map[fescuebank.KeyHash]bool
	// digest is the exclusive or of the first 8 bytes of all hashes. Instances compare
	// their sets by it.
	digest uint64
	// activeRequests holds the running requests by key.
	activeRequests map[fescuebank.KeyHash]map[*activeRequest]struct{}
}

// activeRequest is a running request that the withdrawal of its key cancels.
type activeRequest struct {
	cancel context.CancelCauseFunc
}

// New returns a withdrawer without withdrawals.
func New(store fescuebank.ObjectStore, peer fescuebank.Peer, clock fescuebank.Clock, log hclog.Logger) *Withdrawer {
	return &Withdrawer{
		store: store, peer: peer, clock: clock, log: log,
		withdrawn:      make(map[fescuebank.KeyHash]bool),
		activeRequests: make(map[fescuebank.KeyHash]map[*activeRequest]struct{}),
	}
}

// IsWithdrawn reports whether the key is withdrawn.
func (w *Withdrawer) IsWithdrawn(h fescuebank.KeyHash) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.withdrawn[h]
	return ok
}

// Digest returns a digest of the known withdrawals.
func (w *Withdrawer) Digest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.digest
}

// TrackRequest returns a context that is canceled with ErrWithdrawn when the key is
// withdrawn, and a function to call at the end of the request.
func (w *Withdrawer) TrackRequest(ctx context.Context, h fescuebank.KeyHash) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &activeRequest{cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.withdrawn[h]; ok {
		cancel(ErrWithdrawn)
		return ctx, func() {}
	}
	if w.activeRequests[h] == nil {
		w.activeRequests[h] = make(map[*activeRequest]struct{})
	}
	w.activeRequests[h][r] = struct{}{}
	return ctx, func() { w.untrackRequest(h, r) }
}

func (w *Withdrawer) untrackRequest(h fescuebank.KeyHash, r *activeRequest) {
	r.cancel(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.activeRequests[h], r)
	if len(w.activeRequests[h]) == 0 {
		delete(w.activeRequests, h)
	}
}

// CancelUnauthorized cancels the running requests of keys that are no longer valid.
func (w *Withdrawer) CancelUnauthorized(isValid func(fescuebank.KeyHash) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for h, requests := range w.activeRequests {
		if isValid(h) {
			continue
		}
		for r := range requests {
			r.cancel(ErrWithdrawn)
		}
	}
}

// Add adds withdrawals, cancels the requests of their keys and returns those that were
// new. stored is true if they are known to be in the store.
func (w *Withdrawer) Add(hashes []fescuebank.KeyHash, stored bool) []fescuebank.KeyHash {
	w.mu.Lock()
	defer w.mu.Unlock()
	var added []fescuebank.KeyHash
	for _, h := range hashes {
		inStore, known := w.withdrawn[h]
		w.withdrawn[h] = inStore || stored
		if known {
			continue
		}
		w.digest ^= binary.BigEndian.Uint64(h[:])
		added = append(added, h)
		for r := range w.activeRequests[h] {
			r.cancel(ErrWithdrawn)
		}
	}
	return added
}

// ApplyObject adds the withdrawal that a store object records.
func (w *Withdrawer) ApplyObject(o fescuebank.Object) {
	var h fescuebank.KeyHash
	if h.UnmarshalText([]byte(strings.TrimPrefix(o.Key, fescuebank.WithdrawalPrefix))) == nil && !o.Deleted {
		w.Add([]fescuebank.KeyHash{h}, true)
	}
}

// Withdraw invalidates the key on this instance, then exchanges all known withdrawals with
// the peers and writes this one to the store. It reports whether the write succeeded; if
// not, Run retries it.
func (w *Withdrawer) Withdraw(ctx context.Context, h fescuebank.KeyHash, peers []fescuebank.Instance) bool {
	w.Add([]fescuebank.KeyHash{h}, false)
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	stored := false
	group.Go(func() error {
		stored = w.put(ctx, h)
		return nil
	})
	for _, p := range peers {
		group.Go(func() error {
			_ = w.Exchange(ctx, p.PeerAddr)
			return nil
		})
	}
	_ = group.Wait()
	return stored
}

// Exchange merges the sets of this instance and of the peer at addr, on both sides.
func (w *Withdrawer) Exchange(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply fescuebank.WithdrawReply
	request := fescuebank.WithdrawRequest{Hashes: w.allHashes()}
	if err := w.peer.Call(ctx, addr, fescuebank.KindWithdraw, &request, &reply); err != nil {
		return err
	}
	w.Add(reply.Hashes, false)
	return nil
}

// Handle handles the exchange that a peer started.
func (w *Withdrawer) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.WithdrawRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	w.Add(request.Hashes, false)
	missing := slices.DeleteFunc(w.allHashes(), func(h fescuebank.KeyHash) bool { return slices.Contains(request.Hashes, h) })
	return &fescuebank.WithdrawReply{Hashes: missing}, nil
}

func (w *Withdrawer) allHashes() []fescuebank.KeyHash {
	w.mu.Lock()
	defer w.mu.Unlock()
	hashes := make([]fescuebank.KeyHash, 0, len(w.withdrawn))
	for h := range w.withdrawn {
		hashes = append(hashes, h)
	}
	return hashes
}

// Run retries writing withdrawals to the store until ctx ends.
func (w *Withdrawer) Run(ctx context.Context) {
	for fescuebank.Sleep(ctx, w.clock, storeRetryInterval) == nil {
		for _, h := range w.unstored() {
			if !w.put(ctx, h) {
				break
			}
		}
	}
}

func (w *Withdrawer) unstored() []fescuebank.KeyHash {
	w.mu.Lock()
	defer w.mu.Unlock()
	var hashes []fescuebank.KeyHash
	for h, stored := range w.withdrawn {
		if !stored {
			hashes = append(hashes, h)
		}
	}
	return hashes
}

func (w *Withdrawer) put(ctx context.Context, h fescuebank.KeyHash) bool {
	_, err := w.store.Put(ctx, fescuebank.WithdrawalPrefix+h.String(), []byte("{}"), fescuebank.Absent)
	if err != nil && !errors.Is(err, fescuebank.ErrVersion) {
		w.log.Warn("Key withdrawal not stored.", "err", err)
		return false
	}
	w.Add([]fescuebank.KeyHash{h}, true)
	return true
}
