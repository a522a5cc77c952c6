package main

import (
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	team        = "team1"
	contactTime = 3 * time.Second
)

// config returns a configuration with a batch route.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "lots", "host": host, "pathPrefix": "/lots/", "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400, "priority": 2,
			"service": service, "maxAttempts": 3, "cap": 820000, "targetRunMs": 18000, "retentionS": 60,
		}},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 370}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": team, "apiKeys": []string{"key1"}, "priority": 1, "ratePerS": 35, "burst": 35}},
	}
}

// job returns the body of a batch job.
func job(id string, count int) map[string]any {
	var items []any
	for n := range count {
		items = append(items, map[string]any{
			"id": fmt.Sprintf("%s-%d", id, n), "path": fmt.Sprintf("/lots/3/%d", n),
			"headers": map[string]string{"X-Fescuebank-Model": "m", "X-Fescuebank-Token-Usage": "350,204"},
			"body":    base64.StdEncoding.EncodeToString([]byte("{}")), "tokens": 554,
		})
	}
	return map[string]any{"items": items}
}

// startSmall starts a deployment of three workers of one service.
func (f *fleet) startSmall(events int, interval time.Duration) error {
	if err := f.put("config/main", config(1)); err != nil {
		return err
	}
	for n, zone := range []string{"a", "b", "c"} {
		e, err := f.addEndpointOf(service, fmt.Sprintf("i-%d", n), zone, slots)
		if err != nil {
			return err
		}
		e.events, e.interval = events, interval
	}
	return f.startInstances()
}

// startInstances starts an entry and an owner in each of three zones, and waits until they serve.
func (f *fleet) startInstances() error {
	for _, zone := range []string{"a", "b", "c"} {
		if err := f.addInstance("front-"+zone, zone, false); err != nil {
			return err
		}
		if err := f.addInstance("store-"+zone, zone, true); err != nil {
			return err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	for until := time.Now().Add(10 * time.Second); f.owner(team) == nil; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			return errors.New("no owner")
		}
	}
	time.Sleep(contactTime)
	return nil
}

func init() { scenarios["failing"] = failingItem }

const (
	// attempts is the route's maxAttempts, and mostFailures the number of answers of 500 after which an item may reach
	// no worker again from an instance in touch.
	attempts     = 3
	mostFailures = 3 * attempts
	// failTime is how long a worker works on the item before it fails.
	failTime = 800 * time.Millisecond
	// killDelay is how long after the last allowed answer of 500 an owner is killed, and restartDelay how long after that
	// it is started again.
	killDelay    = 300 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	// kills is how often the owner is killed. The last time it is gone for good.
	kills = 3
	// watchTime is how long the item is watched after that.
	watchTime = 8 * time.Second
)

// failingItem kills the owner of a team each time an item has failed in all attempts of its route.
func failingItem(f *fleet, trouble bool) (string, error) {
	if err := f.startSmall(204, 40*time.Millisecond); err != nil {
		return "", err
	}
	const id, bad = "7c41e09b52d6a3f8", "7c41e09b52d6a3f8-0"
	var failures failureCount
	for _, e := range f.endpoints {
		e.answer = func(w http.ResponseWriter, r *http.Request, e *endpoint) bool {
			if r.Header.Get("X-Fescuebank-Request-Id") != bad {
				return false
			}
			select {
			case <-r.Context().Done():
				return true
			case <-time.After(failTime):
			}
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusInternalServerError)
			f.record.add("endpoint %s: answer 500 to %s, number %d", e.id, bad, failures.add())
			return true
		}
	}
	entry := f.entries()[0]
	if status, _ := f.call(entry, http.MethodPost, "/lots/"+id, id, job(id, 10)); status != http.StatusAccepted {
		return "", fmt.Errorf("got status %d for the job", status)
	}
	var lastKill time.Time
	if trouble {
		owner := f.owner(team)
		for n := 1; n <= kills; n++ {
			if !failures.await(n*attempts, 12*time.Second) {
				return "", fmt.Errorf("the item failed only %d times before kill %d", failures.get(), n)
			}
			time.Sleep(killDelay)
			f.kill(owner)
			lastKill = time.Now()
			if n < kills {
				time.Sleep(restartDelay)
				if err := f.start(owner); err != nil {
					return "", err
				}
			}
		}
	} else {
		failures.await(attempts, 12*time.Second)
		lastKill = time.Now()
	}
	time.Sleep(watchTime)
	f.call(entry, http.MethodGet, "/api/lots/"+id+"?after=0", "", nil)
	return f.judgeFailing(bad, &failures, lastKill), nil
}

// judgeFailing returns what breaks the rule: the item reaches a worker after mostFailures answers of 500, from an instance
// in touch. No instance is in touch until contactTime after the last kill of an owner.
func (f *fleet) judgeFailing(id string, failures *failureCount, lastKill time.Time) string {
	enough, ok := failures.at(mostFailures)
	if !ok {
		return ""
	}
	for _, r := range f.reached(id) {
		if r.at.After(enough) && r.at.After(lastKill.Add(contactTime)) {
			return fmt.Sprintf("BUDGET: the item reached a worker %.1f s after the last kill and %.1f s after %d answers of 500, %d times in all",
				r.at.Sub(lastKill).Seconds(), r.at.Sub(enough).Seconds(), mostFailures, len(f.reached(id)))
		}
	}
	return ""
}

// failureCount holds the times of the answers of 500.
type failureCount struct {
	mu    sync.Mutex
	times []time.Time
}

func (c *failureCount) add() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, time.Now())
	return len(c.times)
}

func (c *failureCount) get() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.times)
}

// at returns when a number of answers had been given.
func (c *failureCount) at(count int) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) < count {
		return time.Time{}, false
	}
	return c.times[count-1], true
}

// await waits until a number of answers have been given.
func (c *failureCount) await(count int, within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if c.get() >= count {
			return true
		}
	}
	return false
}
