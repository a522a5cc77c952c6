package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTime is how long a caller waits for the answer to a call about a job.
const callTime = 4 * time.Second

// Caller calls entries on behalf of a tenant, each time on a new connection.
type Caller struct {
	Host, Key string
	client    *http.Client
}

// NewCaller returns a caller with a key.
func NewCaller(host, key string) *Caller {
	return &Caller{Host: host, Key: key, client: &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Item is one item of a job.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// Result is one result of a job.
type Result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// Page is a page of results.
type Page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []Result `json:"results"`
}

// Items returns the items of a job.
func Items(job, prefix string, count int) []Item {
	items := make([]Item, count)
	for n := range items {
		id := fmt.Sprintf("%s-%d", job, n)
		items[n] = Item{
			ID: id, Path: prefix + id, Tokens: 554, Body: bytes.Repeat([]byte{'x'}, 1000),
			Headers: map[string]string{"X-Fescuebank-Model": "m", "X-Fescuebank-Token-Usage": "350,204", "X-Fescuebank-Prompt-Prefix": "9c2e41:100,5d" + id + ":250"},
		}
	}
	return items
}

// Submit submits a job at an entry and returns the status, 0 without an answer.
func (c *Caller) Submit(entry *Instance, prefix, job string, items []Item) int {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return 0
	}
	status, _ := c.call(http.MethodPost, entry, prefix+job, bytes.NewReader(body), http.Header{headerID: {job}, "X-Fescuebank-Deadline-Ms": {"4000"}})
	return status
}

// Read reads the results of a job from a position on.
func (c *Caller) Read(entry *Instance, job string, after int) (Page, int) {
	status, body := c.call(http.MethodGet, entry, fmt.Sprintf("/api/lots/%s?after=%d", job, after), nil, nil)
	var p Page
	if status == http.StatusOK && json.Unmarshal(body, &p) != nil {
		return p, 0
	}
	return p, status
}

// End ends a job and returns the status.
func (c *Caller) End(entry *Instance, job string) int {
	status, _ := c.call(http.MethodDelete, entry, "/api/lots/"+job, nil, nil)
	return status
}

func (c *Caller) call(method string, entry *Instance, path string, body io.Reader, header http.Header) (status int, answer []byte) {
	r, err := http.NewRequest(method, "http://"+entry.Callers+path, body)
	if err != nil {
		return 0, nil
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Host = c.Host
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}
