package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/fleet/encoder"
)

// waitTimeout bounds every wait of the process tests. It is generous: the tests
// don't measure speed.
const waitTimeout = 2 * time.Minute

// fleet is a deployment of separate processes.
type fleet struct {
	t      *testing.T
	binary string
	folder string
	// callers and operators are the base URLs of the instances by index.
	callers   []string
	operators []string
	daemons   []*exec.Cmd
	platform  string
	key       string
}

const (
	testPassword = "test password"
	testModel    = "almanac-llm"
)

// start runs the binary and returns the fields of its ready line.
func (f *fleet) start(args ...string) (*exec.Cmd, []string) {
	f.t.Helper()
	cmd := exec.Command(f.binary, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if f.t.Failed() {
			f.t.Logf("%v: %s", args, tail(log.String()))
		}
	})
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if words := strings.Fields(lines.Text()); len(words) > 1 && words[0] == "ready" {
			go func() { _, _ = io.Copy(io.Discard, out) }()
			return cmd, words[1:]
		}
	}
	f.t.Fatalf("%v: got no ready line, want one: %s", args, log.String())
	return nil, nil
}

func tail(text string) string {
	const maxBytes = 4000
	return text[max(0, len(text)-maxBytes):]
}

func newFleet(t *testing.T, instances, engines int) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: t.TempDir()}
	f.binary = filepath.Join(f.folder, "fescuebankd")
	if out, err := exec.Command("go", "build", "-o", f.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	if out, err := exec.Command(f.binary, "certify", "--folder", f.folder, "--ip", "127.0.0.1").CombinedOutput(); err != nil {
		t.Fatalf("certify: %v: %s", err, out)
	}
	_, ready := f.start("standin", "platform")
	f.platform = ready[0]
	state := fescuebank.DesiredState{
		Models: []fescuebank.Model{{Name: testModel, Version: "v1"}},
		Teams:  []fescuebank.Team{{ID: "parishes", Rate: 200, Burst: 400}},
	}
	f.key = fescuebank.NewKey()
	state.Teams[0].Keys = []fescuebank.TeamKey{{Hash: fescuebank.HashKey(f.key)}}
	for n := range engines {
		_, ready := f.start("standin", "engine", "--slots", "8")
		state.Endpoints = append(state.Endpoints, fescuebank.EndpointSpec{
			ID: fescuebank.EndpointID(fmt.Sprint("worker-", n)), URL: ready[0], Zone: "zone-a", Slots: 8, Models: []fescuebank.ModelName{testModel},
		})
	}
	for n := range instances {
		f.startInstance(n)
	}
	f.apply(&state)
	return f
}

func (f *fleet) startInstance(n int) {
	f.t.Helper()
	sum := sha256.Sum256([]byte(testPassword))
	settings := filepath.Join(f.folder, fmt.Sprintf("entry-%d.ini", n))
	text := fmt.Sprintf(`[instance]
id = entry-%d
zone = zone-%c
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
url = %s
[tls]
ca = %[4]s/ca.pem
cert = %[4]s/cert.pem
key = %[4]s/key.pem
[operators]
user = operator
passwordSha256 = %s
[timing]
leaseTtl = 3s
leaseRenew = 700ms
leaseMargin = 500ms
itemExpiry = 3s
addressTtl = 1s
`, n, 'a'+rune(n%3), f.platform, f.folder, hex.EncodeToString(sum[:]))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	cmd, ready := f.start("serve", "--settings", settings)
	f.daemons = append(f.daemons, cmd)
	f.callers = append(f.callers, ready[0])
	f.operators = append(f.operators, ready[1])
}

var insecure = &http.Client{Transport: insecureTransport()}

// operatorRequest sends a request to the operators' interface of instance n.
func (f *fleet) operatorRequest(n int, method, path string, body, reply any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, f.operators[n]+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	req.SetBasicAuth("operator", testPassword)
	return exchange(insecure, req, reply)
}

func exchange(c *http.Client, req *http.Request, reply any) error {
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return json.Unmarshal(text, reply)
}

// eventually repeats try until it returns nil, for waitTimeout at most.
func (f *fleet) eventually(what string, try func() error) {
	f.t.Helper()
	end := time.Now().Add(waitTimeout)
	for {
		err := try()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("%s: got %v, want no error in time", what, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *fleet) apply(state *fescuebank.DesiredState) {
	f.t.Helper()
	f.eventually("apply", func() error {
		var applied struct{ Generation fescuebank.Generation }
		return f.operatorRequest(0, http.MethodPut, "/api/config", state, &applied)
	})
	f.eventually("fleet ready", func() error {
		for n := range f.operators {
			var status struct{ Instances []fescuebank.InstanceStatus }
			if err := f.operatorRequest(n, http.MethodGet, "/api/status", nil, &status); err != nil {
				return err
			}
			if len(status.Instances) != len(f.operators) {
				return fmt.Errorf("%d instances in the status", len(status.Instances))
			}
			for _, i := range status.Instances {
				if i.Generation == 0 || i.OwnedShards == 0 {
					return fmt.Errorf("%s is not ready", i.Instance.ID)
				}
			}
		}
		return nil
	})
}

// callerRequest sends a request to the callers' interface of instance n.
func (f *fleet) callerRequest(n int, method, path string, header http.Header, body io.Reader, reply any) error {
	req, err := http.NewRequest(method, f.callers[n]+path, body)
	if err != nil {
		return err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	return exchange(http.DefaultClient, req, reply)
}

type jobState struct {
	ID     string
	Status string
	Counts struct{ Total, Completed, Failed int } `json:"request_counts"`
}

func (f *fleet) upload(n int, lines []byte) (string, error) {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	_ = w.WriteField("purpose", "batch")
	part, err := w.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return "", err
	}
	_, _ = part.Write(lines)
	_ = w.Close()
	var file struct{ ID string }
	err = f.callerRequest(n, http.MethodPost, "/v1/files", http.Header{"Content-Type": {w.FormDataContentType()}}, &form, &file)
	return file.ID, err
}

func (f *fleet) submitJob(n int, lines []byte, key string) (jobState, error) {
	var job jobState
	file, err := f.upload(n, lines)
	if err != nil {
		return job, err
	}
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/completions","completion_window":"24h"}`, file)
	err = f.callerRequest(n, http.MethodPost, "/v1/batches", http.Header{"Idempotency-Key": {key}}, strings.NewReader(body), &job)
	return job, err
}

func batchLines(count int) []byte {
	var lines bytes.Buffer
	for n := range count {
		fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":{"model":%q,"max_tokens":12,"prompt":"page %d"}}`+"\n", n, testModel, n)
	}
	return lines.Bytes()
}

// ownerIndex returns the index of the instance that owns a job.
func (f *fleet) ownerIndex(id string) int {
	f.t.Helper()
	shard, ok := fescuebank.JobID(id).Shard()
	if !ok {
		f.t.Fatalf("got job id %q without a shard, want one with a shard", id)
	}
	resp, err := http.Get(f.platform + "/objects/" + fescuebank.AssignmentKey("local"))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	a, err := encoder.New().Decode(value)
	if err != nil {
		f.t.Fatal(err)
	}
	var n int
	if _, err := fmt.Sscanf(string(a.Shards[shard].Owner.ID), "entry-%d", &n); err != nil {
		f.t.Fatal(err)
	}
	return n
}

// TestOwnerKilledMidJob kills the process that owns a job with SIGKILL. The next
// owner must complete every item exactly once.
func TestOwnerKilledMidJob(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const items = 1200
	f := newFleet(t, 3, 3)
	lines := batchLines(items)
	job, err := f.submitJob(0, lines, "job-1")
	if err != nil {
		t.Fatal(err)
	}
	resent, err := f.submitJob(1, lines, "job-1")
	if err != nil || resent.ID != job.ID {
		t.Fatalf("resent job: got %q, %v, want %q", resent.ID, err, job.ID)
	}
	owner := f.ownerIndex(job.ID)
	other := (owner + 1) % 3
	f.awaitCompleted(other, job.ID, items/10)
	if err := f.callerRequest(other, http.MethodGet, "/v1/batches/"+job.ID, nil, nil, &job); err != nil {
		t.Fatal(err)
	}
	if job.Status == "completed" {
		t.Fatal("got the job completed before its owner was killed, want it running")
	}
	_ = f.daemons[owner].Process.Kill()
	f.awaitCompleted(other, job.ID, items)
	f.checkResults(other, job.ID, items)
}

// TestOwnerPausedMidJob suspends the process that owns a job until its lease has
// expired and another instance owns the job. After it resumes, the former owner
// must not duplicate or lose an item.
func TestOwnerPausedMidJob(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const items = 800
	f := newFleet(t, 3, 3)
	job, err := f.submitJob(0, batchLines(items), "job-1")
	if err != nil {
		t.Fatal(err)
	}
	owner := f.ownerIndex(job.ID)
	other := (owner + 1) % 3
	f.awaitCompleted(other, job.ID, items/10)
	if err := f.daemons[owner].Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.eventually("new owner", func() error {
		if n := f.ownerIndex(job.ID); n == owner {
			return fmt.Errorf("entry-%d still owns the job", n)
		}
		return nil
	})
	if err := f.daemons[owner].Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	f.awaitCompleted(other, job.ID, items)
	f.checkResults(other, job.ID, items)
}

// awaitCompleted waits until at least the given number of items is completed.
func (f *fleet) awaitCompleted(n int, id string, items int) {
	f.t.Helper()
	f.eventually("items completed", func() error {
		var job jobState
		if err := f.callerRequest(n, http.MethodGet, "/v1/batches/"+id, nil, nil, &job); err != nil {
			return err
		}
		if job.Counts.Completed < items {
			return fmt.Errorf("%s, %d completed", job.Status, job.Counts.Completed)
		}
		return nil
	})
}

// checkResults fails the test unless each custom_id has exactly one result.
func (f *fleet) checkResults(n int, id string, items int) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodGet, f.callers[n]+"/v1/files/file-out-"+id+"/content", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	seen := make(map[string]int)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var line struct {
			CustomID string `json:"custom_id"`
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			f.t.Fatal(err)
		}
		seen[line.CustomID]++
	}
	for n := range items {
		if got := seen[fmt.Sprint("item-", n)]; got != 1 {
			f.t.Errorf("item-%d: got %d results, want 1", n, got)
		}
	}
	if len(seen) != items {
		f.t.Errorf("got %d custom ids, want %d", len(seen), items)
	}
}

// TestGracefulShutdownCutsNoStream interrupts an instance (SIGINT) while it
// streams a long response, which must still arrive completely.
func TestGracefulShutdownCutsNoStream(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := newFleet(t, 2, 1)
	const tokens = 150
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"a long answer"}`, testModel, tokens)
	req, err := http.NewRequest(http.MethodPost, f.callers[1]+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, done := 0, false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		switch {
		case lines.Text() == "data: [DONE]":
			done = true
		case strings.HasPrefix(lines.Text(), "data: "):
			got++
		}
		if got == 5 {
			_ = f.daemons[1].Process.Signal(os.Interrupt)
		}
	}
	if got != tokens || !done {
		t.Errorf("got %d tokens, end marker: %v, want %d and the end marker", got, done, tokens)
	}
	if err := f.daemons[1].Wait(); err != nil {
		t.Errorf("got %v at the exit, want a clean exit", err)
	}
	f.eventually("instance removed from the address list", func() error {
		var response struct{ Instances []struct{ URL string } }
		if err := f.callerRequest(0, http.MethodGet, "/v1/instances", nil, nil, &response); err != nil {
			return err
		}
		if len(response.Instances) != 1 {
			return fmt.Errorf("%d instances in the address list", len(response.Instances))
		}
		return nil
	})
}
