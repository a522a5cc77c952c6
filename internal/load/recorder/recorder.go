// Package recorder collects the measurements of a load test.
package recorder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuebank"
)

const (
	// Range and precision of the histograms.
	minMicroseconds   = 1
	maxMicroseconds   = 10 * 60 * 1_000_000
	significantDigits = 3
)

// Recorder collects the measurements of one run. The time to first token is measured
// from when the request was due rather than sent, which avoids coordinated omission:
// a stalled system, which delays the sending of requests, can't hide its latency.
type Recorder struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	tokenGaps  *hdrhistogram.Histogram
	teams      map[fescuebank.TeamID]*team
}

type team struct {
	TeamSummary
	firstToken *hdrhistogram.Histogram
}

// TeamSummary summarizes the requests of one team.
type TeamSummary struct {
	Team            fescuebank.TeamID `json:"team"`
	Sent            int64             `json:"sent"`
	Complete        int64             `json:"complete"`
	Tokens          int64             `json:"tokens"`
	RateLimited     int64             `json:"limited"`
	RefusedInRate   int64             `json:"refusedInRate"`
	Failed          int64             `json:"failed"`
	FirstTokenP95Ms float64           `json:"firstTokenP95Milliseconds"`
}

// New returns a recorder without measurements.
func New() *Recorder {
	return &Recorder{firstToken: newHistogram(), tokenGaps: newHistogram(), teams: make(map[fescuebank.TeamID]*team)}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
}

func (r *Recorder) team(id fescuebank.TeamID) *team {
	t, ok := r.teams[id]
	if !ok {
		t = &team{TeamSummary: TeamSummary{Team: id}, firstToken: newHistogram()}
		r.teams[id] = t
	}
	return t
}

// RecordSent counts a request that the driver sends.
func (r *Recorder) RecordSent(id fescuebank.TeamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.team(id).Sent++
}

// RecordFirstToken records the time from when a request was due to its first token.
func (r *Recorder) RecordFirstToken(id fescuebank.TeamID, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.firstToken.RecordValue(clamp(d))
	_ = r.team(id).firstToken.RecordValue(clamp(d))
}

// RecordTokenGap records the time between two consecutive tokens.
func (r *Recorder) RecordTokenGap(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.tokenGaps.RecordValue(clamp(d))
}

func clamp(d time.Duration) int64 {
	return min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)
}

// Outcome classifies how a request ended.
type Outcome uint8

// The outcomes of a request.
const (
	// Complete means that the whole response arrived.
	Complete Outcome = iota
	// RateLimited means that a request over its team's rate was refused.
	RateLimited
	// RefusedInRate means that a request was refused although its team was within
	// its rate, or for a reason other than the rate.
	RefusedInRate
	// Failed means any other error, a truncated response included.
	Failed
)

// RecordOutcome records the outcome of a request and the number of tokens received.
func (r *Recorder) RecordOutcome(id fescuebank.TeamID, outcome Outcome, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.team(id)
	t.Tokens += int64(tokens)
	switch outcome {
	case Complete:
		t.Complete++
	case RateLimited:
		t.RateLimited++
	case RefusedInRate:
		t.RefusedInRate++
	case Failed:
		t.Failed++
	}
}

// Report is the result of one run.
type Report struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// FirstTokenMs is the time to first token and TokenGapMs the time between tokens.
	FirstTokenMs Quantiles `json:"firstTokenMilliseconds"`
	TokenGapMs   Quantiles `json:"betweenTokensMilliseconds"`
	// OnlineTokensPerSecond and BatchTokensPerSecond count generated tokens.
	OnlineTokensPerSecond float64 `json:"onlineTokensPerSecond"`
	BatchTokensPerSecond  float64 `json:"batchTokensPerSecond"`
	// IdleTokensPerSecond is the capacity of the engines that online requests left unused.
	IdleTokensPerSecond float64 `json:"idleTokensPerSecond"`
	Sent                int64   `json:"sent"`
	Complete            int64   `json:"complete"`
	RateLimited         int64   `json:"limited"`
	RefusedInRate       int64   `json:"refusedInRate"`
	Failed              int64   `json:"failed"`
	Retries             int64   `json:"retries"`
	// JainIndex is Jain's fairness index of the teams' ratios of complete requests to
	// requests within their rate.
	JainIndex   float64       `json:"jainIndex"`
	Teams       []TeamSummary `json:"teams"`
	ControlCost ControlCost   `json:"control"`
	// FirstTokenCurve holds quantiles of the time to first token for a plot.
	FirstTokenCurve []Point `json:"-"`
}

// Team returns the summary of a team.
func (r *Report) Team(id fescuebank.TeamID) TeamSummary {
	for _, t := range r.Teams {
		if t.Team == id {
			return t
		}
	}
	return TeamSummary{Team: id}
}

// ControlCost is the cost of the control traffic and state, per instance and
// second. Cores and HeapMiB include the stand-ins and callers of an in-process
// run.
type ControlCost struct {
	PeerRequests float64 `json:"peerRequests"`
	PeerBytes    float64 `json:"peerBytes"`
	StoreReads   float64 `json:"storeReads"`
	StoreWrites  float64 `json:"storeWrites"`
	StoreWatches float64 `json:"storeWatches"`
	Cores        float64 `json:"cores"`
	HeapMiB      float64 `json:"heapMiB"`
}

// Quantiles are latency quantiles in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Point is one point of a quantile curve.
type Point struct {
	Quantile     float64
	Milliseconds float64
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: quantileMilliseconds(h, 50), P95: quantileMilliseconds(h, 95), P99: quantileMilliseconds(h, 99),
	}
}

func quantileMilliseconds(h *hdrhistogram.Histogram, percent float64) float64 {
	const perMillisecond = 1000
	return float64(h.ValueAtQuantile(percent)) / perMillisecond
}

// Report summarizes the run. withinRate is the number of requests that each team
// sent within its rate.
func (r *Recorder) Report(d time.Duration, withinRate map[fescuebank.TeamID]int64) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{FirstTokenMs: quantiles(r.firstToken), TokenGapMs: quantiles(r.tokenGaps)}
	tokens := int64(0)
	var shares []float64
	for id, t := range r.teams {
		// For a team over its rate, the instances may refuse other requests than
		// the driver's bucket does. A refused request counts as refused in rate
		// only if fewer requests completed than were within the rate.
		t.RefusedInRate = min(t.RefusedInRate, max(0, withinRate[id]-t.Complete))
		t.FirstTokenP95Ms = quantileMilliseconds(t.firstToken, 95)
		report.Teams = append(report.Teams, t.TeamSummary)
		report.Sent += t.Sent
		report.Complete += t.Complete
		report.RateLimited += t.RateLimited
		report.RefusedInRate += t.RefusedInRate
		report.Failed += t.Failed
		tokens += t.Tokens
		if withinRate[id] > 0 {
			shares = append(shares, float64(t.Complete)/float64(withinRate[id]))
		}
	}
	slices.SortFunc(report.Teams, func(a, b TeamSummary) int { return cmp.Compare(a.Team, b.Team) })
	report.OnlineTokensPerSecond = float64(tokens) / d.Seconds()
	report.JainIndex = jainIndex(shares)
	for _, percent := range []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 97, 98, 99, 99.5, 99.9} {
		report.FirstTokenCurve = append(report.FirstTokenCurve,
			Point{Quantile: percent, Milliseconds: quantileMilliseconds(r.firstToken, percent)})
	}
	return report
}

// jainIndex returns Jain's fairness index: 1 when all shares are equal, and 1/n
// when one of n shares has everything.
func jainIndex(shares []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, s := range shares {
		sum += s
		squares += s * s
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(shares)) * squares)
}
