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

// patience bounds every wait. It is no measure of speed.
const patience = time.Minute

const testModel = "almanac-llm"

// newStage starts a deployment with short leases.
func newStage(t *testing.T, instances, engines int, adjust func(*fescuebank.Settings)) *deployer.Deployer {
	t.Helper()
	if testing.Short() {
		t.Skip("starts a whole deployment")
	}
	ctx, stop := context.WithCancel(context.Background())
	s, err := deployer.New(ctx, deployer.Config{
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
		s.Wait()
	})
	return s
}

// request is one call of a caller.
type request struct {
	instance int
	method   string
	path     string
	key      string
	header   http.Header
	body     io.Reader
}

func send(s *deployer.Deployer, r request) (*http.Response, error) {
	req, err := http.NewRequest(r.method, s.Instances[r.instance].Self().CallerURL+r.path, r.body)
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

// ask sends a completion and returns its text, or the error answer.
func ask(s *deployer.Deployer, instance int, key, prompt string, tokens int) (string, *errorwriter.Detail) {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"prompt":%q}`, testModel, tokens, prompt)
	resp, err := send(s, request{instance: instance, method: http.MethodPost, path: "/v1/completions", key: key, body: strings.NewReader(body)})
	if err != nil {
		return "", &errorwriter.Detail{Message: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var answer errorwriter.Body
		_ = json.NewDecoder(resp.Body).Decode(&answer)
		return "", &answer.Error
	}
	var answer struct{ Choices []struct{ Text string } }
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", &errorwriter.Detail{Message: err.Error()}
	}
	return answer.Choices[0].Text, nil
}

// askMany sends requests through all instances at once. The returned function
// waits for their answers and wants each whole and its own.
func askMany(t *testing.T, s *deployer.Deployer, key, name string, count, tokens int) (wait func()) {
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			prompt := fmt.Sprint(name, " ", n)
			got, refused := ask(s, n%len(s.Instances), key, prompt, tokens)
			if refused != nil {
				t.Errorf("%s: got %+v, want an answer", prompt, refused)
				return
			}
			if want := wanted(prompt, tokens); got != want {
				t.Errorf("%s: got %q, want %q", prompt, got, want)
			}
		})
	}
	return group.Wait
}

// wanted is the whole answer to a prompt.
func wanted(prompt string, tokens int) string {
	var text strings.Builder
	for n := range tokens {
		text.WriteString(emulator.TokenText(prompt, n))
	}
	return text.String()
}

func eventually(t *testing.T, what string, try func() error) {
	t.Helper()
	end := time.Now().Add(patience)
	for {
		err := try()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestStoreOutage takes the store away for longer than any lease: online goes
// on, submission answers notRun, and batch work goes on where it stood.
func TestStoreOutage(t *testing.T) {
	s := newStage(t, 3, 3, nil)
	key := s.Keys["parishes"]
	job := submitJob(t, s, key, 300)
	s.Platform.SetFaults(objectserver.Faults{Down: true})
	eventually(t, "leases lapsed", func() error {
		for _, v := range s.Instances {
			if v.Status().LeaseFresh {
				return fmt.Errorf("%s has a lease", v.Self().ID)
			}
		}
		return nil
	})
	for n := range 30 {
		prompt := fmt.Sprint("outage ", n)
		got, refused := ask(s, n%3, key, prompt, 5)
		if refused != nil {
			t.Fatalf("request %d in the outage: refused %+v, want an answer", n, refused)
		}
		if want := wanted(prompt, 5); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if _, refused := upload(s, 0, key, []byte(itemLine(0))); refused == nil || refused.RunState != fescuebank.NotRun || refused.Code != fescuebank.CodeStoreDown {
		t.Errorf("upload in the outage: got %+v, want notRun and storeDown", refused)
	}
	s.Platform.SetFaults(objectserver.Faults{})
	awaitJob(t, s, key, job, 300)
}

func itemLine(n int) string {
	return fmt.Sprintf(`{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":{"model":%q,"max_tokens":8,"prompt":"page %d"}}`+"\n", n, testModel, n)
}

func upload(s *deployer.Deployer, instance int, key string, lines []byte) (string, *errorwriter.Detail) {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	_ = w.WriteField("purpose", "batch")
	part, _ := w.CreateFormFile("file", "items.jsonl")
	_, _ = part.Write(lines)
	_ = w.Close()
	resp, err := send(s, request{
		instance: instance, method: http.MethodPost, path: "/v1/files", key: key,
		header: http.Header{"Content-Type": {w.FormDataContentType()}}, body: &form,
	})
	if err != nil {
		return "", &errorwriter.Detail{Message: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var answer errorwriter.Body
		_ = json.NewDecoder(resp.Body).Decode(&answer)
		return "", &answer.Error
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

func submitJob(t *testing.T, s *deployer.Deployer, key string, items int) string {
	t.Helper()
	var lines bytes.Buffer
	for n := range items {
		lines.WriteString(itemLine(n))
	}
	file, refused := upload(s, 0, key, lines.Bytes())
	if refused != nil {
		t.Fatalf("upload: %+v", refused)
	}
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/completions"}`, file)
	resp, err := send(s, request{method: http.MethodPost, path: "/v1/batches", key: key, body: strings.NewReader(body)})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var job jobState
	if err := json.NewDecoder(resp.Body).Decode(&job); err != nil || job.ID == "" {
		t.Fatalf("submit: %v, status %d", err, resp.StatusCode)
	}
	return job.ID
}

func showJob(s *deployer.Deployer, instance int, key, id string) (jobState, error) {
	var job jobState
	resp, err := send(s, request{instance: instance, method: http.MethodGet, path: "/v1/batches/" + id, key: key})
	if err != nil {
		return job, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return job, fmt.Errorf("status %d", resp.StatusCode)
	}
	return job, json.NewDecoder(resp.Body).Decode(&job)
}

// awaitJob wants the job completed and each item's right answer once.
func awaitJob(t *testing.T, s *deployer.Deployer, key, id string, items int) {
	t.Helper()
	eventually(t, "job completed", func() error {
		job, err := showJob(s, 1, key, id)
		if err != nil {
			return err
		}
		if job.Status != "completed" {
			return fmt.Errorf("%s, %d completed, %d failed", job.Status, job.Counts.Completed, job.Counts.Failed)
		}
		return nil
	})
	resp, err := send(s, request{instance: 1, method: http.MethodGet, path: "/v1/files/file-out-" + id + "/content", key: key})
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
		want := wanted("page "+strings.TrimPrefix(line.CustomID, "item-"), 8)
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

// TestPoisonRequest sends a request that crashes endpoints again and again,
// through every instance: at most two endpoints are lost to it, and requests
// beside it are answered.
func TestPoisonRequest(t *testing.T) {
	s := newStage(t, 3, 4, nil)
	key := s.Keys["parishes"]
	const poison = "please CRASH-THE-ENGINE now"
	wait := askMany(t, s, key, "innocent", 12, 60)
	var last *errorwriter.Detail
	for n := range 8 {
		if _, last = ask(s, n%3, key, poison, 5); last == nil {
			t.Fatalf("poison %d: got an answer, want a refusal", n)
		}
	}
	wait()
	if last.Code != fescuebank.CodeQuarantined || last.RunState != fescuebank.NotRun {
		t.Errorf("last refusal: got %+v, want quarantined and notRun", last)
	}
	crashes := int64(0)
	for _, e := range s.Engines {
		crashes += e.Totals().Crashes
	}
	if crashes > 2 {
		t.Errorf("got %d endpoints lost, want at most 2", crashes)
	}
}

// TestEndpointsLostInMidAnswer takes half of the endpoints away, as heat does.
// Every answer is whole, without a gap or a repetition.
func TestEndpointsLostInMidAnswer(t *testing.T) {
	s := newStage(t, 3, 4, nil)
	key := s.Keys["parishes"]
	job := submitJob(t, s, key, 200)
	wait := askMany(t, s, key, "heat", 16, 150)
	time.Sleep(250 * time.Millisecond)
	s.EngineFaults[0].Kill()
	s.EngineFaults[1].Kill()
	wait()
	awaitJob(t, s, key, job, 200)
}

// TestSilentConnections makes every open connection to the endpoints silent.
func TestSilentConnections(t *testing.T) {
	s := newStage(t, 2, 3, nil)
	key := s.Keys["parishes"]
	wait := askMany(t, s, key, "silent", 6, 120)
	time.Sleep(250 * time.Millisecond)
	for _, f := range s.EngineFaults {
		f.StallConnections()
	}
	wait()
}

// TestKeyWithdrawnWhileStoreIsDown withdraws a key during an outage: it stops
// working on every instance, and the stream that runs by it ends, told so.
func TestKeyWithdrawnWhileStoreIsDown(t *testing.T) {
	s := newStage(t, 3, 2, nil)
	key := s.Keys["parishes"]
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":20000,"prompt":"a very long answer"}`, testModel)
	resp, err := send(s, request{instance: 2, method: http.MethodPost, path: "/v1/completions", key: key, body: strings.NewReader(body)})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() || !strings.HasPrefix(lines.Text(), "data: ") {
		t.Fatalf("got %q, want a stream", lines.Text())
	}
	s.Platform.SetFaults(objectserver.Faults{Down: true})
	if stored := s.Instances[0].WithdrawKey(context.Background(), fescuebank.HashKey(key)); stored {
		t.Error("got the withdrawal stored while the store is down, want not")
	}
	last := ""
	for lines.Scan() {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	if !strings.Contains(last, string(fescuebank.CodeKeyWithdrawn)) {
		t.Errorf("stream: got the end %q, want it told that the key was withdrawn", last)
	}
	for n := range s.Instances {
		eventually(t, "key refused", func() error {
			if _, refused := ask(s, n, key, "again", 1); refused == nil || refused.Code != fescuebank.CodeKeyWithdrawn {
				return fmt.Errorf("instance %d: got %+v", n, refused)
			}
			return nil
		})
	}
	if got, refused := ask(s, 0, s.Keys["harbours"], "other team", 3); refused != nil {
		t.Errorf("another team's key: got %q, %+v, want an answer", got, refused)
	}
	s.Platform.SetFaults(objectserver.Faults{})
	eventually(t, "withdrawal stored", func() error {
		if s.Platform.WritesByPrefix()["control"] == 0 || !s.Platform.HasObject(fescuebank.WithdrawalPrefix+fescuebank.HashKey(key).String()) {
			return fmt.Errorf("not stored")
		}
		return nil
	})
}

// TestConfigurationInForceDespiteSkippedWatches drops the events of a change:
// probes tell the instances that they are behind.
func TestConfigurationInForceDespiteSkippedWatches(t *testing.T) {
	s := newStage(t, 3, 1, nil)
	before := s.Instances[0].Status().Generation
	s.Platform.SetFaults(objectserver.Faults{SkipEvents: 1000})
	if _, err := s.Instances[0].Edit(context.Background(), func(d *fescuebank.DesiredState) error {
		d.Teams[0].Weight = 2
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "in force everywhere", func() error {
		for _, v := range s.Instances {
			if got := v.Status().Generation; got != before+1 {
				return fmt.Errorf("%s has generation %d", v.Self().ID, got)
			}
		}
		return nil
	})
}

// TestCancelledJobStops cancels a job in the middle and wants no result after it
// has ended.
func TestCancelledJobStops(t *testing.T) {
	s := newStage(t, 3, 1, nil)
	key := s.Keys["parishes"]
	id := submitJob(t, s, key, 3000)
	eventually(t, "some completed", func() error {
		job, err := showJob(s, 0, key, id)
		if err == nil && job.Counts.Completed == 0 {
			err = fmt.Errorf("none completed")
		}
		return err
	})
	resp, err := send(s, request{instance: 2, method: http.MethodPost, path: "/v1/batches/" + id + "/cancel", key: key})
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	var job jobState
	eventually(t, "cancelled", func() error {
		if job, err = showJob(s, 1, key, id); err == nil && job.Status != "cancelled" {
			err = fmt.Errorf("status %s", job.Status)
		}
		return err
	})
	eventually(t, "endpoints free", func() error {
		for _, v := range s.Instances {
			if n := v.RunningItems(); n != 0 {
				return fmt.Errorf("%s runs %d items", v.Self().ID, n)
			}
		}
		return nil
	})
	resp, err = send(s, request{instance: 1, method: http.MethodGet, path: "/v1/files/file-out-" + id + "/content", key: key})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if got := bytes.Count(text, []byte("\n")); got != job.Counts.Completed {
		t.Errorf("got %d results, want the %d that the job counts", got, job.Counts.Completed)
	}
}

// TestCallThatMayNotBeRepeated loses the answer of a call that took effect:
// the resend is told so and isn't run.
func TestCallThatMayNotBeRepeated(t *testing.T) {
	s := newStage(t, 2, 1, nil)
	call := func(instance int, path, id string) (int, string, string) {
		resp, err := send(s, request{
			instance: instance, method: http.MethodPost, path: path, key: s.Keys["parishes"],
			header: http.Header{"Idempotency-Key": {id}, "Cookie": {"c=1"}, "X-Api-Key": {s.Keys["parishes"]}}, body: strings.NewReader("berth 7"),
		})
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, resp.Header.Get(fescuebank.HeaderRunState), string(text)
	}
	status, _, first := call(0, "/s/berths/book?api_key="+s.Keys["parishes"], "a")
	if status != http.StatusOK {
		t.Fatalf("got status %d: %s, want 200", status, first)
	}
	if status, _, again := call(1, "/s/berths/book", "a"); status != http.StatusOK || again != first {
		t.Errorf("resend: got %d %s, want the first answer", status, again)
	}
	s.Service.LoseResponses(1)
	if status, state, _ := call(0, "/s/berths/book", "b"); status == http.StatusOK || state != string(fescuebank.MayHaveRun) {
		t.Errorf("lost answer: got %d %s, want an error that says mayHaveRun", status, state)
	}
	if status, state, _ := call(1, "/s/berths/book", "b"); status != http.StatusConflict || state != string(fescuebank.MayHaveRun) {
		t.Errorf("resend of a lost answer: got %d %s, want 409 and mayHaveRun", status, state)
	}
	calls := s.Service.Calls()
	if len(calls) != 2 {
		t.Errorf("got %d calls at the service, want 2", len(calls))
	}
	for _, c := range calls {
		text, _ := json.Marshal(c)
		if strings.Contains(string(text), s.Keys["parishes"]) || c.Headers.Get("Cookie") != "" {
			t.Errorf("got %s at the service, want no key and no cookie", text)
		}
	}
}

// TestSlowStore makes each call take 5 s: leases lapse, online goes on, and the
// job ends once the store is quick again.
func TestSlowStore(t *testing.T) {
	s := newStage(t, 3, 2, nil)
	key := s.Keys["parishes"]
	job := submitJob(t, s, key, 100)
	s.Platform.SetFaults(objectserver.Faults{Delay: 5 * time.Second})
	for round := range 4 {
		askMany(t, s, key, fmt.Sprint("slow ", round), 9, 5)()
		time.Sleep(time.Second)
	}
	s.Platform.SetFaults(objectserver.Faults{})
	awaitJob(t, s, key, job, 100)
}

// TestLostAnswersOfWrites loses the answers of many writes of all kinds.
func TestLostAnswersOfWrites(t *testing.T) {
	s := newStage(t, 3, 2, nil)
	key := s.Keys["parishes"]
	job := submitJob(t, s, key, 400)
	for range 10 {
		s.Platform.SetFaults(objectserver.Faults{LoseWriteReplies: 3})
		time.Sleep(200 * time.Millisecond)
	}
	s.Platform.SetFaults(objectserver.Faults{})
	awaitJob(t, s, key, job, 400)
}

// TestRacingOperators publishes from two instances at once: each change is in
// the end state, and a document made from an older generation is refused.
func TestRacingOperators(t *testing.T) {
	s := newStage(t, 2, 1, nil)
	old := s.Instances[0].Status().Generation
	var group sync.WaitGroup
	for n := range 2 {
		group.Go(func() {
			for i := range 5 {
				_, err := s.Instances[n].Edit(context.Background(), func(d *fescuebank.DesiredState) error {
					id := fescuebank.TeamID(fmt.Sprintf("team-%d-%d", n, i))
					d.Teams = append(d.Teams, fescuebank.Team{ID: id, Rate: 1, Burst: 1})
					return nil
				})
				if err != nil {
					t.Errorf("operator %d: %v", n, err)
				}
			}
		})
	}
	group.Wait()
	eventually(t, "both in force", func() error {
		for _, v := range s.Instances {
			if got, want := v.Status().Generation, old+10; got != want {
				return fmt.Errorf("%s has generation %d, want %d", v.Self().ID, got, want)
			}
		}
		return nil
	})
	stale := s.DesiredState
	stale.Generation = old
	if _, err := s.Instances[0].Apply(context.Background(), &stale); err == nil || !strings.Contains(err.Error(), "is in force") {
		t.Errorf("stale document: got %v, want a conflict", err)
	}
}

// TestLeavingEndpointGetsNoNewWork makes an endpoint leave; a few seconds later
// nothing new comes to it, online or batch.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := newStage(t, 3, 3, nil)
	key := s.Keys["parishes"]
	job := submitJob(t, s, key, 600)
	s.Engines[0].SetLeaving(true)
	time.Sleep(3 * time.Second)
	before := s.Engines[0].Totals().Requests
	askMany(t, s, key, "after leaving", 30, 5)()
	awaitJob(t, s, key, job, 600)
	if got := s.Engines[0].Totals().Requests; got != before {
		t.Errorf("got %d requests at the endpoint that left, want none", got-before)
	}
}
