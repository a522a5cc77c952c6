package renewer

import (
	"testing"
	"time"

	"fescuebank"
)

func TestRenewal(t *testing.T) {
	self := fescuebank.Holder{ID: "s1", Incarnation: "new"}
	before := fescuebank.Holder{ID: "s1", Incarnation: "old"}
	listed := fescuebank.Holder{ID: "s2", Incarnation: "old"}
	const soon, late = 300 * time.Millisecond, 2 * time.Second
	for _, tt := range []struct {
		name                   string
		owners                 []Owner
		uptime, sinceRead      time.Duration
		read, wait, isRenewing bool
	}{
		{"no list", nil, soon, late, false, false, false},
		{"other owner not heard yet", []Owner{{Listed: before}, {Listed: listed, Registered: "old"}}, soon, late, false, true, true},
		{"other owner still runs", []Owner{{Listed: before}, {Listed: listed, Registered: "old", Heard: "old", Reachable: true}}, soon, late, false, false, false},
		{"entry of the other one's new incarnation unknown", []Owner{{Listed: before}, {Listed: listed, Registered: "old", Heard: "new", Reachable: true}}, soon, late, true, true, true},
		{"members were just read", []Owner{{Listed: before}, {Listed: listed, Registered: "old", Heard: "new", Reachable: true}}, soon, soon / 10, false, true, true},
		{"new incarnations of all known", []Owner{{Listed: before}, {Listed: listed, Registered: "new", Heard: "new", Reachable: true}}, soon, late, false, false, true},
		{"new entry known, not heard yet", []Owner{{Listed: before}, {Listed: listed, Registered: "new"}}, soon, late, false, true, true},
		{"new entry replaced the former one, not heard yet", []Owner{{Listed: before}, {Listed: listed, Registered: "new", Reachable: true}}, soon, late, false, false, true},
		{"other owner stays away", []Owner{{Listed: before}, {Listed: listed, Registered: "old"}}, late, late, false, false, false},
		{"other owner restarted while this one runs", []Owner{{Listed: self}, {Listed: listed, Registered: "old", Heard: "new", Reachable: true}}, soon, late, true, false, true},
	} {
		r := Renewer{Self: self, Owners: tt.owners, Uptime: tt.uptime, SinceRead: tt.sinceRead}
		if got := r.MustReadMembers(); got != tt.read {
			t.Errorf("%s: got MustReadMembers %v, want %v", tt.name, got, tt.read)
		}
		if got := r.MustWait(); got != tt.wait {
			t.Errorf("%s: got MustWait %v, want %v", tt.name, got, tt.wait)
		}
		if got := r.IsRenewing(); got != tt.isRenewing {
			t.Errorf("%s: got IsRenewing %v, want %v", tt.name, got, tt.isRenewing)
		}
	}
}
