package resumer

import (
	"testing"
	"time"

	"fescuebank"
)

func TestOldRecordsAreDroppedAndNewOnesKept(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		after time.Duration
		id    fescuebank.RequestID
	}
	for _, tt := range []struct {
		name  string
		steps []step
		// at is when want are the streams that are found.
		at   time.Duration
		want []fescuebank.RequestID
	}{
		{"before the TTL", []step{{0, "a"}, {time.Second, "b"}}, 9 * time.Second, []fescuebank.RequestID{"a", "b"}},
		{"at the TTL of the first", []step{{0, "a"}, {time.Second, "b"}}, 10 * time.Second, []fescuebank.RequestID{"b"}},
		{"after the TTL of all", []step{{0, "a"}, {time.Second, "b"}}, time.Minute, nil},
		{"more than the limit", []step{{0, "a"}, {1, "b"}, {2, "c"}, {3, "d"}}, 4, []fescuebank.RequestID{"b", "c", "d"}},
		{"the same stream again", []step{{0, "a"}, {1, "b"}, {2, "c"}, {3, "a"}}, 4, []fescuebank.RequestID{"a", "b", "c"}},
	} {
		r := newRecords(3, 10*time.Second)
		for _, s := range tt.steps {
			r.add(start.Add(s.after), fescuebank.StreamRecord{ID: s.id, Version: "v1"})
		}
		var got []fescuebank.RequestID
		for _, id := range []fescuebank.RequestID{"a", "b", "c", "d"} {
			if recorded, ok := r.find(start.Add(tt.at), id); ok && recorded.version == "v1" {
				got = append(got, id)
			}
		}
		if len(got) != len(tt.want) || len(r.ages) != len(r.versions) {
			t.Errorf("%s: got %v with %d ages, want %v", tt.name, got, len(r.ages), tt.want)
			continue
		}
		for i := range got {
			if got[i] != tt.want[i] {
				t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
			}
		}
	}
}

// TestConflictingVersionsAreNotUsed guards against a stream that continues at the version of another
// one with the same id.
func TestConflictingVersionsAreNotUsed(t *testing.T) {
	r := newRecords(3, time.Minute)
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		version string
		changed bool
		want    recordedVersion
	}{
		{"v1", true, recordedVersion{version: "v1"}},
		{"v1", false, recordedVersion{version: "v1"}},
		{"v2", true, recordedVersion{conflicting: true}},
		{"v1", false, recordedVersion{conflicting: true}},
	} {
		changed := r.add(now, fescuebank.StreamRecord{ID: "a", Version: tt.version})
		got, _ := r.find(now, "a")
		if changed != tt.changed || got != tt.want {
			t.Errorf("after %s: got %+v, changed %v, want %+v, %v", tt.version, got, changed, tt.want, tt.changed)
		}
	}
}
