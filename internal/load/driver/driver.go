// Package driver sends generated requests to a deployment in an open loop: it
// doesn't wait for responses before it sends the next request.
package driver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/errorwriter"
	"fescuebank/internal/entry/locator"
	"fescuebank/internal/load/generator"
	"fescuebank/internal/load/recorder"
)

// locateTimeout bounds the look-up of all teams' home instances.
const locateTimeout = 5 * time.Second

// Driver sends requests on behalf of a set of teams.
type Driver struct {
	model    fescuebank.ModelName
	keys     map[fescuebank.TeamID]string
	quotas   map[fescuebank.TeamID]fescuebank.Quota
	recorder *recorder.Recorder
	client   *http.Client

	mu sync.Mutex
	// addresses are the URLs of each team's home instances.
	addresses  map[fescuebank.TeamID][]string
	next       int
	buckets    map[fescuebank.TeamID]*bucket
	withinRate map[fescuebank.TeamID]int64
}

// bucket is a token bucket by which the driver determines whether a request is
// within its team's rate and burst.
type bucket struct {
	level float64
	// updated is the offset at which level was last computed.
	updated time.Duration
}

// Config holds the parameters of a driver.
type Config struct {
	Model    fescuebank.ModelName
	Keys     map[fescuebank.TeamID]string
	Quotas   map[fescuebank.TeamID]fescuebank.Quota
	Recorder *recorder.Recorder
}

// New returns a driver.
func New(c Config) *Driver {
	const idleConns = 256
	return &Driver{
		model: c.Model, keys: c.Keys, quotas: c.Quotas, recorder: c.Recorder,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}},
		addresses:  make(map[fescuebank.TeamID][]string),
		buckets:    make(map[fescuebank.TeamID]*bucket),
		withinRate: make(map[fescuebank.TeamID]int64),
	}
}

// Locate gets the home instances of each team from the instance at address.
func (d *Driver) Locate(ctx context.Context, address string, teams []fescuebank.TeamID) error {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	for _, team := range teams {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/v1/instances", nil)
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+d.keys[team])
		resp, err := d.client.Do(req)
		if err != nil {
			return err
		}
		var response locator.Response
		err = json.NewDecoder(resp.Body).Decode(&response)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		var list []string
		for _, i := range response.Instances {
			if i.Home {
				list = append(list, i.URL)
			}
		}
		d.mu.Lock()
		d.addresses[team] = list
		d.mu.Unlock()
	}
	return nil
}

// Run sends each request when it is due, whether or not earlier ones have ended,
// and returns when all have ended, or at once if ctx ends before all are sent.
func (d *Driver) Run(ctx context.Context, requests []generator.Request) {
	start := time.Now()
	var group sync.WaitGroup
	for _, r := range requests {
		due := start.Add(r.Offset)
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		withinRate := d.isWithinRate(r)
		d.recorder.RecordSent(r.Team)
		group.Go(func() { d.send(ctx, r, due, withinRate) })
	}
	group.Wait()
}

// WithinRate returns the number of requests of each team that were within its rate.
func (d *Driver) WithinRate() map[fescuebank.TeamID]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.withinRate
}

// isWithinRate reports whether the request is within its team's rate and burst.
// A request that isn't consumes no tokens.
func (d *Driver) isWithinRate(r generator.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.quotas[r.Team]
	b, ok := d.buckets[r.Team]
	if !ok {
		b = &bucket{level: float64(q.Burst)}
		d.buckets[r.Team] = b
	}
	b.level = min(float64(q.Burst), b.level+float64(q.Rate.Over(r.Offset-b.updated)))
	b.updated = r.Offset
	if b.level < 1 {
		return false
	}
	b.level--
	d.withinRate[r.Team]++
	return true
}

// address returns the URL of one of the team's home instances, in round-robin order,
// or an empty string if none is known.
func (d *Driver) address(team fescuebank.TeamID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.addresses[team]
	if len(list) == 0 {
		return ""
	}
	d.next++
	return list[d.next%len(list)]
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model     fescuebank.ModelName `json:"model"`
	Stream    bool                 `json:"stream"`
	MaxTokens int                  `json:"max_tokens"`
	Prompt    string               `json:"prompt"`
}

func (d *Driver) send(ctx context.Context, r generator.Request, due time.Time, withinRate bool) {
	outcome, tokens := d.exchange(ctx, r, due)
	if outcome == recorder.RateLimited && withinRate {
		outcome = recorder.RefusedInRate
	}
	d.recorder.RecordOutcome(r.Team, outcome, tokens)
}

func (d *Driver) exchange(ctx context.Context, r generator.Request, due time.Time) (recorder.Outcome, int) {
	body, err := json.Marshal(completionBody{Model: d.model, Stream: true, MaxTokens: r.MaxTokens, Prompt: r.Prompt})
	if err != nil {
		return recorder.Failed, 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.address(r.Team)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return recorder.Failed, 0
	}
	req.Header.Set("Authorization", "Bearer "+d.keys[r.Team])
	resp, err := d.client.Do(req)
	if err != nil {
		return recorder.Failed, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorOutcome(resp), 0
	}
	return d.readStream(resp, r, due)
}

func errorOutcome(resp *http.Response) recorder.Outcome {
	var body errorwriter.Body
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return recorder.Failed
	}
	switch {
	case body.Error.Code == fescuebank.CodeRateLimited:
		return recorder.RateLimited
	case body.Error.RunState == fescuebank.NotRun:
		return recorder.RefusedInRate
	}
	return recorder.Failed
}

// readStream reads the response stream. The response is complete if it ends with
// [DONE] after the requested number of tokens.
func (d *Driver) readStream(resp *http.Response, r generator.Request, due time.Time) (recorder.Outcome, int) {
	const maxLine = 1 << 20
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	tokens := 0
	var last time.Time
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if tokens != r.MaxTokens {
				return recorder.Failed, tokens
			}
			return recorder.Complete, tokens
		}
		now := time.Now()
		if tokens == 0 {
			d.recorder.RecordFirstToken(r.Team, now.Sub(due))
		} else {
			d.recorder.RecordTokenGap(now.Sub(last))
		}
		last = now
		tokens++
	}
	return recorder.Failed, tokens
}
