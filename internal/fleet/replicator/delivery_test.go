package replicator_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/replicator"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

// TestOlderReplicaIsNotDeliveredAfterNewerOne guards against an endpoint that left and stays in use because
// the changes of the watch and of a peer are applied in the wrong order.
func TestOlderReplicaIsNotDeliveredAfterNewerOne(t *testing.T) {
	const maxDelay = 200 * time.Millisecond
	var inForce []fescuebank.Object
	var mu sync.Mutex
	var deliveries atomic.Int64
	second := make(chan struct{})
	// The first delivery is held up until the second one has taken effect, if that is possible.
	deliver := func(objects []fescuebank.Object) {
		isFirst := deliveries.Add(1) == 1
		if isFirst {
			select {
			case <-second:
			case <-time.After(maxDelay):
			}
		}
		mu.Lock()
		inForce = objects
		mu.Unlock()
		if !isFirst {
			close(second)
		}
	}
	r := replicator.New(&memorystorer.MemoryStorer{}, "k/", timekeeper.Timekeeper{}, hclog.NewNullLogger(), deliver)
	r.SetFollowing(true)
	a := fescuebank.Object{Key: "k/a", Value: []byte("1"), Version: 1}
	b := fescuebank.Object{Key: "k/b", Value: []byte("1"), Version: 2}
	var group sync.WaitGroup
	group.Go(func() { r.ApplyDelta(wholeReplica(2, a, b)) })
	for deliveries.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	group.Go(func() { r.ApplyDelta(wholeReplica(3, b)) })
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(inForce) != 1 || inForce[0].Key != "k/b" {
		t.Errorf("got %v in force, want only the object that is still there", inForce)
	}
}
