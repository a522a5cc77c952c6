package isolator

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"fescuebank"
)

const (
	// maxWrites is the number of changes that wait for the store. More are dropped.
	maxWrites = 64
	// minRetry and maxRetry bound the pause after a failed call, which doubles.
	minRetry = 100 * time.Millisecond
	maxRetry = 3 * time.Second
	// maxAttempts bounds the attempts to make a change in the store.
	maxAttempts = 20
)

// write is a change in the store.
type write struct {
	id quarantineID
	// entry is nil if the quarantine has been lifted.
	entry *entry
}

// entry is a quarantine in the store.
type entry struct {
	Keys           []fescuebank.SuspectKey `json:"keys"`
	UntilUnixMilli int64                   `json:"untilUnixMilli"`
	LengthMs       int64                   `json:"lengthMs"`
}

// save makes Run store a quarantine. The caller holds the lock.
func (i *Isolator) save(q quarantine) {
	i.enqueue(write{id: q.id, entry: &entry{Keys: q.keys, UntilUnixMilli: q.until.UnixMilli(), LengthMs: q.length.Milliseconds()}})
}

// remove makes Run remove a quarantine from the store. The caller holds the lock.
func (i *Isolator) remove(id quarantineID) {
	i.enqueue(write{id: id})
}

func (i *Isolator) enqueue(w write) {
	select {
	case i.writes <- w:
	default:
		i.Log.Warn("Quarantine not stored.", "suspect", string(w.id))
	}
}

// Run loads the stored quarantines and stores new ones until ctx ends.
func (i *Isolator) Run(ctx context.Context) {
	i.retry(ctx, i.load, -1)
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-i.writes:
			i.retry(ctx, func(ctx context.Context) error { return i.apply(ctx, w) }, maxAttempts)
		}
	}
}

// retry calls f until it succeeds, attempts times at most unless that is negative.
func (i *Isolator) retry(ctx context.Context, f func(context.Context) error, attempts int) {
	pause := minRetry
	for n := 0; n != attempts; n++ {
		err := f(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		i.Log.Debug("Store call about quarantines failed.", "err", err.Error())
		_ = fescuebank.Sleep(ctx, i.Clock, fescuebank.Jitter(pause))
		pause = min(2*pause, maxRetry)
	}
}

// load adopts the stored quarantines, and removes from the store those that ended longer than
// their duration ago.
func (i *Isolator) load(ctx context.Context) error {
	objects, _, err := i.Store.List(ctx, fescuebank.QuarantinePrefix)
	if err != nil {
		return err
	}
	now := i.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, o := range objects {
		q, ok := decode(o)
		switch {
		case ok && !q.isOver(now):
			i.adopt(q)
		case ok:
			i.remove(q.id)
		}
	}
	return nil
}

// decode returns the quarantine in an object, or false if the object has none.
func decode(o fescuebank.Object) (q quarantine, ok bool) {
	var e entry
	if json.Unmarshal(o.Value, &e) != nil || len(e.Keys) == 0 {
		return quarantine{}, false
	}
	length := min(time.Duration(e.LengthMs)*time.Millisecond, maxLength)
	id := quarantineID(strings.TrimPrefix(o.Key, fescuebank.QuarantinePrefix))
	return quarantine{id: id, keys: e.Keys, until: time.UnixMilli(e.UntilUnixMilli), length: length}, true
}

// apply makes a change in the store. Of two instances that store the same quarantine, the first
// one does.
func (i *Isolator) apply(ctx context.Context, w write) error {
	path := fescuebank.QuarantinePrefix + string(w.id)
	stored, err := i.Store.Get(ctx, path)
	if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
		return err
	}
	if w.entry == nil {
		if stored.Version == fescuebank.Absent {
			return nil
		}
		return i.Store.Delete(ctx, path, stored.Version)
	}
	last, ok := decode(stored)
	if ok && last.until.UnixMilli() >= w.entry.UntilUnixMilli-gossipTTL.Milliseconds() {
		return nil
	}
	value, err := json.Marshal(w.entry)
	if err != nil {
		return err
	}
	_, err = i.Store.Put(ctx, path, value, stored.Version)
	if errors.Is(err, fescuebank.ErrVersion) {
		return nil
	}
	return err
}
