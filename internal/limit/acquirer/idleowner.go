package acquirer

import (
	"errors"
	"sync"
	"time"

	"fescuebank"
)

// idleOwnerTTL is how long an owner that grants nothing is remembered after the last request
// that waited for it in vain.
const idleOwnerTTL = time.Second

// idleOwners are the owners that grant no tokens although they respond: they have restarted,
// or wait for a former owner. A caller that is refused at once may be served in time when it
// retries; one that waits first isn't.
type idleOwners struct {
	mu sync.Mutex
	// until is the time until which an owner is remembered.
	until map[fescuebank.Holder]time.Time
}

// add remembers an owner.
func (o *idleOwners) add(h fescuebank.Holder, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.until == nil {
		o.until = make(map[fescuebank.Holder]time.Time)
	}
	o.until[h] = now.Add(idleOwnerTTL)
}

// remove forgets an owner that grants tokens.
func (o *idleOwners) remove(h fescuebank.Holder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.until, h)
}

// has reports whether an owner is remembered.
func (o *idleOwners) has(h fescuebank.Holder, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, ok := o.until[h]
	if ok && !now.Before(until) {
		delete(o.until, h)
		return false
	}
	return ok
}

// isIdle reports whether an error means that the owner responded and grants nothing.
func isIdle(err error) bool {
	return errors.Is(err, fescuebank.ErrNotOwner)
}
