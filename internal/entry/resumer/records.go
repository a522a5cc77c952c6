package resumer

import (
	"time"

	"fescuebank"
)

// records holds the records that an instance stores, up to a number and an age.
type records struct {
	limit    int
	ttl      time.Duration
	versions map[fescuebank.RequestID]recordedVersion
	// ages lists the same records, the oldest first.
	ages []recordAge
}

// recordedVersion is the version in the records of one id.
type recordedVersion struct {
	version string
	// conflicting is set if the records name different versions, so that none is known.
	conflicting bool
}

// recordAge states when a record was stored.
type recordAge struct {
	id       fescuebank.RequestID
	storedAt time.Time
}

func newRecords(limit int, ttl time.Duration) *records {
	return &records{limit: limit, ttl: ttl, versions: make(map[fescuebank.RequestID]recordedVersion)}
}

// add stores a record and reports whether that changes what is known of its id.
func (r *records) add(now time.Time, record fescuebank.StreamRecord) bool {
	r.expire(now)
	if known, ok := r.versions[record.ID]; ok {
		if known.conflicting || known.version == record.Version {
			return false
		}
		r.versions[record.ID] = recordedVersion{conflicting: true}
		return true
	}
	if len(r.ages) >= r.limit {
		r.dropOldest()
	}
	r.versions[record.ID] = recordedVersion{version: record.Version}
	r.ages = append(r.ages, recordAge{id: record.ID, storedAt: now})
	return true
}

// find returns what the records of an id say, or false if there are none.
func (r *records) find(now time.Time, id fescuebank.RequestID) (recorded recordedVersion, ok bool) {
	r.expire(now)
	recorded, ok = r.versions[id]
	return recorded, ok
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
