package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/endpoint/invoker"
	"fescuebank/internal/load/driver"
	"fescuebank/internal/load/generator"
	"fescuebank/internal/load/recorder"
	"fescuebank/internal/standin/deployer"
	"fescuebank/internal/standin/emulator"
	"fescuebank/internal/timing/timekeeper"
)

// loadCommand measures a deployment under load.
type loadCommand struct {
	Scenario    string        `arg:"--scenario" default:"lone-star" help:"lone-star or celeste: sizes of an in-process deployment"`
	Variant     string        `arg:"--variant" default:"leastExpected" help:"parts joined by +: a routing policy (leastExpected, twoChoices, random, roundRobin, leastReported), batch (saturating batch work), greedy (one team sends five times its rate), absent (that team sends nothing)"`
	Compare     string        `arg:"--compare" placeholder:"A,B" help:"run two variants on the same seed and print ratios"`
	Seed        uint64        `arg:"--seed" default:"1"`
	Duration    time.Duration `arg:"--length" default:"20s" help:"how long requests are sent"`
	OnlineShare float64       `arg:"--share" default:"0.5" help:"online load as a share of what the engines generate"`
	Instances   int           `arg:"--instances" placeholder:"N" help:"entry instances instead of the scenario's"`
	Engines     int           `arg:"--engines" placeholder:"N" help:"engines instead of the scenario's"`
	ExtraTeams  int           `arg:"--extra-teams" placeholder:"N" help:"more teams that send nothing"`
	Plot        string        `arg:"--plot" placeholder:"FILE" help:"write the first token's quantiles as SVG or PNG"`
	Capacity    float64       `arg:"--capacity" placeholder:"TOKENS" help:"tokens a second that batch work alone gets; measured first if left out"`
	LogLevel    string        `arg:"--log" default:"error" help:"log level of the in-process deployment"`
}

func (l *loadCommand) run(ctx context.Context, c *client) error {
	names := []string{l.Variant}
	if l.Compare != "" {
		names = strings.Split(l.Compare, ",")
	}
	if strings.Contains(strings.Join(names, ","), "batch") && l.Capacity == 0 {
		if err := l.measureCapacity(ctx); err != nil {
			return err
		}
	}
	var reports []recorder.Report
	for _, name := range names {
		v, err := parseVariant(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "Running %s for %s.\n", name, l.Duration)
		report, err := l.measure(ctx, c, v)
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	if l.Plot != "" {
		if err := plotReports(l.Plot, reports); err != nil {
			return err
		}
	}
	return c.print(reports, func(w io.Writer) { printReports(w, reports) })
}

// measureCapacity measures the tokens per second of one engine, with batch items
// sent to it directly and all its slots in use, and scales them to all engines.
func (l *loadCommand) measureCapacity(ctx context.Context) error {
	const length = 5 * time.Second
	fmt.Fprintf(os.Stderr, "Measuring the capacity of one engine for %s.\n", length)
	s, ok := scenarios[l.Scenario]
	if !ok {
		return fmt.Errorf("unknown scenario %q", l.Scenario)
	}
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	config := engineConfig()
	config.Models = []fescuebank.ModelName{s.model}
	clock := timekeeper.Timekeeper{}
	e := emulator.New(config, clock)
	addr, _, err := e.Serve(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	direct := invoker.New(fescuebank.EndpointSpec{ID: "alone", URL: "http://" + addr}, clock, time.Minute)
	var group sync.WaitGroup
	for slot := range config.Slots {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c := &fescuebank.CompletionRequest{
					Request: fescuebank.RequestID(fmt.Sprintf("%d-%d", slot, n)), Model: s.model,
					Prompt: fmt.Sprintf("notes, page %d-%d", slot, n), MaxTokens: batchOutputTokens,
				}
				_ = direct.Complete(ctx, c, func(fescuebank.Delta) error { return nil })
			}
		})
	}
	group.Wait()
	l.Capacity = float64(e.Totals().Generated) / length.Seconds() * float64(s.engines)
	return nil
}

// measure runs one variant against an in-process deployment or, if --server is
// given, against a running one, whose routing policy is not changed and which gets
// no batch work.
func (l *loadCommand) measure(ctx context.Context, c *client, v variant) (recorder.Report, error) {
	s, ok := scenarios[l.Scenario]
	if !ok {
		return recorder.Report{}, fmt.Errorf("unknown scenario %q", l.Scenario)
	}
	s.instances = cmp.Or(l.Instances, s.instances)
	s.engines = cmp.Or(l.Engines, s.engines)
	engine := engineConfig()
	total := engineCapacity(engine) * float64(s.engines)
	traffic, teams := l.traffic(total, v)
	for n := range l.ExtraTeams {
		teams = append(teams, fescuebank.Team{ID: fescuebank.TeamID(fmt.Sprintf("quiet-%05d", n)), Rate: 1, Burst: 10, Weight: 1})
	}
	if c.Server != "" {
		return l.measureServer(ctx, c, s, traffic)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// No caller reads the address list after the run, so instances need not wait
	// at shutdown until old lists have expired.
	shortAddressTTL := func(s *fescuebank.Settings) { s.Timing.AddressTTL = time.Millisecond }
	st, err := deployer.New(ctx, deployer.Config{
		Zones: s.zones, Instances: s.instances, Engines: s.engines, Engine: engine, Model: s.model, Teams: teams,
		Listen: "127.0.0.1:0", Policy: v.policy, Adjust: shortAddressTTL, Clock: timekeeper.Timekeeper{},
		Log: hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(l.LogLevel)}),
	})
	if err != nil {
		return recorder.Report{}, err
	}
	defer func() {
		stop()
		st.Wait()
	}()
	r := recorder.New()
	quotas := make(map[fescuebank.TeamID]fescuebank.Quota)
	for _, t := range teams {
		quotas[t.ID] = fescuebank.Quota{Rate: t.Rate, Burst: t.Burst}
	}
	d := driver.New(driver.Config{Model: s.model, Keys: st.Keys, Quotas: quotas, Recorder: r})
	address := st.Instances[0].Self().CallerURL
	if err := d.Locate(ctx, address, trafficTeams(traffic)); err != nil {
		return recorder.Report{}, err
	}
	if v.batch {
		if err := submitBatchJobs(ctx, c.http, address, st, s.model, int(total*(l.Duration+warmUpTime).Seconds())); err != nil {
			return recorder.Report{}, err
		}
	}
	time.Sleep(warmUpTime)
	tokensBefore := generatedTokens(st)
	countsBefore := readControlCounts(st)
	started := time.Now()
	d.Run(ctx, generator.New(l.Seed).Generate(traffic, l.Duration))
	if rest := l.Duration - time.Since(started); rest > 0 {
		time.Sleep(rest)
	}
	elapsed := time.Since(started)
	report := r.Report(elapsed, d.WithinRate())
	report.Name, report.Seed = v.name, l.Seed
	report.ControlCost = readControlCounts(st).costSince(countsBefore, elapsed, s.instances)
	report.BatchTokensPerSecond = max(0, float64(generatedTokens(st)-tokensBefore)/elapsed.Seconds()-report.OnlineTokensPerSecond)
	report.IdleTokensPerSecond = l.Capacity - report.OnlineTokensPerSecond
	for _, i := range st.Instances {
		report.Retries += i.Status().Totals.Retries
	}
	return report, nil
}

// measureServer runs against the deployment at --server. There is only one key, so
// only the first team's traffic is sent.
func (l *loadCommand) measureServer(ctx context.Context, c *client, s scenario, traffic []generator.Traffic) (recorder.Report, error) {
	if c.Key == "" {
		return recorder.Report{}, errors.New("--key is required")
	}
	first := traffic[0]
	r := recorder.New()
	d := driver.New(driver.Config{
		Model: s.model, Keys: map[fescuebank.TeamID]string{first.Team: c.Key},
		Quotas: map[fescuebank.TeamID]fescuebank.Quota{}, Recorder: r,
	})
	if err := d.Locate(ctx, strings.TrimRight(c.Server, "/"), trafficTeams([]generator.Traffic{first})); err != nil {
		return recorder.Report{}, err
	}
	started := time.Now()
	d.Run(ctx, generator.New(l.Seed).Generate([]generator.Traffic{first}, l.Duration))
	report := r.Report(time.Since(started), d.WithinRate())
	report.Name, report.Seed = c.Server, l.Seed
	return report, nil
}

// submitBatchJobs submits a job for each of two teams. Together their items generate the
// given number of tokens, as far as the limit on items per job allows, so that batch work
// lasts for the whole run.
func submitBatchJobs(ctx context.Context, h *http.Client, address string, s *deployer.Deployer, model fescuebank.ModelName, tokens int) error {
	items := min(tokens/batchOutputTokens/2, fescuebank.MaxJobItems)
	for _, team := range []fescuebank.TeamID{"team-1", "team-6"} {
		var lines bytes.Buffer
		for n := range items {
			fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":{"model":%q,"max_tokens":%d,"prompt":"%s notes, page %d"}}`+"\n",
				n, model, batchOutputTokens, team, n)
		}
		caller := &client{connection: connection{Server: address, Key: s.Keys[team]}, http: h}
		if err := caller.submitJob(ctx, lines.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

func (c *client) submitJob(ctx context.Context, lines []byte) error {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	if err := writeForm(writer, "items.jsonl", bytes.NewReader(lines)); err != nil {
		return err
	}
	resp, err := c.caller(ctx, http.MethodPost, "/v1/files", http.Header{"Content-Type": {writer.FormDataContentType()}}, &form)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var uploaded struct {
		ID string `json:"id"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&uploaded); err != nil {
		return err
	}
	var j job
	return c.callerJSON(ctx, http.MethodPost, "/v1/batches", nil, submission{Input: uploaded.ID, Endpoint: "/v1/completions", Window: "24h"}, &j)
}
