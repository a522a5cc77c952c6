package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestStatedLimitIsKeptByAllInstances guards against instances that exceed a limit together.
func TestStatedLimitIsKeptByAllInstances(t *testing.T) {
	t.Parallel()
	const (
		limit  = 3
		window = 4 * time.Second
		// allowed is what the limit allows within the window, with what may have been saved up.
		allowed = limit*4 + limit*2
	)
	d := newDeployment(t, 2)
	a, b := d.startAll()
	for _, ep := range d.endpoints {
		ep.EventInterval = 20 * time.Millisecond
	}
	limited := d.endpoints[0]
	limited.SetRateLimit(limit)
	instances := []*runningInstance{a, b}
	var group sync.WaitGroup
	defer group.Wait()
	send := func(until time.Time, name string) {
		for n := 0; time.Now().Before(until); n++ {
			to := instances[n%2]
			group.Go(func() { d.send(to, http.MethodPost, "/stream/1", "k1", fmt.Sprint(name, n), nil) })
			time.Sleep(5 * time.Millisecond)
		}
	}
	send(time.Now().Add(time.Second), "before")
	if status, body := d.send(a, http.MethodPost, "/batch/x", "k1", "job", jobBody(8, 100)); status != http.StatusAccepted {
		t.Fatalf("got %d %s, want %d", status, body, http.StatusAccepted)
	}
	b.cancel()
	<-b.done
	b = d.start("entry-b", true)
	instances[1] = b
	d.eventually("list of both instances", 10*time.Second, func() bool { return len(d.addresses(b)) == 2 && len(d.addresses(a)) == 2 })
	before := len(limited.Requests())
	send(time.Now().Add(window), "during")
	got := len(limited.Requests()) - before
	t.Logf("got %d requests within %v, allowed are %d", got, window, allowed)
	if got > allowed {
		t.Errorf("got %d requests within %v, want at most %d", got, window, allowed)
	}
	if got < limit {
		t.Errorf("got %d requests within %v, want at least %d", got, window, limit)
	}
}
