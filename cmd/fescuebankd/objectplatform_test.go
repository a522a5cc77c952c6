package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/operate/meter"
	"fescuebank/internal/soak/partitioner"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/platform/marshaler"
	"fescuebank/platform/simulator"
)

// deployment is a deployment on loopback: an object store, endpoints, and
// instances with the entry or the owner role.
type deployment struct {
	t         *testing.T
	store     *simulator.Store
	url       string
	endpoints []*simulator.Endpoint
	instances map[string]*runningInstance
	version   int
}

type runningInstance struct {
	settings  *fescuebank.Settings
	partition *partitioner.Partitioner
	cancel    context.CancelFunc
	done      chan struct{}
}

const testRoutes = `{"name":"stream","host":"h","pathPrefix":"/stream/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":300,"service":"s","maxAttempts":1,"targetGapMs":400},
{"name":"batch","host":"h","pathPrefix":"/batch/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"service":"s","maxAttempts":3,"cap":1000,"targetRunMs":18000,"retentionS":60}`

func newDeployment(t *testing.T, endpoints int) *deployment {
	t.Helper()
	d := &deployment{t: t, store: &simulator.Store{}, instances: make(map[string]*runningInstance)}
	server := httptest.NewServer(d.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	d.url = server.URL
	t.Cleanup(d.stopAll)
	for i := range endpoints {
		ep := &simulator.Endpoint{ID: fmt.Sprintf("i-%d", i), Events: 5, EventInterval: time.Millisecond}
		addr, err := ep.Start()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(ep.Stop)
		d.endpoints = append(d.endpoints, ep)
		d.putEntry(ep.ID, testEntry(addr))
	}
	d.putObject(simulator.EntryKey("odd"), `{"address":17}`)
	d.configure(testRoutes)
	return d
}

// testEntry returns the entry of an endpoint at an address.
func testEntry(addr string) simulator.Entry {
	return simulator.Entry{Service: "s", Address: addr, Zone: "z", Version: "v1", Slots: 8, State: simulator.StateReady, Born: 1}
}

// putEntry writes the entry of an endpoint.
func (d *deployment) putEntry(id string, e simulator.Entry) {
	d.t.Helper()
	d.putObject(simulator.EntryKey(id), e.Value())
}

// entry returns the entry of an endpoint.
func (d *deployment) entry(id string) simulator.Entry {
	d.t.Helper()
	var e simulator.Entry
	if err := json.Unmarshal([]byte(d.object(simulator.EntryKey(id))), &e); err != nil {
		d.t.Fatal(err)
	}
	return e
}

// putObject writes an object regardless of its current version.
func (d *deployment) putObject(key, value string) {
	d.t.Helper()
	o, _ := d.store.Memory.Get(context.Background(), key)
	if _, err := d.store.Memory.Put(context.Background(), key, []byte(value), o.Version); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) configure(routes string) {
	d.version++
	d.putObject("config/main", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1"]},{"name":"limited","apiKeys":["k2"],"ratePerS":2,"burst":3}]}`, d.version, routes))
}

// anyAddr lets the system choose a free port when the instance opens it.
const anyAddr = "127.0.0.1:0"

// start runs an instance with the entry role, which serves callers, or else with
// the owner role.
func (d *deployment) start(name string, entry bool) *runningInstance {
	d.t.Helper()
	s := &fescuebank.Settings{}
	s.Defaults()
	s.Instance.ID, s.Instance.Zone = fescuebank.InstanceID(name), "z"
	s.Platform.Kind, s.Platform.URL, s.Platform.Evacuations = fescuebank.PlatformObjects, d.url, true
	s.Roles.Entry, s.Roles.Owner = entry, !entry
	s.Timing.AddressTTL, s.Timing.Grace = 3*time.Second, 4*time.Second
	s.Listen.Peers = anyAddr
	if entry {
		s.Listen.Callers, s.Listen.Ready, s.Listen.Addresses = anyAddr, anyAddr, anyAddr
	}
	if err := s.Validate(); err != nil {
		d.t.Fatal(err)
	}
	partition := partitioner.New()
	instance, err := newObjectPlatformServer(s, partition.Connect, timekeeper.Timekeeper{}, meter.New(), hclog.NewNullLogger())
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &runningInstance{settings: s, partition: partition, cancel: cancel, done: make(chan struct{})}
	d.instances[name] = n
	go func() {
		defer close(n.done)
		if err := instance.Run(ctx); err != nil {
			d.t.Error(err)
		}
	}()
	return n
}

// stopAll stops all instances at once.
func (d *deployment) stopAll() {
	for _, n := range d.instances {
		n.cancel()
	}
	for _, n := range d.instances {
		<-n.done
	}
}

// startAll runs two entry and two owner instances and waits until they serve.
func (d *deployment) startAll() (a, b *runningInstance) {
	a, b = d.start("entry-a", true), d.start("entry-b", true)
	d.start("owner-1", false)
	d.start("owner-2", false)
	d.eventually("entry instances in each other's address list", 10*time.Second, func() bool {
		return len(d.addresses(a)) == 2 && len(d.addresses(b)) == 2
	})
	d.eventually("owner of batch jobs", 10*time.Second, func() bool {
		status, _ := d.send(a, http.MethodGet, "/api/items/none?id=x", "k1", "", nil)
		return status == http.StatusNotFound
	})
	return a, b
}

// eventually waits until ok returns true.
func (d *deployment) eventually(what string, within time.Duration, ok func() bool) {
	d.t.Helper()
	for until := time.Now().Add(within); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			d.t.Fatalf("got no %s within %v, want it", what, within)
		}
	}
}

func (d *deployment) addresses(n *runningInstance) []string {
	resp, err := http.Get("http://" + n.settings.Listen.Addresses + "/api/resolve?name=h&region=r&zone=z")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var response struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&response)
	return response.Addresses
}

// send sends a request of a caller and returns the status and the body. The status is 0
// if there is no complete response.
func (d *deployment) send(n *runningInstance, method, path, key, id string, body []byte) (int, string) {
	r, err := http.NewRequest(method, "http://"+n.settings.Listen.Callers+path, bytes.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer "+key)
	if id != "" {
		r.Header.Set(marshaler.HeaderRequestID, id)
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

func eventStream(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: word%d\n\n", i, i)
	}
	return b.String()
}

func TestObjectPlatformRequests(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	a, b := d.startAll()
	for _, n := range []*runningInstance{a, b} {
		if status, body := d.send(n, http.MethodPost, "/stream/1", "k1", "r1", []byte("x")); status != 200 || body != eventStream(5) {
			t.Errorf("got %d %q, want the endpoint's response", status, body)
		}
		if status, _ := d.send(n, http.MethodPost, "/stream/1", "stolen", "r2", nil); status != 401 {
			t.Errorf("got %d for an unknown key, want 401", status)
		}
		if status, _ := d.send(n, http.MethodPost, "/new/1", "k1", "r3", nil); status != 404 {
			t.Errorf("got %d for an unknown route, want 404", status)
		}
	}
	d.configure(testRoutes + `,{"name":"new","host":"h","pathPrefix":"/new/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":300,"service":"s","maxAttempts":1}`)
	d.eventually("new route on both entry instances", 2*time.Second, func() bool {
		one, _ := d.send(a, http.MethodPost, "/new/1", "k1", "r4", nil)
		two, _ := d.send(b, http.MethodPost, "/new/1", "k1", "r5", nil)
		return one == 200 && two == 200
	})
}

// TestObjectPlatformRateLimitIsFleetWide sends requests alternately to two entry instances.
// Together they must not admit more than the team's rate and burst.
func TestObjectPlatformRateLimitIsFleetWide(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	a, b := d.startAll()
	start := time.Now()
	served, refused := 0, 0
	for i := range 24 {
		n := []*runningInstance{a, b}[i%2]
		status, _ := d.send(n, http.MethodPost, "/stream/1", "k2", fmt.Sprintf("q%d", i), nil)
		switch status {
		case 200:
			served++
		case 429:
			refused++
		default:
			t.Errorf("got %d, want 200 or 429", status)
		}
	}
	if allowed := 3 + 2*time.Since(start).Seconds(); float64(served) > allowed+1e-6 {
		t.Errorf("got %d served, want at most %.1f", served, allowed)
	}
	if served == 0 || refused == 0 {
		t.Errorf("got %d served and %d refused, want some of both", served, refused)
	}
}

func jobBody(items, tokens int) []byte {
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

func (d *deployment) readResults(n *runningInstance, job string) (resultPage, int) {
	status, body := d.send(n, http.MethodGet, "/api/lots/"+job+"?after=0", "k1", "", nil)
	var page resultPage
	_ = json.Unmarshal([]byte(body), &page)
	return page, status
}

// TestObjectPlatformBatchJob runs a job at endpoints that fail some requests. Each item must
// end with its complete output, or dead-lettered if no endpoint can complete it, and both
// entry instances must return the same page of results.
func TestObjectPlatformBatchJob(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	a, b := d.startAll()
	d.endpoints[0].SetFaults(simulator.TruncatedInEvent, simulator.Unprocessable)
	d.endpoints[1].SetFaults(simulator.Failed, simulator.TruncatedAfterEvent)
	if status, body := d.send(a, http.MethodPost, "/batch/x", "k1", "job1", jobBody(4, 100)); status != 202 {
		t.Fatalf("got %d %s, want 202", status, body)
	}
	if status, _ := d.send(b, http.MethodPost, "/batch/x", "k1", "job1", jobBody(4, 100)); status != 202 {
		t.Errorf("got %d for the resubmitted job, want 202", status)
	}
	if status, _ := d.send(b, http.MethodPost, "/batch/x", "k1", "big", jobBody(8, 130)); status != 429 {
		t.Errorf("got %d for a job over the cap, want 429", status)
	}
	if status, _ := d.send(b, http.MethodPost, "/batch/x", "k1", "broken", []byte("{")); status != 400 {
		t.Errorf("got %d for a malformed body, want 400", status)
	}
	d.eventually("all results at both entry instances", 10*time.Second, func() bool {
		one, _ := d.readResults(a, "job1")
		two, _ := d.readResults(b, "job1")
		return len(one.Results) == 4 && len(two.Results) == 4
	})
	one, _ := d.readResults(a, "job1")
	two, _ := d.readResults(b, "job1")
	if fmt.Sprint(one) != fmt.Sprint(two) || one.Total != 4 || one.Next != 4 {
		t.Errorf("got %v and %v, want the same page", one, two)
	}
	deadLettered := 0
	for _, r := range one.Results {
		switch {
		case r.State == "dead_lettered" && r.Output == "":
			deadLettered++
		case r.State != "completed" || r.Output != "word1\nword2\nword3\nword4\nword5":
			t.Errorf("item %s: got %s %q, want its complete output", r.ID, r.State, r.Output)
		}
	}
	if deadLettered != 1 {
		t.Errorf("got %d dead-lettered items, want 1, the one that no endpoint can complete", deadLettered)
	}
	if status, _ := d.send(a, http.MethodGet, "/api/lots/job1", "k2", "", nil); status != 404 {
		t.Errorf("got %d for another team's job, want 404", status)
	}
}

func TestObjectPlatformBatchJobSurvivesOwnerShutdown(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	a, b := d.startAll()
	for _, ep := range d.endpoints {
		ep.EventInterval = 300 * time.Millisecond
	}
	if status, _ := d.send(a, http.MethodPost, "/batch/x", "k1", "job1", jobBody(4, 100)); status != 202 {
		t.Fatalf("got %d, want 202", status)
	}
	if status, body := d.send(b, http.MethodGet, "/api/items/job1?id=item2", "k1", "", nil); status != 200 || body != "body" {
		t.Errorf("got %d %q, want the item's body", status, body)
	}
	var stopping sync.WaitGroup
	for _, name := range []string{"owner-1", "owner-2"} {
		stopping.Go(func() {
			d.instances[name].cancel()
			<-d.instances[name].done
		})
	}
	stopping.Wait()
	d.start("owner-3", false)
	d.eventually("all results from another owner", 15*time.Second, func() bool {
		page, _ := d.readResults(b, "job1")
		return len(page.Results) == 4
	})
}

func TestObjectPlatformBatchJobDeletion(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	a, b := d.startAll()
	d.endpoints[0].EventInterval = 500 * time.Millisecond
	if status, _ := d.send(a, http.MethodPost, "/batch/x", "k1", "job1", jobBody(3, 100)); status != 202 {
		t.Fatalf("got %d, want 202", status)
	}
	d.eventually("items at the endpoint", 5*time.Second, func() bool { return d.endpoints[0].Connections() > 0 })
	for range 2 {
		if status, _ := d.send(b, http.MethodDelete, "/api/lots/job1", "k1", "", nil); status != 200 {
			t.Errorf("got %d for the deletion, want 200", status)
		}
	}
	d.eventually("idle endpoint", 2*time.Second, func() bool { return d.endpoints[0].Connections() == 0 })
	before := len(d.endpoints[0].Requests())
	time.Sleep(500 * time.Millisecond)
	if got := len(d.endpoints[0].Requests()); got != before {
		t.Errorf("got %d more requests after the deletion, want none", got-before)
	}
	// Waiting items of a deleted job no longer count towards the cap.
	if status, _ := d.send(a, http.MethodPost, "/batch/x", "k1", "job2", jobBody(9, 100)); status != 202 {
		t.Errorf("got %d for a job within the cap, want 202", status)
	}
}

func TestObjectPlatformStoreOutage(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	a, _ := d.startAll()
	d.store.Memory.SetFaults(memorystorer.Faults{Down: true})
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if status, _ := d.send(a, http.MethodPost, "/stream/1", "k1", "r1", nil); status != 200 {
			t.Errorf("got %d during the outage, want 200", status)
		}
	}
	if status, _ := d.send(a, http.MethodPost, "/batch/x", "k1", "job1", jobBody(1, 1)); status != 503 && status != 504 {
		t.Errorf("got %d for a job during the outage, want 503 or 504", status)
	}
	d.store.Memory.SetFaults(memorystorer.Faults{})
	d.eventually("accepted job after the outage", 5*time.Second, func() bool {
		status, _ := d.send(a, http.MethodPost, "/batch/x", "k1", "job1", jobBody(1, 1))
		return status == 202
	})
}

func TestObjectPlatformRetirement(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	a, _ := d.startAll()
	d.putObject("retirements/owner-1", `{"durationS":10}`)
	d.eventually("completed retirement", 5*time.Second, func() bool {
		return d.store.Status("retirements/owner-1") == `{"state":"completed"}`
	})
	d.eventually("job accepted by the other owner", 3*time.Second, func() bool {
		status, _ := d.send(a, http.MethodPost, "/batch/x", "k1", "job1", jobBody(1, 1))
		return status == 202
	})
}

// TestLastOwnerServesUntilAnotherTakesOver guards against jobs that nobody owns after all owners were
// asked to retire.
func TestLastOwnerServesUntilAnotherTakesOver(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	a, _ := d.startAll()
	retired := func(name string) func() bool {
		return func() bool { return d.store.Status("retirements/"+name) == `{"state":"completed"}` }
	}
	accepted := func(job string) func() bool {
		return func() bool {
			status, _ := d.send(a, http.MethodPost, "/batch/x", "k1", job, jobBody(1, 1))
			return status == http.StatusAccepted
		}
	}
	d.putObject("retirements/owner-1", `{"durationS":10}`)
	d.eventually("completed retirement", 5*time.Second, retired("owner-1"))
	d.putObject("retirements/owner-2", `{"durationS":10}`)
	time.Sleep(time.Second)
	d.eventually("job accepted by the last owner", 3*time.Second, accepted("job1"))
	d.completeJob(a, "job2")
	if retired("owner-2")() {
		t.Error("got a completed retirement of the last owner, want none")
	}
	d.start("owner-3", false)
	d.eventually("completed retirement after another owner has started", 10*time.Second, retired("owner-2"))
	d.eventually("job accepted by the other owner", 5*time.Second, accepted("job3"))
}

func TestObjectPlatformEntryDrainsOnShutdown(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	a, b := d.startAll()
	d.endpoints[0].EventInterval = 300 * time.Millisecond
	got := make(chan string)
	go func() {
		_, body := d.send(a, http.MethodPost, "/stream/1", "k1", "r1", nil)
		got <- body
	}()
	d.eventually("request at the endpoint", 2*time.Second, func() bool { return len(d.endpoints[0].Requests()) > 0 })
	a.cancel()
	d.eventually("address list without the leaving instance", time.Second, func() bool { return len(d.addresses(b)) == 1 })
	if resp, err := http.Get("http://" + a.settings.Listen.Ready + "/api/readyz"); err != nil || resp.StatusCode != 503 {
		t.Errorf("got %v, %v for readiness, want 503", resp, err)
	}
	if body := <-got; body != eventStream(5) {
		t.Errorf("got %q, want the complete response", body)
	}
	<-a.done
}

// TestObjectPlatformEntryOfASlowShutdownIsRemoved shuts an instance down while a request runs
// for longer than the grace period. Its member entry must be removed all the same, or the
// others keep it for half a minute.
func TestObjectPlatformEntryOfASlowShutdownIsRemoved(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	a, _ := d.startAll()
	d.endpoints[0].EventInterval = 3 * time.Second
	go func() { _, _ = d.send(a, http.MethodPost, "/stream/1", "k1", "r1", nil) }()
	d.eventually("request at the endpoint", 2*time.Second, func() bool { return len(d.endpoints[0].Requests()) > 0 })
	a.cancel()
	<-a.done
	if _, err := d.store.Memory.Get(t.Context(), fescuebank.MemberPrefix+"entry-a"); !errors.Is(err, fescuebank.ErrAbsent) {
		t.Errorf("got %v for the member entry after the shutdown, want %v", err, fescuebank.ErrAbsent)
	}
}

// TestObjectPlatformProgressIsHandedOver shuts down two owners in turn while items run.
// The next owner must resume each item from the progress handed over, not restart it. An item whose
// endpoint sent nothing before it fell silent has no progress, so that its next attempt is no restart.
func TestObjectPlatformProgressIsHandedOver(t *testing.T) {
	// unreadEvents is the number of events that an endpoint may have sent just before an attempt ended.
	const unreadEvents = 1
	t.Parallel()
	d := newDeployment(t, 2)
	var restarted atomic.Int64
	for _, ep := range d.endpoints {
		ep.Events, ep.EventInterval = 25, 200*time.Millisecond
		ep.OnRequest = func(r *http.Request, _ simulator.Fault) {
			if r.Header.Get(marshaler.HeaderLastEventID) == "" && d.sentOf(r.Header.Get(marshaler.HeaderRequestID)) > unreadEvents {
				restarted.Add(1)
			}
		}
	}
	a, b := d.startAll()
	if status, _ := d.send(a, http.MethodPost, "/batch/x", "k1", "job1", jobBody(4, 100)); status != 202 {
		t.Fatalf("got %d, want 202", status)
	}
	d.eventually("running items", 5*time.Second, func() bool { return d.requestsAtEndpoints() == 4 })
	time.Sleep(time.Second)
	// One of the two owns the team, so its items are handed over exactly once.
	for _, name := range []string{"owner-1", "owner-2"} {
		if name == "owner-2" {
			d.start("owner-3", false)
			time.Sleep(2 * time.Second)
		}
		d.instances[name].cancel()
		<-d.instances[name].done
	}
	d.eventually("all results", 15*time.Second, func() bool {
		page, _ := d.readResults(b, "job1")
		return len(page.Results) == 4
	})
	resumed := 0
	for _, ep := range d.endpoints {
		for _, r := range ep.Requests() {
			if r.Header.Get(marshaler.HeaderLastEventID) != "" {
				resumed++
			}
		}
	}
	if resumed == 0 || restarted.Load() > 0 {
		t.Errorf("got %d resumed and %d restarted items, want every moved item resumed", resumed, restarted.Load())
	}
	page, _ := d.readResults(b, "job1")
	for _, r := range page.Results {
		if want := strings.Count(eventStream(25), "word"); strings.Count(r.Output, "word") != want {
			t.Errorf("item %s: got %d events in its output, want %d", r.ID, strings.Count(r.Output, "word"), want)
		}
	}
}

// sentOf returns the number of the last event of a request that any endpoint sent.
func (d *deployment) sentOf(id string) int {
	last := 0
	for _, ep := range d.endpoints {
		last = max(last, ep.Sent(id))
	}
	return last
}

// requestsAtEndpoints returns the number of requests that endpoints received.
func (d *deployment) requestsAtEndpoints() int {
	n := 0
	for _, ep := range d.endpoints {
		n += len(ep.Requests())
	}
	return n
}
