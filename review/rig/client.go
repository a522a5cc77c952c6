package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// deadline is how long a client waits for the answer to a batch job, by the sheets.
	deadline = 4 * time.Second
	// minRetry is the least time between two attempts.
	minRetry = 100 * time.Millisecond
	// readTime is how long it waits for a read, longer than the bench's clients do, and patientTime how long
	// it waits at the end, so that a slow answer is no fault.
	readTime    = 4 * time.Second
	patientTime = 9 * time.Second
)

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// job is a batch job of a client.
type job struct {
	id       string
	tenant   int
	items    []item
	accepted time.Time
	// want is the output that each item must have.
	want func(id string) string
	// results are the results that were read last.
	results []result
}

// result is a result as a client reads it.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// newJob returns a job whose bodies are random bytes.
func newJob(tenant, items, bodyBytes int, want func(id string) string) *job {
	j := &job{id: randomID(), tenant: tenant, want: want}
	for range items {
		body := make([]byte, bodyBytes)
		for i := range body {
			body[i] = byte(rand.Uint32())
		}
		id := randomID()
		j.items = append(j.items, item{
			ID: id, Path: "/lots/x/" + id, Body: base64.StdEncoding.EncodeToString(body), Tokens: 400,
			Headers: map[string]string{
				"X-Fescuebank-Model": "m", "X-Fescuebank-Token-Usage": "250,150",
				"X-Fescuebank-Prompt-Prefix": id[:8] + ":250", "X-Fescuebank-Length-Hint": "150",
			},
		})
	}
	return j
}

func randomID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// call sends one call on a new connection and returns the status and the body. The status is 0 if no
// complete answer came.
func (d *deployment) call(method, address, path, requestID string, tenant int, timeout time.Duration, body []byte) (int, []byte) {
	answer, content := d.exchange(method, address, path, requestID, tenant, timeout, body)
	if answer == nil {
		return 0, nil
	}
	return answer.StatusCode, content
}

// exchange is call, but returns the whole answer, or nil.
func (d *deployment) exchange(method, address, path, requestID string, tenant int, timeout time.Duration, body []byte) (*http.Response, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil
	}
	r.Host, r.Close = "h.example", true
	r.Header.Set("Authorization", fmt.Sprintf("Bearer key%d", tenant))
	r.Header.Set("X-Fescuebank-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if requestID != "" {
		r.Header.Set("X-Fescuebank-Request-Id", requestID)
		r.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	answer, err := client.Do(r)
	if err != nil {
		return nil, nil
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, nil
	}
	return answer, content
}

// submit sends a job until it is accepted, at one node after the other, for as long as the client
// waits. It reports whether it was accepted.
func (d *deployment) submit(j *job) bool {
	body, err := json.Marshal(map[string]any{"items": j.items})
	if err != nil {
		return false
	}
	entries := d.entries()
	for n, until := rand.IntN(len(entries)), time.Now().Add(deadline); time.Until(until) > 0; n++ {
		status, retryAfter := 0, minRetry
		if answer, _ := d.exchange(http.MethodPost, entries[n%len(entries)].callers, "/lots/"+j.id, j.id, j.tenant, time.Until(until), body); answer != nil {
			status = answer.StatusCode
			if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
				retryAfter = max(minRetry, min(time.Duration(seconds*float64(time.Second)), time.Until(until)/3))
			}
		}
		d.record.printf("client: job %s of t%d, %d items, %d bytes: %d", j.id, j.tenant, len(j.items), len(body), status)
		if status == http.StatusAccepted {
			j.accepted = time.Now()
			return true
		}
		time.Sleep(retryAfter)
	}
	return false
}

// read reads all results of a job at a node. It reports whether all reads succeeded.
func (d *deployment) read(j *job, address string, wait time.Duration) bool {
	var results []result
	for {
		status, body := d.call(http.MethodGet, address, fmt.Sprintf("/api/lots/%s?after=%d", j.id, len(results)), "", j.tenant, wait, nil)
		var page struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}
		if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
			d.record.printf("client: read of %s at %s: %d", j.id, address, status)
			return false
		}
		results = append(results, page.Results...)
		if len(page.Results) == 0 || len(results) >= page.Total {
			j.results = results
			return true
		}
	}
}

// isDone reads a job and reports whether all its items are listed.
func (d *deployment) isDone(j *job) bool {
	entries := d.entries()
	return d.read(j, entries[rand.IntN(len(entries))].callers, readTime) && len(j.results) == len(j.items)
}

// faultOf reads a job at each node and compares it with the rules. It returns what is wrong, or nothing.
func (d *deployment) faultOf(j *job) string {
	for _, e := range d.entries() {
		read := false
		for range 2 {
			if read = d.read(j, e.callers, patientTime); read {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		if !read {
			return "can't be read at " + e.name
		}
		own := make(map[string]bool)
		for _, i := range j.items {
			own[i.ID] = true
		}
		listed := make(map[string]bool)
		for _, r := range j.results {
			if listed[r.ID] {
				return "item " + r.ID + " stands at two positions"
			}
			listed[r.ID] = true
			if !own[r.ID] {
				return fmt.Sprintf("has a result of item %s, which is no item of it: %.60q", r.ID, r.Output)
			}
			if r.State != "completed" || r.Output != j.want(r.ID) {
				return "item " + r.ID + " has another result: " + r.State
			}
		}
		var missing []string
		for _, i := range j.items {
			if !listed[i.ID] {
				missing = append(missing, i.ID)
			}
		}
		if len(missing) > 0 {
			status, _ := d.call(http.MethodGet, e.callers, "/api/items/"+j.id+"?id="+missing[0], "", j.tenant, readTime, nil)
			return fmt.Sprintf("at %s %d of %d items are not listed, %.1f s after the 202; body of %s: status %d",
				e.name, len(missing), len(j.items), time.Since(j.accepted).Seconds(), missing[0], status)
		}
	}
	return ""
}

// joined returns the complete output of an item.
func joined(w work) func(id string) string {
	return func(id string) string {
		lines := make([]string, w.events)
		for n := range lines {
			lines[n] = w.data(id, n+1)
		}
		return strings.Join(lines, "\n")
	}
}
