package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/operate/meter"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/platform/simulator"
)

// stage is a deployment on loopback: a store, endpoints, entries and owners.
type stage struct {
	t         *testing.T
	store     *simulator.Store
	url       string
	endpoints []*simulator.Endpoint
	nodes     map[string]*stagedNode
	version   int
}

type stagedNode struct {
	settings *fescuebank.Settings
	stop     context.CancelFunc
	done     chan struct{}
}

const stageRoutes = `{"name":"stream","host":"h","pathPrefix":"/stream/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":300,"service":"s","maxAttempts":1,"targetGapMs":400},
{"name":"batch","host":"h","pathPrefix":"/batch/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"service":"s","maxAttempts":3,"cap":1000,"targetRunMs":18000,"retentionS":60}`

func newStage(t *testing.T, endpoints int) *stage {
	t.Helper()
	g := &stage{t: t, store: &simulator.Store{}, nodes: make(map[string]*stagedNode)}
	server := httptest.NewServer(g.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	g.url = server.URL
	t.Cleanup(g.stopAll)
	for i := range endpoints {
		ep := &simulator.Endpoint{ID: fmt.Sprintf("i-%d", i), Events: 5, EventInterval: time.Millisecond}
		addr, err := ep.Start()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(ep.Stop)
		g.endpoints = append(g.endpoints, ep)
		g.put("servers/"+ep.ID, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":8,"state":"ready","born":1}`, addr))
	}
	g.put("servers/odd", `{"address":17}`)
	g.configure(stageRoutes)
	return g
}

// put writes an object whatever its version.
func (g *stage) put(key, value string) {
	g.t.Helper()
	o, _ := g.store.Memory.Get(context.Background(), key)
	if _, err := g.store.Memory.Put(context.Background(), key, []byte(value), o.Version); err != nil {
		g.t.Fatal(err)
	}
}

func (g *stage) configure(routes string) {
	g.version++
	g.put("config/main", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1"]},{"name":"limited","apiKeys":["k2"],"ratePerS":2,"burst":3}]}`, g.version, routes))
}

// nextPort counts up below the ports that the system gives to outgoing
// connections, so that none of those takes a port between its choice and its use.
var nextPort atomic.Int32

const (
	firstPort = 20_000
	portCount = 10_000
)

func freeAddr(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (os.Getpid()*97+int(nextPort.Add(1)))%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return l.Addr().String()
	}
	t.Fatal("got no free port, want one")
	return ""
}

// start runs an instance; entries take callers, others own teams.
func (g *stage) start(name string, entry bool) *stagedNode {
	g.t.Helper()
	s := &fescuebank.Settings{}
	s.Defaults()
	s.Instance.ID, s.Instance.Zone = fescuebank.InstanceID(name), "z"
	s.Platform.Kind, s.Platform.URL = fescuebank.PlatformObjects, g.url
	s.Roles.Entry, s.Roles.Owner = entry, !entry
	s.Timing.AddressTTL, s.Timing.Grace = 3*time.Second, 4*time.Second
	s.Listen.Peers = freeAddr(g.t)
	if entry {
		s.Listen.Callers, s.Listen.Ready, s.Listen.Addresses = freeAddr(g.t), freeAddr(g.t), freeAddr(g.t)
	}
	if err := s.Validate(); err != nil {
		g.t.Fatal(err)
	}
	h, err := newHosted(s, timekeeper.Timekeeper{}, meter.New(), hclog.NewNullLogger())
	for errors.Is(err, syscall.EADDRINUSE) {
		// Another program took the port between its choice and its use.
		s.Listen.Peers = freeAddr(g.t)
		h, err = newHosted(s, timekeeper.Timekeeper{}, meter.New(), hclog.NewNullLogger())
	}
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &stagedNode{settings: s, stop: cancel, done: make(chan struct{})}
	g.nodes[name] = n
	go func() {
		defer close(n.done)
		if err := h.Run(ctx); err != nil {
			g.t.Error(err)
		}
	}()
	return n
}

// stopAll stops all instances at once.
func (g *stage) stopAll() {
	for _, n := range g.nodes {
		n.stop()
	}
	for _, n := range g.nodes {
		<-n.done
	}
}

// startAll runs two entries and two owners and waits until they serve.
func (g *stage) startAll() (a, b *stagedNode) {
	a, b = g.start("entry-a", true), g.start("entry-b", true)
	g.start("owner-1", false)
	g.start("owner-2", false)
	g.eventually("entries that know each other", 10*time.Second, func() bool {
		return len(g.addresses(a)) == 2 && len(g.addresses(b)) == 2
	})
	g.eventually("a batch job's owner", 10*time.Second, func() bool {
		status, _ := g.call(a, http.MethodGet, "/api/items/none?id=x", "k1", "", nil)
		return status == http.StatusNotFound
	})
	return a, b
}

func (g *stage) eventually(what string, within time.Duration, ok func() bool) {
	g.t.Helper()
	for until := time.Now().Add(within); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			g.t.Fatalf("got no %s within %v", what, within)
		}
	}
}

func (g *stage) addresses(n *stagedNode) []string {
	resp, err := http.Get("http://" + n.settings.Listen.Addresses + "/api/resolve?name=h&region=r&zone=z")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses
}

func (g *stage) call(n *stagedNode, method, path, key, id string, body []byte) (int, string) {
	r, err := http.NewRequest(method, "http://"+n.settings.Listen.Callers+path, bytes.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer "+key)
	if id != "" {
		r.Header.Set("X-Fescuebank-Request-Id", id)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

func words(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: word%d\n\n", i, i)
	}
	return b.String()
}

func TestHostedRequests(t *testing.T) {
	t.Parallel()
	g := newStage(t, 3)
	a, b := g.startAll()
	for _, n := range []*stagedNode{a, b} {
		if status, body := g.call(n, http.MethodPost, "/stream/1", "k1", "r1", []byte("x")); status != 200 || body != words(5) {
			t.Errorf("got %d %q, want the endpoint's answer", status, body)
		}
		if status, _ := g.call(n, http.MethodPost, "/stream/1", "stolen", "r2", nil); status != 401 {
			t.Errorf("got %d for an unknown key, want 401", status)
		}
		if status, _ := g.call(n, http.MethodPost, "/new/1", "k1", "r3", nil); status != 404 {
			t.Errorf("got %d for an unknown route, want 404", status)
		}
	}
	g.configure(stageRoutes + `,{"name":"new","host":"h","pathPrefix":"/new/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":300,"service":"s","maxAttempts":1}`)
	g.eventually("new route on both entries", 2*time.Second, func() bool {
		one, _ := g.call(a, http.MethodPost, "/new/1", "k1", "r4", nil)
		two, _ := g.call(b, http.MethodPost, "/new/1", "k1", "r5", nil)
		return one == 200 && two == 200
	})
}

func TestHostedRateHoldsOverAllEntries(t *testing.T) {
	t.Parallel()
	g := newStage(t, 2)
	a, b := g.startAll()
	began := time.Now()
	served, refused := 0, 0
	for i := range 24 {
		n := []*stagedNode{a, b}[i%2]
		status, _ := g.call(n, http.MethodPost, "/stream/1", "k2", fmt.Sprintf("q%d", i), nil)
		switch status {
		case 200:
			served++
		case 429:
			refused++
		default:
			t.Errorf("got %d, want 200 or 429", status)
		}
	}
	if allowed := 3 + 2*time.Since(began).Seconds(); float64(served) > allowed+1e-6 {
		t.Errorf("got %d served, want %.1f at most", served, allowed)
	}
	if served == 0 || refused == 0 {
		t.Errorf("got %d served and %d refused, want some of both", served, refused)
	}
}

func submission(items, tokens int) []byte {
	var list []string
	for i := range items {
		list = append(list, fmt.Sprintf(`{"id":"item%d","path":"/batch/x","headers":{"X-Fescuebank-Model":"m"},"body":%q,"tokens":%d}`,
			i, base64.StdEncoding.EncodeToString([]byte("body")), tokens))
	}
	return []byte(`{"items":[` + strings.Join(list, ",") + `]}`)
}

type resultPage struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID, State, Output string
	} `json:"results"`
}

func (g *stage) read(n *stagedNode, job string) (resultPage, int) {
	status, body := g.call(n, http.MethodGet, "/api/lots/"+job+"?after=0", "k1", "", nil)
	var page resultPage
	_ = json.Unmarshal([]byte(body), &page)
	return page, status
}

func TestHostedBatchJob(t *testing.T) {
	t.Parallel()
	g := newStage(t, 2)
	a, b := g.startAll()
	g.endpoints[0].SetFaults(simulator.TruncatedInEvent, simulator.Unprocessable)
	g.endpoints[1].SetFaults(simulator.Failed, simulator.TruncatedAfterEvent)
	if status, body := g.call(a, http.MethodPost, "/batch/x", "k1", "job1", submission(4, 100)); status != 202 {
		t.Fatalf("got %d %s, want 202", status, body)
	}
	if status, _ := g.call(b, http.MethodPost, "/batch/x", "k1", "job1", submission(4, 100)); status != 202 {
		t.Errorf("got %d for the same job again, want 202", status)
	}
	if status, _ := g.call(b, http.MethodPost, "/batch/x", "k1", "big", submission(8, 130)); status != 429 {
		t.Errorf("got %d for a job over the cap, want 429", status)
	}
	if status, _ := g.call(b, http.MethodPost, "/batch/x", "k1", "broken", []byte("{")); status != 400 {
		t.Errorf("got %d for a broken body, want 400", status)
	}
	g.eventually("all results at both entries", 10*time.Second, func() bool {
		one, _ := g.read(a, "job1")
		two, _ := g.read(b, "job1")
		return len(one.Results) == 4 && len(two.Results) == 4
	})
	one, _ := g.read(a, "job1")
	two, _ := g.read(b, "job1")
	if fmt.Sprint(one) != fmt.Sprint(two) || one.Total != 4 || one.Next != 4 {
		t.Errorf("got %v and %v, want the same page", one, two)
	}
	given := 0
	for _, r := range one.Results {
		switch {
		case r.State == "dead_lettered" && r.Output == "":
			given++
		case r.State != "completed" || r.Output != "word1\nword2\nword3\nword4\nword5":
			t.Errorf("item %s: got %s %q, want its whole output", r.ID, r.State, r.Output)
		}
	}
	if given != 1 {
		t.Errorf("got %d items given up, want the one that can't be done", given)
	}
	if status, _ := g.call(a, http.MethodGet, "/api/lots/job1", "k2", "", nil); status != 404 {
		t.Errorf("got %d for another team's job, want 404", status)
	}
}

func TestHostedBatchJobOutlivesItsOwners(t *testing.T) {
	t.Parallel()
	g := newStage(t, 2)
	a, b := g.startAll()
	for _, ep := range g.endpoints {
		ep.EventInterval = 300 * time.Millisecond
	}
	if status, _ := g.call(a, http.MethodPost, "/batch/x", "k1", "job1", submission(4, 100)); status != 202 {
		t.Fatalf("got %d, want 202", status)
	}
	if status, body := g.call(b, http.MethodGet, "/api/items/job1?id=item2", "k1", "", nil); status != 200 || body != "body" {
		t.Errorf("got %d %q, want the item's body", status, body)
	}
	var leaving sync.WaitGroup
	for _, name := range []string{"owner-1", "owner-2"} {
		leaving.Go(func() {
			g.nodes[name].stop()
			<-g.nodes[name].done
		})
	}
	leaving.Wait()
	g.start("owner-3", false)
	g.eventually("all results from another owner", 15*time.Second, func() bool {
		page, _ := g.read(b, "job1")
		return len(page.Results) == 4
	})
}

func TestHostedBatchJobEnds(t *testing.T) {
	t.Parallel()
	g := newStage(t, 1)
	a, b := g.startAll()
	g.endpoints[0].EventInterval = 500 * time.Millisecond
	if status, _ := g.call(a, http.MethodPost, "/batch/x", "k1", "job1", submission(3, 100)); status != 202 {
		t.Fatalf("got %d, want 202", status)
	}
	g.eventually("items at the endpoint", 5*time.Second, func() bool { return g.endpoints[0].Connections() > 0 })
	for range 2 {
		if status, _ := g.call(b, http.MethodDelete, "/api/lots/job1", "k1", "", nil); status != 200 {
			t.Errorf("got %d for the end, want 200", status)
		}
	}
	g.eventually("endpoint without work", 2*time.Second, func() bool { return g.endpoints[0].Connections() == 0 })
	came := len(g.endpoints[0].Requests())
	time.Sleep(500 * time.Millisecond)
	if got := len(g.endpoints[0].Requests()); got != came {
		t.Errorf("got %d more requests after the end, want none", got-came)
	}
	// What was waiting counts no more.
	if status, _ := g.call(a, http.MethodPost, "/batch/x", "k1", "job2", submission(9, 100)); status != 202 {
		t.Errorf("got %d for a job that fits now, want 202", status)
	}
}

func TestHostedSurvivesAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	g := newStage(t, 2)
	a, _ := g.startAll()
	g.store.Memory.SetFaults(memorystorer.Faults{Down: true})
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if status, _ := g.call(a, http.MethodPost, "/stream/1", "k1", "r1", nil); status != 200 {
			t.Errorf("got %d in an outage, want 200", status)
		}
	}
	if status, _ := g.call(a, http.MethodPost, "/batch/x", "k1", "job1", submission(1, 1)); status != 503 && status != 504 {
		t.Errorf("got %d for a job in an outage, want 503 or 504", status)
	}
	g.store.Memory.SetFaults(memorystorer.Faults{})
	g.eventually("accepted job after the outage", 5*time.Second, func() bool {
		status, _ := g.call(a, http.MethodPost, "/batch/x", "k1", "job1", submission(1, 1))
		return status == 202
	})
}

func TestHostedRetirement(t *testing.T) {
	t.Parallel()
	g := newStage(t, 1)
	a, _ := g.startAll()
	g.put("retirements/owner-1", `{"durationS":10}`)
	g.eventually("completed retirement", 5*time.Second, func() bool {
		return g.store.Status("retirements/owner-1") == `{"state":"completed"}`
	})
	g.eventually("job accepted by the other owner", 3*time.Second, func() bool {
		status, _ := g.call(a, http.MethodPost, "/batch/x", "k1", "job1", submission(1, 1))
		return status == 202
	})
}

func TestHostedEntryLeavesWithoutCuttingARequest(t *testing.T) {
	t.Parallel()
	g := newStage(t, 1)
	a, b := g.startAll()
	g.endpoints[0].EventInterval = 300 * time.Millisecond
	got := make(chan string)
	go func() {
		_, body := g.call(a, http.MethodPost, "/stream/1", "k1", "r1", nil)
		got <- body
	}()
	g.eventually("request at the endpoint", 2*time.Second, func() bool { return len(g.endpoints[0].Requests()) > 0 })
	a.stop()
	g.eventually("addresses without the leaving entry", time.Second, func() bool { return len(g.addresses(b)) == 1 })
	if resp, err := http.Get("http://" + a.settings.Listen.Ready + "/api/readyz"); err != nil || resp.StatusCode != 503 {
		t.Errorf("got %v, %v for readiness, want 503", resp, err)
	}
	if body := <-got; body != words(5) {
		t.Errorf("got %q, want the whole answer", body)
	}
	<-a.done
}

func TestHostedProgressPassesToTheNextOwner(t *testing.T) {
	t.Parallel()
	g := newStage(t, 2)
	for _, ep := range g.endpoints {
		ep.Events, ep.EventInterval = 25, 200*time.Millisecond
	}
	a, b := g.startAll()
	if status, _ := g.call(a, http.MethodPost, "/batch/x", "k1", "job1", submission(4, 100)); status != 202 {
		t.Fatalf("got %d, want 202", status)
	}
	g.eventually("items that run", 5*time.Second, func() bool { return g.reached() == 4 })
	time.Sleep(time.Second)
	// Whichever of the two owns the team, its items move once.
	for _, name := range []string{"owner-1", "owner-2"} {
		if name == "owner-2" {
			g.start("owner-3", false)
			time.Sleep(2 * time.Second)
		}
		g.nodes[name].stop()
		<-g.nodes[name].done
	}
	g.eventually("all results", 15*time.Second, func() bool {
		page, _ := g.read(b, "job1")
		return len(page.Results) == 4
	})
	resumed := 0
	for _, ep := range g.endpoints {
		for _, r := range ep.Requests() {
			if r.Header.Get("Last-Event-Id") != "" {
				resumed++
			}
		}
	}
	if again := g.reached() - 4 - resumed; resumed == 0 || again > 0 {
		t.Errorf("got %d items that went on and %d that began anew, want all that moved to go on", resumed, again)
	}
	page, _ := g.read(b, "job1")
	for _, r := range page.Results {
		if want := strings.Count(words(25), "word"); strings.Count(r.Output, "word") != want {
			t.Errorf("item %s: got %d events in its output, want %d", r.ID, strings.Count(r.Output, "word"), want)
		}
	}
}

// reached returns the number of requests that came to endpoints.
func (g *stage) reached() int {
	n := 0
	for _, ep := range g.endpoints {
		n += len(ep.Requests())
	}
	return n
}
