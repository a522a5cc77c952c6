// Package driver sends drawn requests to a deployment, open loop.
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
	"fescuebank/internal/load/drawer"
	"fescuebank/internal/load/recorder"
)

// addressTimeout bounds asking for addresses.
const addressTimeout = 5 * time.Second

// Driver is a set of callers.
type Driver struct {
	model    fescuebank.ModelName
	keys     map[fescuebank.TeamID]string
	quotas   map[fescuebank.TeamID]fescuebank.Quota
	recorder *recorder.Recorder
	client   *http.Client

	mu sync.Mutex
	// addresses are what each team was told, its homes first.
	addresses map[fescuebank.TeamID][]string
	turn      int
	buckets   map[fescuebank.TeamID]*bucket
	entitled  map[fescuebank.TeamID]int64
}

// bucket says whether a request is within its team's rate and burst.
type bucket struct {
	level float64
	at    time.Duration
}

// Config is what a driver works with.
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
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}},
		addresses: make(map[fescuebank.TeamID][]string),
		buckets:   make(map[fescuebank.TeamID]*bucket),
		entitled:  make(map[fescuebank.TeamID]int64),
	}
}

// Locate asks an instance which ones each team should use.
func (d *Driver) Locate(ctx context.Context, address string, teams []fescuebank.TeamID) error {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
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
		var answer locator.Response
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		var list []string
		for _, i := range answer.Instances {
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

// Run sends each request when it is due, however the others fare, and returns
// when all have ended.
func (d *Driver) Run(ctx context.Context, requests []drawer.Request) {
	start := time.Now()
	var group sync.WaitGroup
	for _, r := range requests {
		due := start.Add(r.At)
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		within := d.isWithin(r)
		d.recorder.Sent(r.Team)
		group.Go(func() { d.send(ctx, r, due, within) })
	}
	group.Wait()
}

// Entitled returns how many requests of each team were within its rate.
func (d *Driver) Entitled() map[fescuebank.TeamID]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entitled
}

// isWithin reports whether the team is within its rate and burst with this
// request. A request that isn't uses nothing up.
func (d *Driver) isWithin(r drawer.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.quotas[r.Team]
	b, ok := d.buckets[r.Team]
	if !ok {
		b = &bucket{level: float64(q.Burst)}
		d.buckets[r.Team] = b
	}
	b.level = min(float64(q.Burst), b.level+float64(q.Rate.Over(r.At-b.at)))
	b.at = r.At
	if b.level < 1 {
		return false
	}
	b.level--
	d.entitled[r.Team]++
	return true
}

// address takes the team's instances in turn.
func (d *Driver) address(team fescuebank.TeamID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.addresses[team]
	if len(list) == 0 {
		return ""
	}
	d.turn++
	return list[d.turn%len(list)]
}

// completionBody is a request's body.
type completionBody struct {
	Model     fescuebank.ModelName `json:"model"`
	Stream    bool                 `json:"stream"`
	MaxTokens int                  `json:"max_tokens"`
	Prompt    string               `json:"prompt"`
}

func (d *Driver) send(ctx context.Context, r drawer.Request, due time.Time, within bool) {
	end, tokens := d.exchange(ctx, r, due)
	if end == recorder.Limited && within {
		end = recorder.Wrongful
	}
	d.recorder.Ended(r.Team, end, tokens)
}

func (d *Driver) exchange(ctx context.Context, r drawer.Request, due time.Time) (recorder.End, int) {
	body, err := json.Marshal(completionBody{Model: d.model, Stream: true, MaxTokens: r.Output, Prompt: r.Prompt})
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
		return refusalEnd(resp), 0
	}
	return d.read(resp, r, due)
}

func refusalEnd(resp *http.Response) recorder.End {
	var body errorwriter.Body
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return recorder.Failed
	}
	switch {
	case body.Error.Code == fescuebank.CodeRateLimited:
		return recorder.Limited
	case body.Error.RunState == fescuebank.NotRun:
		return recorder.Wrongful
	}
	return recorder.Failed
}

// read takes the stream in and checks that it is whole.
func (d *Driver) read(resp *http.Response, r drawer.Request, due time.Time) (recorder.End, int) {
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
			if tokens != r.Output {
				return recorder.Failed, tokens
			}
			return recorder.Complete, tokens
		}
		now := time.Now()
		if tokens == 0 {
			d.recorder.First(r.Team, now.Sub(due))
		} else {
			d.recorder.Gap(now.Sub(last))
		}
		last = now
		tokens++
	}
	return recorder.Failed, tokens
}
