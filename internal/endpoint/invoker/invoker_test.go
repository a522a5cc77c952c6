package invoker_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/endpoint/invoker"
	"fescuebank/internal/standin/emulator"
	"fescuebank/internal/timing/timekeeper"
)

func event(id string, index int, text, finish string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"token_index\":%d,\"choices\":[{\"text\":%q,\"finish_reason\":%q}]}\n\n", id, index, text, finish)
}

// TestResponseValidation checks that only complete responses to the invoker's own request
// are accepted, and how each other response is classified.
func TestResponseValidation(t *testing.T) {
	const done = "data: [DONE]\n\n"
	for _, tt := range []struct {
		name   string
		status int
		header http.Header
		body   string
		resume fescuebank.Tokens
		want   string
		kind   fescuebank.EndpointErrorKind
		fails  bool
	}{
		{name: "complete", body: event("r", 0, "a", "") + event("r", 1, "b", "stop") + done, want: "ab"},
		{name: "comments between events", body: ": x\n\n" + event("r", 0, "a", "stop") + ": y\n\n" + done, want: "a"},
		{name: "repeated token", body: event("r", 0, "a", "") + event("r", 0, "a", "") + event("r", 1, "b", "stop") + done, want: "ab"},
		{name: "resumed", body: event("r", 2, "c", "stop") + done, resume: 2, want: "c"},
		{name: "resumed with repetition", body: event("r", 1, "b", "") + event("r", 2, "c", "stop") + done, resume: 2, want: "c"},
		{name: "no end marker", body: event("r", 0, "a", "stop"), want: "a", fails: true, kind: fescuebank.EndpointLost},
		{name: "end marker too early", body: event("r", 0, "a", "") + done, want: "a", fails: true, kind: fescuebank.EndpointLost},
		{name: "response to another request", body: event("other", 0, "a", "stop") + done, fails: true, kind: fescuebank.EndpointBroken},
		{name: "gap", body: event("r", 0, "a", "") + event("r", 2, "c", "stop") + done, want: "a", fails: true, kind: fescuebank.EndpointBroken},
		{name: "not JSON", body: "data: {\n\n", fails: true, kind: fescuebank.EndpointBroken},
		{name: "not run by the endpoint", status: 503, header: http.Header{fescuebank.HeaderRunState: {"notRun"}}, fails: true, kind: fescuebank.EndpointRefused},
		{name: "server error", status: 500, fails: true, kind: fescuebank.EndpointBroken},
		{name: "invalid request", status: 400, fails: true, kind: fescuebank.EndpointRejected},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for name, values := range tt.header {
					w.Header()[name] = values
				}
				if tt.status != 0 {
					w.WriteHeader(tt.status)
				}
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			inv := invoker.New(fescuebank.EndpointSpec{ID: "e", URL: server.URL}, timekeeper.Timekeeper{}, time.Minute)
			got := ""
			err := inv.Complete(context.Background(), &fescuebank.CompletionRequest{Request: "r", Resume: fescuebank.PartialResponse{Tokens: tt.resume}}, func(d fescuebank.Delta) error {
				got += d.Text
				return nil
			})
			if got != tt.want {
				t.Errorf("got text %q, want %q", got, tt.want)
			}
			failed, ok := fescuebank.AsEndpointError(err)
			if ok != tt.fails || (ok && failed.Kind != tt.kind) {
				t.Errorf("got error %v, want failure %v of kind %d", err, tt.fails, tt.kind)
			}
		})
	}
}

func TestUnreachableEndpointHasNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	url := server.URL
	server.Close()
	inv := invoker.New(fescuebank.EndpointSpec{ID: "e", URL: url}, timekeeper.Timekeeper{}, time.Minute)
	err := inv.Complete(context.Background(), &fescuebank.CompletionRequest{Request: "r"}, func(fescuebank.Delta) error { return nil })
	if failed, ok := fescuebank.AsEndpointError(err); !ok || failed.Kind != fescuebank.EndpointUnreachable {
		t.Errorf("got %v, want an unreachable endpoint", err)
	}
}

func TestOnlyListedOptionsReachTheEndpoint(t *testing.T) {
	var got string
	var header http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(body)
		got, header = string(body), r.Header
		_, _ = w.Write([]byte(event("r", 0, "a", "stop") + "data: [DONE]\n\n"))
	}))
	defer server.Close()
	inv := invoker.New(fescuebank.EndpointSpec{ID: "e", URL: server.URL}, timekeeper.Timekeeper{}, time.Minute)
	body := `{"model":"m","prompt":"p","temperature":0.5,"api_key":"fb-secret","user":"fb-secret"}`
	err := inv.Complete(context.Background(), &fescuebank.CompletionRequest{Request: "r", Model: "m", Prompt: "p", MaxTokens: 1, Body: []byte(body)}, func(fescuebank.Delta) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(got, "fb-secret") || !strings.Contains(got, "temperature") {
		t.Errorf("got body %s, want the temperature and no key", got)
	}
	if header.Get("Authorization") != "" {
		t.Errorf("got an Authorization header, want none")
	}
}

// serveEngine runs an emulated engine and returns an invoker for it.
func serveEngine(t *testing.T, config emulator.Config) (*invoker.Invoker, *emulator.Emulator, *emulator.FaultInjector) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	config.Models = []fescuebank.ModelName{"m"}
	e := emulator.New(config, timekeeper.Timekeeper{})
	addr, faults, err := e.Serve(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	spec := fescuebank.EndpointSpec{ID: "e", URL: "http://" + addr}
	return invoker.New(spec, timekeeper.Timekeeper{}, 500*time.Millisecond), e, faults
}

// TestResumeCompletesTheSameText interrupts a response, resumes it, and checks that the
// text equals that of an uninterrupted one.
func TestResumeCompletesTheSameText(t *testing.T) {
	inv, _, _ := serveEngine(t, emulator.Config{StepBase: time.Millisecond})
	full := ""
	req := &fescuebank.CompletionRequest{Request: "r", Model: "m", Prompt: "tides", MaxTokens: 20}
	if err := inv.Complete(context.Background(), req, func(d fescuebank.Delta) error { full += d.Text; return nil }); err != nil {
		t.Fatal(err)
	}
	var partial fescuebank.PartialResponse
	stop := fmt.Errorf("interrupted")
	interrupt := func(d fescuebank.Delta) error {
		partial.Text += d.Text
		partial.Tokens = d.Index + 1
		if partial.Tokens == 7 {
			return stop
		}
		return nil
	}
	if err := inv.Complete(context.Background(), req, interrupt); err != stop {
		t.Fatalf("got %v, want the receiver's own error", err)
	}
	req.Resume = partial
	got := partial.Text
	if err := inv.Complete(context.Background(), req, func(d fescuebank.Delta) error { got += d.Text; return nil }); err != nil {
		t.Fatal(err)
	}
	if got != full {
		t.Errorf("got %q, want %q", got, full)
	}
}

// TestStalledConnectionIsAbandoned stalls the open connections during a response. The
// response must fail, and the next request must use a new connection.
func TestStalledConnectionIsAbandoned(t *testing.T) {
	inv, _, faults := serveEngine(t, emulator.Config{})
	req := &fescuebank.CompletionRequest{Request: "r", Model: "m", Prompt: "tides", MaxTokens: 100}
	err := inv.Complete(context.Background(), req, func(d fescuebank.Delta) error {
		if d.Index == 2 {
			faults.StallConnections()
		}
		return nil
	})
	if failed, ok := fescuebank.AsEndpointError(err); !ok || failed.Kind != fescuebank.EndpointBroken {
		t.Fatalf("got %v, want a broken response", err)
	}
	req.MaxTokens = 3
	if err := inv.Complete(context.Background(), req, func(fescuebank.Delta) error { return nil }); err != nil {
		t.Errorf("new connection: got %v, want a response", err)
	}
}

// TestSlowCallerIsNoStall guards against a response that is cancelled because its receiver, not the
// endpoint, takes longer than the progress timeout.
func TestSlowCallerIsNoStall(t *testing.T) {
	inv, _, _ := serveEngine(t, emulator.Config{StepBase: time.Millisecond})
	req := &fescuebank.CompletionRequest{Request: "r", Model: "m", Prompt: "tides", MaxTokens: 20}
	got := 0
	err := inv.Complete(context.Background(), req, func(d fescuebank.Delta) error {
		if d.Index == 2 {
			time.Sleep(700 * time.Millisecond)
		}
		got++
		return nil
	})
	if err != nil || got != 20 {
		t.Errorf("got %d tokens, %v, want 20 and no error", got, err)
	}
}

// FuzzStream feeds arbitrary response bodies to the stream parser.
func FuzzStream(f *testing.F) {
	f.Add(event("r", 0, "a", "stop") + "data: [DONE]\n\n")
	f.Add("data: {\n\ndata: [DONE]")
	f.Fuzz(func(t *testing.T, body string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		defer server.Close()
		inv := invoker.New(fescuebank.EndpointSpec{ID: "e", URL: server.URL}, timekeeper.Timekeeper{}, time.Minute)
		next := fescuebank.Tokens(0)
		err := inv.Complete(context.Background(), &fescuebank.CompletionRequest{Request: "r"}, func(d fescuebank.Delta) error {
			if d.Index != next {
				t.Errorf("got token %d, want %d", d.Index, next)
			}
			next++
			return nil
		})
		if err == nil && !strings.Contains(body, "[DONE]") {
			t.Error("got a complete response without an end marker, want an error")
		}
	})
}
