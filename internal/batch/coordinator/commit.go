package coordinator

import (
	"context"
	"errors"
	"slices"

	"fescuebank"
	"fescuebank/internal/batch/tracker"
)

// commit writes a segment and then the record that names it. The items are complete
// only after the conditional write of the record.
func (co *Coordinator) commit(ctx context.Context, j *ownedJob, c tracker.Commit) {
	record, version, err := co.writeRecord(ctx, j, c)
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case err == nil:
		j.tracker.ApplyCommit(c, record, version)
		co.notifyObserver(j, c)
	case errors.Is(err, fescuebank.ErrStoreDown):
		j.tracker.RevertCommit(c, co.clock.Now())
	default:
		// Another owner wrote the record, this instance no longer owns the job, or the
		// outcome is unknown: load the job again.
		co.log.Warn("Commit failed.", "job", string(j.spec.ID), "chunk", c.Chunk, "err", err)
		j.stale = true
	}
}

// notifyObserver reports the items of a commit to the observer.
func (co *Coordinator) notifyObserver(j *ownedJob, c tracker.Commit) {
	onTime := !co.clock.Now().After(j.spec.Due)
	for _, r := range c.Results {
		co.observer.BatchItem(j.spec.Team, r.Outcome.Failed, onTime)
	}
}

// writeRecord writes the results of c as a segment, and then the record with the segment's
// key, which it returns with its store version.
func (co *Coordinator) writeRecord(ctx context.Context, j *ownedJob, c tracker.Commit) (fescuebank.ChunkRecord, fescuebank.StoreVersion, error) {
	record := c.Record
	record.OwnerFencing = j.fencing
	if shard, _ := j.spec.ID.Shard(); !co.mayActUnder(shard, j.fencing) {
		return record, 0, fescuebank.ErrNotOwner
	}
	segment, err := co.serializer.EncodeSegment(c.Results)
	if err != nil {
		return record, 0, err
	}
	key := fescuebank.SegmentKey(j.spec.ID, c.Chunk, j.fencing, fescuebank.NewRandomID(""))
	// The key is random: a segment that was written although the store's response was
	// lost is never named by a record.
	if _, err := co.store.Put(ctx, key, segment, fescuebank.Absent); err != nil {
		return record, 0, storeDownIfUnknown(err)
	}
	record.Segments = append(record.Segments, key)
	value, err := co.serializer.EncodeRecord(record)
	if err != nil {
		return record, 0, err
	}
	version, err := co.store.Put(ctx, fescuebank.RecordKey(j.spec.ID, c.Chunk), value, c.Version)
	if errors.Is(err, fescuebank.ErrOutcomeUnknown) || errors.Is(err, fescuebank.ErrVersion) {
		return co.readBack(ctx, j, c, record, key)
	}
	return record, version, err
}

// storeDownIfUnknown converts an unknown outcome to fescuebank.ErrStoreDown, so that the
// write counts as not done. This is correct only for objects that nothing refers to yet.
func storeDownIfUnknown(err error) error {
	if errors.Is(err, fescuebank.ErrOutcomeUnknown) {
		return fescuebank.ErrStoreDown
	}
	return err
}

// mayActUnder reports whether this instance may act as the owner of shard under the fencing
// number.
func (co *Coordinator) mayActUnder(shard fescuebank.ShardID, fencing fescuebank.FencingNumber) bool {
	current, mayAct := co.directory.MayAct(shard)
	return mayAct && current == fencing
}

// readBack determines from the record in the store whether a write with an unknown or
// conflicting outcome took effect, which it did if the record names the new segment.
func (co *Coordinator) readBack(ctx context.Context, j *ownedJob, c tracker.Commit, record fescuebank.ChunkRecord, key string) (fescuebank.ChunkRecord, fescuebank.StoreVersion, error) {
	o, err := co.store.Get(ctx, fescuebank.RecordKey(j.spec.ID, c.Chunk))
	if errors.Is(err, fescuebank.ErrAbsent) && c.Version == fescuebank.Absent {
		return record, 0, fescuebank.ErrStoreDown
	}
	if err != nil {
		return record, 0, fescuebank.ErrOutcomeUnknown
	}
	found, err := co.serializer.DecodeRecord(o.Value)
	if err != nil {
		return record, 0, err
	}
	if slices.Contains(found.Segments, key) {
		return found, o.Version, nil
	}
	return record, 0, fescuebank.ErrVersion
}
