package elector_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/elector"
	"fescuebank/internal/fleet/gossiper"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

// fixedMembers are the other instances of a fleet that doesn't change.
type fixedMembers []gossiper.Peer

// Peers returns the other instances.
func (m fixedMembers) Peers() []gossiper.Peer { return m }

// TestFormerOwnerHasEndedOnceItsEntryWasReplaced checks what tells that a former owner has ended. An entry that
// names another incarnation may be out of date itself; one that was seen to replace the entry of the former
// owner is later.
func TestFormerOwnerHasEndedOnceItsEntryWasReplaced(t *testing.T) {
	self := fescuebank.MemberEntry{ID: "s1", Incarnation: "now", Owner: true}
	listed := fescuebank.Holder{ID: "s1", Incarnation: "now"}
	former := fescuebank.Holder{ID: "s2", Incarnation: "listed"}
	entry := fescuebank.MemberEntry{ID: "s2", Incarnation: "other", Owner: true}
	entryInstance := gossiper.Peer{MemberEntry: fescuebank.MemberEntry{ID: "e1", CallerAddr: "e1"}}
	for _, tt := range []struct {
		name string
		peer gossiper.Peer
		want bool
	}{
		{"entry names another incarnation", gossiper.Peer{MemberEntry: entry}, false},
		{"entry replaced that of the former owner", gossiper.Peer{MemberEntry: entry, Replaces: "listed"}, true},
		{"entry replaced that of an earlier incarnation", gossiper.Peer{MemberEntry: entry, Replaces: "earlier"}, false},
		{"gossip arrives from the other incarnation", gossiper.Peer{MemberEntry: entry, Gossip: fescuebank.Gossip{Incarnation: "other"}}, true},
	} {
		e := elector.New(elector.Config{
			Self: self, Store: &memorystorer.MemoryStorer{}, Members: fixedMembers{tt.peer, entryInstance},
			Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(), OnChange: func() {},
		})
		list := fescuebank.OwnerList{Epoch: 2, Owners: []fescuebank.Holder{listed}, Previous: []fescuebank.Holder{former}, Former: []fescuebank.Holder{former}}
		value, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		e.ApplyObject(fescuebank.Object{Key: fescuebank.OwnerListKey, Value: value, Version: 1}, time.Now())
		if _, got := e.MayAct("team"); got != tt.want {
			t.Errorf("%s: got the next owner acting %v, want %v", tt.name, got, tt.want)
		}
	}
}
