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

// loadCommand measures a deployment.
type loadCommand struct {
	Scenario  string        `arg:"--scenario" default:"lone-star" help:"lone-star or celeste: sizes of an in-process deployment"`
	Variant   string        `arg:"--variant" default:"leastExpected" help:"parts joined by +: a routing policy (leastExpected, twoChoices, random, roundRobin, leastReported), batch (saturating batch work), greedy (one team sends five times its rate), absent (that team sends nothing)"`
	Compare   string        `arg:"--compare" placeholder:"A,B" help:"run two variants on the same seed and print ratios"`
	Seed      uint64        `arg:"--seed" default:"1"`
	Length    time.Duration `arg:"--length" default:"20s" help:"how long requests are sent"`
	Share     float64       `arg:"--share" default:"0.5" help:"online load as a share of what the engines generate"`
	Instances int           `arg:"--instances" placeholder:"N" help:"entry instances instead of the scenario's"`
	Engines   int           `arg:"--engines" placeholder:"N" help:"engines instead of the scenario's"`
	Extra     int           `arg:"--extra-teams" placeholder:"N" help:"more teams that send nothing"`
	Plot      string        `arg:"--plot" placeholder:"FILE" help:"write the first token's quantiles as SVG or PNG"`
	Capacity  float64       `arg:"--capacity" placeholder:"TOKENS" help:"tokens a second that batch work alone gets; measured first if left out"`
	Trace     string        `arg:"--log" default:"error" help:"log level of the in-process deployment"`
}

func (l *loadCommand) run(ctx context.Context, c *client) error {
	names := []string{l.Variant}
	if l.Compare != "" {
		names = strings.Split(l.Compare, ",")
	}
	if strings.Contains(strings.Join(names, ","), "batch") && l.Capacity == 0 {
		if err := l.calibrate(ctx); err != nil {
			return err
		}
	}
	var reports []recorder.Report
	for _, name := range names {
		v, err := parseVariant(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "Running %s for %s.\n", name, l.Length)
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

// calibrate measures what the engines generate when batch items are sent to
// one directly, as many at a time as it has slots.
func (l *loadCommand) calibrate(ctx context.Context) error {
	const length = 5 * time.Second
	fmt.Fprintf(os.Stderr, "Measuring an engine alone, for %s.\n", length)
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
				c := &fescuebank.Completion{
					Request: fescuebank.RequestID(fmt.Sprintf("%d-%d", slot, n)), Model: s.model,
					Prompt: fmt.Sprintf("notes, page %d-%d", slot, n), MaxTokens: batchOutput,
				}
				_ = direct.Complete(ctx, c, func(fescuebank.Delta) error { return nil })
			}
		})
	}
	group.Wait()
	l.Capacity = float64(e.Totals().Generated) / length.Seconds() * float64(s.engines)
	return nil
}

// measure runs one variant against an in-process deployment, or without batch
// work and policy against a running one.
func (l *loadCommand) measure(ctx context.Context, c *client, v variant) (recorder.Report, error) {
	s, ok := scenarios[l.Scenario]
	if !ok {
		return recorder.Report{}, fmt.Errorf("unknown scenario %q", l.Scenario)
	}
	s.instances = cmp.Or(l.Instances, s.instances)
	s.engines = cmp.Or(l.Engines, s.engines)
	engine := engineConfig()
	total := capacity(engine) * float64(s.engines)
	traffic, teams := l.traffic(total, v)
	for n := range l.Extra {
		teams = append(teams, fescuebank.Team{ID: fescuebank.TeamID(fmt.Sprintf("quiet-%05d", n)), Rate: 1, Burst: 10, Weight: 1})
	}
	if c.Server != "" {
		return l.measureServer(ctx, c, s, traffic)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// Nobody asks for addresses after the run.
	leaveAtOnce := func(s *fescuebank.Settings) { s.Timing.AddressTTL = time.Millisecond }
	st, err := deployer.New(ctx, deployer.Config{
		Zones: s.zones, Instances: s.instances, Engines: s.engines, Engine: engine, Model: s.model, Teams: teams,
		Listen: "127.0.0.1:0", Policy: v.policy, Adjust: leaveAtOnce, Clock: timekeeper.Timekeeper{},
		Log: hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(l.Trace)}),
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
	if err := d.Locate(ctx, address, senders(traffic)); err != nil {
		return recorder.Report{}, err
	}
	if v.batch {
		if err := submitBatch(ctx, c.http, address, st, s.model, int(total*(l.Length+settleTime).Seconds())); err != nil {
			return recorder.Report{}, err
		}
	}
	time.Sleep(settleTime)
	before := generated(st)
	control := takeControl(st)
	started := time.Now()
	d.Run(ctx, generator.New(l.Seed).Generate(traffic, l.Length))
	if rest := l.Length - time.Since(started); rest > 0 {
		time.Sleep(rest)
	}
	took := time.Since(started)
	report := r.Report(took, d.WithinRate())
	report.Name, report.Seed = v.name, l.Seed
	report.ControlCost = takeControl(st).since(control, took, s.instances)
	report.BatchTokens = max(0, float64(generated(st)-before)/took.Seconds()-report.OnlineTokens)
	report.IdleTokens = l.Capacity - report.OnlineTokens
	for _, i := range st.Instances {
		report.Retries += i.Status().Totals.Retries
	}
	return report, nil
}

// measureServer runs against the deployment at --server with one key.
func (l *loadCommand) measureServer(ctx context.Context, c *client, s scenario, traffic []generator.Traffic) (recorder.Report, error) {
	if c.Key == "" {
		return recorder.Report{}, errors.New("want --key KEY")
	}
	one := traffic[0]
	r := recorder.New()
	d := driver.New(driver.Config{
		Model: s.model, Keys: map[fescuebank.TeamID]string{one.Team: c.Key},
		Quotas: map[fescuebank.TeamID]fescuebank.Quota{}, Recorder: r,
	})
	if err := d.Locate(ctx, strings.TrimRight(c.Server, "/"), senders([]generator.Traffic{one})); err != nil {
		return recorder.Report{}, err
	}
	started := time.Now()
	d.Run(ctx, generator.New(l.Seed).Generate([]generator.Traffic{one}, l.Length))
	report := r.Report(time.Since(started), d.WithinRate())
	report.Name, report.Seed = c.Server, l.Seed
	return report, nil
}

// submitBatch submits jobs of two teams that together outlast the run.
func submitBatch(ctx context.Context, h *http.Client, address string, s *deployer.Deployer, model fescuebank.ModelName, tokens int) error {
	items := min(tokens/batchOutput/2, fescuebank.MaxJobItems)
	for _, team := range []fescuebank.TeamID{"team-1", "team-6"} {
		var lines bytes.Buffer
		for n := range items {
			fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":{"model":%q,"max_tokens":%d,"prompt":"%s notes, page %d"}}`+"\n",
				n, model, batchOutput, team, n)
		}
		caller := &client{connection: connection{Server: address, Key: s.Keys[team]}, http: h}
		if err := caller.submitLines(ctx, lines.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

func (c *client) submitLines(ctx context.Context, lines []byte) error {
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
