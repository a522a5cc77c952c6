package fescuebank

import (
	"fmt"
	"slices"
	"testing"
)

// TestHashRank checks that each instance has a rank of its own, which doesn't depend on the order of the
// members and changes by one at most if an instance comes.
func TestHashRank(t *testing.T) {
	members := make([]InstanceID, 0, 60)
	for i := range cap(members) {
		members = append(members, InstanceID(fmt.Sprint("instance-", i)))
	}
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	for _, key := range []string{"1/", "cold/1/"} {
		byRank := make(map[int]InstanceID)
		for _, id := range members {
			rank := HashRank(key, id, members)
			if other, taken := byRank[rank]; taken {
				t.Errorf("key %s: got rank %d for %s and %s, want different ranks", key, rank, other, id)
			}
			byRank[rank] = id
			if got := HashRank(key, id, reversed); got != rank {
				t.Errorf("key %s, %s: got rank %d by reversed members, want %d", key, id, got, rank)
			}
			if got := HashRank(key, id, append(slices.Clone(members), "new")); got != rank && got != rank+1 {
				t.Errorf("key %s, %s: got rank %d with another member, want %d or %d", key, id, got, rank, rank+1)
			}
		}
	}
}
