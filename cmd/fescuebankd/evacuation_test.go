package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// placeInZones moves the endpoints to zones of their own: z0, z1 and so on.
func (d *deployment) placeInZones() {
	for i, e := range d.endpoints {
		entry := d.entry(e.ID)
		entry.Zone = fescuebank.Zone(fmt.Sprint("z", i))
		d.putEntry(e.ID, entry)
	}
}

// sendFor sends requests through the instances by turns and counts those that were served.
func (d *deployment) sendFor(duration time.Duration, name string, instances ...*runningInstance) (sent, served int) {
	for until := time.Now().Add(duration); time.Now().Before(until); sent++ {
		if status, _ := d.send(instances[sent%len(instances)], http.MethodPost, "/stream/1", "k1", fmt.Sprint(name, sent), nil); status == http.StatusOK {
			served++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return sent, served
}

// sendAtOnce sends requests through the instances at the same time, so that they need both endpoints: of requests that come one after the
// other, the same endpoint may get all.
func (d *deployment) sendAtOnce(name string, instances ...*runningInstance) {
	const senders = 8
	var running sync.WaitGroup
	for n := range senders {
		running.Go(func() { d.sendFor(100*time.Millisecond, fmt.Sprint(name, n, "-"), instances...) })
	}
	running.Wait()
}

// TestEvacuatedZoneGetsNoRequest checks online requests and batch items, an instance that starts while
// the store is away, all zones at once, and the end of an evacuation.
func TestEvacuatedZoneGetsNoRequest(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	d.placeInZones()
	a, b := d.startAll()
	d.eventually("requests in both zones", 10*time.Second, func() bool {
		d.sendAtOnce("both", a, b)
		return len(d.endpoints[0].Requests()) > 0 && len(d.endpoints[1].Requests()) > 0
	})
	d.putObject("evacuations/z0", "{}")
	time.Sleep(time.Second)
	before := len(d.endpoints[0].Requests())
	if sent, served := d.sendFor(time.Second, "one", a, b); served < sent {
		t.Errorf("got %d of %d requests served by the other zone, want all", served, sent)
	}
	if status, body := d.send(a, http.MethodPost, "/batch/x", "k1", "job", jobBody(4, 100)); status != http.StatusAccepted {
		t.Fatalf("got %d %s, want %d", status, body, http.StatusAccepted)
	}
	d.eventually("results of the job", 10*time.Second, func() bool {
		page, _ := d.readResults(a, "job")
		return len(page.Results) == 4
	})
	b.cancel()
	<-b.done
	b = d.start("entry-b", true)
	d.eventually("restarted instance", 10*time.Second, func() bool { return len(d.addresses(b)) == 2 })
	d.store.Memory.SetFaults(memorystorer.Faults{Down: true})
	d.sendFor(time.Second, "away", a, b)
	d.store.Memory.SetFaults(memorystorer.Faults{})
	if got := len(d.endpoints[0].Requests()); got > before {
		t.Errorf("got %d requests in the evacuated zone, want none", got-before)
	}

	d.putObject("evacuations/z1", "{}")
	d.eventually("refusal with all zones evacuated", 5*time.Second, func() bool {
		one, _ := d.send(a, http.MethodPost, "/stream/1", "k1", "none-a", nil)
		two, _ := d.send(b, http.MethodPost, "/stream/1", "k1", "none-b", nil)
		return one == http.StatusServiceUnavailable && two == http.StatusServiceUnavailable
	})
	before = d.requestsAtEndpoints()
	started := time.Now()
	if status, body := d.send(a, http.MethodPost, "/stream/1", "k1", "refused", nil); status != http.StatusServiceUnavailable || time.Since(started) > 100*time.Millisecond {
		t.Errorf("got %d %s after %v, want %d at once", status, body, time.Since(started), http.StatusServiceUnavailable)
	}
	d.sendFor(500*time.Millisecond, "refused", a, b)
	if got := d.requestsAtEndpoints(); got > before {
		t.Errorf("got %d requests with all zones evacuated, want none", got-before)
	}

	d.removeObject("evacuations/z0")
	d.eventually("requests in the zone after its evacuation", 10*time.Second, func() bool {
		status, _ := d.send(a, http.MethodPost, "/stream/1", "k1", "again", nil)
		return status == http.StatusOK
	})
}
