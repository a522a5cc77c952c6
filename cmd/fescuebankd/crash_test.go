package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/platform/marshaler"
	"fescuebank/platform/simulator"
)

const (
	// crashInterval is the pause between two requests that crash endpoints, and crashRequests
	// the number of them.
	crashInterval = 150 * time.Millisecond
	crashRequests = 14
	// maxCrashes is how many endpoints may crash before a request that crashes them is known, and
	// maxPartCrashes before a part of prompts is.
	maxCrashes     = 3
	maxPartCrashes = 5
	// refusalTime is how soon a request must be refused that can't be served.
	refusalTime = 100 * time.Millisecond
)

// crashingEndpoints replaces each endpoint that crashes by another one.
type crashingEndpoints struct {
	d         *deployment
	crashesOn func(r *http.Request, body []byte) bool

	mu      sync.Mutex
	crashes int
}

// crashOn makes all endpoints of the deployment crash on some requests.
func (d *deployment) crashOn(crashesOn func(r *http.Request, body []byte) bool) *crashingEndpoints {
	c := &crashingEndpoints{d: d, crashesOn: crashesOn}
	for _, e := range d.endpoints {
		c.prepare(e)
	}
	return c
}

func (c *crashingEndpoints) prepare(e *simulator.Endpoint) {
	e.CrashesOn = c.crashesOn
	e.OnCrash = func() { c.replace(e.ID) }
}

func (c *crashingEndpoints) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// replace starts another endpoint in place of one that has crashed.
func (c *crashingEndpoints) replace(id string) {
	c.mu.Lock()
	c.crashes++
	e := &simulator.Endpoint{ID: fmt.Sprintf("r-%d", c.crashes), Events: 5, EventInterval: time.Millisecond}
	c.mu.Unlock()
	c.prepare(e)
	addr, err := e.Start()
	if err != nil {
		c.d.t.Error(err)
		return
	}
	c.d.t.Cleanup(e.Stop)
	c.d.putEntry(e.ID, testEntry(addr))
	o, _ := c.d.store.Memory.Get(context.Background(), simulator.EntryKey(id))
	_ = c.d.store.Memory.Delete(context.Background(), o.Key, o.Version)
}

// sendPrompt sends a request with a body and the parts of its prompt, and returns the status, the
// body and how long the response took.
func (d *deployment) sendPrompt(n *runningInstance, body, parts string) (status int, text string, took time.Duration) {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.settings.Listen.Callers+"/stream/x", strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer k1")
	r.Header.Set(marshaler.HeaderRequestID, fescuebank.NewRandomID("r"))
	r.Header.Set(marshaler.HeaderPrefix, parts)
	started := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error(), time.Since(started)
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	if err != nil {
		return 0, err.Error(), time.Since(started)
	}
	return resp.StatusCode, b.String(), time.Since(started)
}

// serveSound sends a sound request until it is served.
func (d *deployment) serveSound(n *runningInstance, parts string) {
	d.t.Helper()
	d.eventually("response to a sound request", 5*time.Second, func() bool {
		status, text, _ := d.sendPrompt(n, fescuebank.NewRandomID("sound"), parts)
		return status == http.StatusOK && text == eventStream(5)
	})
}

// TestRequestThatCrashesEndpointsIsStoppedOnAllInstances guards against a request that comes again
// at any instance and crashes one endpoint after the other.
func TestRequestThatCrashesEndpointsIsStoppedOnAllInstances(t *testing.T) {
	d := newDeployment(t, 4)
	a, b := d.startAll()
	crashing := d.crashOn(func(_ *http.Request, body []byte) bool { return string(body) == "crash" })
	d.serveSound(a, "aa:100,01:10")
	for i := range crashRequests {
		n := []*runningInstance{a, b}[i%2]
		status, text, took := d.sendPrompt(n, "crash", "aa:100,02:10")
		if status == http.StatusServiceUnavailable && (took > refusalTime || !strings.Contains(text, string(fescuebank.CodeQuarantined))) {
			t.Errorf("request %d: got %q after %v, want the code %q within %v", i, text, took, fescuebank.CodeQuarantined, refusalTime)
		}
		time.Sleep(crashInterval)
	}
	if got := crashing.count(); got > maxCrashes {
		t.Errorf("%d requests crashed %d endpoints, want at most %d", crashRequests, got, maxCrashes)
	}
	for _, n := range []*runningInstance{a, b} {
		d.serveSound(n, "aa:100,03:10")
	}
}

// TestPromptPartThatCrashesEndpointsIsStoppedOnAllInstances guards against different requests that
// hold one part in their prompts and crash one endpoint after the other.
func TestPromptPartThatCrashesEndpointsIsStoppedOnAllInstances(t *testing.T) {
	d := newDeployment(t, 4)
	a, b := d.startAll()
	crashing := d.crashOn(func(r *http.Request, _ []byte) bool {
		return strings.Contains(r.Header.Get(marshaler.HeaderPrefix), "bad:")
	})
	instances := []*runningInstance{a, b}
	d.serveSound(a, "aa:100,01:10")
	for i := range crashRequests {
		status, text, took := d.sendPrompt(instances[i%2], fescuebank.NewRandomID("crash"), fmt.Sprintf("aa:100,bad:50,%02x:10", i))
		if status == http.StatusServiceUnavailable && (took > refusalTime || !strings.Contains(text, string(fescuebank.CodeQuarantined))) {
			t.Errorf("request %d: got %q after %v, want the code %q within %v", i, text, took, fescuebank.CodeQuarantined, refusalTime)
		}
		d.serveSound(instances[(i+1)%2], fmt.Sprintf("aa:100,ff%02x:10", i))
		time.Sleep(crashInterval)
	}
	if got := crashing.count(); got > maxPartCrashes {
		t.Errorf("%d requests crashed %d endpoints, want at most %d", crashRequests, got, maxPartCrashes)
	}
}
