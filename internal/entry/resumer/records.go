package resumer

import (
	"time"

	"fescuebank"
)

// records holds the records that an instance stores, up to a number and an age.
type records struct {
	limit    int
	ttl      time.Duration
	versions map[fescuebank.RequestID]string
	// ages lists the same records, the oldest first.
	ages []recordAge
}

// recordAge states when a record was stored.
type recordAge struct {
	id       fescuebank.RequestID
	storedAt time.Time
}

func newRecords(limit int, ttl time.Duration) *records {
	return &records{limit: limit, ttl: ttl, versions: make(map[fescuebank.RequestID]string)}
}

// add stores a record and reports whether there was none of the stream. A stream begins
// once, so an existing record stays as it is.
func (r *records) add(now time.Time, record fescuebank.StreamRecord) bool {
	r.expire(now)
	if _, ok := r.versions[record.ID]; ok {
		return false
	}
	if len(r.ages) >= r.limit {
		r.dropOldest()
	}
	r.versions[record.ID] = record.Version
	r.ages = append(r.ages, recordAge{id: record.ID, storedAt: now})
	return true
}

// find returns the version in the record of a stream.
func (r *records) find(now time.Time, id fescuebank.RequestID) (version string, ok bool) {
	r.expire(now)
	version, ok = r.versions[id]
	return version, ok
}

// expire drops the records that are older than the TTL.
func (r *records) expire(now time.Time) {
	for len(r.ages) > 0 && now.Sub(r.ages[0].storedAt) >= r.ttl {
		r.dropOldest()
	}
}

func (r *records) dropOldest() {
	delete(r.versions, r.ages[0].id)
	r.ages = r.ages[1:]
}
