// Package withdrawer spreads key withdrawals and ends the requests of
// withdrawn keys.
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
	// fanOut bounds the peers told at a time.
	fanOut = 8
	// tellTimeout bounds telling one peer.
	tellTimeout = 2 * time.Second
	// storeInterval is how often unstored withdrawals are tried again.
	storeInterval = 3 * time.Second
)

// ErrWithdrawn is the cause by which requests of a withdrawn key end.
var ErrWithdrawn = errors.New("key withdrawn")

// Withdrawer keeps the grow-only set of withdrawn keys.
type Withdrawer struct {
	store fescuebank.ObjectStore
	peer  fescuebank.Peer
	clock fescuebank.Clock
	log   hclog.Logger

	mu sync.Mutex
	// withdrawn holds every known withdrawal and whether it is in the store.
	withdrawn map[fescuebank.KeyHash]bool
	// digest is the exclusive or of all hashes, to compare sets by.
	digest uint64
	// sessions are the running requests by key.
	sessions map[fescuebank.KeyHash]map[*session]struct{}
}

type session struct {
	cancel context.CancelCauseFunc
}

// New returns a withdrawer that knows of no withdrawal.
func New(store fescuebank.ObjectStore, peer fescuebank.Peer, clock fescuebank.Clock, log hclog.Logger) *Withdrawer {
	return &Withdrawer{
		store: store, peer: peer, clock: clock, log: log,
		withdrawn: make(map[fescuebank.KeyHash]bool),
		sessions:  make(map[fescuebank.KeyHash]map[*session]struct{}),
	}
}

// Has reports whether the key is withdrawn.
func (w *Withdrawer) Has(h fescuebank.KeyHash) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.withdrawn[h]
	return ok
}

// Digest summarizes the known set.
func (w *Withdrawer) Digest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.digest
}

// TrackRequest returns a context that is canceled with ErrWithdrawn when the key is
// withdrawn, and a function to call at the end of the request.
func (w *Withdrawer) TrackRequest(ctx context.Context, h fescuebank.KeyHash) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &session{cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.withdrawn[h]; ok {
		cancel(ErrWithdrawn)
		return ctx, func() {}
	}
	if w.sessions[h] == nil {
		w.sessions[h] = make(map[*session]struct{})
	}
	w.sessions[h][s] = struct{}{}
	return ctx, func() { w.end(h, s) }
}

func (w *Withdrawer) end(h fescuebank.KeyHash, s *session) {
	s.cancel(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.sessions[h], s)
	if len(w.sessions[h]) == 0 {
		delete(w.sessions, h)
	}
}

// CancelInvalidKeys cancels the running requests of keys that are no longer valid.
func (w *Withdrawer) CancelInvalidKeys(granted func(fescuebank.KeyHash) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for h, running := range w.sessions {
		if granted(h) {
			continue
		}
		for s := range running {
			s.cancel(ErrWithdrawn)
		}
	}
}

// Add takes in withdrawals and returns those that were new.
func (w *Withdrawer) Add(hashes []fescuebank.KeyHash, stored bool) []fescuebank.KeyHash {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fresh []fescuebank.KeyHash
	for _, h := range hashes {
		inStore, known := w.withdrawn[h]
		w.withdrawn[h] = inStore || stored
		if known {
			continue
		}
		w.digest ^= binary.BigEndian.Uint64(h[:])
		fresh = append(fresh, h)
		for s := range w.sessions[h] {
			s.cancel(ErrWithdrawn)
		}
	}
	return fresh
}

// ApplyObject adds the withdrawal that an object of the store records.
func (w *Withdrawer) ApplyObject(o fescuebank.Object) {
	var h fescuebank.KeyHash
	if h.UnmarshalText([]byte(strings.TrimPrefix(o.Key, fescuebank.WithdrawalPrefix))) == nil && !o.Deleted {
		w.Add([]fescuebank.KeyHash{h}, true)
	}
}

// Withdraw takes the key out of force here, then tells peers and the store.
// It returns whether the store has it; otherwise storing goes on in Run.
func (w *Withdrawer) Withdraw(ctx context.Context, h fescuebank.KeyHash, peers []fescuebank.Instance) bool {
	w.Add([]fescuebank.KeyHash{h}, false)
	var group errgroup.Group
	group.SetLimit(fanOut)
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

// Exchange unites the set with that of the peer at addr.
func (w *Withdrawer) Exchange(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var reply fescuebank.WithdrawReply
	request := fescuebank.WithdrawRequest{Hashes: w.list()}
	if err := w.peer.Call(ctx, addr, fescuebank.KindWithdraw, &request, &reply); err != nil {
		return err
	}
	w.Add(reply.Hashes, false)
	return nil
}

// Handle answers an exchange.
func (w *Withdrawer) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.WithdrawRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	w.Add(request.Hashes, false)
	mine := slices.DeleteFunc(w.list(), func(h fescuebank.KeyHash) bool { return slices.Contains(request.Hashes, h) })
	return &fescuebank.WithdrawReply{Hashes: mine}, nil
}

func (w *Withdrawer) list() []fescuebank.KeyHash {
	w.mu.Lock()
	defer w.mu.Unlock()
	hashes := make([]fescuebank.KeyHash, 0, len(w.withdrawn))
	for h := range w.withdrawn {
		hashes = append(hashes, h)
	}
	return hashes
}

// Run stores withdrawals that could not be stored before, until ctx ends.
func (w *Withdrawer) Run(ctx context.Context) {
	for fescuebank.Sleep(ctx, w.clock, storeInterval) == nil {
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
		w.log.Warn("Withdrawal not stored.", "err", err)
		return false
	}
	w.Add([]fescuebank.KeyHash{h}, true)
	return true
}
