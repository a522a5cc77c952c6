// Package resumer stores at which software version of its endpoints each resumable stream
// began, here and at a few other instances, so that any instance can continue the stream at
// an endpoint of the same version after the instance that began it was lost.
package resumer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
)

const (
	// recordTTL is how long a record is stored.
	recordTTL = 60 * time.Second
	// maxRecords is the number of records that an instance stores. The oldest are dropped
	// first.
	maxRecords = 16384
	// maxIDBytes and maxVersionBytes bound the fields of a record.
	maxIDBytes      = 128
	maxVersionBytes = 64
	// maxBatch is the largest number of records in a message.
	maxBatch = 256
)

// errInvalidMessage means that a message of another instance exceeds the bounds.
var errInvalidMessage = errors.New("invalid message about resumable streams")

// Members provides the other instances of the fleet.
type Members interface {
	Peers() []gossiper.Peer
}

// Config holds the dependencies of a resumer.
type Config struct {
	Members Members
	Peer    fescuebank.Peer
	Clock   fescuebank.Clock
	Log     hclog.Logger
}

// Resumer stores the versions of resumable streams and finds those that other instances
// stored.
type Resumer struct {
	Config
	// wake makes Run send the copies that are due.
	wake chan struct{}

	mu      sync.Mutex
	records *records
	// unassigned are deliveries for which no backup has been selected yet.
	unassigned []*delivery
	// outboxes hold what waits for each backup or is being sent to it.
	outboxes map[fescuebank.InstanceID]*outbox
}

// New returns a resumer without records.
func New(c Config) *Resumer {
	return &Resumer{
		Config: c, wake: make(chan struct{}, 1), records: newRecords(maxRecords, recordTTL),
		outboxes: make(map[fescuebank.InstanceID]*outbox),
	}
}

// Record stores that the first event of the response to request id was relayed, from an
// endpoint of a version. It doesn't wait; Run sends copies of the record to other instances.
// If different versions are recorded under one id, Find finds none.
func (r *Resumer) Record(id fescuebank.RequestID, version string) {
	record := fescuebank.StreamRecord{ID: id, Version: version}
	if !isValid(record) {
		r.Log.Warn("Version of a stream not stored.", "idBytes", len(id), "versionBytes", len(version))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if r.records.add(now, record) {
		r.addDelivery(now, record)
	}
}

// isValid reports whether a record is within the bounds.
func isValid(s fescuebank.StreamRecord) bool {
	return s.ID != "" && len(s.ID) <= maxIDBytes && len(s.Version) <= maxVersionBytes
}

// known returns what the records of this instance say about an id.
func (r *Resumer) known(id fescuebank.RequestID) (recorded recordedVersion, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.find(r.Clock.Now(), id)
}

// HandleRecord stores copies of another instance's records.
func (r *Resumer) HandleRecord(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.RecordStreamsRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if len(request.Records) > maxBatch {
		return nil, errInvalidMessage
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, record := range request.Records {
		if !isValid(record) {
			return nil, errInvalidMessage
		}
		r.records.add(now, record)
	}
	return &fescuebank.RecordStreamsReply{}, nil
}

// HandleFind answers another instance from the records stored here.
func (r *Resumer) HandleFind(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.FindStreamRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	recorded, ok := r.known(request.ID)
	return &fescuebank.FindStreamReply{Found: ok, Version: recorded.version, Conflicting: recorded.conflicting}, nil
}
