package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { scenarios["moved"] = movedRoute }

const (
	formerService = "former-lm"
	nextService   = "next-lm"
	// itemEvents and eventTime are those of the sheet's batch items: nine tokens of 2.55 ms an event.
	itemEvents = 204
	eventTime  = 23 * time.Millisecond
	slots      = 8
	// usualGap is the time between two jobs at the sheet's 0.514 jobs a second.
	usualGap = 1950 * time.Millisecond
	itemsOf  = 10
	// moveDelay is how long after the last job the route is moved.
	moveDelay = 500 * time.Millisecond
	// watchedTime is how long online requests go on after the move, and completionTime completionS.
	watchedTime    = 14 * time.Second
	completionTime = 18 * time.Second
)

// movedConfig returns a configuration whose batch route goes to a service. The online requests go to formerService.
func movedConfig(version int, service string) map[string]any {
	c := config(version)
	routes := c["routes"].([]any)
	routes[0].(map[string]any)["service"] = service
	c["routes"] = append(routes, map[string]any{
		"name": "query", "host": host, "pathPrefix": onlinePrefix, "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
		"service": formerService, "maxAttempts": 1, "targetGapMs": 400,
	})
	c["tenants"] = append(c["tenants"].([]any), map[string]any{"name": "team2", "apiKeys": []string{onlineKey}, "priority": 0})
	var services []any
	for _, name := range []string{formerService, nextService} {
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 370})
	}
	c["services"] = services
	return c
}

// word is the data of an event that a worker of a service writes.
func word(service string, n int) string {
	return service + "-" + strconv.Itoa(n)
}

// wholeOutput is what a worker of a service writes for an item from the start to the end.
func wholeOutput(service string) string {
	var words []string
	for n := 1; n <= itemEvents; n++ {
		words = append(words, word(service, n))
	}
	return strings.Join(words, "\n")
}

// writeText makes a worker write the text of its service, from the event after the one it is asked for on.
func writeText(service string) func(http.ResponseWriter, *http.Request, *endpoint) bool {
	return func(w http.ResponseWriter, r *http.Request, _ *endpoint) bool {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // None begins at the first event.
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		control := http.NewResponseController(w)
		events := itemEvents
		if strings.HasPrefix(r.URL.Path, onlinePrefix) {
			events = onlineEvents
		}
		for n := last + 1; n <= events; n++ {
			select {
			case <-r.Context().Done():
				return true
			case <-time.After(eventTime):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, word(service, n)); err != nil || control.Flush() != nil {
				return true
			}
		}
		return true
	}
}

// workersOf are the numbers of workers of the two services.
var workersOf = map[string]int{formerService: 7, nextService: 2}

// movedRoute moves the batch route to another service while items run, in a trough of the online requests.
func movedRoute(f *fleet, trouble bool) (string, error) {
	if err := f.put("config/main", movedConfig(1, formerService)); err != nil {
		return "", err
	}
	for service, count := range workersOf {
		for n := range count {
			e, err := f.addEndpointOf(service, fmt.Sprintf("i-%s-%d", service, n), []string{"a", "b", "c"}[n%3], slots)
			if err != nil {
				return "", err
			}
			e.answer = writeText(service)
		}
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
	for n, id := range jobs {
		if n > 0 {
			time.Sleep(usualGap)
		}
		if status, _ := f.call(f.entries()[0], http.MethodPost, "/lots/"+id, id, job(id, itemsOf)); status != http.StatusAccepted {
			return "", fmt.Errorf("got status %d for job %s", status, id)
		}
	}
	time.Sleep(moveDelay)
	if trouble {
		if err := f.put("config/main", movedConfig(2, nextService)); err != nil {
			return "", err
		}
		f.record.add("operator: version 2 moves the route to %s", nextService)
	}
	time.Sleep(watchedTime)
	cancel()
	<-done
	f.record.add("%d of %d online requests served", online.served.Load(), online.sent.Load())
	time.Sleep(completionTime)
	return f.judgeMoved(jobs)
}

// judgeMoved returns what breaks the rule: a completed result whose text is the whole output of neither service.
func (f *fleet) judgeMoved(jobs []string) (string, error) {
	former, next := wholeOutput(formerService), wholeOutput(nextService)
	listed, joined, first := 0, 0, ""
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
			if r.State != "completed" || r.Output == former || r.Output == next {
				continue
			}
			joined++
			f.record.add("item %s: %d events of %s, %d of %s", r.ID, strings.Count(r.Output, formerService), formerService,
				strings.Count(r.Output, nextService), nextService)
			if first == "" {
				first = r.ID
			}
		}
	}
	f.record.add("%d of %d items listed, %d of them with a text of both services", listed, len(jobs)*itemsOf, joined)
	if joined > 0 {
		return fmt.Sprintf("MIXED: %d of %d results are completed with a text that is no whole output, the first %s", joined, listed, first), nil
	}
	if listed < len(jobs)*itemsOf {
		return "", fmt.Errorf("only %d items are listed", listed)
	}
	return "", nil
}
