package deployer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/standin/deployer"
	"fescuebank/internal/standin/emulator"
	"fescuebank/internal/timing/timekeeper"
)

// BenchmarkAddedLatency streams short responses alternately through an instance and
// directly from the engine. It reports quantiles of the direct latency and of the
// latency that the instance adds.
func BenchmarkAddedLatency(b *testing.B) {
	ctx, stop := context.WithCancel(context.Background())
	d, err := deployer.New(ctx, deployer.Config{
		Zones: []fescuebank.Zone{"a"}, Instances: 1, Engines: 1,
		Engine: emulator.Config{StepBase: 200 * time.Microsecond, StepPerRequest: time.Nanosecond}, Model: testModel,
		Teams:  []fescuebank.Team{{ID: "team", Rate: 1e5, Burst: 1e5, Weight: 1}},
		Listen: "127.0.0.1:0", Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer func() {
		stop()
		d.Wait()
	}()
	time.Sleep(3 * time.Second)
	const tokens = 4
	through := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"tides"}`, testModel, tokens)
	direct := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"tides","request_id":"r"}`, testModel, tokens)
	call := func(address, body string) time.Duration {
		started := time.Now()
		req, err := http.NewRequest(http.MethodPost, address+"/v1/completions", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+d.Keys["team"])
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(string(text), "[DONE]") {
			b.Fatalf("got status %d, %v, want a complete stream: %s", resp.StatusCode, err, text)
		}
		return time.Since(started)
	}
	var with, without []time.Duration
	for b.Loop() {
		without = append(without, call(d.DesiredState.Endpoints[0].URL, direct))
		with = append(with, call(d.Instances[0].Self().CallerURL, through))
	}
	slices.Sort(with)
	slices.Sort(without)
	at := func(list []time.Duration, quantile float64) float64 {
		return float64(list[int(quantile*float64(len(list)-1))].Microseconds())
	}
	for _, q := range []struct {
		name     string
		quantile float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		b.ReportMetric(at(without, q.quantile), "direct-"+q.name+"-µs")
		b.ReportMetric(at(with, q.quantile)-at(without, q.quantile), "added-"+q.name+"-µs")
	}
}
