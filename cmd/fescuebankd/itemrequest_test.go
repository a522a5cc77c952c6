package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// itemsBody returns the body of a submission of items with a path, a body and headers each.
func itemsBody(t *testing.T, items ...map[string]any) []byte {
	t.Helper()
	for _, i := range items {
		i["tokens"] = 1
		i["body"] = base64.StdEncoding.EncodeToString([]byte(i["body"].(string)))
	}
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestItemsReachEndpointsLikeRequests guards against headers of items that smuggle a second request, name another team, pass on the
// key or skip events.
func TestItemsReachEndpointsLikeRequests(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	a, _ := d.startAll()
	hidden := "0\r\n\r\nPOST /batch/x HTTP/1.1\r\nHost: h\r\nX-Fescuebank-Request-Id: hidden\r\nX-Fescuebank-Tenant: limited\r\nContent-Length: 0\r\n\r\n"
	body := itemsBody(t,
		map[string]any{"id": "chunked", "path": "/batch/x", "body": hidden, "headers": map[string]string{"transfer-encoding": "chunked"}},
		map[string]any{"id": "short", "path": "/batch/x", "body": "abc", "headers": map[string]string{"content-length": "1", "Host": "other"}},
		map[string]any{"id": "key", "path": "/batch/x", "body": "", "headers": map[string]string{"authorization": "Bearer k1"}},
		map[string]any{"id": "team", "path": "/batch/x", "body": "", "headers": map[string]string{"x-fescuebank-tenant": "limited", "x-fescuebank-request-id": "other"}},
		map[string]any{"id": "resumed", "path": "/batch/x", "body": "", "headers": map[string]string{"last-event-id": "3"}},
		map[string]any{"id": "named", "path": "/batch/x", "body": "", "headers": map[string]string{"Connection": "X-Local", "x-local": "1", "X-Kept": "1"}},
	)
	if status, text := d.send(a, http.MethodPost, "/batch/x", "k1", "job1", body); status != http.StatusAccepted {
		t.Fatalf("got %d %s, want 202", status, text)
	}
	d.eventually("all results", 10*time.Second, func() bool {
		page, _ := d.readResults(a, "job1")
		return len(page.Results) == 6
	})
	page, _ := d.readResults(a, "job1")
	for _, r := range page.Results {
		if r.State != "completed" || strings.Count(r.Output, "\n") != 4 {
			t.Errorf("item %s: got %s %q, want its 5 events", r.ID, r.State, r.Output)
		}
	}
	for _, r := range d.endpoints[0].Requests() {
		id := r.Header.Get("X-Fescuebank-Request-Id")
		if got := r.Header.Values("X-Fescuebank-Tenant"); !slices.Equal(got, []string{"t1"}) {
			t.Errorf("request %s: got teams %q, want t1", id, got)
		}
		if id == "hidden" || id == "other" || r.Host != "h" || len(r.Header.Values("X-Fescuebank-Request-Id")) != 1 {
			t.Errorf("got request %q for host %q, want only items of the job", id, r.Host)
		}
		for _, name := range []string{"Authorization", "Last-Event-Id", "Connection", "X-Local", "Transfer-Encoding"} {
			if got := r.Header.Get(name); got != "" || len(r.TransferEncoding) > 0 {
				t.Errorf("request %s: got %s %q, encoding %q, want none", id, name, got, r.TransferEncoding)
			}
		}
		if got := r.Header.Get("X-Kept"); (id == "named") != (got == "1") {
			t.Errorf("request %s: got X-Kept %q, want it with item named", id, got)
		}
	}
}

// TestMalformedItemsAreRefused guards against items that can't be a request, or of which one could never get a result.
func TestMalformedItemsAreRefused(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	a, _ := d.startAll()
	for _, tt := range []struct {
		name  string
		items []map[string]any
	}{
		{"line end in the path", []map[string]any{{"id": "a", "path": "/batch/x HTTP/1.1\r\nA: b", "body": ""}}},
		{"space in the path", []map[string]any{{"id": "a", "path": "/batch/x HTTP/1.1", "body": ""}}},
		{"no path", []map[string]any{{"id": "a", "path": "", "body": ""}}},
		{"a host in the path", []map[string]any{{"id": "a", "path": "http://other/x", "body": ""}}},
		{"line end in a header", []map[string]any{{"id": "a", "path": "/batch/x", "body": "", "headers": map[string]string{"A": "b\r\nC: d"}}}},
		{"colon in a header's name", []map[string]any{{"id": "a", "path": "/batch/x", "body": "", "headers": map[string]string{"A: b": "c"}}}},
		{"line end in the id", []map[string]any{{"id": "a\r\nb", "path": "/batch/x", "body": ""}}},
		{"no id", []map[string]any{{"id": "", "path": "/batch/x", "body": ""}}},
		{"one id twice", []map[string]any{{"id": "a", "path": "/batch/x", "body": ""}, {"id": "a", "path": "/batch/x", "body": ""}}},
	} {
		if status, text := d.send(a, http.MethodPost, "/batch/x", "k1", "job-"+strings.ReplaceAll(tt.name, " ", "-"), itemsBody(t, tt.items...)); status != http.StatusBadRequest {
			t.Errorf("%s: got %d %s, want 400", tt.name, status, text)
		}
	}
	if got := d.requestsAtEndpoints(); got != 0 {
		t.Errorf("got %d requests at endpoints, want none", got)
	}
}
