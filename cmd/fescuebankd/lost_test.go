package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fescuebank/internal/soak/partitioner"
	"fescuebank/platform/marshaler"
)

// resumableRoutes are testRoutes and one on which streams may continue at another endpoint.
const resumableRoutes = testRoutes + `,{"name":"resumable","host":"h","pathPrefix":"/resumable/","kind":"streaming","resumable":true,"timeoutMs":4000,"targetLatencyMs":300,"service":"s","maxAttempts":3,"targetGapMs":400}`

// sendMany sends count requests to an instance, one every 20 ms, and returns how many were served
// and how often endpoints ran one of them again.
func (d *deployment) sendMany(n *runningInstance, path, name string, count int) (served int) {
	var group sync.WaitGroup
	var ok atomic.Int64
	for i := range count {
		group.Go(func() {
			status, body := d.send(n, http.MethodPost, path, "k1", fmt.Sprint(name, i), []byte("x"))
			if status == http.StatusOK && body == eventStream(5) {
				ok.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	return int(ok.Load())
}

// runsOf returns how often endpoints received each request, by its id.
func (d *deployment) runsOf() map[string]int {
	runs := make(map[string]int)
	for _, ep := range d.endpoints {
		for _, r := range ep.Requests() {
			runs[r.Header.Get(marshaler.HeaderRequestID)]++
		}
	}
	return runs
}

// TestInstanceWithoutEndpointsServesThroughAnother guards against an instance that serves nobody in a partition.
func TestInstanceWithoutEndpointsServesThroughAnother(t *testing.T) {
	for _, mode := range []partitioner.Mode{partitioner.Hang, partitioner.Reset, partitioner.Refuse} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3)
			d.configure(resumableRoutes)
			a, b := d.startAll()
			d.eventually("new route", 5*time.Second, func() bool {
				status, _ := d.send(a, http.MethodPost, "/resumable/x", "k1", "first", nil)
				return status == http.StatusOK
			})
			a.partition.SetMode(mode)
			d.sendMany(a, "/resumable/x", "found", 50) // It is found out meanwhile.
			const count = 50
			if got := d.sendMany(a, "/stream/x", "lost", count); got < count-1 {
				t.Errorf("got %d of %d requests served, want all but one at most", got, count)
			}
			if got := d.sendMany(b, "/stream/x", "beside", count); got < count {
				t.Errorf("got %d of %d requests served at the other instance, want all", got, count)
			}
			a.partition.SetMode(partitioner.None)
			time.Sleep(time.Second)
			if got := d.sendMany(a, "/stream/x", "again", count); got < count {
				t.Errorf("got %d of %d requests served after the partition, want all", got, count)
			}
			for id, runs := range d.runsOf() {
				if runs > 1 && id[0] != 'f' {
					t.Errorf("request %s: got %d runs, want one", id, runs)
				}
			}
		})
	}
}
