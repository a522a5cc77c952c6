package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"fescuebank/platform/simulator"
)

// gossipTime is how long gossip takes at most to reach the other instance.
const gossipTime = 300 * time.Millisecond

// TestObjectPlatformLeavingEndpointGetsNoWork guards against requests and batch items at an
// endpoint that stated in its responses that it leaves, when its entry still says ready or is
// removed and comes back, until the endpoint restarts.
func TestObjectPlatformLeavingEndpointGetsNoWork(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	entries := []simulator.Entry{d.entry("i-0"), d.entry("i-1")}
	a, _ := d.startAll()
	leaving := d.endpoints[0]
	leaving.SetLeaving(true)
	for _, ep := range d.endpoints {
		ep.EventInterval = 50 * time.Millisecond // Items run at the same time, at both endpoints.
	}
	d.serveAtBoth(a)
	before := len(leaving.Requests())
	time.Sleep(gossipTime)
	d.completeJob(a, "job1")
	if got := len(leaving.Requests()) - before; got != 0 {
		t.Errorf("got %d batch items at an endpoint that told another instance that it leaves, want none", got)
	}
	d.removeObject(simulator.EntryKey("i-0"))
	d.removeObject(simulator.EntryKey("i-1"))
	d.eventually("refusal without endpoints", 5*time.Second, func() bool {
		status, _ := d.send(a, http.MethodPost, "/stream/1", "k1", "none", nil)
		return status == http.StatusServiceUnavailable
	})
	d.putEntry("i-0", entries[0])
	d.putEntry("i-1", entries[1])
	d.eventually("response of the other endpoint", 5*time.Second, func() bool { return d.served(a, "back") })
	for i := range 20 {
		if !d.served(a, fmt.Sprintf("after%d", i)) {
			t.Errorf("got no response to request %d, want one of the other endpoint", i)
		}
	}
	d.completeJob(a, "job2")
	if got := len(leaving.Requests()) - before; got != 0 {
		t.Errorf("got %d requests at the leaving endpoint, want none", got)
	}

	leaving.SetLeaving(false)
	d.removeObject(simulator.EntryKey("i-1"))
	d.putEntry("i-0", entries[0].BornAt(time.Now()))
	d.eventually("response of the restarted endpoint", 5*time.Second, func() bool {
		return d.served(a, "restarted") && len(leaving.Requests()) > before
	})
}

// object returns the value of an object.
func (d *deployment) object(key string) string {
	d.t.Helper()
	o, err := d.store.Memory.Get(context.Background(), key)
	if err != nil {
		d.t.Fatal(err)
	}
	return string(o.Value)
}

func (d *deployment) removeObject(key string) {
	d.t.Helper()
	o, err := d.store.Memory.Get(context.Background(), key)
	if err == nil {
		err = d.store.Memory.Delete(context.Background(), key, o.Version)
	}
	if err != nil {
		d.t.Fatal(err)
	}
}

// served sends a request and reports whether it got a complete response.
func (d *deployment) served(n *runningInstance, id string) bool {
	status, body := d.send(n, http.MethodPost, "/stream/1", "k1", id, nil)
	return status == http.StatusOK && body == eventStream(5)
}

// serveAtBoth sends requests at the same time, so that both endpoints get some.
func (d *deployment) serveAtBoth(n *runningInstance) {
	d.t.Helper()
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			if !d.served(n, fmt.Sprintf("both%d", i)) {
				d.t.Errorf("got no response to request %d, want one", i)
			}
		})
	}
	group.Wait()
	for _, ep := range d.endpoints {
		if len(ep.Requests()) == 0 {
			d.t.Fatalf("got no request at endpoint %s, want some at both", ep.ID)
		}
	}
}

// completeJob submits a job of four items and waits for all results.
func (d *deployment) completeJob(n *runningInstance, job string) {
	d.t.Helper()
	if status, body := d.send(n, http.MethodPost, "/batch/x", "k1", job, jobBody(4, 100)); status != http.StatusAccepted {
		d.t.Fatalf("got %d %s for %s, want %d", status, body, job, http.StatusAccepted)
	}
	d.eventually("results of "+job, 10*time.Second, func() bool {
		page, _ := d.readResults(n, job)
		return len(page.Results) == 4
	})
}
