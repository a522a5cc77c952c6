package runner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/estimator"
	"fescuebank/internal/batch/manager"
	"fescuebank/internal/batch/persister"
	"fescuebank/internal/endpoint/dialer"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

const (
	testTeam    = fescuebank.TeamID("team")
	testService = fescuebank.ServiceName("s")
	// resumeHeader and requestHeader are those of resumingProtocol.
	resumeHeader  = "Resume"
	requestHeader = "Request"
)

// resumingProtocol is an endpoint protocol with resumption.
type resumingProtocol struct{}

func (resumingProtocol) Encode(h http.Header, r *fescuebank.Request, _ fescuebank.ServedEndpoint, _ time.Duration) {
	h.Set(requestHeader, string(r.ID))
}
func (resumingProtocol) Prompt(http.Header) []fescuebank.PromptPart { return nil }

func (resumingProtocol) Resume(h http.Header, last string) { h.Set(resumeHeader, last) }
func (resumingProtocol) Decode(_ int, h http.Header) fescuebank.ResponseInfo {
	return fescuebank.ResponseInfo{Request: fescuebank.RequestID(h.Get(requestHeader)), Signed: true}
}

// testRoute returns a route of batch jobs.
func testRoute(name string, shares ...fescuebank.ServiceShare) fescuebank.Route {
	return fescuebank.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: fescuebank.RouteBatch, Attempts: 3, CompletionObjective: time.Minute,
		Retention: time.Hour, Shares: shares,
	}
}

// testJob returns a job of a route, whose items have the ids.
func testJob(route string, items ...string) *fescuebank.RoutedJob {
	j := &fescuebank.RoutedJob{ID: fescuebank.JobID("job-" + route), Team: testTeam, Route: route, Host: "h", Path: "/" + route + "/x", Submitted: time.Now()}
	for _, id := range items {
		j.Items = append(j.Items, fescuebank.RoutedItem{ID: id, Target: "/x/1", Body: []byte("body"), Tokens: 1})
	}
	return j
}

// newManager returns a manager with routes and jobs.
func newManager(t *testing.T, routes []fescuebank.Route, jobs ...*fescuebank.RoutedJob) *manager.Manager {
	t.Helper()
	clock := timekeeper.Timekeeper{}
	table := &fescuebank.RouteTable{Version: 1}
	table.SetRoutes(routes)
	store, err := persister.New(&memorystorer.MemoryStorer{}, clock)
	if err != nil {
		t.Fatal(err)
	}
	m := manager.New(manager.Config{
		Owns:         func(fescuebank.TeamID) (fescuebank.FencingNumber, bool) { return 1, true },
		ConfirmOwner: func(context.Context, fescuebank.TeamID) (bool, error) { return true, nil },
		TookOver:     func(fescuebank.TeamID) bool { return false }, Persister: store,
		Table: func() *fescuebank.RouteTable { return table }, ConfigAsOf: func() fescuebank.StoreVersion { return 0 }, RefreshConfig: func() {}, Estimator: estimator.New(), Clock: clock, Log: hclog.NewNullLogger(),
		OnItemEnd: func(fescuebank.TeamID, bool, bool) {}, OnItemsAvailable: func() {}, SendHandover: func(manager.ProgressHandover) {},
	})
	for _, j := range jobs {
		if err := m.Submit(t.Context(), j); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

// generate serves three events of a version, or those after the one to resume after.
func generate(version string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(requestHeader, r.Header.Get(requestHeader))
		after := 0
		_, _ = fmt.Sscan(r.Header.Get(resumeHeader), &after)
		for n := after + 1; n <= 3; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, version, n)
		}
	})
}

// TestTextNeverJoinsVersions checks that an item continues only at an endpoint of the software
// version that generated its progress, and of its service, and starts over at any other.
func TestTextNeverJoinsVersions(t *testing.T) {
	for _, tt := range []struct {
		name string
		// begun is the version that generated the progress, at endpoints of a service, and version that of the endpoint.
		begun   string
		service fescuebank.ServiceName
		version string
		want    string
	}{
		{"same version", "v1", testService, "v1", "v1-1 v1-2 v1-3"},
		{"newer version", "v1", testService, "v2", "v2-1 v2-2 v2-3"},
		{"older version", "v2", testService, "v1", "v1-1 v1-2 v1-3"},
		{"progress of an unknown version", "", testService, "v1", "v1-1 v1-2 v1-3"},
		{"endpoint of an unknown version", "v1", testService, "", "-1 -2 -3"},
		{"no versions", "", testService, "", "-1 -2 -3"},
		{"same version of another service", "old", "other", "old", "old-1 old-2 old-3"},
		{"progress from an older build", "v1", "", "v1", "v1-1 v1-2 v1-3"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(generate(tt.version))
			defer server.Close()
			clock := timekeeper.Timekeeper{}
			endpoint := fescuebank.ServedEndpoint{
				ID: "i-1", Service: testService, Addr: server.Listener.Addr().String(), Slots: 8, Version: tt.version,
			}
			a := allocator.New(clock, func() {})
			a.SetEndpoints([]fescuebank.ServedEndpoint{endpoint})
			m := newManager(t, []fescuebank.Route{testRoute("batch", fescuebank.ServiceShare{Service: testService, Weight: 1})}, testJob("batch", "item"))
			r := New(Config{
				Manager: m, Allocator: a, Exchanger: exchanger.New(resumingProtocol{}, clock, dialer.Direct), Protocol: resumingProtocol{}, Guard: &recordingGuard{},
				Clock: clock, Log: hclog.NewNullLogger(),
			})
			ctx, cancel := context.WithCancel(t.Context())
			task := m.NextTask(cancel, nil)
			task.Progress = fescuebank.Progress{
				Events: 2, Last: "2", Output: fmt.Appendf(nil, "%s-1\n%s-2", tt.begun, tt.begun), Version: tt.begun, Service: tt.service,
			}
			if tt.service == "other" {
				task.Progress.Output = []byte("other-1\nother-2")
			}
			r.run(ctx, &attempt{task: task, slot: a.AcquireBatch(testService, "", 0), cancel: cancel})
			page, err := m.Read(t.Context(), testTeam, "job-batch", 0, 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			if len(page.Results) != 1 {
				t.Fatalf("got %d results, want 1", len(page.Results))
			}
			if got := strings.ReplaceAll(string(page.Results[0].Output), "\n", " "); got != tt.want {
				t.Errorf("got text %q, want %q", got, tt.want)
			}
		})
	}
}
