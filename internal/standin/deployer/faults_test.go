package deployer_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/entry/errorwriter"
	"fescuebank/internal/standin/deployer"
	"fescuebank/internal/standin/emulator"
	"fescuebank/internal/standin/objectserver"
	"fescuebank/internal/timing/timekeeper"
)

// waitTimeout limits every wait. It is generous and asserts nothing about speed.
const waitTimeout = time.Minute

const testModel = "almanac-llm"

// newDeployment starts a deployment with short leases.
func newDeployment(t *testing.T, instances, engines int, adjust func(*fescuebank.Settings)) *deployer.Deployer {
	t.Helper()
	if testing.Short() {
		t.Skip("starts a complete deployment")
	}
	ctx, stop := context.WithCancel(context.Background())
	d, err := deployer.New(ctx, deployer.Config{
		Zones: []fescuebank.Zone{"a", "b", "c"}, Instances: instances, Engines: engines,
		Engine: emulator.Config{StepBase: 4 * time.Millisecond, Slots: 8, RestartAfter: time.Second}, Model: testModel,
		Teams: []fescuebank.Team{
			{ID: "parishes", Rate: 100, Burst: 200, Weight: 1},
			{ID: "harbours", Rate: 100, Burst: 200, Weight: 1},
		},
		Listen: "127.0.0.1:0", Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(),
		Adjust: func(s *fescuebank.Settings) {
			s.Timing.LeaseTTL = 2 * time.Second
			s.Timing.LeaseRenew = 500 * time.Millisecond
			s.Timing.LeaseMargin = 300 * time.Millisecond
			s.Timing.ItemExpiry = 3 * time.Second
			s.Timing.AddressTTL = 200 * time.Millisecond
			s.Timing.Silence = time.Second
			s.Timing.Probe = 200 * time.Millisecond
			s.Timing.Suspect = 600 * time.Millisecond
			if adjust != nil {
				adjust(s)
			}
		},
	})
	if err != nil {
		stop()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		d.Wait()
	})
	return d
}

// request is a request of a caller to one instance.
type request struct {
	instance int
	method   string
	path     string
	key      string
	header   http.Header
	body     io.Reader
}

func send(d *deployer.Deployer, r request) (*http.Response, error) {
	req, err := http.NewRequest(r.method, d.Instances[r.instance].Self().CallerURL+r.path, r.body)
	if err != nil {
		return nil, err
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	return http.DefaultClient.Do(req)
}

// sendCompletion sends a completion request and returns the generated text, or the
// error from the response.
func sendCompletion(d *deployer.Deployer, instance int, key, prompt string, tokens int) (string, *errorwriter.Detail) {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"prompt":%q}`, testModel, tokens, prompt)
	resp, err := send(d, request{instance: instance, method: http.MethodPost, path: "/v1/completions", key: key, body: strings.NewReader(body)})
	if err != nil {
		return "", &errorwriter.Detail{Message: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var failure errorwriter.Body
		_ = json.NewDecoder(resp.Body).Decode(&failure)
		return "", &failure.Error
	}
	var completion struct{ Choices []struct{ Text string } }
	if err := json.NewDecoder(resp.Body).Decode(&completion); err != nil {
		return "", &errorwriter.Detail{Message: err.Error()}
	}
	return completion.Choices[0].Text, nil
}

// sendCompletions sends requests concurrently through all instances. The returned
// function waits for the responses, each of which must be the complete text for its
// own prompt.
func sendCompletions(t *testing.T, d *deployer.Deployer, key, name string, count, tokens int) (wait func()) {
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			prompt := fmt.Sprint(name, " ", n)
			got, refused := sendCompletion(d, n%len(d.Instances), key, prompt, tokens)
			if refused != nil {
				t.Errorf("%s: got %+v, want a response", prompt, refused)
				return
			}
			if want := expectedText(prompt, tokens); got != want {
				t.Errorf("%s: got %q, want %q", prompt, got, want)
			}
		})
	}
	return group.Wait
}

// expectedText returns the complete text generated for a prompt.
func expectedText(prompt string, tokens int) string {
	var text strings.Builder
	for n := range tokens {
		text.WriteString(emulator.TokenText(prompt, n))
	}
	return text.String()
}

func eventually(t *testing.T, what string, try func() error) {
	t.Helper()
	end := time.Now().Add(waitTimeout)
	for {
		err := try()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: got %v, want no error in time", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestStoreOutage makes the store unavailable until every lease has expired. Online
// requests are still served, submissions fail with notRun, and batch work resumes
// where it stopped.
func TestStoreOutage(t *testing.T) {
	d := newDeployment(t, 3, 3, nil)
	key := d.Keys["parishes"]
	job := submitJob(t, d, key, 300)
	d.Platform.SetFaults(objectserver.Faults{Down: true})
	eventually(t, "leases expired", func() error {
		for _, v := range d.Instances {
			if v.Status().LeaseFresh {
				return fmt.Errorf("%s has a lease", v.Self().ID)
			}
		}
		return nil
	})
	for n := range 30 {
		prompt := fmt.Sprint("outage ", n)
		got, refused := sendCompletion(d, n%3, key, prompt, 5)
		if refused != nil {
			t.Fatalf("request %d in the outage: got refusal %+v, want a response", n, refused)
		}
		if want := expectedText(prompt, 5); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if _, refused := upload(d, 0, key, []byte(itemLine(0))); refused == nil || refused.RunState != fescuebank.NotRun || refused.Code != fescuebank.CodeStoreDown {
		t.Errorf("upload in the outage: got %+v, want notRun and storeDown", refused)
	}
	d.Platform.SetFaults(objectserver.Faults{})
	awaitJob(t, d, key, job, 300)
}

func itemLine(n int) string {
	return fmt.Sprintf(`{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":{"model":%q,"max_tokens":8,"prompt":"page %d"}}`+"\n", n, testModel, n)
}

func upload(d *deployer.Deployer, instance int, key string, lines []byte) (string, *errorwriter.Detail) {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	_ = w.WriteField("purpose", "batch")
	part, _ := w.CreateFormFile("file", "items.jsonl")
	_, _ = part.Write(lines)
	_ = w.Close()
	resp, err := send(d, request{
		instance: instance, method: http.MethodPost, path: "/v1/files", key: key,
		header: http.Header{"Content-Type": {w.FormDataContentType()}}, body: &form,
	})
	if err != nil {
		return "", &errorwriter.Detail{Message: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var failure errorwriter.Body
		_ = json.NewDecoder(resp.Body).Decode(&failure)
		return "", &failure.Error
	}
	var file struct{ ID string }
	_ = json.NewDecoder(resp.Body).Decode(&file)
	return file.ID, nil
}

type jobState struct {
	ID     string
	Status string
	Counts struct{ Total, Completed, Failed int } `json:"request_counts"`
}

func submitJob(t *testing.T, d *deployer.Deployer, key string, items int) string {
	t.Helper()
	var lines bytes.Buffer
	for n := range items {
		lines.WriteString(itemLine(n))
	}
	file, refused := upload(d, 0, key, lines.Bytes())
	if refused != nil {
		t.Fatalf("upload: got refusal %+v, want a file", refused)
	}
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/completions"}`, file)
	resp, err := send(d, request{method: http.MethodPost, path: "/v1/batches", key: key, body: strings.NewReader(body)})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var job jobState
	if err := json.NewDecoder(resp.Body).Decode(&job); err != nil || job.ID == "" {
		t.Fatalf("submit: got %v, status %d, want a job", err, resp.StatusCode)
	}
	return job.ID
}

func getJob(d *deployer.Deployer, instance int, key, id string) (jobState, error) {
	var job jobState
	resp, err := send(d, request{instance: instance, method: http.MethodGet, path: "/v1/batches/" + id, key: key})
	if err != nil {
		return job, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return job, fmt.Errorf("status %d", resp.StatusCode)
	}
	return job, json.NewDecoder(resp.Body).Decode(&job)
}

// awaitJob waits until a job is completed, and checks that each item has exactly one
// result, the right one.
func awaitJob(t *testing.T, d *deployer.Deployer, key, id string, items int) {
	t.Helper()
	eventually(t, "job completed", func() error {
		job, err := getJob(d, 1, key, id)
		if err != nil {
			return err
		}
		if job.Status != "completed" {
			return fmt.Errorf("%s, %d completed, %d failed", job.Status, job.Counts.Completed, job.Counts.Failed)
		}
		return nil
	})
	resp, err := send(d, request{instance: 1, method: http.MethodGet, path: "/v1/files/file-out-" + id + "/content", key: key})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	seen := map[string]int{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var line struct {
			CustomID string `json:"custom_id"`
			Response struct {
				Body struct{ Choices []struct{ Text string } }
			}
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		seen[line.CustomID]++
		want := expectedText("page "+strings.TrimPrefix(line.CustomID, "item-"), 8)
		if got := line.Response.Body.Choices[0].Text; got != want {
			t.Errorf("%s: got %q, want %q", line.CustomID, got, want)
		}
	}
	for n := range items {
		if got := seen[fmt.Sprint("item-", n)]; got != 1 {
			t.Errorf("item-%d: got %d results, want 1", n, got)
		}
	}
}

// TestPoisonRequest repeatedly sends a request that crashes endpoints, through every
// instance. At most two endpoints may crash, and concurrent requests must complete.
func TestPoisonRequest(t *testing.T) {
	d := newDeployment(t, 3, 4, nil)
	key := d.Keys["parishes"]
	const poison = "please CRASH-THE-ENGINE now"
	wait := sendCompletions(t, d, key, "innocent", 12, 60)
	var last *errorwriter.Detail
	for n := range 8 {
		if _, last = sendCompletion(d, n%3, key, poison, 5); last == nil {
			t.Fatalf("poison %d: got a response, want a refusal", n)
		}
	}
	wait()
	if last.Code != fescuebank.CodeQuarantined || last.RunState != fescuebank.NotRun {
		t.Errorf("last refusal: got %+v, want quarantined and notRun", last)
	}
	crashes := int64(0)
	for _, e := range d.Engines {
		crashes += e.Totals().Crashes
	}
	if crashes > 2 {
		t.Errorf("got %d endpoint crashes, want at most 2", crashes)
	}
}

// TestEndpointsKilledDuringGeneration kills half of the endpoints while they generate, as a
// shutdown from overheating does. Every response must be complete, without a gap or a
// repetition.
func TestEndpointsKilledDuringGeneration(t *testing.T) {
	d := newDeployment(t, 3, 4, nil)
	key := d.Keys["parishes"]
	job := submitJob(t, d, key, 200)
	wait := sendCompletions(t, d, key, "heat", 16, 150)
	time.Sleep(250 * time.Millisecond)
	d.EngineFaults[0].Kill()
	d.EngineFaults[1].Kill()
	wait()
	awaitJob(t, d, key, job, 200)
}

// TestStalledEndpointConnections stalls every open connection to the endpoints. Every response
// must still complete.
func TestStalledEndpointConnections(t *testing.T) {
	d := newDeployment(t, 2, 3, nil)
	key := d.Keys["parishes"]
	wait := sendCompletions(t, d, key, "silent", 6, 120)
	time.Sleep(250 * time.Millisecond)
	for _, f := range d.EngineFaults {
		f.StallConnections()
	}
	wait()
}

// TestKeyWithdrawnWhileStoreIsDown withdraws a key during a store outage. Every
// instance must refuse the key, and a running stream authorized by it must end with
// an error that says so.
func TestKeyWithdrawnWhileStoreIsDown(t *testing.T) {
	d := newDeployment(t, 3, 2, nil)
	key := d.Keys["parishes"]
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":20000,"prompt":"a very long answer"}`, testModel)
	resp, err := send(d, request{instance: 2, method: http.MethodPost, path: "/v1/completions", key: key, body: strings.NewReader(body)})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() || !strings.HasPrefix(lines.Text(), "data: ") {
		t.Fatalf("got %q, want a stream", lines.Text())
	}
	d.Platform.SetFaults(objectserver.Faults{Down: true})
	if stored := d.Instances[0].WithdrawKey(context.Background(), fescuebank.HashKey(key)); stored {
		t.Error("got the withdrawal reported as stored while the store is down, want it not stored")
	}
	last := ""
	for lines.Scan() {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	if !strings.Contains(last, string(fescuebank.CodeKeyWithdrawn)) {
		t.Errorf("stream: got last event %q, want the error that the key was withdrawn", last)
	}
	for n := range d.Instances {
		eventually(t, "key refused", func() error {
			if _, refused := sendCompletion(d, n, key, "again", 1); refused == nil || refused.Code != fescuebank.CodeKeyWithdrawn {
				return fmt.Errorf("instance %d: got %+v", n, refused)
			}
			return nil
		})
	}
	if got, refused := sendCompletion(d, 0, d.Keys["harbours"], "other team", 3); refused != nil {
		t.Errorf("another team's key: got %q, %+v, want a response", got, refused)
	}
	d.Platform.SetFaults(objectserver.Faults{})
	eventually(t, "withdrawal stored", func() error {
		if d.Platform.WritesByPrefix()["control"] == 0 || !d.Platform.HasObject(fescuebank.WithdrawalPrefix+fescuebank.HashKey(key).String()) {
			return fmt.Errorf("not stored")
		}
		return nil
	})
}

// TestConfigurationAppliedDespiteLostWatchEvents drops the watch events of a
// configuration change. The instances must learn from probes that they are behind.
func TestConfigurationAppliedDespiteLostWatchEvents(t *testing.T) {
	d := newDeployment(t, 3, 1, nil)
	before := d.Instances[0].Status().Generation
	d.Platform.SetFaults(objectserver.Faults{SkipEvents: 1000})
	if _, err := d.Instances[0].Edit(context.Background(), func(state *fescuebank.DesiredState) error {
		state.Teams[0].Weight = 2
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "configuration applied by all instances", func() error {
		for _, v := range d.Instances {
			if got := v.Status().Generation; got != before+1 {
				return fmt.Errorf("%s has generation %d", v.Self().ID, got)
			}
		}
		return nil
	})
}

// TestCancelledJobStops cancels a job half-way. No item may run or add a result after
// the job has ended.
func TestCancelledJobStops(t *testing.T) {
	d := newDeployment(t, 3, 1, nil)
	key := d.Keys["parishes"]
	id := submitJob(t, d, key, 3000)
	eventually(t, "some completed", func() error {
		job, err := getJob(d, 0, key, id)
		if err == nil && job.Counts.Completed == 0 {
			err = fmt.Errorf("none completed")
		}
		return err
	})
	resp, err := send(d, request{instance: 2, method: http.MethodPost, path: "/v1/batches/" + id + "/cancel", key: key})
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	var job jobState
	eventually(t, "cancelled", func() error {
		if job, err = getJob(d, 1, key, id); err == nil && job.Status != "cancelled" {
			err = fmt.Errorf("status %s", job.Status)
		}
		return err
	})
	eventually(t, "endpoints free", func() error {
		for _, v := range d.Instances {
			if n := v.RunningItems(); n != 0 {
				return fmt.Errorf("%s runs %d items", v.Self().ID, n)
			}
		}
		return nil
	})
	resp, err = send(d, request{instance: 1, method: http.MethodGet, path: "/v1/files/file-out-" + id + "/content", key: key})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if got := bytes.Count(text, []byte("\n")); got != job.Counts.Completed {
		t.Errorf("got %d results, want %d as counted by the job", got, job.Counts.Completed)
	}
}

// TestNonRepeatableCallRunsOnce loses the response of a call that took effect. A
// retry with the same idempotency key must not execute the call again and must get
// mayHaveRun.
func TestNonRepeatableCallRunsOnce(t *testing.T) {
	d := newDeployment(t, 2, 1, nil)
	call := func(instance int, path, id string) (int, string, string) {
		resp, err := send(d, request{
			instance: instance, method: http.MethodPost, path: path, key: d.Keys["parishes"],
			header: http.Header{"Idempotency-Key": {id}, "Cookie": {"c=1"}, "X-Api-Key": {d.Keys["parishes"]}}, body: strings.NewReader("berth 7"),
		})
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, resp.Header.Get(fescuebank.HeaderRunState), string(text)
	}
	status, _, first := call(0, "/s/berths/book?api_key="+d.Keys["parishes"], "a")
	if status != http.StatusOK {
		t.Fatalf("got status %d: %s, want 200", status, first)
	}
	if status, _, again := call(1, "/s/berths/book", "a"); status != http.StatusOK || again != first {
		t.Errorf("retry: got %d %s, want the first response", status, again)
	}
	d.Service.LoseResponses(1)
	if status, state, _ := call(0, "/s/berths/book", "b"); status == http.StatusOK || state != string(fescuebank.MayHaveRun) {
		t.Errorf("lost response: got %d %s, want an error with mayHaveRun", status, state)
	}
	if status, state, _ := call(1, "/s/berths/book", "b"); status != http.StatusConflict || state != string(fescuebank.MayHaveRun) {
		t.Errorf("retry after a lost response: got %d %s, want 409 and mayHaveRun", status, state)
	}
	calls := d.Service.Calls()
	if len(calls) != 2 {
		t.Errorf("got %d calls at the service, want 2", len(calls))
	}
	for _, c := range calls {
		text, _ := json.Marshal(c)
		if strings.Contains(string(text), d.Keys["parishes"]) || c.Headers.Get("Cookie") != "" {
			t.Errorf("got %s at the service, want no key and no cookie", text)
		}
	}
}

// TestSlowStore makes each store call take 5 s, so leases expire. Online requests must
// still be served, and the job must complete when the store is fast again.
func TestSlowStore(t *testing.T) {
	d := newDeployment(t, 3, 2, nil)
	key := d.Keys["parishes"]
	job := submitJob(t, d, key, 100)
	d.Platform.SetFaults(objectserver.Faults{Delay: 5 * time.Second})
	for round := range 4 {
		sendCompletions(t, d, key, fmt.Sprint("slow ", round), 9, 5)()
		time.Sleep(time.Second)
	}
	d.Platform.SetFaults(objectserver.Faults{})
	awaitJob(t, d, key, job, 100)
}

// TestLostStoreWriteReplies loses the replies of many store writes of all kinds. Every
// item must still get exactly one result.
func TestLostStoreWriteReplies(t *testing.T) {
	d := newDeployment(t, 3, 2, nil)
	key := d.Keys["parishes"]
	job := submitJob(t, d, key, 400)
	for range 10 {
		d.Platform.SetFaults(objectserver.Faults{LoseWriteReplies: 3})
		time.Sleep(200 * time.Millisecond)
	}
	d.Platform.SetFaults(objectserver.Faults{})
	awaitJob(t, d, key, job, 400)
}

// TestRacingOperators publishes concurrently from two instances. Every change must be
// in the final state, and a document based on an older generation must be refused.
func TestRacingOperators(t *testing.T) {
	d := newDeployment(t, 2, 1, nil)
	old := d.Instances[0].Status().Generation
	var group sync.WaitGroup
	for n := range 2 {
		group.Go(func() {
			for i := range 5 {
				_, err := d.Instances[n].Edit(context.Background(), func(state *fescuebank.DesiredState) error {
					id := fescuebank.TeamID(fmt.Sprintf("team-%d-%d", n, i))
					state.Teams = append(state.Teams, fescuebank.Team{ID: id, Rate: 1, Burst: 1})
					return nil
				})
				if err != nil {
					t.Errorf("operator %d: got %v, want no error", n, err)
				}
			}
		})
	}
	group.Wait()
	eventually(t, "all changes applied", func() error {
		for _, v := range d.Instances {
			if got, want := v.Status().Generation, old+10; got != want {
				return fmt.Errorf("%s has generation %d, want %d", v.Self().ID, got, want)
			}
		}
		return nil
	})
	stale := d.DesiredState
	stale.Generation = old
	if _, err := d.Instances[0].Apply(context.Background(), &stale); err == nil || !strings.Contains(err.Error(), "is in force") {
		t.Errorf("stale document: got %v, want a conflict", err)
	}
}

// TestLeavingEndpointGetsNoNewWork marks an endpoint as leaving. A few seconds later
// it must receive no new requests, neither online nor batch.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	d := newDeployment(t, 3, 3, nil)
	key := d.Keys["parishes"]
	job := submitJob(t, d, key, 600)
	d.Engines[0].SetLeaving(true)
	time.Sleep(3 * time.Second)
	before := d.Engines[0].Totals().Requests
	sendCompletions(t, d, key, "after leaving", 30, 5)()
	awaitJob(t, d, key, job, 600)
	if got := d.Engines[0].Totals().Requests; got != before {
		t.Errorf("got %d new requests at the leaving endpoint, want none", got-before)
	}
}
