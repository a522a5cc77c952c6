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
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"fescuebank"
	"fescuebank/internal/endpoint/caller"
	"fescuebank/internal/load/drawer"
	"fescuebank/internal/load/driver"
	"fescuebank/internal/load/recorder"
	"fescuebank/internal/standin/engineer"
	"fescuebank/internal/standin/platformer"
	"fescuebank/internal/standin/stager"
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

// scenario is the size of a deployment.
type scenario struct {
	zones     []fescuebank.Zone
	instances int
	engines   int
	model     fescuebank.ModelName
}

// scenarios are today's sizes.
var scenarios = map[string]scenario{
	"lone-star": {zones: []fescuebank.Zone{"tx-austin", "tx-waco", "tx-sanmarcos", "tx-temple"}, instances: 8, engines: 20, model: "almanac-llm"},
	"celeste":   {zones: []fescuebank.Zone{"plata-a", "plata-b", "plata-c"}, instances: 8, engines: 10, model: "pesca-lm"},
}

// teamShares are the eight teams' parts of the online load: a few are large.
var teamShares = []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}

const (
	medianPrompt = 160
	medianOutput = 48
	spread       = 0.4
	// headroom is a team's rate over the mean of what it sends.
	headroom = 1.3
	// minRate lets a team submit its jobs in a run without online load.
	minRate = 2
	// burstSeconds is a team's burst in seconds of its rate.
	burstSeconds = 2
	greedyFactor = 5
	// greedyTeam sends too much in the greedy variant.
	greedyTeam = 2
	settleTime = 3 * time.Second
	// batchOutput is the answer's length of a batch item in tokens.
	batchOutput = 64
)

// variant is one way to run a scenario.
type variant struct {
	name   string
	policy fescuebank.Policy
	batch  bool
	greedy float64
}

func parseVariant(text string) (variant, error) {
	v := variant{name: text, policy: fescuebank.PolicyLeastExpected, greedy: 1}
	for _, part := range strings.Split(text, "+") {
		switch part {
		case "batch":
			v.batch = true
		case "greedy":
			v.greedy = greedyFactor
		case "absent":
			v.greedy = 0
		default:
			found := false
			for _, p := range fescuebank.Policies {
				if string(p) == part {
					v.policy, found = p, true
				}
			}
			if !found {
				return v, fmt.Errorf("unknown part %q of a variant", part)
			}
		}
	}
	return v, nil
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
	e := engineer.New(config, clock)
	addr, _, err := e.Serve(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	direct := caller.New(fescuebank.EndpointSpec{ID: "alone", URL: "http://" + addr}, clock, time.Minute)
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

// engineConfig describes the emulated engines.
func engineConfig() engineer.Config {
	c := engineer.Config{Slots: 16, StepBase: 16 * time.Millisecond, StepPerRequest: 100 * time.Microsecond, EventGap: 50}
	c.Defaults()
	return c
}

// capacity is the number of tokens that one engine generates a second when full.
func capacity(c engineer.Config) float64 {
	step := c.StepBase + time.Duration(c.Slots)*c.StepPerRequest
	return float64(c.Slots) / step.Seconds()
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
	st, err := stager.New(ctx, stager.Plan{
		Zones: s.zones, Instances: s.instances, Engines: s.engines, Engine: engine, Model: s.model, Teams: teams,
		Listen: "127.0.0.1:0", Policy: v.policy, Clock: timekeeper.Timekeeper{},
		Log: hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(l.Trace)}),
	})
	if err != nil {
		return recorder.Report{}, err
	}
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
	d.Run(ctx, drawer.New(l.Seed).Draw(traffic, l.Length))
	if rest := l.Length - time.Since(started); rest > 0 {
		time.Sleep(rest)
	}
	took := time.Since(started)
	report := r.Report(took, d.Entitled())
	report.Name, report.Seed = v.name, l.Seed
	report.Control = takeControl(st).since(control, took, s.instances)
	report.BatchTokens = max(0, float64(generated(st)-before)/took.Seconds()-report.OnlineTokens)
	report.IdleTokens = l.Capacity - report.OnlineTokens
	for _, i := range st.Instances {
		report.Retries += i.Status().Totals.Retries
	}
	return report, nil
}

// measureServer runs against the deployment at --server with one key.
func (l *loadCommand) measureServer(ctx context.Context, c *client, s scenario, traffic []drawer.Traffic) (recorder.Report, error) {
	if c.Key == "" {
		return recorder.Report{}, errors.New("want --key KEY")
	}
	one := traffic[0]
	r := recorder.New()
	d := driver.New(driver.Config{
		Model: s.model, Keys: map[fescuebank.TeamID]string{one.Team: c.Key},
		Quotas: map[fescuebank.TeamID]fescuebank.Quota{}, Recorder: r,
	})
	if err := d.Locate(ctx, strings.TrimRight(c.Server, "/"), senders([]drawer.Traffic{one})); err != nil {
		return recorder.Report{}, err
	}
	started := time.Now()
	d.Run(ctx, drawer.New(l.Seed).Draw([]drawer.Traffic{one}, l.Length))
	report := r.Report(time.Since(started), d.Entitled())
	report.Name, report.Seed = c.Server, l.Seed
	return report, nil
}

// senders are the teams that send something.
func senders(traffic []drawer.Traffic) []fescuebank.TeamID {
	var teams []fescuebank.TeamID
	for _, t := range traffic {
		teams = append(teams, t.Team)
	}
	return teams
}

// controlCounts are what the control of a whole deployment has cost so far.
type controlCounts struct {
	peerRequests, peerBytes int64
	calls                   platformer.Calls
	processor               time.Duration
	memory                  uint64
}

func takeControl(s *stager.Stager) controlCounts {
	c := controlCounts{calls: s.Platform.Calls()}
	for _, v := range s.Instances {
		totals := v.Totals()
		c.peerRequests += totals.PeerRequests
		c.peerBytes += totals.PeerBytes
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		c.processor = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	c.memory = memory.HeapAlloc
	return c
}

// since is the cost per instance and second. Requests between instances are
// counted at both ends.
func (c controlCounts) since(before controlCounts, d time.Duration, instances int) recorder.Control {
	per := 1 / d.Seconds() / float64(instances)
	return recorder.Control{
		PeerRequests: float64(c.peerRequests-before.peerRequests) * per,
		PeerBytes:    float64(c.peerBytes-before.peerBytes) * per,
		StoreReads:   float64(c.calls.Reads-before.calls.Reads) * per,
		StoreWrites:  float64(c.calls.Writes-before.calls.Writes) * per,
		StoreWatches: float64(c.calls.Watches-before.calls.Watches) * per,
		Processor:    (c.processor - before.processor).Seconds() * per,
		HeapMiB:      float64(c.memory) / float64(fescuebank.MiB) / float64(instances),
	}
}

func generated(s *stager.Stager) int64 {
	total := int64(0)
	for _, e := range s.Engines {
		total += e.Totals().Generated
	}
	return total
}

// traffic divides the online load over the teams.
func (l *loadCommand) traffic(total float64, v variant) ([]drawer.Traffic, []fescuebank.Team) {
	const meanOverMedian = 1.083 // exp(spread²/2)
	requests := total * l.Share / (medianOutput * meanOverMedian)
	var traffic []drawer.Traffic
	var teams []fescuebank.Team
	for n, share := range teamShares {
		id := fescuebank.TeamID(fmt.Sprintf("team-%d", n+1))
		rate := requests * share
		sent := rate
		if n == greedyTeam {
			sent *= v.greedy
		}
		const calm = 0.9
		traffic = append(traffic, drawer.Traffic{
			Team: id, Rate: sent * calm, Every: 2 * time.Second, Size: int(sent * 2 * (1 - calm)),
			Prefixes: 4, Prompt: medianPrompt, Output: medianOutput, Spread: spread,
		})
		teams = append(teams, fescuebank.Team{
			ID: id, Weight: 1, Rate: fescuebank.RequestRate(max(minRate, rate*headroom)),
			Burst: fescuebank.Requests(max(8, rate*burstSeconds)),
		})
	}
	return traffic, teams
}

// submitBatch submits jobs of two teams that together outlast the run.
func submitBatch(ctx context.Context, h *http.Client, address string, s *stager.Stager, model fescuebank.ModelName, tokens int) error {
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

// row is one figure of the table.
type row struct {
	name  string
	value func(recorder.Report) float64
}

var tableRows = []row{
	{"first token p50 ms", func(r recorder.Report) float64 { return r.First.P50 }},
	{"first token p95 ms", func(r recorder.Report) float64 { return r.First.P95 }},
	{"first token p99 ms", func(r recorder.Report) float64 { return r.First.P99 }},
	{"between tokens p50 ms", func(r recorder.Report) float64 { return r.Gap.P50 }},
	{"between tokens p95 ms", func(r recorder.Report) float64 { return r.Gap.P95 }},
	{"between tokens p99 ms", func(r recorder.Report) float64 { return r.Gap.P99 }},
	{"online tokens/s", func(r recorder.Report) float64 { return r.OnlineTokens }},
	{"batch tokens/s", func(r recorder.Report) float64 { return r.BatchTokens }},
	{"batch share of idle capacity", func(r recorder.Report) float64 { return r.BatchTokens / max(1, r.IdleTokens) }},
	{"requests sent", func(r recorder.Report) float64 { return float64(r.Sent) }},
	{"answered whole", func(r recorder.Report) float64 { return float64(r.Complete) }},
	{"refused over rate", func(r recorder.Report) float64 { return float64(r.Limited) }},
	{"refused within rate", func(r recorder.Report) float64 { return float64(r.Wrongful) }},
	{"failed", func(r recorder.Report) float64 { return float64(r.Failed) }},
	{"retries", func(r recorder.Report) float64 { return float64(r.Retries) }},
	{"peer requests/s per instance", func(r recorder.Report) float64 { return r.Control.PeerRequests }},
	{"peer bytes/s per instance", func(r recorder.Report) float64 { return r.Control.PeerBytes }},
	{"store reads/s per instance", func(r recorder.Report) float64 { return r.Control.StoreReads }},
	{"store writes/s per instance", func(r recorder.Report) float64 { return r.Control.StoreWrites }},
	{"store watches/s per instance", func(r recorder.Report) float64 { return r.Control.StoreWatches }},
	{"cores per instance, all included", func(r recorder.Report) float64 { return r.Control.Processor }},
	{"heap MiB per instance, all included", func(r recorder.Report) float64 { return r.Control.HeapMiB }},
	{"Jain's index", func(r recorder.Report) float64 { return r.Jain }},
}

func printReports(w io.Writer, reports []recorder.Report) {
	fmt.Fprint(w, "MEASURE")
	for _, r := range reports {
		fmt.Fprintf(w, "\t%s", r.Name)
	}
	if len(reports) == 2 {
		fmt.Fprint(w, "\tRATIO")
	}
	fmt.Fprintln(w)
	line := func(name string, values ...float64) {
		fmt.Fprint(w, name)
		for _, v := range values {
			fmt.Fprintf(w, "\t%.4g", v)
		}
		if len(values) == 2 && values[0] != 0 {
			fmt.Fprintf(w, "\t%.3f", values[1]/values[0])
		}
		fmt.Fprintln(w)
	}
	for _, row := range tableRows {
		var values []float64
		for _, r := range reports {
			values = append(values, row.value(r))
		}
		line(row.name, values...)
	}
	for _, t := range reports[len(reports)-1].Teams {
		var complete, late []float64
		for _, r := range reports {
			of := r.Team(t.Team)
			complete = append(complete, float64(of.Complete))
			late = append(late, of.FirstP95)
		}
		line(string(t.Team)+" answered", complete...)
		line(string(t.Team)+" first token p95 ms", late...)
	}
}

// plotReports draws the quantiles of the first token.
func plotReports(file string, reports []recorder.Report) error {
	p := plot.New()
	p.Title.Text = "Time to the first token"
	p.X.Label.Text = "quantile in percent"
	p.Y.Label.Text = "milliseconds"
	p.Y.Min = 0
	for n, r := range reports {
		points := make(plotter.XYs, len(r.Curve))
		for i, point := range r.Curve {
			points[i].X, points[i].Y = point.Quantile, point.Milliseconds
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(n)
		p.Add(line)
		p.Legend.Add(r.Name, line)
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return p.Save(8*vg.Inch, 5*vg.Inch, file)
}
