package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { scenarios["nested"] = nestedRoute }

const (
	// jobPrefix is the part of the batch route's paths under which the jobs are sent, and toolPrefix another part.
	jobPrefix  = "/lots/nightly/"
	toolPrefix = "/lots/tools/"
	// workerCount is the sheet's number of workers.
	workerCount = 9
	// nightlyService is the only service.
	nightlyService = formerService
	// nestedRetention is the batch route's retentionS.
	nestedRetention = 60 * time.Second
)

// nestedConfig returns a configuration with a batch route and one of online requests. If prefix isn't empty, it has a further route
// of online requests with that prefix.
func nestedConfig(version int, prefix string) map[string]any {
	c := movedConfig(version, nightlyService)
	c["services"] = []any{map[string]any{"name": nightlyService, "healthPath": "/healthz", "maxConnections": 370}}
	if prefix != "" {
		c["routes"] = append(c["routes"].([]any), map[string]any{
			"name": "added", "host": host, "pathPrefix": prefix, "kind": "idempotent", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
			"service": nightlyService, "maxAttempts": 2,
		})
	}
	return c
}

// nestedRoute adds a route of online requests whose prefix is longer than that of the batch route and begins the path under which the
// open jobs were sent. The batch route stays as it is.
func nestedRoute(f *fleet, trouble bool) (string, error) {
	if err := f.put("config/main", nestedConfig(1, "")); err != nil {
		return "", err
	}
	for n := range workerCount {
		e, err := f.addEndpointOf(nightlyService, fmt.Sprintf("i-%d", n), []string{"a", "b", "c"}[n%3], slots)
		if err != nil {
			return "", err
		}
		e.answer = writeText(nightlyService)
	}
	if err := f.startInstances(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	online := f.newWave()
	done := make(chan struct{})
	go func() {
		defer close(done)
		online.run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	time.Sleep(troughTime + crestTime)
	jobs := []string{"7c41e09b52d6a3f8", "1b0c44d2e95f7a60"}
	began := time.Now()
	for n, id := range jobs {
		if n > 0 {
			time.Sleep(usualGap)
		}
		if status, _ := f.call(f.entries()[0], http.MethodPost, jobPrefix+id, id, job(id, itemsOf)); status != http.StatusAccepted {
			return "", fmt.Errorf("got status %d for job %s", status, id)
		}
	}
	time.Sleep(moveDelay)
	if trouble {
		prefix := jobPrefix
		if os.Getenv("ELSEWHERE") != "" {
			prefix = toolPrefix
		}
		if err := f.put("config/main", nestedConfig(2, prefix)); err != nil {
			return "", err
		}
		f.record.add("operator: version 2 adds a route with the prefix %s", prefix)
	}
	time.Sleep(watchedTime)
	cancel()
	<-done
	f.record.add("%d of %d online requests served", online.served.Load(), online.sent.Load())
	time.Sleep(completionTime)
	return f.judgeNested(jobs, began)
}

// judgeNested returns what breaks the rule: a result is dead-lettered although no worker has answered 422 or 500, retentionS isn't
// over, the job wasn't ended and its route is in the configuration.
func (f *fleet) judgeNested(jobs []string, began time.Time) (string, error) {
	listed, dead, first := 0, 0, ""
	for _, id := range jobs {
		status, body := f.call(f.entries()[1], http.MethodGet, "/api/lots/"+id+"?after=0", "", nil)
		if status != http.StatusOK {
			return "", fmt.Errorf("got status %d for the results of job %s", status, id)
		}
		var page struct {
			Results []struct{ ID, State, Output string }
		}
		if err := json.Unmarshal(body, &page); err != nil {
			return "", err
		}
		for _, r := range page.Results {
			listed++
			if r.State != "dead_lettered" {
				continue
			}
			dead++
			f.record.add("item %s: dead-lettered, it has reached workers %d times", r.ID, len(f.reached(r.ID)))
			if first == "" {
				first = r.ID
			}
		}
	}
	age := time.Since(began)
	f.record.add("%d of %d items listed %.1f s after the first job was sent, %d of them dead-lettered", listed, len(jobs)*itemsOf, age.Seconds(), dead)
	if age >= nestedRetention {
		return "", fmt.Errorf("the run took %v, longer than retentionS", age)
	}
	if dead > 0 {
		return fmt.Sprintf("MIXED: %d of %d results are dead-lettered before retentionS, though no worker has failed them and their route stands, the first %s", dead, listed, first), nil
	}
	if listed < len(jobs)*itemsOf {
		return "", fmt.Errorf("only %d items are listed", listed)
	}
	return "", nil
}
