package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// onlineRate is the sheet's number of online requests a second, and troughShare and crestShare what of it comes in a trough
	// and in a crest, which follow one another.
	onlineRate  = 41.2
	troughShare = 0.383
	crestShare  = 1.87
	troughTime  = 3400 * time.Millisecond
	crestTime   = 2400 * time.Millisecond
	// onlineEvents is the number of events of an online answer.
	onlineEvents = 30
	onlinePrefix = "/query/"
	onlineKey    = "key2"
	bodyBytes    = 1500
)

// wave sends online requests until ctx ends, and begins with a trough.
type wave struct {
	fleet  *fleet
	client *http.Client
	group  sync.WaitGroup
	sent   atomic.Int64
	served atomic.Int64
}

func (f *fleet) newWave() *wave {
	return &wave{fleet: f, client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// isCrest reports whether the wave is in a crest at a time after its start.
func isCrest(since time.Duration) bool {
	return since%(troughTime+crestTime) >= troughTime
}

func (v *wave) run(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		rate := onlineRate * troughShare
		if isCrest(time.Since(began)) {
			rate = onlineRate * crestShare
		}
		n := v.sent.Add(1)
		v.group.Go(func() { v.request(n) })
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	v.group.Wait()
}

// request sends one request, and counts it as served if its stream is complete.
func (v *wave) request(n int64) {
	entries := v.fleet.entries()
	r, err := http.NewRequest(http.MethodPost, "http://"+entries[n%int64(len(entries))].callers+onlinePrefix+"q", strings.NewReader(strings.Repeat("x", bodyBytes)))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+onlineKey)
	r.Header.Set("X-Fescuebank-Deadline-Ms", "5000")
	id := fmt.Sprintf("%016x", n)
	r.Header.Set("X-Fescuebank-Request-Id", id)
	v.fleet.record.add("online %s: sent", id)
	resp, err := v.client.Do(r)
	if err != nil {
		v.fleet.record.add("online %s: %v", id, err)
		return
	}
	defer resp.Body.Close()
	length, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		v.fleet.record.add("online %s: %d, broken off after %d bytes: %v", id, resp.StatusCode, length, err)
		return
	}
	v.fleet.record.add("online %s: %d, %d bytes", id, resp.StatusCode, length)
	if resp.StatusCode == http.StatusOK {
		v.served.Add(1)
	}
}
