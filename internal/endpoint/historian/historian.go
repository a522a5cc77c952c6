// Package historian records in the store since when a service has had only one software version.
// It answers the load after a loss of power: callers continue the streams that it cut off, and the
// instances, which have all restarted, no longer know at which version these began.
package historian

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// writeInterval is how often the records are compared with the endpoints.
	writeInterval = time.Second
	// firstWriteDelay is the time from the start to the first comparison. By then the endpoints are
	// listed, and it is known which instance writes.
	firstWriteDelay = 2 * time.Second
	// minSoleTime is how long a version must have been the only one. It is longer than any stream
	// lasts, and allows for the differences between the instances' clocks.
	minSoleTime = 32 * time.Second
	// readRetry is the minimum time between two reads of the same record.
	readRetry = 200 * time.Millisecond
)

// Config holds the dependencies of a Historian.
type Config struct {
	Store fescuebank.ObjectStore
	// Versions returns what this instance has seen of each service since its start.
	Versions func() map[fescuebank.ServiceName]fescuebank.SoleVersion
	// Started returns since when it has seen endpoints.
	Started func() time.Time
	// IsWriter reports whether this instance writes the records.
	IsWriter func() bool
	Clock    fescuebank.Clock
	Log      hclog.Logger
}

// Historian keeps the records of all services.
type Historian struct {
	Config

	// mu is held during reads, so that the store is asked once for a record that several streams
	// need.
	mu      sync.Mutex
	records map[fescuebank.ServiceName]record
	// failedAt is when the last read of a record failed.
	failedAt map[fescuebank.ServiceName]time.Time
}

// record is the record of a service. Its version is fescuebank.Absent if the store has none.
type record struct {
	stored  entry
	version fescuebank.StoreVersion
}

// entry is the JSON representation of a record.
type entry struct {
	// Version is empty if several versions serve.
	Version        string `json:"version"`
	SinceUnixMilli int64  `json:"since"`
}

// New returns a historian that has read no record.
func New(c Config) *Historian {
	return &Historian{Config: c, records: make(map[fescuebank.ServiceName]record), failedAt: make(map[fescuebank.ServiceName]time.Time)}
}

// Run writes the records that no longer match the endpoints, until ctx ends.
func (h *Historian) Run(ctx context.Context) {
	_ = fescuebank.Sleep(ctx, h.Clock, firstWriteDelay)
	for ctx.Err() == nil {
		if h.IsWriter() {
			h.writeAll(ctx)
		}
		_ = fescuebank.Sleep(ctx, h.Clock, writeInterval)
	}
}

func (h *Historian) writeAll(ctx context.Context) {
	for service, seen := range h.Versions() {
		if err := h.write(ctx, service, seen); err != nil {
			h.Log.Warn("Software version not recorded.", "service", string(service), "err", err.Error())
		}
	}
}

// write makes the record of a service match what this instance has seen.
func (h *Historian) write(ctx context.Context, service fescuebank.ServiceName, seen fescuebank.SoleVersion) error {
	r, err := h.load(ctx, service)
	if err != nil {
		return err
	}
	next, changed := r.next(seen, h.Started())
	if !changed {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "Historian.write")
	}
	version, err := h.Store.Put(ctx, key(service), value, r.version)
	if err != nil {
		h.forget(service)
		return err
	}
	h.set(service, record{stored: next, version: version})
	h.Log.Info("Software version recorded.", "service", string(service), "endpointVersion", next.Version, "since", next.SinceUnixMilli)
	return nil
}

// next returns the entry that matches what an instance has seen since it started, and whether it
// replaces the stored one. A stored version that has been the only one here too is kept with its time.
func (r record) next(seen fescuebank.SoleVersion, started time.Time) (entry, bool) {
	next := entry{Version: seen.Version, SinceUnixMilli: seen.Since.UnixMilli()}
	if r.version == fescuebank.Absent {
		return next, true
	}
	if next.Version != r.stored.Version {
		return next, true
	}
	interrupted := seen.Since.After(started) && next.SinceUnixMilli > r.stored.SinceUnixMilli
	return next, next.Version != "" && interrupted
}

// WasSole reports whether a version was the only one of a service for so long that every stream that
// may still continue began at it. The caller has seen no other version since its start.
func (h *Historian) WasSole(ctx context.Context, service fescuebank.ServiceName, version string) bool {
	r, err := h.load(ctx, service)
	if err != nil || r.version == fescuebank.Absent || r.stored.Version != version {
		return false
	}
	return h.Clock.Now().Sub(time.UnixMilli(r.stored.SinceUnixMilli)) >= minSoleTime
}

// errReadLately means that a read of the record failed a moment ago.
var errReadLately = errors.New("record was read in vain a moment ago")

// load returns the record of a service, which it reads from the store once: whatever changes after the
// start, this instance sees itself.
func (h *Historian) load(ctx context.Context, service fescuebank.ServiceName) (record, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.records[service]; ok {
		return r, nil
	}
	if h.Clock.Now().Sub(h.failedAt[service]) < readRetry {
		return record{}, errReadLately
	}
	r, err := h.read(ctx, service)
	if err != nil {
		h.failedAt[service] = h.Clock.Now()
		return record{}, err
	}
	h.records[service] = r
	return r, nil
}

func (h *Historian) read(ctx context.Context, service fescuebank.ServiceName) (record, error) {
	o, err := h.Store.Get(ctx, key(service))
	if errors.Is(err, fescuebank.ErrAbsent) {
		return record{}, nil
	}
	if err != nil {
		return record{}, eris.Wrap(err, "Historian.read")
	}
	r := record{version: o.Version}
	return r, eris.Wrap(json.Unmarshal(o.Value, &r.stored), "Historian.read")
}

func (h *Historian) set(service fescuebank.ServiceName, r record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records[service] = r
}

// forget makes the next use read the record again.
func (h *Historian) forget(service fescuebank.ServiceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.records, service)
}

func key(service fescuebank.ServiceName) string {
	return fescuebank.VersionPrefix + string(service)
}
