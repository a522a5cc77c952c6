package quarantiner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuebank"
)

// publish sends the crash record to all peers and writes it to the store in the background.
func (q *Quarantiner) publish(record fescuebank.CrashRecord) {
	q.log.Warn("Endpoint lost while running a request.",
		"fingerprint", record.Fingerprint.String(), "lost", len(record.Lost))
	go q.storeRecord(record)
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(publishConcurrency)
	self := q.directory.Self().ID
	for _, i := range q.directory.Instances() {
		if i.ID == self {
			continue
		}
		group.Go(func() error {
			request := fescuebank.CrashRecordRequest{Record: record}
			return q.peer.Call(ctx, i.PeerAddr, fescuebank.KindCrashRecord, &request, &fescuebank.CrashRecordReply{})
		})
	}
	_ = group.Wait()
}

// storeRecord merges the crash record into the stored one.
func (q *Quarantiner) storeRecord(record fescuebank.CrashRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	key := fescuebank.CrashRecordPrefix + record.Fingerprint.String()
	for range maxStoreAttempts {
		merged := record
		o, err := q.store.Get(ctx, key)
		if err == nil {
			var found fescuebank.CrashRecord
			if json.Unmarshal(o.Value, &found) == nil {
				merged.Lost = union(found.Lost, record.Lost)
			}
		} else if !errors.Is(err, fescuebank.ErrAbsent) {
			_ = fescuebank.Sleep(ctx, q.clock, time.Second)
			continue
		}
		value, err := json.Marshal(merged)
		if err != nil {
			return
		}
		if _, err = q.store.Put(ctx, key, value, o.Version); err == nil {
			return
		}
	}
}

func union(a, b []fescuebank.EndpointID) []fescuebank.EndpointID {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// ApplyObject processes a change of a crash record in the store. After a deletion the
// request is no longer suspect.
func (q *Quarantiner) ApplyObject(o fescuebank.Object) {
	if o.Deleted {
		var f fescuebank.Fingerprint
		if f.UnmarshalText([]byte(strings.TrimPrefix(o.Key, fescuebank.CrashRecordPrefix))) == nil {
			q.mu.Lock()
			defer q.mu.Unlock()
			delete(q.suspects, f)
		}
		return
	}
	var s fescuebank.CrashRecord
	if json.Unmarshal(o.Value, &s) == nil {
		q.merge(s)
	}
}

// Handle answers a CrashRecordRequest of another instance.
func (q *Quarantiner) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.CrashRecordRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	q.merge(request.Record)
	return &fescuebank.CrashRecordReply{}, nil
}

// merge adds the endpoints of a crash record received from another instance or the store.
func (q *Quarantiner) merge(received fescuebank.CrashRecord) {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.completed, received.Fingerprint)
	s := q.suspectFor(received.Fingerprint)
	s.at = now
	for _, id := range received.Lost {
		s.reported[id] = true
	}
}
