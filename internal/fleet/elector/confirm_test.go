package elector_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/elector"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

// TestOwnerIsConfirmedByTheStore guards against an owner that acknowledges a call by a list of owners which has been replaced.
func TestOwnerIsConfirmedByTheStore(t *testing.T) {
	self := fescuebank.Holder{ID: "s1", Incarnation: "now"}
	for _, tt := range []struct {
		name   string
		owner  fescuebank.Holder
		faults memorystorer.Faults
		// isLost is set if no instance can read the list.
		isLost bool
		want   bool
	}{
		{"list names this incarnation", self, memorystorer.Faults{}, false, true},
		{"list names another instance", fescuebank.Holder{ID: "s2", Incarnation: "now"}, memorystorer.Faults{}, false, false},
		{"list names the next incarnation", fescuebank.Holder{ID: "s1", Incarnation: "next"}, memorystorer.Faults{}, false, false},
		{"store is down", self, memorystorer.Faults{Down: true}, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := &memorystorer.MemoryStorer{}
			e := elector.New(elector.Config{
				Self: fescuebank.MemberEntry{ID: self.ID, Incarnation: self.Incarnation, Owner: true}, Store: store, Members: fixedMembers{},
				Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(), OnChange: func() {},
				ReadThroughPeer: func(context.Context) (fescuebank.Object, error) {
					return fescuebank.Object{}, fescuebank.ErrPeerUnreachable
				},
			})
			var version fescuebank.StoreVersion
			for epoch, owner := range []fescuebank.Holder{self, tt.owner} {
				list := encodeList(t, fescuebank.OwnerList{Epoch: fescuebank.FencingNumber(epoch + 1), Owners: []fescuebank.Holder{owner}})
				written, err := store.Put(t.Context(), fescuebank.OwnerListKey, list, version)
				if err != nil {
					t.Fatal(err)
				}
				version = written
				if epoch == 0 {
					e.ApplyObject(fescuebank.Object{Key: fescuebank.OwnerListKey, Value: list, Version: version}, timekeeper.Timekeeper{}.Now())
				}
			}
			store.SetFaults(tt.faults)
			got, err := e.ConfirmOwner(t.Context(), "team")
			if got != tt.want || errors.Is(err, fescuebank.ErrPeerUnreachable) != tt.isLost {
				t.Errorf("got %v, error %v, want %v", got, err, tt.want)
			}
		})
	}
}

func encodeList(t *testing.T, l fescuebank.OwnerList) []byte {
	t.Helper()
	value, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
